// Whole histories under faults over the joined cores. A failing seed replays with
// `pearbarrow-bench simulate --faults --seeds S..S --trace`.
#include <algorithm>
#include <cstdint>

#include "pearbarrow/bench/faults_world.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using bench::faults::fault_options;
using bench::faults::fault_result;
using bench::faults::run_faults;

namespace {

constexpr std::uint64_t sound_seeds = 200;
/// A mechanism that is switched off must be noticed within this many seeds.
constexpr std::uint64_t broken_seeds = 1'000;
/// Runs that never settle are cut short: what is looked for comes while faults are injected.
constexpr base::seconds broken_time_limit{30};

/// The first seed in which a violation of `invariant` is found; 0 when there is none.
std::uint64_t first_noticed(fault_options options, int invariant) {
    options.time_limit = broken_time_limit;
    for (std::uint64_t seed = 1; seed <= broken_seeds; ++seed) {
        options.seed = seed;
        const fault_result result = run_faults(options);
        if (std::any_of(result.findings.begin(), result.findings.end(),
                        [&](const auto& found) { return found.invariant == invariant; })) {
            cr_log_info("invariant %d: noticed in seed %lu", invariant, seed);
            return seed;
        }
    }
    return 0;
}

fault_options without(bool program::disabled_mechanisms::*mechanism) {
    fault_options options;
    options.owner.disabled.*mechanism = true;
    return options;
}

}  // namespace

Test(joined_simulation, all_invariants_hold_under_faults) {
    for (std::uint64_t seed = 1; seed <= sound_seeds; ++seed) {
        fault_options options;
        options.seed = seed;
        for (const auto& found : run_faults(options).findings) {
            cr_expect(false, "seed %lu, invariant %d: %s", seed, found.invariant,
                      found.what.c_str());
        }
    }
}

// Their starts waited for a confirmation of leadership until the engine had long been leaving.
Test(joined_simulation, a_start_that_waited_for_confirmation_is_not_made_late) {
    for (const std::uint64_t seed : {900'531, 901'198}) {
        for (const auto& found : run_faults({.seed = seed}).findings) {
            cr_expect(false, "seed %lu, invariant %d: %s", seed, found.invariant,
                      found.what.c_str());
        }
    }
}

Test(joined_simulation, a_seed_replays_exactly) {
    for (const std::uint64_t seed : {7, 8, 9}) {
        const fault_result one = run_faults({.seed = seed});
        const fault_result two = run_faults({.seed = seed});
        cr_assert(one.ended == two.ended);
        cr_assert(one.calls == two.calls && one.answered == two.answered);
        cr_assert(one.model_runs == two.model_runs && one.tool_runs == two.tool_runs);
        cr_assert(one.errors == two.errors && one.injected == two.injected);
    }
}

Test(joined_simulation, notices_calls_out_of_order) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::call_order), 1) > 0);
}

Test(joined_simulation, notices_a_missing_tenant_check) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::tenant_check), 2) > 0);
}

Test(joined_simulation, notices_commits_without_a_majority) {
    fault_options options;
    options.leader_faults.commit_without_majority = true;
    cr_assert(first_noticed(options, 2) > 0);
}

Test(joined_simulation, notices_a_log_that_is_not_the_newest) {
    fault_options options;
    options.leader_faults.adopt_any_promise = true;
    cr_assert(first_noticed(options, 2) > 0);
}

Test(joined_simulation, notices_replies_before_the_write_is_durable) {
    fault_options options;
    options.replica_faults.reply_before_sync = true;
    cr_assert(first_noticed(options, 2) > 0);
}

Test(joined_simulation, notices_an_emptied_replica_that_votes) {
    fault_options options;
    options.replica_faults.core.amnesiac_votes = true;
    cr_assert(first_noticed(options, 2) > 0);
}

Test(joined_simulation, notices_reads_at_a_fenced_owner) {
    fault_options options;
    options.confirm_leadership = false;
    cr_assert(first_noticed(options, 2) > 0);
}

Test(joined_simulation, notices_a_budget_passed) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::budget_reservation), 3) > 0);
}

Test(joined_simulation, notices_a_budget_returned_twice) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::transfer_once), 3) > 0);
}

Test(joined_simulation, notices_memory_that_is_not_released) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::release_retry), 4) > 0);
}

Test(joined_simulation, notices_a_broken_answer) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::event_id_check), 5) > 0);
}

Test(joined_simulation, notices_an_act_before_the_journal) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::journal_before_act), 6) > 0);
}

Test(joined_simulation, notices_a_call_that_is_sent_again) {
    cr_assert(first_noticed(without(&program::disabled_mechanisms::in_doubt_query), 7) > 0);
}

Test(joined_simulation, notices_work_given_to_a_leaving_engine) {
    fault_options options;
    options.follow_leaving = false;
    cr_assert(first_noticed(options, 8) > 0);
}
