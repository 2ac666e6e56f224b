// Tests of budgets, sub-programs, limits and cache release.
#include "owner_harness.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::program;

namespace {

wire::program_request open_child_of(const base::program_id& parent, const base::program_id& child,
                                    std::uint64_t tokens) {
    wire::program_request request{.tenant = tenant(), .program = child};
    request.open = wire::open_program_request{
        .token_budget = tokens, .parent = wire::parent_reference{parent, base::call_number(1)}};
    return request;
}

wire::program_request return_of(const base::program_id& child, std::uint64_t tokens) {
    wire::program_request request{.tenant = tenant(), .program = program::program()};
    request.return_budget = wire::return_budget_request{child, tokens};
    return request;
}

/// Submits five calls whose reservations together exceed the budget. Returns the spent tokens.
std::uint64_t spent_tokens_after_five_calls(owner_options options) {
    owner_harness harness(options);
    harness.open(300);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        harness.submit(number, model_body("hello", 100));
        const auto starts = harness.all<action::start_model_attempt>();
        if (starts.size() == number) {
            harness.generate(starts.back().attempt, std::string(100, 'x'), 20);
        }
    }
    return harness.view().spent_tokens;
}

/// Delivers the latest request to another owner to the same owner, and delivers its reply.
void exchange(owner_harness& harness) {
    const auto send = harness.last<action::send_to_owner>();
    const reply_token token = harness.request(send.request);
    harness.apply(event::owner_answered{send.exchange, harness.reply_of(token)});
}

}  // namespace

Test(budget, is_reserved_before_a_call_and_settled_after_it) {
    owner_harness harness;
    harness.open(1'000);
    harness.submit(1, model_body("hello", 100));
    const std::uint64_t reserved = harness.view().reserved_tokens;
    cr_assert(reserved == 100 + 4 + 4 + 2, "%lu", reserved);
    harness.generate(harness.last<action::start_model_attempt>().attempt, "ok", 10);
    cr_assert(harness.view().reserved_tokens == 0);
    cr_assert(harness.view().spent_tokens == 12);
    cr_assert(harness.view().remaining_budget == 988);
}

Test(budget, is_never_exceeded) {
    cr_assert(spent_tokens_after_five_calls({}) <= 300);
    owner_options broken;
    broken.disabled.budget_reservation = true;
    cr_assert(spent_tokens_after_five_calls(broken) > 300);
}

Test(budget, attempt_with_unknown_outcome_keeps_its_reservation) {
    owner_harness harness;
    harness.open(1'000);
    harness.submit(1, tool_body(false, 400));
    harness.take_over();
    harness.apply(event::tool_status{
        harness.last<action::query_tool_attempt>().attempt, event::tool_state::cannot_tell, {}});
    cr_assert(harness.view().remaining_budget == 600);
    const reply_token refused = harness.submit(2, tool_body(false, 700));
    cr_assert(harness.error_of(refused).reason == "budget_exhausted");
}

Test(budget, child_returns_unspent_tokens_only_once) {
    owner_harness harness;
    harness.open(1'000);
    const auto child = program::program("child");
    const reply_token opened = harness.request(open_child_of(program::program(), child, 400));
    cr_assert(harness.view().remaining_budget == 600);
    cr_assert(!harness.has_reply(opened));
    exchange(harness);
    cr_assert(harness.reply_of(opened).program->token_budget == 400);
    harness.submit(1, tool_body(false, 100), child);
    harness.apply(event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "x"});
    harness.end(child);
    exchange(harness);
    cr_assert(harness.view().remaining_budget == 900);
    harness.request(return_of(child, 300));
    cr_assert(harness.view().remaining_budget == 900);
}

Test(budget, child_that_returned_its_budget_is_not_opened_again) {
    owner_harness harness;
    harness.open(1'000);
    const auto child = program::program("child");
    harness.request(open_child_of(program::program(), child, 400));
    exchange(harness);
    harness.end(child);
    exchange(harness);
    cr_assert(harness.view().remaining_budget == 1'000);
    harness.pass(base::seconds(61));
    cr_assert(harness.owner().program_count() == 1, "the child is forgotten");
    const std::size_t sent = harness.all<action::send_to_owner>().size();
    const reply_token again = harness.request(open_child_of(program::program(), child, 400));
    cr_assert(harness.error_of(again).reason == "program_ended");
    cr_assert(harness.all<action::send_to_owner>().size() == sent);
}

Test(budget, repeated_return_adds_tokens_without_its_check) {
    owner_options broken;
    broken.disabled.transfer_once = true;
    owner_harness harness(broken);
    harness.open(1'000);
    harness.request(open_child_of(program::program(), program::program("c1"), 400));
    harness.request(open_child_of(program::program(), program::program("c2"), 400));
    harness.request(return_of(program::program("c1"), 300));
    harness.request(return_of(program::program("c1"), 300));
    cr_assert(harness.view().remaining_budget > 1'000 - 800 + 300);
}

Test(budget, transfer_survives_a_take_over) {
    owner_harness harness;
    harness.open(1'000);
    harness.request(open_child_of(program::program(), program::program("child"), 400));
    harness.take_over();
    cr_assert(harness.view().remaining_budget == 600);
    exchange(harness);
    cr_assert(harness.view(program::program("child")).token_budget == 400);
    const reply_token again =
        harness.request(open_child_of(program::program(), program::program("child"), 400));
    exchange(harness);
    cr_assert(harness.has_reply(again));
    cr_assert(harness.view().remaining_budget == 600);
}

Test(budget, child_with_more_than_the_remaining_budget_is_refused) {
    owner_harness harness;
    harness.open(100);
    const reply_token refused =
        harness.request(open_child_of(program::program(), program::program("c"), 101));
    cr_assert(harness.error_of(refused).reason == "budget_exhausted");
    cr_assert(harness.all<action::send_to_owner>().empty());
}

Test(memory, release_of_an_ended_program_is_repeated_until_confirmed) {
    const auto releases = [](owner_options options) {
        owner_harness harness(options);
        harness.open();
        harness.submit(1, model_body("a"));
        harness.generate(harness.last<action::start_model_attempt>().attempt, "b");
        harness.end();
        harness.pass(base::seconds(2));
        return harness.all<action::release_cache>().size();
    };
    cr_assert(releases({}) > 2);
    owner_options broken;
    broken.disabled.release_retry = true;
    cr_assert(releases(broken) == 1);
}

Test(memory, new_owner_continues_the_release_and_then_forgets_the_program) {
    owner_harness harness;
    harness.open();
    const reply_token call = harness.submit(1, model_body("a"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "b");
    const reply_token ended = harness.end();
    cr_assert(harness.reply_of(ended).program->state == "ended");
    harness.take_over();
    cr_assert(harness.last<action::release_cache>().backend == engine_one);
    harness.apply(event::cache_released{program::program(), engine_one});
    cr_assert(harness.view().cache_released);
    const reply_token late = harness.submit(1, model_body("a"));
    cr_assert(harness.reply_of(late).call->output == harness.reply_of(call).call->output);
    harness.pass(base::seconds(61));
    cr_assert(harness.owner().program_count() == 0);
    cr_assert(harness.last<action::drop_retained>().key_prefix == "p1/");
}

Test(limits, each_limit_has_its_own_reason) {
    owner_harness harness;
    harness.open(10'000, program::program(), {.turns = 3, .equal_calls = 2});
    for (std::uint64_t number = 1; number <= 2; ++number) {
        harness.submit(number, tool_body());
        harness.apply(event::tool_finished{harness.last<action::start_tool_attempt>().attempt, ""});
    }
    cr_assert(harness.error_of(harness.submit(3, tool_body())).reason == "loop_detected");
    harness.submit(3, model_body("x"));
    harness.generate(harness.last<action::start_model_attempt>().attempt, "y");
    cr_assert(harness.error_of(harness.submit(4, model_body("z"))).reason == "turn_limit");
}

Test(limits, idle_and_long_running_programs_are_ended) {
    owner_harness harness;
    harness.open(10'000, program::program("idle"), {.idle_ms = 1'000});
    harness.open(10'000, program::program("long"), {.idle_ms = 60'000, .run_time_ms = 3'000});
    harness.submit(1, tool_body(), program::program("long"));
    harness.pass(base::seconds(2));
    cr_assert(harness.view(program::program("idle")).end_reason == "idle_limit");
    cr_assert(harness.view(program::program("long")).state == "open");
    harness.pass(base::seconds(2));
    cr_assert(harness.view(program::program("long")).end_reason == "run_time_limit");
}

Test(limits, tenant_concurrency_limit_refuses_programs_and_calls) {
    owner_harness harness;
    harness.apply(event::concurrency_limits_changed{
        {{.tenant = tenant(), .program_class = {}, .programs = 1, .running_calls = 1}}});
    harness.open();
    const reply_token second = harness.open(1'000, program::program("p2"));
    cr_assert(harness.error_of(second).reason == "tenant_concurrency");
    cr_assert(harness.error_of(second).retry_after.has_value());
    harness.submit(1, tool_body());
    cr_assert(harness.error_of(harness.submit(2, tool_body())).reason == "tenant_concurrency");
    harness.end();
    cr_assert(harness.has_reply(harness.open(1'000, program::program("p2"))));
}
