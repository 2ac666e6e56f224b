// The engine stand-in and its client over real HTTP, also through the relay.
#include <optional>
#include <string>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/engine_server.h"
#include "pearbarrow/emulator/relay_server.h"
#include "pearbarrow/net/tcp_relay.h"
#include "served_stand_in.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

engine_server_options quick_engine() {
    engine_server_options options;
    options.model.costs = options.model.costs.scaled(0.1);
    options.model.events.lag = base::milliseconds(0);
    options.answers = {.shortest = 40, .longest = 40};
    return options;
}

backend::generate_request generate_request_with(const std::string& attempt) {
    return {.attempt = base::attempt_id(attempt),
            .program = base::program_id("p1"),
            .call = base::call_number(1),
            .model = base::model_name("pearl-8b"),
            .messages = {{"user", std::string(200, 'x')}},
            .max_tokens = 40,
            .pin_lease = base::seconds(60)};
}

/// Collects a stream.
struct received {
    std::string text;
    std::uint64_t last_index = 0;
    bool in_order = true;
    std::optional<absl::StatusOr<backend::generate_result>> result;
    std::unique_ptr<backend::stream_handle> handle;

    backend::generate_callbacks callbacks(std::uint64_t from = 1) {
        last_index = from - 1;
        return {
            .on_accepted = {},
            .on_part =
                [this](const backend::generate_part& part) {
                    in_order = in_order && part.index == last_index + 1;
                    last_index = part.index;
                    text += part.text;
                },
            .on_done =
                [this](absl::StatusOr<backend::generate_result> got) { result = std::move(got); }};
    }
    bool done() const { return result.has_value(); }
    base::error_details details() const { return base::details_of(result->status()); }
};

std::string whole_answer(const backend::generate_request& request) {
    return answer_text(conversation_digest(request.messages), request.attempt).tokens(1, 40);
}

}  // namespace

Test(engine_over_http, streams_a_whole_answer_with_its_usage) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received answer;
    answer.handle = client->generate(request, answer.callbacks());
    in.run_until([&] { return answer.done(); });
    cr_assert(answer.result->ok());
    cr_assert(answer.in_order);
    cr_assert(answer.text == whole_answer(request));
    cr_assert_eq((*answer.result)->usage.completion_tokens, 40);
    cr_assert_eq((*answer.result)->usage.prompt_tokens,
                 backend::count_prompt_tokens(request.messages));
}

Test(engine_over_http, a_cut_stream_resumes_without_loss_or_repeat) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    engine.set_faults(R"({"faults":[{"kind":"cut_stream","after_parts":7,"count":1}]})");
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received first;
    first.handle = client->generate(request, first.callbacks());
    in.run_until([&] { return first.done(); });
    cr_assert_eq(first.details().reason, "stream_broken");
    cr_assert(first.details().was_executed == base::executed::unknown);
    received rest;
    rest.handle =
        client->resume(request.attempt, first.last_index + 1, rest.callbacks(first.last_index + 1));
    in.run_until([&] { return rest.done(); });
    cr_assert(rest.result->ok());
    cr_assert(rest.in_order);
    cr_assert(first.text + rest.text == whole_answer(request));
}

Test(engine_over_http, a_repeated_request_attaches_and_runs_once) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received first;
    received second;
    first.handle = client->generate(request, first.callbacks());
    second.handle = client->generate(request, second.callbacks());
    in.run_until([&] { return first.done() && second.done(); });
    cr_assert(first.text == second.text);
    const auto state = in.fetch(engine.address(), "GET", "/admin/engine");
    cr_assert_eq(nlohmann::json::parse(state.body).at("generated_tokens"), 40);
}

Test(engine_over_http, a_receiver_that_leaves_does_not_stop_the_stream) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received first;
    first.handle = client->generate(request, first.callbacks());
    in.run_until([&] { return first.last_index >= 3; });
    first.handle.reset();
    received again;
    again.handle = client->resume(request.attempt, 1, again.callbacks());
    in.run_until([&] { return again.done(); });
    cr_assert(again.text == whole_answer(request));
}

Test(engine_over_http, an_id_whose_stream_was_dropped_is_refused) {
    process in;
    auto options = quick_engine();
    options.model.stream_retention = base::milliseconds(0);
    stand_in<engine_server> engine(in, options, in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received first;
    first.handle = client->generate(request, first.callbacks());
    in.run_until([&] { return first.done(); });
    received late;
    late.handle = client->resume(request.attempt, 1, late.callbacks());
    in.run_until([&] { return late.done(); });
    cr_assert_eq(late.details().reason, "stream_unknown");
    received again;
    again.handle = client->generate(request, again.callbacks());
    in.run_until([&] { return again.done(); });
    cr_assert_eq(again.details().reason, "attempt_already_ran");
    cr_assert(again.details().was_executed == base::executed::yes);
}

Test(engine_over_http, cancel_ends_the_stream_and_fences_unknown_ids) {
    process in;
    auto options = quick_engine();
    options.model.costs.step_base = 20'000;
    stand_in<engine_server> engine(in, options, in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto request = generate_request_with("a1");
    received answer;
    answer.handle = client->generate(request, answer.callbacks());
    in.run_until([&] { return answer.last_index >= 2; });
    const auto cancelled = wait_for<backend::cancel_result>(
        in, [&](auto done) { client->cancel(request.attempt, std::move(done)); });
    cr_assert(cancelled->outcome == backend::cancel_outcome::cancelled);
    in.run_until([&] { return answer.done(); });
    cr_assert((*answer.result)->reason == backend::finish_reason::cancelled);
    const auto unknown = wait_for<backend::cancel_result>(
        in, [&](auto done) { client->cancel(base::attempt_id("a2"), std::move(done)); });
    cr_assert(unknown->outcome == backend::cancel_outcome::unknown);
    received refused;
    refused.handle = client->generate(generate_request_with("a2"), refused.callbacks());
    in.run_until([&] { return refused.done(); });
    cr_assert_eq(refused.details().reason, "attempt_cancelled");
    cr_assert(refused.details().was_executed == base::executed::no);
}

Test(engine_over_http, tells_what_did_not_run) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    engine.set_faults(R"({"faults":[{"kind":"refuse","status":503,"retry_after_ms":70}]})");
    received refused;
    refused.handle = client->generate(generate_request_with("a1"), refused.callbacks());
    in.run_until([&] { return refused.done(); });
    cr_assert(refused.details().was_executed == base::executed::no);
    cr_assert(refused.details().retry_after == base::milliseconds(70));
    const auto nobody = backend::make_engine_client(*in.http, closed_address(in));
    received unreachable;
    unreachable.handle = nobody->generate(generate_request_with("a1"), unreachable.callbacks());
    in.run_until([&] { return unreachable.done(); });
    cr_assert_eq(unreachable.details().reason, "engine_unreachable");
    cr_assert(unreachable.details().was_executed == base::executed::no);
}

Test(engine_over_http, memory_is_listed_released_and_moved) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    stand_in<engine_server> neighbour(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto other = backend::make_engine_client(*in.http, neighbour.address());
    const auto request = generate_request_with("a1");
    received answer;
    answer.handle = client->generate(request, answer.callbacks());
    in.run_until([&] { return answer.done(); });
    const auto prefix = wait_for<backend::exported_prefix>(
        in, [&](auto done) { client->export_prefix(request.program, std::move(done)); });
    cr_assert_gt(prefix->blocks.size(), 0);
    const auto taken = wait_for<std::uint64_t>(
        in, [&](auto done) { other->import_prefix(*prefix, base::seconds(60), std::move(done)); });
    cr_assert_eq(*taken, prefix->blocks.size());
    const auto freed = wait_for<std::uint64_t>(
        in, [&](auto done) { client->release(request.program, std::move(done)); });
    cr_assert_eq(*freed, prefix->blocks.size());
    const auto listing = wait_for<backend::cache_listing>(
        in, [&](auto done) { client->list_cache(std::move(done)); });
    cr_assert(listing->holdings.empty());
    const auto events = wait_for<backend::cache_event_batch>(
        in, [&](auto done) { client->read_cache_events(0, std::move(done)); });
    cr_assert_eq(events->events.size(), 2);
    cr_assert(events->events.back().kind == backend::cache_event_kind::released);
    const auto renewed = wait_for<std::uint64_t>(in, [&](auto done) {
        other->renew_pin(request.program, base::seconds(90), std::move(done));
    });
    cr_assert_eq(*renewed, prefix->blocks.size());
}

Test(engine_over_http, reports_load_meter_and_orders) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto client = backend::make_engine_client(*in.http, engine.address());
    const auto load =
        wait_for<backend::load_report>(in, [&](auto done) { client->read_load(std::move(done)); });
    cr_assert_eq(load->cache_blocks_total, 8'192);
    const auto missing = wait_for<backend::meter_entry>(
        in, [&](auto done) { client->read_meter(base::attempt_id("a1"), std::move(done)); });
    cr_assert_eq(base::details_of(missing.status()).reason, "attempt_unknown");
    backend::engine_order order{.fencing_token = 9,
                                .kind = backend::order_kind::set_role,
                                .role = backend::engine_role::decode};
    const auto give = [&] {
        return wait_for<int>(
                   in,
                   [&](const auto& done) {
                       client->order(order, [done](const absl::Status& status) {
                           done(status.ok() ? absl::StatusOr<int>(0) : absl::StatusOr<int>(status));
                       });
                   })
            .status();
    };
    cr_assert(give().ok());
    order.fencing_token = 8;
    cr_assert_eq(base::details_of(give()).reason, "fencing_token_stale");
}

Test(engine_over_http, malformed_requests_get_400_and_do_not_run) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    for (const char* body : {"", "{", "[]", "{}", R"({"model":"pearl-8b","messages":[]})",
                             R"({"model":"pearl-8b","messages":[{"role":"user","content":5}]})",
                             R"({"model":7,"messages":[{"role":"user","content":"x"}]})"}) {
        cr_assert_eq(in.fetch(engine.address(), "POST", "/v1/chat/completions", body).status, 400,
                     "%s", body);
    }
    cr_assert_eq(in.fetch(engine.address(), "POST", "/v1/orders", "{").status, 400);
    cr_assert_eq(in.fetch(engine.address(), "POST", "/v1/cache/import", "{}").status, 400);
    cr_assert_eq(
        in.fetch(engine.address(), "POST", "/admin/faults", R"({"faults":[{"kind":"x"}]})").status,
        400);
    const auto meter = in.fetch(engine.address(), "GET", "/v1/meter");
    cr_assert(nlohmann::json::parse(meter.body).at("entries").empty());
}

Test(relay, passes_stalls_and_cuts) {
    process in;
    stand_in<engine_server> engine(in, quick_engine(), in.history);
    const auto relay = net::make_tcp_relay(in.loop, {"127.0.0.1", 0}, engine.address());
    cr_assert(relay->start().ok());
    const auto client = backend::make_engine_client(*in.http, relay->local_endpoint());
    const auto load = [&] {
        return wait_for<backend::load_report>(
            in, [&](auto done) { client->read_load(std::move(done)); });
    };
    cr_assert(load().ok());
    const auto request = generate_request_with("a1");
    received answer;
    answer.handle = client->generate(request, answer.callbacks());
    in.run_until([&] { return answer.last_index >= 3; });
    relay->set({.mode = net::relay_mode::stall_to_client});
    in.run_for(base::milliseconds(100));
    cr_assert_not(answer.done(), "40 tokens take about 40 ms, but are held back");
    relay->set({.mode = net::relay_mode::pass});
    in.run_until([&] { return answer.done(); });
    cr_assert(answer.text == whole_answer(request));
    relay->set({.mode = net::relay_mode::cut});
    cr_assert_not(load().ok());
    relay->set({.mode = net::relay_mode::pass, .delay = base::milliseconds(5)});
    cr_assert(load().ok());
}

Test(relay, settings_are_checked) {
    cr_assert(parse_relay_settings(R"({"mode":"stall_both","delay_ms":3})").ok());
    for (const char* bad : {"", "{}", "[]", R"({"mode":"melt"})", R"({"mode":3})",
                            R"({"mode":"pass","delay_ms":"x"})"}) {
        cr_assert_not(parse_relay_settings(bad).ok(), "%s", bad);
    }
}
