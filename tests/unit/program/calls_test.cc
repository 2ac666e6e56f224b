// Tests of call order, repeated calls, streams, re-attach and histories.
#include "owner_harness.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::program;

namespace {

wire::program_request history_request(const base::tenant_id& requester) {
    wire::program_request request{.tenant = requester, .program = program::program()};
    request.history = wire::get_history_request{};
    return request;
}

/// Returns the call numbers in the order in which the attempts were started.
std::vector<std::uint64_t> started_calls(const owner_harness& harness) {
    std::vector<std::uint64_t> numbers;
    for (const auto& start : harness.all<action::start_model_attempt>()) {
        numbers.push_back(start.call.value());
    }
    return numbers;
}

std::vector<std::uint64_t> submit_in_reverse_order(owner_options options) {
    owner_harness harness(options);
    harness.open();
    harness.submit(2, model_body("second"));
    harness.submit(1, model_body("first"));
    std::size_t finished = 0;
    while (finished < harness.all<action::start_model_attempt>().size()) {
        harness.generate(harness.all<action::start_model_attempt>()[finished].attempt, "x");
        ++finished;
    }
    return started_calls(harness);
}

}  // namespace

Test(calls, prompt_contains_all_earlier_turns) {
    owner_harness harness;
    const reply_token opened = harness.open();
    cr_assert(harness.reply_of(opened).program->state == "open");
    const reply_token first = harness.submit(1, model_body("hello"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "hi");
    cr_assert(harness.reply_of(first).call->output == "hi");
    cr_assert(harness.streamed(first) == "hi");
    cr_assert(harness.reply_of(first).call->decision_record == "decision");
    const reply_token second = harness.submit(2, tool_body());
    harness.apply(event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "42"});
    cr_assert(harness.reply_of(second).call->output == "42");
    harness.submit(3, model_body("and now?"));
    const auto prompt = harness.last<action::start_model_attempt>().messages;
    cr_assert(prompt.size() == 4);
    cr_assert(prompt[0].content == "hello" && prompt[1].content == "hi");
    cr_assert(prompt[2].role == "tool" && prompt[2].content == "42");
    cr_assert(prompt[3].content == "and now?");
}

Test(calls, run_in_the_order_of_their_numbers) {
    cr_assert(submit_in_reverse_order({}) == (std::vector<std::uint64_t>{1, 2}));
    owner_options broken;
    broken.disabled.call_order = true;
    cr_assert(submit_in_reverse_order(broken) == (std::vector<std::uint64_t>{2, 1}));
}

Test(calls, call_after_a_missing_number_fails_after_the_gap_wait) {
    owner_harness harness;
    harness.open();
    const reply_token early = harness.submit(3, model_body("third"));
    cr_assert(!harness.has_reply(early));
    harness.pass(base::seconds(6));
    cr_assert(harness.error_of(early).reason == "call_number_gap");
    cr_assert(harness.error_of(early).retry_after.has_value());
    cr_assert(harness.view().next_call == base::call_number(1));
}

Test(calls, repeated_number_attaches_and_different_body_conflicts) {
    owner_harness harness;
    harness.open();
    const reply_token first = harness.submit(1, model_body("a"));
    const reply_token repeat = harness.submit(1, model_body("a"));
    const reply_token other = harness.submit(1, model_body("b"));
    cr_assert(harness.error_of(other).reason == "call_conflict");
    harness.generate(harness.last<action::start_model_attempt>().attempt, "answer");
    const reply_token late = harness.submit(1, model_body("a"));
    for (const reply_token token : {first, repeat, late}) {
        cr_assert(harness.reply_of(token).call->output == "answer");
    }
    cr_assert(harness.all<action::start_model_attempt>().size() == 1);
}

Test(calls, repeated_idempotency_key_attaches_to_the_same_call) {
    owner_harness harness;
    harness.open();
    wire::program_request request{.tenant = tenant(), .program = program::program()};
    request.submit = wire::submit_call_request{.body = model_body("a"), .idempotency_key = "key"};
    const reply_token first = harness.request(request);
    const reply_token repeat = harness.request(request);
    harness.generate(harness.last<action::start_model_attempt>().attempt, "answer");
    cr_assert(harness.reply_of(first).call->number == base::call_number(1));
    cr_assert(harness.reply_of(repeat).call->number == base::call_number(1));
    request.submit->body = model_body("b");
    cr_assert(harness.error_of(harness.request(request)).reason == "call_conflict");
}

Test(calls, program_is_not_found_by_another_tenant) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("secret"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "answer");
    const reply_token probe = harness.request(history_request(tenant("rival")));
    cr_assert(harness.error_of(probe).reason == "program_not_found");

    owner_options broken;
    broken.disabled.tenant_check = true;
    owner_harness leaking(broken);
    leaking.open();
    const reply_token leak = leaking.request(history_request(tenant("rival")));
    cr_assert(leaking.error_of(leak).reason.empty(), "the probe must notice a missing check");
}

Test(calls, operator_can_read_only_decision_records) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("secret"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "answer");
    wire::program_request request{.tenant = {}, .program = program::program()};
    request.operator_explain = wire::operator_explain_request{base::call_number(1)};
    const auto reply = harness.reply_of(harness.request(request));
    cr_assert(reply.explain->decision_records == std::vector<std::string>{"decision"});
    cr_assert(reply.explain->state == "done" && !reply.history && !reply.call && !reply.program);

    request.tenant = tenant();
    cr_assert(harness.error_of(harness.request(request)).reason == "not_an_operator");
    request.tenant = {};
    request.history = wire::get_history_request{};
    cr_assert(harness.error_of(harness.request(request)).reason == "not_an_operator",
              "an operator's access must carry nothing else");
    request.history.reset();
    request.program = program::program("unknown");
    cr_assert(harness.error_of(harness.request(request)).reason == "program_not_found");
}

Test(calls, empty_tenant_gives_no_operator_access) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("secret"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "answer");
    cr_assert(harness.error_of(harness.request(history_request({}))).reason == "program_not_found");
    wire::program_request request{.tenant = {}, .program = program::program()};
    request.explain = wire::explain_call_request{base::call_number(1)};
    cr_assert(harness.error_of(harness.request(request)).reason == "program_not_found");
}

Test(calls, histories_stay_separate_after_take_over_and_eviction) {
    owner_options options;
    options.history_cache_bytes = 1;
    owner_harness harness(options);
    for (const std::string name : {"a", "b"}) {
        harness.open(10'000, program::program(name));
        harness.submit(1, model_body("I am " + name), program::program(name));
        harness.generate(harness.last<action::start_model_attempt>().attempt, "hello " + name);
    }
    harness.submit(2, model_body("again"), program::program("a"));
    auto prompt = harness.last<action::start_model_attempt>().messages;
    cr_assert(prompt.size() == 3 && prompt[0].content == "I am a" &&
              prompt[1].content == "hello a");
    harness.take_over();
    harness.submit(2, model_body("again"), program::program("b"));
    prompt = harness.last<action::start_model_attempt>().messages;
    cr_assert(prompt.size() == 3 && prompt[0].content == "I am b" &&
              prompt[1].content == "hello b");
}

Test(calls, reattached_reader_gets_only_the_missing_text) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("a"));
    const auto attempt = harness.last<action::start_model_attempt>().attempt;
    harness.part(attempt, 3, "abc");
    const std::string seen = harness.last<action::reply_part>().part.event_id;
    harness.part(attempt, 5, "de");
    const reply_token again = harness.submit(1, model_body("a"), program::program(), seen);
    cr_assert(harness.streamed(again) == "de");
    harness.generate(attempt, "fghij", 20);
    const reply_token late = harness.submit(1, model_body("a"), program::program(), seen);
    cr_assert(harness.streamed(late) == harness.reply_of(late).call->output.substr(3));
}

Test(calls, repeated_parts_are_delivered_once) {
    const auto text_of = [](owner_options options) {
        owner_harness harness(options);
        harness.open();
        const reply_token reader = harness.submit(1, model_body("a"));
        const auto attempt = harness.last<action::start_model_attempt>().attempt;
        harness.part(attempt, 3, "abc");
        harness.part(attempt, 3, "abc");
        harness.part(attempt, 4, "d");
        return harness.streamed(reader);
    };
    cr_assert(text_of({}) == "abcd");
    owner_options broken;
    broken.disabled.event_id_check = true;
    cr_assert(text_of(broken) == "abcabcd");
}

Test(calls, new_owner_resumes_the_stream_of_the_same_attempt) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("a"));
    const auto attempt = harness.last<action::start_model_attempt>().attempt;
    harness.part(attempt, 3, "abc");
    const std::string seen = harness.last<action::reply_part>().part.event_id;
    harness.take_over();
    const auto resume = harness.last<action::resume_model_attempt>();
    cr_assert(resume.attempt == attempt && resume.from_index == 1);
    const reply_token again = harness.submit(1, model_body("a"), program::program(), seen);
    harness.part(attempt, 2, "ab");
    cr_assert(harness.streamed(again).empty());
    harness.part(attempt, 5, "cde");
    harness.apply(event::model_finished{attempt, {20, 0, 5}, "stop"});
    cr_assert(harness.streamed(again) == "de");
    cr_assert(harness.reply_of(again).call->output == "abcde");
    cr_assert(harness.all<action::start_model_attempt>().empty());
}

Test(calls, new_attempt_restarts_the_streamed_text) {
    owner_harness harness;
    harness.open();
    const reply_token reader = harness.submit(1, model_body("a"));
    const auto first = harness.last<action::start_model_attempt>().attempt;
    harness.part(first, 3, "abc");
    harness.apply(event::model_failed{
        first, base::make_error(absl::StatusCode::kUnavailable, "x", {.reason = "stream_unknown"}),
        std::nullopt});
    cr_assert(harness.last<action::cancel_model_attempt>().attempt == first);
    harness.apply(event::model_failed{first, absl::UnavailableError("unknown"), std::nullopt});
    harness.pass(base::seconds(1));
    const auto second = harness.last<action::start_model_attempt>().attempt;
    cr_assert(second != first);
    harness.part(first, 9, "late");
    harness.generate(second, "whole");
    cr_assert(harness.streamed(reader) == "whole");
    cr_assert(harness.reply_of(reader).call->output == "whole");
    cr_assert(harness.view().reserved_tokens > 0, "the lost attempt's cost stays in doubt");
}

Test(calls, unreachable_engine_is_retried_after_a_take_over) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("a"));
    const auto attempt = harness.last<action::start_model_attempt>().attempt;
    harness.take_over();
    harness.apply(event::model_failed{attempt,
                                      base::make_error(absl::StatusCode::kUnavailable, "refused",
                                                       {.reason = "engine_unreachable"}),
                                      std::nullopt});
    cr_assert(harness.all<action::cancel_model_attempt>().empty());
    harness.pass(base::seconds(1));
    cr_assert(harness.all<action::resume_model_attempt>().size() == 2);
    const reply_token reader = harness.submit(1, model_body("a"));
    harness.generate(attempt, "whole");
    cr_assert(harness.reply_of(reader).call->output == "whole");
}
