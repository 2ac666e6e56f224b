/// The stand-ins and their clients over real HTTP, in one process.
#include <optional>
#include <string>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/backend/tool_client.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/engine_server.h"
#include "pearbarrow/emulator/faults.h"
#include "pearbarrow/emulator/platform_server.h"
#include "pearbarrow/emulator/relay_server.h"
#include "pearbarrow/emulator/tool_server.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/tcp_relay.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr base::seconds patience{20};
constexpr base::milliseconds poll_period{1};

/// A loop, a clock and an HTTP client, and a way to wait for something.
struct process {
    net::event_loop loop;
    base::system_clock_source clock;
    history_writer history;
    std::unique_ptr<net::http_client> http = net::make_http_client(loop);

    template <typename Condition>
    void run_until(Condition condition) {
        bool late = false;
        const auto limit = loop.after(patience, [&] {
            late = true;
            loop.stop();
        });
        const auto poll = loop.every(poll_period, [&] {
            if (condition()) {
                loop.stop();
            }
        });
        loop.run();
        cr_assert_not(late, "waited too long");
    }

    void run_for(base::milliseconds time) {
        const auto limit = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    net::http_response fetch(const net::endpoint& server, std::string method, std::string target,
                             std::string body = {}) {
        std::optional<absl::StatusOr<net::http_response>> answer;
        http->fetch({.server = server,
                     .method = std::move(method),
                     .target = std::move(target),
                     .headers = {},
                     .body = std::move(body)},
                    [&](absl::StatusOr<net::http_response> got) { answer = std::move(got); });
        run_until([&] { return answer.has_value(); });
        return answer->ok() ? **answer : net::http_response{.status = 0};
    }
};

/// A stand-in of type `Server` behind its fault injector.
template <typename Server>
struct stand_in {
    template <typename... Arguments>
    explicit stand_in(process& in, Arguments&&... arguments)
        : faults(in.loop, 1),
          server(in.loop, in.clock, std::forward<Arguments>(arguments)...),
          http(net::make_http_server(
              in.loop, {.listen = {"127.0.0.1", 0}},
              faults.wrap([this](const std::shared_ptr<net::http_exchange>& exchange) {
                  server.handle(exchange);
              }))) {
        cr_assert(http->start().ok());
    }

    net::endpoint address() const { return http->local_endpoint(); }
    void set_faults(std::string_view text) { cr_assert(faults.set_json(text).ok()); }

    fault_injector faults;
    Server server;
    std::unique_ptr<net::http_server> http;
};

engine_server_options quick_engine() {
    engine_server_options options;
    options.model.costs = options.model.costs.scaled(0.1);
    options.model.events.lag = base::milliseconds(0);
    options.answers = {.shortest = 40, .longest = 40};
    return options;
}

tool_server_options quick_tool() {
    return {.model = {.latency = {latency_shape::fixed, base::milliseconds(5), 0}}};
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

/// Runs an asynchronous call of a client to its end.
template <typename Value, typename Call>
absl::StatusOr<Value> wait_for(process& in, Call call) {
    std::optional<absl::StatusOr<Value>> answer;
    call([&](absl::StatusOr<Value> got) { answer = std::move(got); });
    in.run_until([&] { return answer.has_value(); });
    return *std::move(answer);
}

absl::StatusOr<backend::tool_result> invoke(process& in, backend::tool_client& client,
                                            const std::string& key,
                                            base::milliseconds deadline = base::seconds(5)) {
    std::unique_ptr<backend::tool_handle> handle;
    return wait_for<backend::tool_result>(in, [&](auto done) {
        handle = client.invoke({.tool = base::tool_name("hold"),
                                .idempotency_key = key,
                                .attempt = base::attempt_id("a1"),
                                .program = base::program_id("p1"),
                                .call = base::call_number(2),
                                .arguments = "{}",
                                .deadline = deadline},
                               std::move(done));
    });
}

absl::StatusOr<backend::tool_query_result> query(process& in, backend::tool_client& client,
                                                 const std::string& key, bool fence) {
    return wait_for<backend::tool_query_result>(
        in, [&](auto done) { client.query(base::tool_name("hold"), key, fence, std::move(done)); });
}

std::size_t runs_in_ledger(process& in, const net::endpoint& tool) {
    const auto answer = in.fetch(tool, "GET", "/v1/ledger");
    return nlohmann::json::parse(answer.body).at("runs").size();
}

/// Address at which nothing listens.
net::endpoint closed_address(process& in) {
    const auto server = net::make_http_server(in.loop, {.listen = {"127.0.0.1", 0}},
                                              [](const std::shared_ptr<net::http_exchange>&) {});
    cr_assert(server->start().ok());
    return server->local_endpoint();
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

Test(tool_over_http, a_repeated_key_answers_with_the_first_result) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    const auto first = invoke(in, *client, "key/1 %");
    const auto again = invoke(in, *client, "key/1 %");
    cr_assert(first.ok() && again.ok());
    cr_assert_not(first->repeated);
    cr_assert(again->repeated);
    cr_assert(first->output == again->output);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1);
    const auto state = query(in, *client, "key/1 %", false);
    cr_assert(state->state == backend::tool_request_state::completed);
    cr_assert(state->result.output == first->output);
}

Test(tool_over_http, a_lost_answer_ran_and_can_be_asked_for) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    tool.set_faults(R"({"faults":[{"kind":"lose_answer","path":"/v1/tools/hold/invoke"}]})");
    const auto lost = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(lost.status()).reason, "answer_lost");
    cr_assert(base::details_of(lost.status()).was_executed == base::executed::unknown);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1);
    const auto state = query(in, *client, "k", true);
    cr_assert(state->state == backend::tool_request_state::completed);
    cr_assert_not(state->fenced);
}

Test(tool_over_http, a_dropped_request_never_ran_and_its_key_can_be_fenced) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    tool.set_faults(R"({"faults":[{"kind":"drop","path":"/v1/tools/","count":1}]})");
    const auto dropped = invoke(in, *client, "k");
    cr_assert(base::details_of(dropped.status()).was_executed == base::executed::unknown);
    const auto state = query(in, *client, "k", true);
    cr_assert(state->state == backend::tool_request_state::never_seen);
    cr_assert(state->fenced);
    const auto late = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(late.status()).reason, "request_fenced");
    cr_assert(base::details_of(late.status()).was_executed == base::executed::no);
    cr_assert_eq(runs_in_ledger(in, tool.address()), 0);
}

Test(tool_over_http, hangs_end_with_the_deadline) {
    process in;
    stand_in<tool_server> tool(in, quick_tool(), in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    for (const char* kind : {"hang", "hang_after"}) {
        tool.set_faults(std::string(R"({"faults":[{"path":"/v1/tools/hold/invoke","kind":")") +
                        kind + R"("}]})");
        const auto late = invoke(in, *client, kind, base::milliseconds(50));
        cr_assert_eq(base::details_of(late.status()).reason, "tool_timeout");
        cr_assert(base::details_of(late.status()).was_executed == base::executed::unknown);
    }
    cr_assert_eq(runs_in_ledger(in, tool.address()), 1, "only hang_after ran");
}

Test(tool_over_http, a_failure_says_that_it_ran) {
    process in;
    auto options = quick_tool();
    options.model.fail_probability = 1;
    stand_in<tool_server> tool(in, options, in.history);
    const auto client = backend::make_tool_client(*in.http, tool.address());
    const auto failed = invoke(in, *client, "k");
    cr_assert_eq(base::details_of(failed.status()).reason, "tool_failed");
    cr_assert(base::details_of(failed.status()).was_executed == base::executed::yes);
    cr_assert_eq(base::details_of(query(in, *client, "k", false)->failure).reason, "tool_failed");
}

Test(platform_over_http, a_lost_answer_took_effect) {
    process in;
    stand_in<platform_server> platform(in, platform_options{});
    platform.set_faults(R"({"faults":[{"kind":"lose_answer","path":"/v3/kv/put","count":1}]})");
    const auto address = platform.address();
    const std::string put = R"({"key":"Zm9v","value":"YmFy"})";
    cr_assert_eq(in.fetch(address, "POST", "/v3/kv/put", put).status, 0);
    const auto read = in.fetch(address, "POST", "/v3/kv/range", R"({"key":"Zm9v"})");
    cr_assert_eq(nlohmann::json::parse(read.body).at("kvs").at(0).at("value"), "YmFy");
}

Test(platform_over_http, limits_its_rate) {
    process in;
    stand_in<platform_server> platform(
        in, platform_options{.key_value_rate = 0.5, .key_value_burst = 2});
    const std::string read = R"({"key":"Zm9v"})";
    cr_assert_eq(in.fetch(platform.address(), "POST", "/v3/kv/range", read).status, 200);
    cr_assert_eq(in.fetch(platform.address(), "POST", "/v3/kv/range", read).status, 200);
    const auto limited = in.fetch(platform.address(), "POST", "/v3/kv/range", read);
    cr_assert_eq(limited.status, 429);
    cr_assert_eq(limited.headers.find("Retry-After").value_or(""), "2");
}

Test(platform_over_http, a_watch_tells_the_past_and_the_present) {
    process in;
    stand_in<platform_server> platform(in, platform_options{});
    const auto address = platform.address();
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"Zm9v","value":"MQ=="})");
    std::string lines;
    const auto watch =
        in.http->start({.server = address,
                        .method = "POST",
                        .target = "/v3/watch",
                        .headers = {},
                        .body = R"({"create_request":{"key":"Zm9v","start_revision":"2"}})"},
                       {.on_head = {},
                        .on_chunk = [&](std::string_view chunk) { lines += chunk; },
                        .on_done = {}});
    in.run_until([&] { return lines.find("MQ==") != std::string::npos; });
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"YmFy","value":"OQ=="})");
    in.fetch(address, "POST", "/v3/kv/put", R"({"key":"Zm9v","value":"Mg=="})");
    in.run_until([&] { return lines.find("Mg==") != std::string::npos; });
    cr_assert_eq(lines.find("OQ=="), std::string::npos, "another key");
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
