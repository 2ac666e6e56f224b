/// A simulated engine: continuous batching in steps, prompt work in chunks by priority, a prefix
/// cache in limited memory. The same costs as the emulator's engine, without text and hashes.
///
/// Simplified against it: a sequence takes room for its whole answer when it starts, and a step's
/// cost grows with the context once in each stretch of equal steps.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "pearbarrow/bench/simulate_cache.h"
#include "pearbarrow/bench/simulate_experiment.h"

namespace pearbarrow::bench {

/// A generation as the engine sees it.
struct sequence_request {
    std::uint32_t call = 0;
    /// Lower runs first.
    std::int32_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 1;
    /// Prefixes of prompt and answer; the last one is the program's own, answer included.
    std::vector<prefix_part> parts;
    /// The program's own prefix is pinned for this long after the answer.
    sim_time pin_us = 0;
};

enum class engine_event_kind : std::uint8_t { started, first_token, finished };

struct engine_event {
    engine_event_kind kind = engine_event_kind::finished;
    std::uint32_t call = 0;
    std::uint32_t cached_tokens = 0;
};

class simulated_engine {
  public:
    explicit simulated_engine(const engine_spec& spec);

    void submit(sequence_request request, sim_time now);
    /// When `advance` has something to do; none while idle.
    std::optional<sim_time> next_event() const;
    /// Carries out what is due at `now`, which must not be later than `next_event`.
    void advance(sim_time now);
    std::vector<engine_event> take_events() { return std::exchange(events_, {}); }

    void set_slowness(double factor) { slowness_ = factor; }
    /// Loses cache and work. Returns the calls that were waiting or running.
    std::vector<std::uint32_t> restart(sim_time now);
    prefix_cache& cache() { return cache_; }
    const prefix_cache& cache() const { return cache_; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }
    double busy_seconds() const { return static_cast<double>(busy_us_) / us_per_second; }
    std::uint64_t computed_prompt_tokens() const { return computed_prompt_tokens_; }
    std::uint64_t preemptions() const { return preemptions_; }

  private:
    struct sequence {
        sequence_request request;
        std::uint64_t arrival = 0;
        std::uint32_t cached = 0;
        /// Tokens of the prompt (and of answers computed before a preemption) still to compute.
        std::uint32_t to_compute = 0;
        std::uint32_t in_step = 0;
        std::uint32_t produced = 0;
        bool started = false;
    };
    struct better {
        bool operator()(const sequence& left, const sequence& right) const {
            return std::pair(left.request.priority, left.arrival) <
                   std::pair(right.request.priority, right.arrival);
        }
    };

    void admit(sim_time now);
    bool try_admit(sequence& candidate, sim_time now);
    bool preempt_worse_than(const sequence& candidate, sim_time now);
    /// Plans the next stretch of equal steps.
    void plan(sim_time now);
    /// Ends `steps` steps of the stretch under way.
    void complete(std::uint32_t steps, sim_time now);
    void finish(sequence& item, sim_time now);

    engine_spec spec_;
    double slowness_;
    prefix_cache cache_;
    /// Best first.
    std::vector<sequence> running_;
    std::multiset<sequence, better> waiting_;
    std::uint64_t arrivals_ = 0;
    bool in_stretch_ = false;
    sim_time stretch_begin_ = 0;
    sim_time step_us_ = 0;
    std::uint32_t steps_ = 0;
    sim_time busy_us_ = 0;
    std::uint64_t computed_prompt_tokens_ = 0;
    std::uint64_t preemptions_ = 0;
    std::vector<engine_event> events_;
};

}  // namespace pearbarrow::bench
