/// Seeds in the ordinary test run, and proof that the checker notices each mechanism's absence.
/// PEARBARROW_JOURNAL_SEED=N replays one seed with a trace.
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "journal_world.h"

#include <criterion/criterion.h>

using namespace pearbarrow::simulation;

namespace {

constexpr std::uint64_t ordinary_seeds = 300;

std::uint64_t chosen_seed() {
    const char* text = std::getenv("PEARBARROW_JOURNAL_SEED");
    return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

/// Runs a seed with every mechanism in place; the first complaint, or an empty string.
std::string complaint(std::uint64_t seed, bool trace) {
    journal_world_options options;
    options.seed = seed;
    options.trace = trace;
    const auto result = run_journal_world(options);
    if (!result.violations.empty()) {
        return result.violations.front();
    }
    return result.stalls.empty() ? std::string() : result.stalls.front();
}

/// Whether the absence of a mechanism breaks an invariant within so many seeds. A mere stall
/// doesn't count.
bool is_caught(std::string_view mechanism, std::uint64_t seeds) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        journal_world_options options;
        options.seed = seed;
        if (!switch_off(options, mechanism)) {
            return false;
        }
        const auto result = run_journal_world(options);
        if (!result.violations.empty()) {
            std::fprintf(stderr, "without %s, seed %llu: %s\n", mechanism.data(),
                         static_cast<unsigned long long>(seed), result.violations.front().c_str());
            return true;
        }
    }
    return false;
}

}  // namespace

Test(journal_simulation, committed_records_survive_faults) {
    const auto chosen = chosen_seed();
    const auto first = chosen == 0 ? 1 : chosen;
    const auto last = chosen == 0 ? ordinary_seeds : chosen;
    for (auto seed = first; seed <= last; ++seed) {
        const auto why = complaint(seed, chosen != 0);
        cr_assert(why.empty(), "replay with PEARBARROW_JOURNAL_SEED=%llu: %s",
                  static_cast<unsigned long long>(seed), why.c_str());
    }
}

Test(journal_simulation, a_seed_replays_exactly) {
    journal_world_options options;
    options.seed = 11;
    const auto one = run_journal_world(options);
    const auto other = run_journal_world(options);
    cr_assert(one.operations == other.operations && one.records == other.records);
}

Test(journal_checker, catches_replies_before_the_sync) {
    cr_assert(is_caught("sync", 200));
}

Test(journal_checker, catches_a_skipped_check_of_the_previous_entry) {
    cr_assert(is_caught("previous_check", 200));
}

Test(journal_checker, catches_forgotten_promises) {
    cr_assert(is_caught("stored_promise", 200));
}

Test(journal_checker, catches_a_skipped_epoch_check) {
    cr_assert(is_caught("epoch_check", 600));
}

Test(journal_checker, catches_an_emptied_replica_that_votes) {
    cr_assert(is_caught("store_identity", 200));
}

Test(journal_checker, catches_commits_of_old_ballots) {
    cr_assert(is_caught("own_ballot_commit", 1'000));
}

Test(journal_checker, catches_the_adoption_of_an_old_log) {
    cr_assert(is_caught("newest_promise", 200));
}

Test(journal_checker, catches_commits_without_a_majority) {
    cr_assert(is_caught("majority", 200));
}

Test(journal_checker, catches_set_changes_before_the_epoch_is_established) {
    cr_assert(is_caught("established_epoch", 600));
}
