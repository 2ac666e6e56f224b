// Tests that the operators' configuration overrides the claims of callers.
#include "owner_harness.h"
#include "pearbarrow/config/bounds.h"

#include <criterion/criterion.h>

namespace pearbarrow::program {

namespace {

config::object tool_service(const std::string& name, bool repeatable, std::uint64_t cost) {
    config::tool_service_spec spec;
    spec.address = "127.0.0.1:1";
    spec.tools.push_back({.name = base::tool_name("hold"), .repeatable = repeatable, .cost = cost});
    return {name, {}, spec};
}

config::object tenant_object(const config::limits& bounds) {
    config::tenant_spec spec;
    spec.bounds = bounds;
    return {tenant().value(), {}, spec};
}

config::object class_object(const config::limits& bounds) {
    config::program_class_spec spec;
    spec.bounds = bounds;
    return {"class", {}, spec};
}

void configure(owner_harness& harness, std::vector<config::object> objects) {
    harness.apply(event::configuration_changed{
        config::configuration::make(base::config_version(1), std::move(objects)),
        base::region_name("region-1")});
}

base::attempt_id lost_tool_attempt(owner_harness& harness, bool claimed_repeatable) {
    harness.open();
    harness.submit(1, tool_body(claimed_repeatable));
    const auto attempt = harness.last<action::start_tool_attempt>().attempt;
    harness.apply(event::tool_lost{attempt});
    harness.apply(event::tool_status{attempt, event::tool_state::never_seen, {}, {}});
    harness.pass(base::seconds(1));
    return attempt;
}

std::size_t execution_count(const owner_harness& harness) {
    return harness.all<action::start_tool_attempt>().size();
}

}  // namespace

Test(configured_bounds, caller_cannot_make_a_configured_tool_repeatable) {
    owner_harness unconfigured;
    lost_tool_attempt(unconfigured, true);
    cr_assert(execution_count(unconfigured) > 1,
              "without a configuration the caller's claim applies");

    owner_harness harness;
    configure(harness, {tool_service("holds", false, 1)});
    lost_tool_attempt(harness, true);
    cr_assert(execution_count(harness) == 1, "the tool was executed %zu times",
              execution_count(harness));
    harness.take_over();
    harness.pass(base::seconds(1));
    cr_assert(execution_count(harness) == 0, "the next owner must not execute it again either");

    owner_harness unknown_tool;
    configure(unknown_tool, {});
    lost_tool_attempt(unknown_tool, true);
    cr_assert(execution_count(unknown_tool) == 1, "an unconfigured tool is not repeatable");
}

Test(configured_bounds, next_owner_uses_the_journaled_tool_terms) {
    owner_harness harness;
    configure(harness, {tool_service("holds", false, 1)});
    harness.open();
    harness.submit(1, tool_body(true));
    harness.take_over();
    const auto queries = harness.all<action::query_tool_attempt>();
    cr_assert(queries.size() == 1 && execution_count(harness) == 0);
    harness.apply(event::tool_status{queries[0].attempt, event::tool_state::never_seen, {}, {}});
    harness.pass(base::seconds(1));
    cr_assert(execution_count(harness) == 0, "the terms must come from the journal");
}

Test(configured_bounds, tool_is_repeatable_only_if_all_services_agree) {
    const auto configuration = config::configuration::make(
        base::config_version(1), {tool_service("a", true, 3), tool_service("b", false, 5)});
    const auto terms = config::terms_of(*configuration, base::tool_name("hold"));
    cr_assert(terms.has_value() && !terms->repeatable && terms->cost == 5);
    cr_assert(!config::terms_of(*configuration, base::tool_name("other")).has_value());
}

Test(configured_bounds, configured_cost_overrides_the_declared_cost) {
    owner_harness harness;
    configure(harness, {tool_service("holds", false, 700)});
    harness.open(1'000);
    harness.submit(1, tool_body(false, 0));
    harness.apply(event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "held"});
    cr_assert(harness.view().spent_tokens == 700);
    const reply_token repeat = harness.submit(1, tool_body(false, 0));
    cr_assert(harness.reply_of(repeat).call->output == "held",
              "a repeated call carries the caller's own claim");
    cr_assert(harness.error_of(harness.submit(2, tool_body(false, 0))).reason ==
              "budget_exhausted");
}

Test(configured_bounds, tightest_bound_of_tenant_class_and_selector_applies) {
    owner_harness harness;
    config::limit_spec few_turns;
    few_turns.programs = config::parse_selector("class=class").value();
    few_turns.bounds.turns = 1;
    configure(harness, {tenant_object({.turns = 3}), class_object({.turns = 2}),
                        config::object{"few", {}, few_turns}});
    harness.open(10'000, program::program(), {.turns = 50});
    harness.submit(1, tool_body());
    harness.apply(event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "a"});
    cr_assert(harness.error_of(harness.submit(2, tool_body(false, 11))).reason == "turn_limit");
    configure(harness, {tenant_object({.turns = 3}), class_object({.turns = 2})});
    const reply_token second = harness.submit(2, tool_body(false, 11));
    cr_assert(harness.error_of(second).reason.empty(), "a raised bound applies to open programs");
}

Test(configured_bounds, budgets_above_the_bound_are_refused) {
    owner_harness harness;
    configure(harness, {tenant_object({.budget = 500})});
    const reply_token large = harness.open(501);
    cr_assert(harness.error_of(large).reason == "budget_above_limit");
    cr_assert(harness.error_of(large).was_executed == base::executed::no);
    cr_assert(harness.reply_of(harness.open(500)).program->state == "open");
}

Test(configured_bounds, configured_limit_on_repeated_calls_applies) {
    owner_harness harness;
    configure(harness, {class_object({.repeated_calls = 2}), tool_service("holds", false, 1)});
    harness.open();
    for (std::uint64_t number : {1, 2}) {
        harness.submit(number, tool_body());
        harness.apply(
            event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "a"});
    }
    cr_assert(harness.error_of(harness.submit(3, tool_body())).reason == "loop_detected");
}

Test(configured_bounds, shortened_time_limits_end_open_programs) {
    owner_harness harness;
    harness.open(10'000, program::program("idle"), {.idle_ms = 60'000});
    harness.open(10'000, program::program("old"), {.run_time_ms = 60'000});
    harness.pass(base::seconds(3));
    cr_assert(harness.view(program::program("idle")).state == "open");
    configure(harness,
              {tenant_object({.run_time = base::seconds(5), .idle_time = base::seconds(4)})});
    cr_assert(harness.view(program::program("idle")).state == "open");
    harness.submit(1, tool_body(), program::program("old"));
    harness.pass(base::seconds(3));
    cr_assert(harness.view(program::program("idle")).end_reason == "idle_limit");
    cr_assert(harness.view(program::program("old")).end_reason == "run_time_limit");
}

}  // namespace pearbarrow::program
