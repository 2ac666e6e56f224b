/// The gateway's parts without a network: JSON reading, problems, event text, keys.
#include <string>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/gateway/chat_api.h"
#include "pearbarrow/gateway/configuration_directory.h"
#include "pearbarrow/gateway/event_text.h"
#include "pearbarrow/gateway/json_body.h"
#include "pearbarrow/gateway/problem.h"
#include "pearbarrow/gateway/request_json.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::gateway;  // NOLINT

std::string reason_of(const absl::Status& status) {
    return base::details_of(status).reason;
}

Test(json_body, refuses_what_is_not_strict_json) {
    for (const auto* text : {"", "{", "{\"a\":1,}", "[1", "nul", "{} {}", "{\"a\":\"\xff\"}",
                             "{'a':1}", "\"\\ud800\"", "1e999"}) {
        const auto parsed = parse_json(text);
        cr_expect_not(parsed.ok(), "%s was taken", text);
        expect_text(reason_of(parsed.status()), "malformed_json");
    }
    expect_text(reason_of(parse_json("{\"a\":1,\"a\":2}").status()), "repeated_key");
    cr_expect(parse_json("{\"a\":{\"a\":1},\"b\":[{\"a\":1},{\"a\":2}]}").ok());
    expect_text(reason_of(parse_json_object("[]").status()), "malformed_json");
}

Test(json_body, bounds_depth) {
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    cr_expect(parse_json(nested(max_json_depth)).ok());
    expect_text(reason_of(parse_json(nested(max_json_depth + 1)).status()), "json_too_deep");
    expect_text(reason_of(parse_json(std::string(2'000'000, '[')).status()), "json_too_deep");
}

Test(json_body, names_every_problem) {
    const auto parsed = parse_open_program(
        R"({"token_budget": -1, "labels": {"tenant": "x", "a b": "y", "ok": 5}, "extra": 1,
            "limits": {"turns": 0, "more": 1}})",
        nullptr);
    cr_assert_not(parsed.ok());
    const std::string message(parsed.status().message());
    for (const auto* field : {"program_class", "token_budget", "labels.tenant", "labels.a b",
                              "labels.ok", "extra", "limits.turns", "limits.more"}) {
        cr_expect(message.find(field) != std::string::npos, "%s is not in %s", field,
                  message.c_str());
    }
}

Test(problem, status_codes) {
    using absl::StatusCode;
    for (const auto& [code, expected] : {std::pair{StatusCode::kInvalidArgument, 400},
                                         {StatusCode::kUnauthenticated, 401},
                                         {StatusCode::kPermissionDenied, 403},
                                         {StatusCode::kNotFound, 404},
                                         {StatusCode::kAborted, 409},
                                         {StatusCode::kFailedPrecondition, 409},
                                         {StatusCode::kResourceExhausted, 429},
                                         {StatusCode::kInternal, 500},
                                         {StatusCode::kUnavailable, 503},
                                         {StatusCode::kDeadlineExceeded, 504}}) {
        cr_expect_eq(http_status_of(absl::Status(code, "x")), expected);
    }
    const auto budget =
        base::make_error(StatusCode::kResourceExhausted, "spent", {.reason = "budget_exhausted"});
    cr_expect_eq(http_status_of(budget), 409, "repeating it can't help");
    const auto unknown =
        base::make_error(StatusCode::kUnknown, "lost",
                         {.reason = "outcome_unknown", .was_executed = base::executed::unknown});
    cr_expect_eq(http_status_of(unknown), 502);
}

Test(problem, carries_step_peer_executed_and_retry) {
    const auto status = base::make_error(absl::StatusCode::kUnavailable, "no majority",
                                         {.step = "append",
                                          .peer = "n3",
                                          .reason = "no_quorum",
                                          .was_executed = base::executed::unknown,
                                          .retry_after = base::milliseconds(1'200)});
    const auto response = problem_response(status, base::node_id("n1"));
    const auto body = nlohmann::json::parse(response.body);
    cr_expect_eq(response.status, 503);
    expect_text(*response.headers.find("Retry-After"), "2");
    expect_text(*response.headers.find("Content-Type"), "application/problem+json");
    cr_expect(body == nlohmann::json({{"type", "urn:pearbarrow:problem:no_quorum"},
                                      {"title", "Service Unavailable"},
                                      {"status", 503},
                                      {"detail", "no majority"},
                                      {"reason", "no_quorum"},
                                      {"step", "append"},
                                      {"peer", "n3"},
                                      {"executed", "unknown"},
                                      {"retry_after_ms", 1'200}}),
              "%s", response.body.c_str());
}

Test(event_text, never_ends_inside_a_character) {
    event_text text;
    wire::reply_part part;
    part.text = "a\xe2\x82";
    cr_expect_not(text.add(part).has_value());
    part.text =
        "\xac"
        "b";
    expect_text(*text.add(part),
                "a\xe2\x82\xac"
                "b");
    part.text = "\xf0\x9f";
    cr_expect_not(text.add(part).has_value());
    part.restart = true;
    part.text = "new";
    expect_text(*text.add(part), "new");
    cr_expect_eq(incomplete_tail("\x80\x80\x80\x80"), 0, "bytes that are no text are not held");
}

Test(api_key, hash_and_header) {
    expect_text(sha256_hex("abc"),
                "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    expect_text(*bearer_key({{"Authorization", "bearer  k"}}), "k");
    for (const auto* value : {"", "Bearer", "Bearer ", "Basic k", "k"}) {
        cr_expect_not(bearer_key({{"Authorization", value}}).has_value(), "%s", value);
    }
    cr_expect_not(bearer_key({{"Authorization", "Bearer " + std::string(600, 'k')}}).has_value());
}

Test(chat, difference_of_history_and_conversation) {
    const wire::chat_message user{"user", "hello", ""};
    const wire::chat_message answer{"assistant", "hi", ""};
    const wire::chat_message next{"user", "and then", ""};
    const auto grown = difference({user, answer}, {user, answer, next});
    cr_assert(grown.ok());
    cr_expect_not(grown->already_made);
    cr_assert_eq(grown->new_messages.size(), 1);
    cr_expect(grown->new_messages[0] == next);
    cr_expect(difference({user, answer}, {user})->already_made);
    expect_text(reason_of(difference({user, answer}, {next}).status()), "history_mismatch");
}

Test(configuration_directory, follows_the_configuration) {
    config::configuration_ptr current = config::configuration::empty();
    const configuration_directory directory([&current] { return current; });
    cr_expect_not(directory.ready());
    config::tenant_spec tenant;
    tenant.api_key_sha256 = {sha256_hex("secret")};
    config::pool_spec pool;
    pool.model = base::model_name("m");
    current = config::configuration::make(base::config_version(3),
                                          {{.name = "shop", .labels = {}, .spec = tenant},
                                           {.name = "pool-1", .labels = {}, .spec = pool},
                                           {.name = "pool-2", .labels = {}, .spec = pool}});
    cr_expect(directory.ready());
    cr_expect(directory.find_by_key_hash(sha256_hex("secret")) == base::tenant_id("shop"));
    cr_expect_not(directory.find_by_key_hash(sha256_hex("other")).has_value());
    cr_expect_eq(directory.models(base::tenant_id("shop")).size(), 1);
}

}  // namespace
