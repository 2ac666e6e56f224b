// Whole runs of the program owners under faults; a failing seed replays with `program_simulation`.
#include <algorithm>
#include <map>
#include <set>

#include "program_world.h"

#include <criterion/criterion.h>

using namespace pearbarrow;

namespace {

constexpr std::uint64_t sound_seeds = 300;
/// A mechanism that is switched off must be noticed within this many seeds.
constexpr std::uint64_t broken_seeds = 200;

std::vector<simulation::violation> run(simulation::world_options options, std::uint64_t seed) {
    options.seed = seed;
    simulation::program_world world(options);
    return check(world.run());
}

/// Whether the checker notices a violation of `invariant` in some seed.
bool is_noticed(const simulation::world_options& options, int invariant) {
    for (std::uint64_t seed = 1; seed <= broken_seeds; ++seed) {
        const auto found = run(options, seed);
        if (std::any_of(found.begin(), found.end(),
                        [&](const auto& entry) { return entry.invariant == invariant; })) {
            return true;
        }
    }
    return false;
}

/// Options with one mechanism of the owner switched off.
simulation::world_options without(bool program::disabled_mechanisms::*mechanism) {
    simulation::world_options options;
    options.owner.disabled.*mechanism = true;
    return options;
}

}  // namespace

Test(program_simulation, all_invariants_hold_under_faults) {
    for (std::uint64_t seed = 1; seed <= sound_seeds; ++seed) {
        for (const simulation::violation& found : run({}, seed)) {
            cr_expect(false, "seed %lu, invariant %d: %s", seed, found.invariant,
                      found.what.c_str());
        }
    }
}

Test(program_simulation, a_seed_replays_exactly) {
    simulation::program_world first({.seed = 7, .owner = {}});
    simulation::program_world second({.seed = 7, .owner = {}});
    const simulation::run_history one = first.run();
    const simulation::run_history two = second.run();
    cr_assert(first.queue.now() == second.queue.now());
    cr_assert(one.model_runs.size() == two.model_runs.size());
    for (std::size_t i = 0; i < one.model_runs.size(); ++i) {
        cr_assert(one.model_runs[i].text == two.model_runs[i].text);
    }
}

Test(program_simulation, the_checker_notices_calls_out_of_order) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::call_order), 1));
}

Test(program_simulation, the_checker_notices_a_missing_tenant_check) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::tenant_check), 2));
}

Test(program_simulation, the_checker_notices_a_budget_passed) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::budget_reservation), 3));
}

Test(program_simulation, the_checker_notices_a_budget_returned_twice) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::transfer_once), 3));
}

Test(program_simulation, the_checker_notices_memory_not_released) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::release_retry), 4));
}

Test(program_simulation, the_checker_notices_a_broken_answer) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::event_id_check), 5));
}

Test(program_simulation, the_checker_notices_an_act_before_the_journal) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::journal_before_act), 6));
}

Test(program_simulation, the_checker_notices_a_call_sent_again) {
    cr_assert(is_noticed(without(&program::disabled_mechanisms::in_doubt_query), 7));
}

Test(program_simulation, the_checker_notices_reads_at_a_fenced_owner) {
    simulation::world_options options;
    options.confirm_leadership = false;
    cr_assert(is_noticed(options, 2));
}
