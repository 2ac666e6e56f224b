// The checker must catch a seeded wrong history for each invariant, and pass the right one.
#include "pearbarrow/bench/checker.h"

#include "pearbarrow/emulator/answer_text.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::bench;

namespace {

const base::program_id program("0123456789abcdef0123456789abcdef");
const base::backend_id engine("engine-1");
const base::backend_id tool("tools-1");
constexpr std::uint64_t conversation = 77;

std::string answer_of(const std::string& attempt) {
    return emulator::answer_text(conversation, base::attempt_id(attempt)).tokens(1, 12);
}

back_end_run engine_run(std::uint64_t call, std::int64_t at) {
    return {.backend = engine,
            .is_engine = true,
            .attempt = base::attempt_id("a" + std::to_string(call)),
            .program = program,
            .call = base::call_number(call),
            .started_at = at,
            .ended_at = at + 10,
            .metered_tokens = 40,
            .conversation = conversation,
            .outcome = "finished"};
}

back_end_run tool_run(std::uint64_t call, std::int64_t at) {
    return {.backend = tool,
            .attempt = base::attempt_id("t" + std::to_string(call)),
            .program = program,
            .call = base::call_number(call),
            .started_at = at,
            .ended_at = at + 10,
            .outcome = "finished"};
}

call_answered answered(std::uint64_t call, const std::string& output) {
    return {.program = program,
            .call = base::call_number(call),
            .at = 100,
            .output = output,
            .streamed = output};
}

/// A model call, then a tool call that must not run twice, all as it should be.
history right_history() {
    history run;
    run.opened.push_back({base::tenant_id("cellar"), program, 100, 1});
    run.sent.push_back({program, base::call_number(1), 2, true, true, conversation});
    run.sent.push_back({program, base::call_number(2), 20, false, false, 0});
    run.runs.push_back(engine_run(1, 5));
    run.runs.push_back(tool_run(2, 25));
    run.answered.push_back(answered(1, answer_of("a1")));
    run.answered.push_back(answered(2, "{\"held\":true}"));
    run.ended.push_back({program, 200});
    run.versions.push_back({base::node_id("n1"), base::config_version(3), 10});
    run.versions.push_back({base::node_id("n1"), base::config_version(4), 20});
    run.changes.push_back({base::config_version(4), 15});
    return run;
}

void expect_caught(const history& run, invariant which, check_options options = {}) {
    const check_report report = check_history(run, options);
    cr_assert(report.violations_of(which) > 0, "not caught");
    cr_assert(report.violations.size() == report.violations_of(which), "something else was found");
}

}  // namespace

Test(checker, a_right_history_passes) {
    const check_report report = check_history(right_history(), {.planned_stops_only = true});
    cr_assert(report.violations.empty());
    cr_assert(report.operations_of(invariant::program_order) == 2);
    cr_assert(report.operations_of(invariant::at_most_once) == 1);
}

Test(checker, catches_a_call_that_overtook_an_earlier_one) {
    history run = right_history();
    run.runs[1].started_at = 3;
    expect_caught(run, invariant::program_order);
}

Test(checker, catches_a_history_that_the_caller_does_not_know) {
    history run = right_history();
    run.runs[0].conversation = conversation + 1;
    expect_caught(run, invariant::history_kept);
}

Test(checker, catches_a_history_shown_to_another_tenant) {
    history run = right_history();
    run.foreign_reads.push_back({program, base::tenant_id("rival"), 50, 404});
    cr_assert(check_history(run).violations.empty());
    run.foreign_reads.push_back({program, base::tenant_id("rival"), 60, 200});
    expect_caught(run, invariant::history_kept);
}

Test(checker, catches_a_passed_budget) {
    history run = right_history();
    run.opened[0].token_budget = 39;
    expect_caught(run, invariant::budget_kept);
}

Test(checker, catches_memory_of_an_ended_program) {
    history run = right_history();
    run.held.push_back({engine, program, 3});
    expect_caught(run, invariant::memory_given_back);
}

Test(checker, catches_an_answer_with_a_part_missing) {
    history run = right_history();
    run.answered[0].output.erase(32, 4);
    run.answered[0].streamed = run.answered[0].output;
    expect_caught(run, invariant::whole_answer);
}

Test(checker, catches_an_answer_spliced_of_two_attempts) {
    history run = right_history();
    const std::string other = answer_of("a9");
    run.answered[0].output.replace(36, 12, other.substr(36, 12));
    run.answered[0].streamed = run.answered[0].output;
    expect_caught(run, invariant::whole_answer);
}

Test(checker, catches_streamed_parts_that_differ_from_the_output) {
    history run = right_history();
    run.answered[1].streamed += "x";
    expect_caught(run, invariant::whole_answer);
}

Test(checker, catches_two_answers_of_one_call) {
    history run = right_history();
    run.answered.push_back(answered(2, "{\"held\":false}"));
    expect_caught(run, invariant::whole_answer);
}

Test(checker, catches_a_run_after_executed_no) {
    history run = right_history();
    run.answered.pop_back();
    run.refused.push_back(
        {program, base::call_number(2), 90, 503, "no_quorum", base::executed::no});
    expect_caught(run, invariant::not_run_means_not_run);
}

Test(checker, accepts_a_run_after_a_refusal_that_was_sent_again) {
    history run = right_history();
    run.refused.push_back(
        {program, base::call_number(2), 22, 503, "no_quorum", base::executed::no, true});
    cr_assert(check_history(run).violations.empty());
}

Test(checker, catches_a_second_run_of_a_call_that_must_not_repeat) {
    history run = right_history();
    run.runs.push_back(tool_run(2, 60));
    expect_caught(run, invariant::at_most_once);
}

Test(checker, catches_work_given_to_a_leaving_back_end) {
    history run = right_history();
    run.leaving.push_back({tool, -4'000'000});
    expect_caught(run, invariant::leaving_gets_nothing_new);
}

Test(checker, catches_a_request_cut_by_a_planned_stop) {
    history run = right_history();
    run.cut.push_back({program, base::call_number(1), 50, "end of stream"});
    expect_caught(run, invariant::planned_stop_cuts_nothing, {.planned_stops_only = true});
}

Test(checker, catches_a_version_that_went_back) {
    history run = right_history();
    run.versions.push_back({base::node_id("n1"), base::config_version(3), 30});
    expect_caught(run, invariant::configuration_never_reverts);
}

Test(checker, catches_an_accepted_change_that_a_node_never_got) {
    history run = right_history();
    run.changes.push_back({base::config_version(9), 16});
    expect_caught(run, invariant::configuration_never_reverts);
}
