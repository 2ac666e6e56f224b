/// The native API: what reaches the owner, and how its answers reach the caller.
#include "gateway/gateway_fixture.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::gateway::testing;  // NOLINT

const std::string program_path = "/v1/programs/" + some_program;
const std::string calls = program_path + "/calls";
const std::string streamed_call =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"deadline_ms":2000})";

fake_router::answer_function always(wire::program_reply reply) {
    return [reply](const wire::program_request&) { return reply; };
}

Test(native, open_a_program) {
    gateway_fixture fixture;
    fixture.router.answer = [](const auto& request) { return view_reply(request, "open"); };
    const auto answer = fixture.ask("POST", "/v1/programs",
                                    R"({"program_class":"haggle","labels":{"shop":"s1"},
            "token_budget":500,"limits":{"turns":9}})");
    cr_assert_eq(answer.status, 201, "%s", answer.body.c_str());
    expect_text(*answer.headers.find("Location"), ("/v1/programs/" + drawn_program));
    expect_text(answer.json().value("id", ""), drawn_program);
    const auto& message = fixture.router.requests[0]->message;
    expect_text(message.tenant.value(), "a");
    expect_text(message.open->program_class, "haggle");
    cr_expect_eq(message.open->token_budget, 500);
    cr_expect_eq(message.open->limits.turns, 9);
    cr_expect((message.open->labels == std::vector<wire::label>{{"shop", "s1"}}));
    cr_expect_not(message.open->parent.has_value());
}

Test(native, the_same_idempotency_key_opens_the_same_program) {
    gateway_fixture fixture;
    fixture.router.answer = [](const auto& request) { return view_reply(request, "open"); };
    const auto open_with = [&fixture](const std::string& key, const std::string& tenant_key,
                                      const std::string& path = "/v1/programs") {
        auto call =
            fixture.call("POST", path, R"({"program_class":"c","token_budget":5})", tenant_key);
        call.headers.add("Idempotency-Key", key);
        return fixture.ask(call).json().value("id", "");
    };
    const auto first = open_with("k", key_of_a);
    cr_expect_eq(first.size(), 32);
    expect_text(open_with("k", key_of_a), first);
    cr_expect(open_with("k2", key_of_a) != first);
    cr_expect(open_with("k", key_of_b) != first);
    cr_expect(open_with("k", key_of_a, program_path + "/programs") != first);
}

Test(native, open_a_sub_program) {
    gateway_fixture fixture;
    fixture.router.answer = [](const auto& request) { return view_reply(request, "open"); };
    const auto answer = fixture.ask("POST", program_path + "/programs",
                                    R"({"program_class":"c","token_budget":5,"call":3})");
    cr_assert_eq(answer.status, 201, "%s", answer.body.c_str());
    const auto& message = fixture.router.requests[0]->message;
    expect_text(message.program.value(), drawn_program);
    expect_text(wire::routing_program(message).value(), some_program);
    cr_expect_eq(message.open->parent->call.value(), 3);
}

Test(native, a_plain_call) {
    gateway_fixture fixture;
    fixture.router.answer = always(result_reply("done", 4));
    auto call = fixture.call("POST", calls,
                             R"({"tool":"hold","arguments":{"b":2,"a":1},"number":4,
                 "declared_cost":7,"priority_class":"counter"})");
    call.headers.add("Idempotency-Key", "k");
    const auto answer = fixture.ask(call);
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
    const auto body = answer.json();
    expect_text(body.value("output", ""), "done");
    cr_expect_eq(body.value("number", 0), 4);
    expect_text(body.value("executed", ""), "yes");
    cr_expect_eq(body["usage"].value("cached_tokens", 0), 4);
    const auto& submit = *fixture.router.requests[0]->message.submit;
    expect_text(submit.body.tool->arguments_json, R"({"a":1,"b":2})");
    cr_expect_not(submit.body.tool->repeatable, "a call is not repeatable unless it says so");
    cr_expect_eq(submit.body.tool->declared_cost, 7);
    expect_text(submit.idempotency_key, "k");
    expect_text(submit.priority_class, "counter");
}

Test(native, a_streamed_call) {
    gateway_fixture fixture;
    const auto answer = fixture.begin(fixture.call("POST", calls, streamed_call));
    const auto routed = fixture.wait_for_route(1);
    cr_expect(routed->message.submit->stream);
    cr_expect_eq(routed->message.submit->deadline_ms, 2'000);
    cr_expect_gt(routed->timeout.count(), 2'000);
    routed->callbacks.on_part(part("1.2", "he"));
    routed->callbacks.on_part(part("1.4", "l\xc3"));
    routed->callbacks.on_part(part("1.5", "\xa9"));
    routed->callbacks.on_part(part("2.0", "", true));
    routed->callbacks.on_part(part("2.5", "hello"));
    routed->callbacks.on_done(result_reply("hello"));
    cr_assert(net::testing::run_until(fixture.loop, [&] { return answer->done; }));
    const auto events = answer->events();
    cr_assert_eq(events.size(), 5, "%s", answer->body.c_str());
    expect_text(events[0].data, R"({"text":"he"})");
    expect_text(events[0].id, "1.2");
    expect_text(events[1].data, "{\"text\":\"l\xc3\xa9\"}");
    expect_text(events[1].id, "1.5");
    expect_text(events[2].event, "restart");
    expect_text(events[4].event, "result");
    expect_text(nlohmann::json::parse(events[4].data).value("output", ""), "hello");
}

Test(native, a_failure_before_the_first_part_is_a_problem) {
    gateway_fixture fixture;
    fixture.router.answer = [](const auto&) -> absl::StatusOr<wire::program_reply> {
        return base::make_error(absl::StatusCode::kResourceExhausted, "too many",
                                {.step = "admit",
                                 .peer = "n2",
                                 .reason = "rate_limit",
                                 .retry_after = base::milliseconds(3'000)});
    };
    const auto answer = fixture.ask("POST", calls, streamed_call);
    cr_expect_eq(answer.status, 429);
    expect_text(*answer.headers.find("Retry-After"), "3");
}

Test(native, a_failure_within_the_stream_is_an_event) {
    gateway_fixture fixture;
    const auto answer = fixture.begin(fixture.call("POST", calls, streamed_call));
    const auto routed = fixture.wait_for_route(1);
    routed->callbacks.on_part(part("1.2", "he"));
    routed->callbacks.on_done(base::make_error(
        absl::StatusCode::kDeadlineExceeded, "late",
        {.step = "wait", .reason = "deadline_passed", .was_executed = base::executed::unknown}));
    cr_assert(net::testing::run_until(fixture.loop, [&] { return answer->done; }));
    const auto events = answer->events();
    cr_assert_eq(events.size(), 2);
    expect_text(events[1].event, "error");
    const auto problem = nlohmann::json::parse(events[1].data);
    expect_text(problem.value("executed", ""), "unknown");
    cr_expect_eq(problem.value("status", 0), 504);
}

Test(native, attach_with_the_last_event_id) {
    gateway_fixture fixture;
    fixture.router.answer = always(result_reply("done"));
    auto attach = fixture.call("GET", calls + "/2");
    attach.headers.add("Last-Event-ID", "1.17");
    attach.headers.add("Accept", "text/event-stream");
    const auto answer = fixture.ask(attach);
    cr_assert_eq(answer.events().size(), 1, "%s", answer.body.c_str());
    const auto& message = *fixture.router.requests[0]->message.attach;
    cr_expect_eq(message.number.value(), 2);
    cr_expect(message.stream);
    expect_text(message.last_event_id, "1.17");
    expect_text(fixture.ask("GET", calls + "/2").json().value("output", ""), "done");
}

Test(native, history_cancel_and_end) {
    gateway_fixture fixture;
    fixture.router.answer = [](const wire::program_request& request) {
        auto reply = view_reply(request, request.end.has_value() ? "ended" : "open");
        reply.history.emplace();
        reply.history->messages = {{"user", "x", ""}, {"tool", "y", "hold"}};
        return reply;
    };
    const auto history = fixture.ask("GET", program_path + "/history").json();
    expect_text(history.dump(), R"({"messages":[{"content":"x","role":"user"},)"
                                R"({"content":"y","name":"hold","role":"tool"}]})");
    cr_expect_eq(fixture.ask("DELETE", calls + "/5").status, 200);
    cr_expect_eq(fixture.router.requests[1]->message.cancel->number.value(), 5);
    expect_text(fixture.ask("DELETE", program_path).json().value("state", ""), "ended");
}

Test(native, a_caller_that_goes_away_leaves_the_call_running) {
    gateway_fixture fixture;
    fixture.begin(fixture.call("POST", calls, streamed_call));
    const auto routed = fixture.wait_for_route(1);
    routed->callbacks.on_part(part("1.2", "he"));
    fixture.handles.clear();
    cr_expect(net::testing::run_until(fixture.loop, [&] { return routed->cancelled; }));
    cr_expect_eq(fixture.gateway->open_requests(), 0);
    cr_expect_eq(fixture.router.requests.size(), 1, "no cancel and no end was sent");
}

Test(native, a_slow_reader_is_cut_off_and_nobody_else) {
    constexpr std::size_t bound = std::size_t{64} * 1024;
    gateway_fixture fixture(bound);
    net::testing::raw_client slow(fixture.server->local_endpoint(), 4'096);
    slow.send("POST " + calls + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key_of_a +
              "\r\nContent-Length: " + std::to_string(streamed_call.size()) + "\r\n\r\n" +
              streamed_call);
    const auto routed = fixture.wait_for_route(1);
    cr_assert_not_null(routed);
    const std::string block(std::size_t{32} * 1024, 'x');
    constexpr int most_blocks = 4'096;
    int sent = 0;
    const auto feeder = fixture.loop.every(std::chrono::milliseconds(1), [&] {
        if (!routed->cancelled && sent < most_blocks) {
            routed->callbacks.on_part(part("1." + std::to_string(++sent), block));
        }
    });
    cr_expect(net::testing::run_until(fixture.loop, [&] { return routed->cancelled; }));
    cr_expect_lt(sent, most_blocks, "the gateway took %d blocks", sent);
    cr_expect_eq(fixture.ask("GET", "/v1/models").status, 200);
    cr_expect(fixture.metrics.text().find("pearbarrow_gateway_slow_readers_cut_total 1") !=
              std::string::npos);
}

Test(native, metrics_count_answers) {
    gateway_fixture fixture;
    fixture.ask("GET", "/v1/models");
    fixture.ask("GET", "/v1/models", "", "wrong");
    const auto text = fixture.metrics.text();
    for (const auto* line :
         {R"(pearbarrow_gateway_requests_total{resource="models",status="200"} 1)",
          R"(pearbarrow_gateway_requests_total{resource="unknown",status="401"} 1)"}) {
        cr_expect(text.find(line) != std::string::npos, "%s is not in\n%s", line, text.c_str());
    }
}

}  // namespace
