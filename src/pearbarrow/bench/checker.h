/// Offline check of a run's history against the ten invariants (docs/invariants.md).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/bench/history.h"

namespace pearbarrow::bench {

enum class invariant {
    program_order = 1,
    history_kept = 2,
    budget_kept = 3,
    memory_given_back = 4,
    whole_answer = 5,
    not_run_means_not_run = 6,
    at_most_once = 7,
    leaving_gets_nothing_new = 8,
    planned_stop_cuts_nothing = 9,
    configuration_never_reverts = 10,
};

inline constexpr int invariant_count = 10;

std::string_view to_string(invariant value);

struct violation {
    invariant broken = invariant::program_order;
    base::program_id program;
    base::call_number call;
    std::string detail;
};

struct check_options {
    /// A leaving back end may still get new work for this long, in microseconds.
    std::int64_t leaving_bound_us = 3'000'000;
    /// Nothing but planned stops happened in the run, so that no request may have been cut off.
    bool planned_stops_only = false;
};

struct check_report {
    std::vector<violation> violations;
    /// Operations that each invariant was checked on; index is the invariant's number minus one.
    std::array<std::uint64_t, invariant_count> operations{};

    std::uint64_t operations_of(invariant value) const;
    std::uint64_t violations_of(invariant value) const;
};

/// Checks everything that the history allows to check.
check_report check_history(const history& run, const check_options& options = {});

}  // namespace pearbarrow::bench
