/// The OpenAI convention: what an unmodified client sends and gets.
#include "gateway/gateway_fixture.h"

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;
using namespace pearbarrow::gateway::testing;  // NOLINT

const std::string path = "/v1/chat/completions";
const std::string plain_body =
    R"({"model":"m","messages":[{"role":"developer","content":"be brief"},
        {"role":"user","content":[{"type":"text","text":"he"},{"type":"text","text":"llo"}]}],
        "max_tokens":50,"temperature":0.5,"user":"ignored","tools":[]})";
const std::string stream_body =
    R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true,
        "stream_options":{"include_usage":true}})";

/// Answers as an owner with an empty history would.
absl::StatusOr<wire::program_reply> owner(const wire::program_request& request) {
    if (request.submit.has_value() || request.attach.has_value()) {
        return result_reply("good day", 1);
    }
    return view_reply(request, "open");
}

net::http_call in_program(const gateway_fixture& fixture, const std::string& body) {
    auto call = fixture.call("POST", path, body);
    call.headers.add("X-Program-Id", some_program);
    return call;
}

std::vector<std::string> datas(const http_answer& answer) {
    std::vector<std::string> result;
    for (const auto& event : answer.events()) {
        result.push_back(event.data);
    }
    return result;
}

std::string content_of(const http_answer& answer) {
    std::string content;
    for (const auto& data : datas(answer)) {
        const auto chunk = nlohmann::json::parse(data, nullptr, false);
        if (chunk.is_object() && !chunk.value("choices", nlohmann::json::array()).empty()) {
            content += chunk["choices"][0]["delta"].value("content", "");
        }
    }
    return content;
}

Test(chat, a_client_that_knows_only_the_convention) {
    gateway_fixture fixture;
    fixture.router.answer = owner;
    const auto answer = fixture.ask("POST", path, plain_body);
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
    const auto body = answer.json();
    expect_text(body.value("object", ""), "chat.completion");
    expect_text(body["choices"][0]["message"].value("content", ""), "good day");
    expect_text(body["choices"][0].value("finish_reason", ""), "stop");
    cr_expect_eq(body["usage"].value("total_tokens", 0), 13);
    expect_text(*answer.headers.find("X-Program-Id"), drawn_program);
    fixture.wait_for_route(3);
    const auto& requests = fixture.router.requests;
    cr_assert_eq(requests.size(), 3, "open, submit, end");
    const auto& call = *requests[1]->message.submit->body.model;
    const auto expected =
        std::vector<wire::chat_message>{{"system", "be brief", ""}, {"user", "hello", ""}};
    cr_expect(call.new_messages == expected);
    cr_expect_eq(call.max_output_tokens, 50);
    expect_text(call.parameters_json, R"({"temperature":0.5})");
    cr_expect_geq(requests[0]->message.open->token_budget, 50 + 13 + 16);
    cr_expect(requests[2]->message.end.has_value());
}

Test(chat, streamed_chunks) {
    gateway_fixture fixture;
    const auto answer = fixture.begin(fixture.call("POST", path, stream_body));
    const auto opening = fixture.wait_for_route(1);
    opening->callbacks.on_done(view_reply(opening->message, "open"));
    const auto submitting = fixture.wait_for_route(2);
    cr_expect(submitting->message.submit->stream);
    submitting->callbacks.on_part(part("1.4", "good"));
    submitting->callbacks.on_part(part("1.8", " day"));
    submitting->callbacks.on_done(result_reply("good day"));
    cr_assert(net::testing::run_until(fixture.loop, [&] { return answer->done; }));
    const auto lines = datas(*answer);
    cr_assert_eq(lines.size(), 6, "%s", answer->body.c_str());
    const auto first = nlohmann::json::parse(lines[0]);
    expect_text(first.value("object", ""), "chat.completion.chunk");
    expect_text(first["choices"][0]["delta"].value("role", ""), "assistant");
    cr_expect(first["choices"][0]["finish_reason"].is_null());
    expect_text(content_of(*answer), "good day");
    expect_text(nlohmann::json::parse(lines[3])["choices"][0].value("finish_reason", ""), "stop");
    cr_expect_eq(nlohmann::json::parse(lines[4])["usage"].value("prompt_tokens", 0), 10);
    expect_text(lines[5], "[DONE]");
    cr_expect(fixture.wait_for_route(3)->message.end.has_value());
}

Test(chat, a_restart_that_gives_the_same_text_is_not_seen) {
    gateway_fixture fixture;
    auto call = in_program(fixture, stream_body);
    call.headers.add("X-Program-Messages", "new");
    const auto answer = fixture.begin(call);
    const auto submitting = fixture.wait_for_route(1);
    submitting->callbacks.on_part(part("1.4", "good"));
    submitting->callbacks.on_part(part("2.2", "go", true));
    submitting->callbacks.on_part(part("2.6", "od d"));
    submitting->callbacks.on_done(result_reply("good day"));
    cr_assert(net::testing::run_until(fixture.loop, [&] { return answer->done; }));
    expect_text(content_of(*answer), "good day");
    expect_text(datas(*answer).back(), "[DONE]");
}

Test(chat, a_restart_that_gives_another_text_is_never_completed) {
    gateway_fixture fixture;
    auto call = in_program(fixture, stream_body);
    call.headers.add("X-Program-Messages", "new");
    const auto answer = fixture.begin(call);
    const auto submitting = fixture.wait_for_route(1);
    submitting->callbacks.on_part(part("1.4", "good"));
    submitting->callbacks.on_part(part("2.3", "bad", true));
    cr_assert(net::testing::run_until(fixture.loop, [&] { return answer->done; }));
    const auto last = nlohmann::json::parse(datas(*answer).back());
    expect_text(last["error"].value("code", ""), "answer_changed");
    expect_text(content_of(*answer), "good");
}

Test(chat, a_conversation_that_grows_sends_only_what_is_new) {
    gateway_fixture fixture;
    fixture.router.answer = [](const wire::program_request& request) {
        auto reply = *owner(request);
        reply.history.emplace();
        reply.history->messages = {{"user", "hello", ""}, {"assistant", "good day", ""}};
        return reply;
    };
    const auto answer = fixture.ask(
        in_program(fixture, R"({"model":"m","messages":[{"role":"user","content":"hello"},
            {"role":"assistant","content":"good day"},{"role":"user","content":"and?"}]})"));
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
    cr_assert_eq(fixture.router.requests.size(), 2, "history, submit; the program goes on");
    const auto& submit = *fixture.router.requests[1]->message.submit;
    cr_assert_eq(submit.body.model->new_messages.size(), 1);
    expect_text(submit.body.model->new_messages[0].content, "and?");
    const auto other = fixture.ask(in_program(fixture, R"({"model":"m","messages":[{"role":"user",
            "content":"something else"}]})"));
    cr_expect_eq(other.status, 409);
    expect_text(other.json()["error"].value("code", ""), "history_mismatch");
}

Test(chat, a_repeated_call_reads_the_first_answer) {
    gateway_fixture fixture;
    fixture.router.answer = [](const wire::program_request& request) {
        auto reply = *owner(request);
        reply.history.emplace();
        reply.history->messages = {{"user", "hello", ""}, {"assistant", "good day", ""}};
        return reply;
    };
    auto call = in_program(fixture, R"({"model":"m","messages":[{"role":"user",
        "content":"hello"}]})");
    cr_expect_eq(fixture.ask(call).status, 409, "without a number nobody can tell which call");
    call.headers.add("X-Call-Number", "1");
    const auto answer = fixture.ask(call);
    cr_expect_eq(answer.status, 200, "%s", answer.body.c_str());
    cr_expect_eq(fixture.router.requests.back()->message.attach->number.value(), 1);
}

Test(chat, the_client_of_a_one_call_program_goes_away) {
    gateway_fixture fixture;
    fixture.begin(fixture.call("POST", path, stream_body));
    const auto opening = fixture.wait_for_route(1);
    opening->callbacks.on_done(view_reply(opening->message, "open"));
    const auto submitting = fixture.wait_for_route(2);
    submitting->callbacks.on_part(part("1.4", "good"));
    fixture.handles.clear();
    const auto ending = fixture.wait_for_route(3);
    cr_assert_not_null(ending, "the program must be ended");
    cr_expect(ending->message.end.has_value());
    cr_expect(submitting->cancelled);
    cr_expect_not(ending->cancelled, "the end outlives the caller");
    ending->callbacks.on_done(view_reply(ending->message, "ended"));
    cr_expect(ending->cancelled, "nothing is kept after the answer");
}

Test(chat, with_an_idempotency_key_the_answer_is_kept) {
    gateway_fixture fixture;
    fixture.router.answer = owner;
    auto call = fixture.call("POST", path, plain_body);
    call.headers.add("Idempotency-Key", "k");
    const auto first = fixture.ask(call);
    const auto second = fixture.ask(call);
    expect_text(*first.headers.find("X-Program-Id"), *second.headers.find("X-Program-Id"));
    cr_expect_eq(fixture.router.requests.size(), 4, "open, submit, twice: no end");
    expect_text(fixture.router.requests[3]->message.submit->idempotency_key, "k");
}

Test(chat, models) {
    gateway_fixture fixture;
    const auto body = fixture.ask("GET", "/v1/models").json();
    expect_text(body.value("object", ""), "list");
    cr_assert_eq(body["data"].size(), 2);
    expect_text(body["data"][0].value("id", ""), "large");
}

}  // namespace
