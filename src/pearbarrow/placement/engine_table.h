/// The engines of a cell with their calls in flight and recent speeds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/placement/call_queue.h"
#include "pearbarrow/placement/cell_scheduler.h"

namespace pearbarrow::placement {

/// A granted call that has not ended.
struct running_call {
    wire::placement_offer offer;
    /// Index in the table; none when the engine is no longer configured.
    std::optional<std::size_t> engine;
    base::instant granted_at;
    /// Expected time from grant to completion at the engine's nominal speed.
    double nominal_us = 0;
    /// Context tokens that the call reserves on its engine.
    std::uint64_t held_tokens = 0;
    std::uint32_t uncached_tokens = 0;
    base::milliseconds pin_lease{0};
};

class engine_table {
  public:
    /// Replaces the configured engines. Calls in flight on engines that remain are kept.
    void set(std::vector<cell_engine> engines);
    std::size_t size() const { return engines_.size(); }
    const cell_engine& at(std::size_t index) const { return engines_[index].configured; }
    std::optional<std::size_t> find(const base::backend_id& backend) const;

    /// Engines that are neither draining nor unreachable.
    engine_mask usable() const;
    /// Usable engines below their limit of requests in flight.
    engine_mask open() const;

    void add(running_call call, base::instant now);
    /// Removes and returns the call; none when it is unknown.
    std::optional<running_call> remove(const base::attempt_id& attempt);
    bool runs(const base::attempt_id& attempt) const { return calls_.contains(attempt); }
    std::size_t running() const { return calls_.size(); }
    /// Updates the engine's slowdown from a completed call that took `actual_us`.
    void learn(const running_call& call, double actual_us);
    /// Updates the overdue factor of every engine.
    void check_overdue(base::instant now);

    void report(const engine_report_event& event, base::instant now);
    /// True when the engine has restarted since its last report.
    bool restarted(const engine_report_event& event) const;
    void set_state(std::size_t index, bool draining, bool unreachable);

    /// Changes whenever the output of `fill` changes for a reason other than time.
    std::uint64_t version() const { return version_; }
    /// Writes load, speeds and report age; fields about the call are unchanged. With
    /// `count_reported`, calls that appear only in the load report count as in flight.
    void fill(std::size_t index, base::instant now, base::milliseconds report_horizon,
              bool count_reported, candidate_input& candidate) const;

  private:
    struct entry {
        cell_engine configured;
        std::uint32_t in_flight = 0;
        std::uint64_t tokens = 0;
        /// Expected time at which all prompts of the calls in flight are prefilled.
        base::instant prefill_done;
        double slowdown = 1;
        /// Slowdown estimated from running calls; above 1 only when at least half of them are
        /// overdue.
        double overdue = 1;
        double mean_service_us = 0;
        std::optional<engine_report_event> last_report;
        base::instant reported_at;
    };

    void count(const running_call& call, int sign);

    std::vector<entry> engines_;
    std::map<base::backend_id, std::size_t> by_name_;
    absl::flat_hash_map<base::attempt_id, running_call> calls_;
    std::uint64_t version_ = 0;
};

}  // namespace pearbarrow::placement
