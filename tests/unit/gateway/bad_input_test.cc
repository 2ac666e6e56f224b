/// Every kind of bad input at the callers' listener: a clear problem, and nothing reaches an owner.
#include "gateway/gateway_fixture.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::gateway::testing;  // NOLINT

const std::string calls = "/v1/programs/" + some_program + "/calls";

/// Asserts a refusal that says all that a problem must say and that nothing was routed.
void expect_refused(gateway_fixture& fixture, const http_answer& answer, int status,
                    std::string_view reason) {
    const auto body = answer.json();
    cr_assert(body.is_object(), "no JSON: %s", answer.body.c_str());
    cr_expect_eq(answer.status, status, "%d: %s", answer.status, answer.body.c_str());
    expect_text(body.value("reason", ""), std::string(reason));
    expect_text(body.value("executed", ""), "no");
    expect_text(*answer.headers.find("Content-Type"), "application/problem+json");
    for (const auto* member : {"type", "title", "status", "detail", "step", "peer"}) {
        cr_expect(body.contains(member), "%s is missing in %s", member, answer.body.c_str());
    }
    cr_expect(fixture.router.requests.empty(), "a refused request was routed");
    fixture.router.requests.clear();
}

Test(bad_input, keys) {
    gateway_fixture fixture;
    cr_assert(fixture.started.ok(), "%s", fixture.started.ToString().c_str());
    const auto none = fixture.ask("POST", "/v1/programs", "{}", "");
    expect_refused(fixture, none, 401, "unknown_api_key");
    expect_text(*none.headers.find("WWW-Authenticate"), "Bearer");
    expect_refused(fixture, fixture.ask("POST", "/v1/programs", "{}", "wrong"), 401,
                   "unknown_api_key");
    expect_refused(fixture, fixture.ask("GET", "/v1/models", "", "wrong"), 401, "unknown_api_key");
    expect_refused(fixture, fixture.ask("GET", "/nowhere", "", "wrong"), 401, "unknown_api_key");
}

Test(bad_input, json_bodies) {
    gateway_fixture fixture;
    for (const auto& target :
         {std::string("/v1/programs"), calls, "/v1/programs/" + some_program + "/programs",
          std::string("/v1/chat/completions")}) {
        expect_refused(fixture, fixture.ask("POST", target, "{\"a\":"), 400, "malformed_json");
        expect_refused(fixture, fixture.ask("POST", target, ""), 400, "malformed_json");
        expect_refused(fixture, fixture.ask("POST", target, "[]"), 400, "malformed_json");
        expect_refused(fixture, fixture.ask("POST", target, "{\"a\":1,\"a\":1}"), 400,
                       "repeated_key");
        expect_refused(fixture, fixture.ask("POST", target, std::string(5'000, '[')), 400,
                       "json_too_deep");
        expect_refused(fixture, fixture.ask("POST", target, "{}"), 400, "invalid_field");
    }
}

Test(bad_input, unknown_and_wrong_fields_are_named) {
    gateway_fixture fixture;
    const std::pair<std::string, std::string> bodies[] = {
        {R"({"model":"m","messages":[{"role":"user","content":"x"}],"colour":1})", "colour"},
        {R"({"model":"m","messages":[{"role":"user","content":"x","mood":1}]})",
         "messages[0].mood"},
        {R"({"model":"m","messages":[{"role":"boss","content":"x"}]})", "messages[0].role"},
        {R"({"model":"m","messages":[]})", "messages"},
        {R"({"model":"m","messages":[5]})", "messages[0]"},
        {R"({"model":"m"})", "messages"},
        {R"({"model":"m","tool":"t","messages":[]})", "model"},
        {R"({"tool":"t","arguments":[]})", "arguments"},
        {R"({"tool":"t","messages":[]})", "messages"},
        {R"({"tool":"t","repeatable":"yes"})", "repeatable"},
        {R"({"tool":"t","number":0})", "number"},
        {R"({"tool":"t","number":-1})", "number"},
        {R"({"tool":"t","number":1.5})", "number"},
        {R"({"tool":"t","deadline_ms":99999999999999})", "deadline_ms"},
        {R"({"tool":"t","stream":1})", "stream"},
    };
    for (const auto& [body, field] : bodies) {
        const auto answer = fixture.ask("POST", calls, body);
        expect_refused(fixture, answer, 400, "invalid_field");
        cr_expect(answer.json()["detail"].get<std::string>().find(field) != std::string::npos,
                  "%s is not named: %s", field.c_str(), answer.body.c_str());
    }
}

Test(bad_input, paths_and_methods) {
    gateway_fixture fixture;
    for (const auto* target : {"/", "/v1", "/v2/programs", "/v1/programs/", "/v1/chat"}) {
        const auto answer = fixture.ask("GET", target);
        cr_expect_eq(answer.status, 404, "%s: %d", target, answer.status);
        cr_expect(fixture.router.requests.empty());
    }
    const auto program = "/v1/programs/" + some_program;
    expect_refused(fixture, fixture.ask("GET", program + "/nothing"), 404, "no_such_resource");
    expect_refused(fixture, fixture.ask("GET", "/v1/programs/../x"), 404, "program_not_found");
    expect_refused(fixture, fixture.ask("GET", "/v1/programs/" + std::string(32, 'A')), 404,
                   "program_not_found");
    for (const auto* number : {"0", "-1", "x", "1x", "99999999999999999999", ""}) {
        expect_refused(fixture, fixture.ask("GET", calls + "/" + number), 404, "call_not_found");
    }
    const auto put = fixture.ask("PUT", program);
    expect_refused(fixture, put, 405, "method_not_allowed");
    expect_text(*put.headers.find("Allow"), "GET, DELETE");
    expect_refused(fixture, fixture.ask("GET", calls), 405, "method_not_allowed");
    expect_refused(fixture, fixture.ask("GET", "/v1/chat/completions"), 405, "method_not_allowed");
}

Test(bad_input, headers) {
    gateway_fixture fixture;
    const std::string body = R"({"tool":"t"})";
    auto long_key = fixture.call("POST", calls, body);
    long_key.headers.add("Idempotency-Key", std::string(256, 'k'));
    expect_refused(fixture, fixture.ask(long_key), 400, "invalid_header");
    for (const auto* id : {"x", "1", "1.", ".1", "1.2.3", "-1.2"}) {
        auto attach = fixture.call("GET", calls + "/1");
        attach.headers.add("Last-Event-ID", id);
        expect_refused(fixture, fixture.ask(attach), 400, "invalid_header");
    }
    auto media_type = fixture.call("POST", calls, body);
    media_type.headers.add("Content-Type", "text/plain");
    expect_refused(fixture, fixture.ask(media_type), 415, "unsupported_media_type");
}

Test(bad_input, too_large_a_body_reaches_nobody) {
    gateway_fixture fixture;
    const auto answer = fixture.ask("POST", calls, std::string(100'000, ' '));
    cr_expect_eq(answer.status, 413, "%d", answer.status);
    cr_expect(fixture.router.requests.empty());
}

Test(bad_input, malformed_http_reaches_nobody_and_touches_nobody) {
    gateway_fixture fixture;
    net::testing::raw_client raw(fixture.server->local_endpoint());
    raw.send("GARBAGE\r\n\r\n");
    cr_expect(net::testing::run_until(fixture.loop, [&] { return raw.has("400"); }));
    cr_expect(fixture.router.requests.empty());
    cr_expect_eq(fixture.ask("GET", "/v1/models").status, 200);
}

Test(bad_input, chat_fields_that_can_not_be_given) {
    gateway_fixture fixture;
    const std::pair<std::string, std::string> bodies[] = {
        {R"({"model":"m","messages":[{"role":"user","content":"x"}],"n":2})", "n"},
        {R"({"model":"m","messages":[{"role":"user","content":"x"}],"tools":[{"type":"function"}]})",
         "tools"},
        {R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
         "messages[0].content[0].type"},
        {R"({"model":"m","messages":[{"role":"king","content":"x"}]})", "messages[0].role"},
        {R"({"model":"m","messages":[{"role":"user"}]})", "messages[0].content"},
        {R"({"messages":[{"role":"user","content":"x"}]})", "model"},
    };
    for (const auto& [body, field] : bodies) {
        const auto answer = fixture.ask("POST", "/v1/chat/completions", body);
        expect_refused(fixture, answer, 400, "invalid_field");
        cr_expect(
            answer.json()["error"]["message"].get<std::string>().find(field) != std::string::npos,
            "%s is not named: %s", field.c_str(), answer.body.c_str());
    }
    auto long_name = fixture.call("POST", "/v1/chat/completions",
                                  R"({"model":"m","messages":[{"role":"user","content":"x"}]})");
    long_name.headers.add("X-Program-Class", std::string(300, 'c'));
    expect_refused(fixture, fixture.ask(long_name), 400, "invalid_field");
    auto header = fixture.call("POST", "/v1/chat/completions",
                               R"({"model":"m","messages":[{"role":"user","content":"x"}]})");
    header.headers.add("X-Call-Number", "zero");
    expect_refused(fixture, fixture.ask(header), 400, "invalid_field");
}

Test(bad_input, another_tenant_sees_what_a_stranger_sees) {
    gateway_fixture fixture;
    fixture.router.answer =
        [](const wire::program_request& request) -> absl::StatusOr<wire::program_reply> {
        if (request.tenant != base::tenant_id("a") || request.program.value() != some_program) {
            return not_found();
        }
        return view_reply(request, "open");
    };
    const auto program = "/v1/programs/" + some_program;
    const auto missing = "/v1/programs/" + std::string(32, 'e');
    cr_expect_eq(fixture.ask("GET", program).status, 200);
    const auto other = fixture.ask("GET", program, "", key_of_b);
    const auto nobody = fixture.ask("GET", missing, "", key_of_b);
    cr_expect_eq(other.status, 404);
    expect_text(other.body, nobody.body);
    cr_expect_eq(fixture.ask("DELETE", program, "", key_of_b).status, 404);
    cr_expect_eq(fixture.ask("GET", program + "/history", "", key_of_b).status, 404);
    cr_expect_eq(fixture.ask("POST", calls, R"({"tool":"t"})", key_of_b).status, 404);
    for (const auto& routed : fixture.router.requests) {
        cr_expect(routed->message.tenant.value() == "a" || routed->message.tenant.value() == "b");
    }
}

Test(bad_input, gaps_are_the_owners_to_refuse) {
    gateway_fixture fixture;
    fixture.router.answer =
        [](const wire::program_request& request) -> absl::StatusOr<wire::program_reply> {
        return base::make_error(absl::StatusCode::kFailedPrecondition, "call 6 never came",
                                {.step = "order", .peer = "n2", .reason = "call_number_gap"});
    };
    const auto answer = fixture.ask("POST", calls, R"({"tool":"t","number":7})");
    cr_expect_eq(answer.status, 409);
    expect_text(answer.json().value("reason", ""), "call_number_gap");
    expect_text(answer.json().value("peer", ""), "n2");
    cr_expect_eq(fixture.router.requests[0]->message.submit->number.value(), 7);
}

Test(bad_input, a_node_that_can_not_serve_says_when_to_come_back) {
    gateway_fixture fixture;
    fixture.stopping = true;
    const auto stopping = fixture.ask("GET", "/v1/models");
    expect_refused(fixture, stopping, 503, "node_stopping");
    expect_text(*stopping.headers.find("Retry-After"), "1");
    fixture.stopping = false;
    fixture.directory.is_ready = false;
    expect_refused(fixture, fixture.ask("GET", "/v1/models"), 503, "configuration_not_ready");
    fixture.directory.is_ready = true;
    std::vector<std::shared_ptr<http_answer>> waiting;
    for (int index = 0; index < 8; ++index) {
        waiting.push_back(fixture.begin(fixture.call("POST", calls, R"({"tool":"t"})")));
    }
    fixture.wait_for_route(8);
    const auto refused = fixture.ask("POST", calls, R"({"tool":"t"})");
    cr_expect_eq(refused.status, 503);
    expect_text(refused.json().value("reason", ""), "gateway_overloaded");
    cr_expect_eq(fixture.router.requests.size(), 8);
}

}  // namespace
