/// The event loop of a simulation: programs, their calls, the policy and the engines.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "pearbarrow/bench/simulate_engine.h"
#include "pearbarrow/bench/simulate_policy.h"
#include "pearbarrow/bench/simulate_workload.h"

namespace pearbarrow::bench {

/// What happened to one call.
struct call_trace {
    std::uint32_t program = 0;
    std::uint32_t number = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t engine = 0;
    sim_time ready = 0;
    sim_time placed = 0;
    std::optional<sim_time> started;
    std::optional<sim_time> first_token;
    std::optional<sim_time> finished;
};

/// What happened to one program.
struct program_trace {
    sim_time started = 0;
    std::optional<sim_time> finished;
    /// Time in which one of its model calls was under way.
    sim_time model_us = 0;
    sim_time longest_wait = 0;
    bool refused = false;
};

/// Engines' totals at one time.
struct engine_totals {
    idle_accounting idle;
    double busy_seconds = 0;
    std::uint64_t preemptions = 0;
};

class simulation_loop {
  public:
    simulation_loop(const experiment& setup, const workload& programs, placement_policy& policy,
                    std::uint64_t seed);
    /// Runs until every program is done or `until`.
    void run(sim_time until);

    const std::vector<call_trace>& calls() const { return calls_; }
    const std::vector<program_trace>& programs() const { return traces_; }
    const engine_totals& at_warm_up() const { return at_warm_up_; }
    const engine_totals& at_end() const { return at_end_; }
    const std::vector<std::pair<std::uint32_t, std::string>>& refusals() const { return refusals_; }
    std::uint64_t under_way_at(sim_time time) const;
    sim_time now() const { return now_; }

  private:
    enum class event_kind : std::uint8_t {
        arrival,
        call_ready,
        engine_submit,
        engine_due,
        call_done,
        program_gone,
        tick,
        report,
        eviction,
        fault,
        snapshot,
    };
    struct event {
        sim_time time = 0;
        std::uint64_t order = 0;
        event_kind kind = event_kind::tick;
        std::uint32_t first = 0;
        std::uint64_t second = 0;
        std::uint32_t third = 0;

        bool operator>(const event& other) const {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    struct program_state {
        std::uint32_t next_call = 0;
        /// Tokens of the program's own history: prompts' inputs and answers.
        std::uint32_t own_tokens = 0;
        std::uint64_t attained_tokens = 0;
        std::uint32_t children_left = 0;
        /// Engines that may hold the program's prefix.
        std::vector<std::uint32_t> holders;
    };
    struct load_snapshot {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    void post(sim_time time, event_kind kind, std::uint32_t first = 0, std::uint64_t second = 0,
              std::uint32_t third = 0);
    void handle(const event& item);
    void start_program(std::uint32_t program);
    void offer_next_call(std::uint32_t program);
    void offer_call(std::uint32_t call);
    call_view view_of(std::uint32_t call) const;
    sequence_request request_of(const placed_call& placed) const;
    void carry_out(policy_output& output);
    void submit(std::uint32_t engine, std::uint32_t call);
    void drain_engine(std::uint32_t engine);
    void call_done(std::uint32_t call);
    void after_call(std::uint32_t program);
    void end_program(std::uint32_t program);
    void program_gone(std::uint32_t program);
    void report_loads();
    void apply_fault(const fault_spec& fault);
    engine_totals totals() const;
    sim_time network_us(std::uint32_t program, std::uint32_t engine) const;
    std::uint32_t shared_tokens(const class_spec& spec) const;

    const experiment& setup_;
    const workload& workload_;
    placement_policy& policy_;
    base::random_source random_;
    sim_time client_us_;
    sim_time now_ = 0;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<simulated_engine> engines_;
    std::vector<std::uint64_t> engine_versions_;
    std::vector<std::uint64_t> incarnations_;
    std::vector<load_snapshot> snapshots_;
    std::vector<program_state> states_;
    std::vector<program_trace> traces_;
    std::vector<call_trace> calls_;
    std::vector<sequence_request> requests_;
    std::vector<std::pair<std::uint32_t, std::string>> refusals_;
    std::uint64_t programs_left_ = 0;
    engine_totals at_warm_up_;
    engine_totals at_end_;
};

}  // namespace pearbarrow::bench
