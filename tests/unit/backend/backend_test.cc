#include <vector>

#include "pearbarrow/backend/engine_json.h"
#include "pearbarrow/backend/problem.h"
#include "pearbarrow/backend/url.h"
#include "pearbarrow/base/tokens.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::backend;

namespace {

template <typename Value>
Value json_round_trip(const Value& value) {
    auto parsed = parse_json<Value>(nlohmann::json(value).dump());
    cr_assert(parsed.ok());
    return *std::move(parsed);
}

}  // namespace

Test(tokens, four_bytes_count_as_one_token) {
    cr_assert_eq(base::estimate_tokens(""), 0);
    cr_assert_eq(base::estimate_tokens("a"), 1);
    cr_assert_eq(base::estimate_tokens("abcd"), 1);
    cr_assert_eq(base::estimate_tokens("abcde"), 2);
    cr_assert_eq(count_prompt_tokens({{"user", "abcde"}}), 4 + 2 + 4);
}

Test(engine_json, serialized_messages_preserve_fields) {
    const auto report = json_round_trip(load_report{.sequence = 3,
                                                    .age = base::milliseconds(20),
                                                    .running = 2,
                                                    .model = base::model_name("m"),
                                                    .adapters = {"x"},
                                                    .role = engine_role::decode,
                                                    .leaving = true});
    cr_assert(report.age == base::milliseconds(20));
    cr_assert(report.role == engine_role::decode);
    cr_assert(report.leaving);
    const auto order = json_round_trip(engine_order{
        .fencing_token = 4, .kind = order_kind::load_model, .model = base::model_name("m")});
    cr_assert(order.kind == order_kind::load_model);
    const auto listing = json_round_trip(cache_listing{
        .sequence = 1, .holdings = {{base::program_id("p"), 3, base::milliseconds(9)}}});
    cr_assert(listing.holdings.at(0).lease_left == base::milliseconds(9));
    const auto usage = json_round_trip(token_usage{10, 4, 7});
    cr_assert((usage == token_usage{10, 4, 7}));
}

Test(engine_json, malformed_json_is_rejected) {
    cr_assert_not(parse_json<load_report>("{}").ok());
    cr_assert_not(parse_json<load_report>("nonsense").ok());
    cr_assert_not(parse_json<engine_order>(R"({"fencing_token":1,"kind":"explode"})").ok());
    cr_assert_not(parse_json<engine_order>(R"({"fencing_token":"1","kind":"set_role"})").ok());
    cr_assert_not(parse_chunk(R"({"choices":[]})").ok());
    cr_assert_not(parse_chunk("").ok());
}

Test(engine_json, chunk_contains_text_finish_reason_and_usage) {
    const auto token = parse_chunk(chunk_body("a", "m", {.text = "bad "}));
    cr_assert_eq(token->text, "bad ");
    cr_assert_not(token->reason.has_value());
    const auto end = parse_chunk(
        chunk_body("a", "m", {.reason = finish_reason::length, .usage = token_usage{1, 0, 2}}));
    cr_assert(end->reason == finish_reason::length);
    cr_assert_eq(end->usage->completion_tokens, 2);
}

Test(problem, response_preserves_executed_and_retry_after) {
    const auto response = to_response({.status = 429,
                                       .reason = "queue_full",
                                       .was_executed = base::executed::no,
                                       .retry_after = base::milliseconds(1'200)});
    cr_assert_eq(response.headers.find("Retry-After").value_or(""), "2");
    const auto status = to_status(response, "generate", "10.0.0.1:80");
    cr_assert(absl::IsResourceExhausted(status));
    const auto details = base::details_of(status);
    cr_assert_eq(details.reason, "queue_full");
    cr_assert_eq(details.peer, "10.0.0.1:80");
    cr_assert(details.was_executed == base::executed::no);
    cr_assert(details.retry_after == base::milliseconds(1'200));
}

Test(problem, malformed_error_body_means_executed_unknown) {
    for (const char* body : {"", "<html>", "[1]", R"({"executed":"maybe"})", R"({"executed":7})"}) {
        const auto status = to_status({.status = 502, .body = body}, "generate", "e");
        cr_assert_not(status.ok());
        cr_assert(base::details_of(status).was_executed == base::executed::unknown, "%s", body);
    }
}

Test(problem, transport_error_is_executed_no_only_if_nothing_was_sent) {
    const auto unsent = base::make_error(absl::StatusCode::kUnavailable, "refused",
                                         {.was_executed = base::executed::no});
    const auto sent = base::make_error(absl::StatusCode::kUnavailable, "reset",
                                       {.was_executed = base::executed::unknown});
    const auto first = base::details_of(transport_error(unsent, "s", "p", "unreachable", "lost"));
    const auto second = base::details_of(transport_error(sent, "s", "p", "unreachable", "lost"));
    cr_assert_eq(first.reason, "unreachable");
    cr_assert(first.was_executed == base::executed::no);
    cr_assert_eq(second.reason, "lost");
    cr_assert(second.was_executed == base::executed::unknown);
}

Test(url, decoding_reverses_encoding) {
    std::string all;
    for (int value = 0; value < 256; ++value) {
        all += static_cast<char>(value);
    }
    const std::string encoded = percent_encode(all);
    cr_assert(percent_decode(encoded) == all);
    cr_assert_eq(encoded.find('/'), std::string::npos);
    cr_assert_eq(percent_decode("100%"), "100%");
    cr_assert_eq(percent_decode("%zz"), "%zz");
}
