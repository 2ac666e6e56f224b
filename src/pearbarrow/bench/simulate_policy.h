/// Placement policies under simulation: three baselines as routers in front of engines do them,
/// and pearbarrow's own scheduler, the same code that the daemon runs.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/bench/simulate_cache.h"
#include "pearbarrow/bench/simulate_workload.h"
#include "pearbarrow/placement/cell_scheduler.h"

namespace pearbarrow::bench {

/// A call that is ready for an engine, as a policy may know it.
struct call_view {
    std::uint32_t call = 0;
    std::uint32_t program = 0;
    std::uint32_t class_index = 0;
    std::uint32_t tenant = 0;
    std::uint32_t number = 0;
    std::uint32_t prompt_tokens = 0;
    /// The caller's limit on the answer; its true length is not known.
    std::uint32_t max_output_tokens = 0;
    std::uint32_t history_tokens = 0;
    std::uint64_t attained_tokens = 0;
    std::uint32_t depth = 0;
    sim_time program_started = 0;
    /// Shared prefixes, tokens counted from the start of the prompt.
    std::vector<wire::prefix_mark> marks;
};

/// Send a call to an engine.
struct placed_call {
    std::uint32_t call = 0;
    std::uint32_t engine = 0;
    std::int32_t priority = 0;
    sim_time pin_us = 0;
    /// Engines told to drop an outdated prefix of the program.
    std::vector<std::uint32_t> release_on;
};

struct policy_output {
    std::vector<placed_call> placed;
    /// Calls refused, with the reason code.
    std::vector<std::pair<std::uint32_t, std::string>> refused;
};

/// How a call ended at its engine.
struct call_result {
    std::uint32_t call = 0;
    std::uint32_t program = 0;
    std::uint32_t engine = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t output_tokens = 0;
    sim_time service_us = 0;
    bool lost = false;
};

class placement_policy {
  public:
    virtual ~placement_policy() = default;
    virtual void offer(const call_view& call, sim_time now, policy_output& output) = 0;
    virtual void finished(const call_result& result, sim_time now, policy_output& output) = 0;
    virtual void program_ended(std::uint32_t program, sim_time now, policy_output& output) {}
    virtual void tick(sim_time now, policy_output& output) {}
    virtual void report(std::uint32_t engine, std::uint32_t running, std::uint32_t waiting,
                        std::uint64_t incarnation, sim_time age, sim_time now) {}
    virtual void evicted(std::uint32_t engine, std::uint32_t program, std::uint32_t tokens_left,
                         sim_time now) {}
    /// Whether the prefix of an ended program is given back at once.
    virtual bool releases() const { return false; }
    virtual std::uint64_t decisions() const { return 0; }
};

/// Knobs of pearbarrow's policy that experiments vary.
struct policy_options {
    placement::cell_options cell;
    /// Part of an engine's memory that calls in flight may take.
    double memory_part = 1.0;
    std::uint32_t in_flight_limit = 0;
    std::uint32_t cell_size = 16;
    bool give_back = true;
    bool engine_priorities = false;
    /// prefix_affinity: out of balance when the busiest engine has so many more calls.
    std::uint32_t balance_difference = 8;
};

/// Policies: round_robin, least_loaded, prefix_affinity, pearbarrow. Fails with kInvalidArgument
/// for any other name.
absl::StatusOr<std::unique_ptr<placement_policy>> make_policy(const std::string& name,
                                                              const experiment& setup,
                                                              const policy_options& options);

}  // namespace pearbarrow::bench
