/// The load that the baseline `least_loaded` sustains: what 100 % means.
#pragma once

#include <cstdint>
#include <vector>

#include "pearbarrow/bench/simulate_experiment.h"

namespace pearbarrow::bench {

/// Programs a second, to within 2 %: the highest rate at which, in runs four times as long as the
/// experiment, programs that arrive in the later half take at most 1.3 times the model time of
/// those in the earlier half, so that the queue does not grow without end.
double find_capacity(const experiment& setup, const std::vector<std::uint64_t>& seeds);

}  // namespace pearbarrow::bench
