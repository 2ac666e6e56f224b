// Simulations of the program owners under faults. A failing seed can be replayed with
// `program_simulation`.
#include <algorithm>
#include <map>
#include <set>

#include "program_world.h"

#include <criterion/criterion.h>

using namespace pearbarrow;

namespace {

constexpr std::uint64_t seed_count = 300;
/// The checker must detect a disabled mechanism within this number of seeds.
constexpr std::uint64_t max_detection_seeds = 200;

std::vector<simulation::violation> run(simulation::world_options options, std::uint64_t seed) {
    options.seed = seed;
    simulation::program_world world(options);
    return check(world.run());
}

/// Returns whether the checker detects a violation of `invariant` with any seed.
bool is_detected(const simulation::world_options& options, int invariant) {
    for (std::uint64_t seed = 1; seed <= max_detection_seeds; ++seed) {
        const auto found = run(options, seed);
        if (std::any_of(found.begin(), found.end(),
                        [&](const auto& entry) { return entry.invariant == invariant; })) {
            return true;
        }
    }
    return false;
}

/// Returns options with one mechanism of the owner disabled.
simulation::world_options without(bool program::disabled_mechanisms::*mechanism) {
    simulation::world_options options;
    options.owner.disabled.*mechanism = true;
    return options;
}

}  // namespace

Test(program_simulation, all_invariants_hold_under_faults) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        for (const simulation::violation& found : run({}, seed)) {
            cr_expect(false, "seed %lu, invariant %d: %s", seed, found.invariant,
                      found.what.c_str());
        }
    }
}

Test(program_simulation, same_seed_gives_the_same_run) {
    simulation::program_world first({.seed = 7, .owner = {}});
    simulation::program_world second({.seed = 7, .owner = {}});
    const simulation::run_history one = first.run();
    const simulation::run_history two = second.run();
    cr_assert(first.queue.now() == second.queue.now());
    cr_assert(one.model_executions.size() == two.model_executions.size());
    for (std::size_t i = 0; i < one.model_executions.size(); ++i) {
        cr_assert(one.model_executions[i].text == two.model_executions[i].text);
    }
}

Test(program_simulation, checker_detects_calls_out_of_order) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::call_order), 1));
}

Test(program_simulation, checker_detects_a_missing_tenant_check) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::tenant_check), 2));
}

Test(program_simulation, checker_detects_an_exceeded_budget) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::budget_reservation), 3));
}

Test(program_simulation, checker_detects_a_budget_returned_twice) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::transfer_once), 3));
}

Test(program_simulation, checker_detects_unreleased_caches) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::release_retry), 4));
}

Test(program_simulation, checker_detects_a_corrupted_reply) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::event_id_check), 5));
}

Test(program_simulation, checker_detects_an_action_before_its_commit) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::journal_before_act), 6));
}

Test(program_simulation, checker_detects_a_resent_tool_call) {
    cr_assert(is_detected(without(&program::disabled_mechanisms::in_doubt_query), 7));
}

Test(program_simulation, checker_detects_reads_at_a_fenced_owner) {
    simulation::world_options options;
    options.confirm_leadership = false;
    cr_assert(is_detected(options, 2));
}
