#include "pearbarrow/bench/simulate_capacity.h"

#include <cmath>

#include "pearbarrow/bench/simulate_run.h"

namespace pearbarrow::bench {
namespace {

/// Runs for capacity last so many times longer than the experiment's own.
constexpr double stretched = 4;
/// The mean time of calls in the later half may be so many times that of the earlier half.
constexpr double tolerated_growth = 1.3;
constexpr double precision = 1.02;
constexpr double lowest_rate_per_engine = 0.01;

bool sustains(const experiment& setup, double rate, const std::vector<std::uint64_t>& seeds) {
    experiment longer = setup;
    longer.duration_seconds =
        setup.warm_up_seconds + stretched * (setup.duration_seconds - setup.warm_up_seconds);
    double earlier = 0;
    double later = 0;
    for (const std::uint64_t seed : seeds) {
        const auto result = run_simulation(longer, "least_loaded", {}, rate / setup.capacity, seed);
        earlier += result->model_time_earlier;
        later += result->model_time_later;
    }
    return later <= tolerated_growth * earlier;
}

}  // namespace

double find_capacity(const experiment& setup, const std::vector<std::uint64_t>& seeds) {
    double low = lowest_rate_per_engine * static_cast<double>(setup.engines.size());
    double high = low;
    while (sustains(setup, high, seeds)) {
        low = high;
        high *= 2;
    }
    while (high / low > precision) {
        const double middle = (low + high) / 2;
        (sustains(setup, middle, seeds) ? low : high) = middle;
    }
    return low;
}

}  // namespace pearbarrow::bench
