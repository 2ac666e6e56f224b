/// The owner of one shard's programs: a state machine without I/O, time or randomness of its own.
///
/// It orders each program's calls, tracks budgets and histories, and writes to the journal before
/// it acts. It returns actions for back ends, placement and other owners; the code that executes
/// them passes every outcome back as an event. See docs/design/programs.md.
#pragma once

#include <memory>
#include <vector>

#include "pearbarrow/program/counted_limits.h"
#include "pearbarrow/program/owner_options.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::program {

class owner_state;

/// One term of ownership of one shard. It is created when this node's ballot succeeds, receives
/// `event::journal_recovered` first and is destroyed after `event::ownership_lost`. Requests that
/// arrive before the recovery are rejected with `not_owner` and a retry delay.
class shard_owner {
  public:
    explicit shard_owner(owner_options options);
    ~shard_owner();
    shard_owner(shard_owner&&) noexcept;
    shard_owner& operator=(shard_owner&&) noexcept;

    /// Applies an event and returns the actions to execute, in order.
    std::vector<shard_action> apply(const shard_event& event, base::instant now);

    /// Number of programs in memory, and bytes of cached history: for metrics.
    std::size_t program_count() const;
    std::size_t history_cache_bytes() const;
    /// Programs that have not ended. The reconciliation of engine caches uses this list.
    std::vector<base::program_id> live_programs() const;
    /// Returns the quota that the request needs before it may be passed to `apply`. The list is
    /// empty when no limit applies, and for requests other than new programs and new calls.
    std::vector<quota_need> needs_of(const wire::program_request& request) const;
    /// Returns the shard's use of the limits that apply to its programs.
    const quota_use_map& quota_use() const;
    /// Returns true when no requester waits and no attempt runs, so a planned hand-over may
    /// proceed.
    bool idle() const;

  private:
    std::unique_ptr<owner_state> state_;
};

}  // namespace pearbarrow::program
