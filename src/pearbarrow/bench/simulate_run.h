/// One run of an experiment in virtual time, and what was measured.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/bench/simulate_experiment.h"
#include "pearbarrow/bench/simulate_policy.h"

namespace pearbarrow::bench {

/// A sorted sample, in seconds.
struct sample_summary {
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

sample_summary summarize(std::vector<double> values);

struct class_result {
    /// From a program's first call to its last answer, tools and people's thinking included.
    sample_summary program_latency;
    /// The same without tools, sub-programs and thinking: what the scheduler and engines took.
    sample_summary model_time;
    sample_summary time_to_first_token;
    std::uint64_t refused = 0;
    std::uint64_t starved = 0;
};

struct run_result {
    std::string experiment;
    std::string policy;
    std::uint64_t seed = 0;
    double load = 0;
    double programs_per_second = 0;
    /// Over classes with a share and model calls.
    class_result overall;
    std::map<std::string, class_result> classes;
    /// Idle memory, in token-seconds for each program measured.
    double wasted_cache = 0;
    double wasted_evicted = 0;
    double wasted_abandoned = 0;
    double reused_cache = 0;
    /// Part of the prompt tokens that were found in a cache.
    double hit_rate = 0;
    double utilization = 0;
    /// Jain's index over tenants' mean model time relative to their class, 1: all alike.
    double fairness = 0;
    double longest_wait = 0;
    std::uint64_t calls = 0;
    std::uint64_t refused_calls = 0;
    std::map<std::string, std::uint64_t> refusal_reasons;
    std::uint64_t preemptions = 0;
    std::uint64_t unfinished = 0;
    /// Programs under way at the middle and at the end of the arrivals.
    std::uint64_t under_way_middle = 0;
    std::uint64_t under_way_end = 0;
    /// Mean model time of programs that arrive in the earlier and the later half.
    double model_time_earlier = 0;
    double model_time_later = 0;
    double requests_per_second = 0;
    double tokens_per_second = 0;
    double virtual_seconds = 0;
    double wall_seconds = 0;
};

/// `load` scales the arrival rate: 1 is the experiment's capacity.
absl::StatusOr<run_result> run_simulation(const experiment& setup, const std::string& policy,
                                          const policy_options& options, double load,
                                          std::uint64_t seed);

}  // namespace pearbarrow::bench
