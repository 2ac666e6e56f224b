/// Tests the configuration log under concurrent proposals, lost replies, outages and restarts.
#include "config_simulation.h"

#include <string>

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
using pearbarrow::simulation::config_history;
using pearbarrow::simulation::config_simulation;
using pearbarrow::simulation::config_simulation_options;

namespace {

constexpr std::uint64_t seeds = 1'000;
constexpr base::milliseconds duration{40'000};

config_history run(std::uint64_t seed, pearbarrow::config::log_core_faults faults = {}) {
    config_simulation_options options;
    options.seed = seed;
    options.faults = faults;
    return config_simulation(options).run(duration);
}

/// Returns whether the checker finds a violation with any of the seeds.
bool is_violation_found(pearbarrow::config::log_core_faults faults) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        if (!run(seed, faults).violations.empty()) {
            return true;
        }
    }
    return false;
}

}  // namespace

Test(config_simulation, accepted_is_never_lost_and_versions_never_go_back) {
    config_history total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const config_history history = run(seed);
        cr_assert(history.violations.empty(), "seed %lu: %s", seed,
                  history.violations.empty() ? "" : history.violations.front().c_str());
        total.proposals += history.proposals;
        total.accepted += history.accepted;
        total.conflicts += history.conflicts;
        total.refused += history.refused;
        total.unknown += history.unknown;
        total.compactions += history.compactions;
        total.restarts += history.restarts;
    }
    cr_log_info(
        "%lu seeds: %lu proposals, %lu accepted, %lu conflicts, %lu refused, %lu unknown, "
        "%lu compactions, %lu restarts",
        seeds, total.proposals, total.accepted, total.conflicts, total.refused, total.unknown,
        total.compactions, total.restarts);
    // Each kind of event must have occurred.
    cr_assert_gt(total.accepted, 0);
    cr_assert_gt(total.conflicts, 0);
    cr_assert_gt(total.refused, 0);
    cr_assert_gt(total.unknown, 0);
    cr_assert_gt(total.compactions, 0);
    cr_assert_gt(total.restarts, 0);
}

Test(config_simulation, applying_in_any_order_is_caught) {
    cr_assert(is_violation_found({.accept_any_order = true}));
}

Test(config_simulation, taking_a_lost_answer_for_a_refusal_is_caught) {
    cr_assert(is_violation_found({.lost_reply_is_rejection = true}));
}

Test(config_simulation, accepting_before_the_entry_exists_is_caught) {
    cr_assert(is_violation_found({.accept_early = true}));
}
