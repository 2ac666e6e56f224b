/// The engines of a cell: what is in flight on each, and how fast each has been of late.
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
    /// Place in the table; none when the engine has left the configuration.
    std::optional<std::size_t> engine;
    base::instant granted_at;
    /// Expected from grant to end, at the engine's nominal speed.
    double nominal_us = 0;
    /// Context tokens that it is counted with on its engine.
    std::uint64_t held_tokens = 0;
    std::uint32_t uncached_tokens = 0;
    base::milliseconds pin_lease{0};
};

class engine_table {
  public:
    /// Replaces the configured engines. What runs on engines that stay is kept.
    void set(std::vector<cell_engine> engines);
    std::size_t size() const { return engines_.size(); }
    const cell_engine& at(std::size_t index) const { return engines_[index].configured; }
    std::optional<std::size_t> find(const base::backend_id& backend) const;

    /// Engines that may be granted calls, those with a free place, and all.
    engine_mask usable() const;
    engine_mask open() const;

    void add(running_call call, base::instant now);
    /// Removes and returns the call; none when it is unknown.
    std::optional<running_call> remove(const base::attempt_id& attempt);
    bool runs(const base::attempt_id& attempt) const { return calls_.contains(attempt); }
    std::size_t running() const { return calls_.size(); }
    /// A call of known outcome took `actual_us`; updates the engine's slowdown.
    void learn(const running_call& call, double actual_us);
    /// Looks for engines on which calls are overdue.
    void check_overdue(base::instant now);

    void report(const engine_report_event& event, base::instant now);
    /// True when the engine has started anew since its last report.
    bool restarted(const engine_report_event& event) const;
    void set_state(std::size_t index, bool draining, bool unreachable);

    /// Changes with everything that `fill` writes, but for the passing of time.
    std::uint64_t version() const { return version_; }
    /// Writes load, speeds and report age; leaves the fields about the call itself alone.
    /// `count_reported`: calls that only the load report knows count as in flight.
    void fill(std::size_t index, base::instant now, base::milliseconds report_horizon,
              bool count_reported, candidate_input& candidate) const;

  private:
    struct entry {
        cell_engine configured;
        std::uint32_t in_flight = 0;
        std::uint64_t tokens = 0;
        /// When the prompts of the calls in flight are expected to have been computed.
        base::instant prefill_done;
        double slowdown = 1;
        /// Of calls that still run, when most are late.
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
