/// A load run against real nodes: a number of programs at once, for a time or a count.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/bench/load_program.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::bench {

struct load_options {
    std::vector<net::endpoint> nodes;
    std::vector<load_tenant> tenants;
    load_shape shape;
    std::uint64_t programs_at_once = 8;
    /// No new program starts after this time; those begun are driven to their end.
    base::milliseconds duration{10'000};
    /// Programs in all; 0: as many as fit the duration.
    std::uint64_t most_programs = 0;
    std::uint64_t seed = 1;
    /// Empty: no history.
    std::string history_path;
    base::milliseconds patience{60'000};
    base::milliseconds deadline{30'000};
};

/// A distribution of times, in milliseconds.
struct latency_summary {
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double most = 0;
};

latency_summary summarize_latencies(std::vector<double> milliseconds);
nlohmann::json to_json(const latency_summary& summary);

struct load_summary {
    std::uint64_t programs = 0;
    std::uint64_t programs_whole = 0;
    /// Ended after the refusal that they were meant to meet.
    std::uint64_t programs_refused = 0;
    std::uint64_t programs_failed = 0;
    std::uint64_t calls = 0;
    std::uint64_t calls_answered = 0;
    std::uint64_t calls_unknown = 0;
    std::uint64_t refusals_retried = 0;
    std::uint64_t interruptions = 0;
    double seconds = 0;
    latency_summary program_latency;
    latency_summary call_latency;
    latency_summary time_to_first_part;
    /// The first few failures, in words.
    std::vector<std::string> failures;
};

nlohmann::json to_json(const load_summary& summary);

/// Runs to the end on a loop of its own. Fails when the history file cannot be opened.
absl::StatusOr<load_summary> run_load(const load_options& options);

}  // namespace pearbarrow::bench
