/// Experiments of the scheduling simulator, read from TOML files: who asks for what, and the
/// engines that answer. docs/design/scheduling.md describes every field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/random.h"

namespace pearbarrow::bench {

/// A distribution of positive numbers: log-normal with a mean and a coefficient of variation
/// (standard deviation over mean), cut to [low, high]. Without variation it is a constant.
struct distribution {
    double mean = 0;
    double variation = 0;
    double low = 0;
    double high = 1e18;

    double draw(base::random_source& random) const;
};

/// Sub-programs that a call may start; the parent waits for all of them.
struct sub_program_spec {
    std::string program_class;
    /// Chance that a call of the parent (not its last) is followed by sub-programs, and how many.
    double probability = 0;
    distribution count{1, 0, 1, 16};
};

struct class_spec {
    std::string name;
    /// Part of the programs that arrive; 0 for classes that only run as sub-programs.
    double share = 0;
    std::uint32_t tenants = 1;
    /// Exponent of the Zipf law by which programs fall on tenants; 0: evenly.
    double tenant_skew = 0;
    /// The class's system prompt, the same for all its programs.
    std::uint32_t system_tokens = 0;
    /// A long document behind the system prompt, shared by the programs of one tenant.
    std::uint32_t document_tokens = 0;
    distribution first_input;
    distribution output;
    distribution calls{1, 0, 1, 1000};
    /// A call that is not the last is followed by a tool (else by a person's thinking).
    double tool_probability = 0;
    distribution tool_result;
    distribution tool_seconds;
    distribution turn_input;
    distribution think_seconds;
    sub_program_spec sub_programs;
    /// Only tool calls: no model call at all (static fetches).
    bool without_model = false;
};

/// An engine's speeds and memory; the same meaning and defaults as the emulator's engine.
struct engine_spec {
    double step_base_us = 8'000;
    double prefill_token_us = 80;
    double decode_sequence_us = 60;
    double decode_context_kilotoken_us = 25;
    std::uint32_t max_running = 64;
    std::uint64_t cache_tokens = 131'072;
    std::uint32_t prefill_tokens_per_step = 2'048;
    std::uint32_t block_tokens = 16;
    double max_pinned_fraction = 0.8;
    /// Factor on all durations.
    double slowness = 1;
    std::string zone;
};

/// Something that goes wrong at one engine.
struct fault_spec {
    double at_seconds = 0;
    std::uint32_t engine = 0;
    /// Factor on all durations from then on, unknown to the scheduler; 1 heals it.
    double slowness = 1;
    /// The engine starts anew with an empty cache; its calls are run again.
    bool restart = false;
};

struct experiment {
    std::string name;
    double duration_seconds = 600;
    double warm_up_seconds = 120;
    /// Programs a second that `least_loaded` sustains, as measured by --find-capacity.
    double capacity = 1;
    /// The rate is multiplied by `burst_factor` during `burst_part` of every `burst_period` and
    /// lowered in between, so that the mean stays.
    double burst_factor = 1;
    double burst_part = 0.25;
    double burst_period_seconds = 60;
    /// One way, within a zone and between zones, and between client and gateway.
    double network_ms = 0.2;
    double zone_network_ms = 1.5;
    double client_network_ms = 3;
    std::uint32_t zones = 1;
    double report_interval_seconds = 0.25;
    double report_lag_seconds = 0.25;
    double cache_event_lag_seconds = 1;
    /// Part of the cache events that never arrive.
    double cache_event_loss = 0.05;
    /// A program ends when its next prompt and answer would be longer than this many tokens.
    std::uint32_t context_limit = 100'000;
    /// A call that waits longer for its engine to begin counts its program as starved.
    double starvation_seconds = 60;
    /// With the baselines, too, engines drop the prefix of a program that has ended.
    bool baselines_release = false;
    std::vector<class_spec> classes;
    std::vector<engine_spec> engines;
    std::vector<fault_spec> faults;

    std::optional<std::size_t> find_class(const std::string& name) const;
};

/// Fails with kInvalidArgument, reason `bad_experiment`, naming the field.
absl::StatusOr<experiment> read_experiment(const std::string& path);

}  // namespace pearbarrow::bench
