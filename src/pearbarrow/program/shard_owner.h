/// The owner of one shard's programs: a state machine without I/O, time or randomness of its own.
///
/// It sequences each program's calls, keeps budgets and histories, journals before it acts, and
/// talks to back ends, placement and other owners through the actions it returns. The shell feeds
/// every outcome back as an event. See docs/design/programs.md.
#pragma once

#include <memory>
#include <vector>

#include "pearbarrow/program/counted_limits.h"
#include "pearbarrow/program/owner_options.h"
#include "pearbarrow/program/shard_actions.h"
#include "pearbarrow/program/shard_events.h"

namespace pearbarrow::program {

class owner_state;

/// One term of ownership of one shard: made when this node's ballot holds, fed
/// `event::journal_recovered` first, dropped after `event::ownership_lost`. Requests that come
/// before the recovery are refused with `not_owner` and a time to come back.
class shard_owner {
  public:
    explicit shard_owner(owner_options options);
    ~shard_owner();
    shard_owner(shard_owner&&) noexcept;
    shard_owner& operator=(shard_owner&&) noexcept;

    /// The actions to carry out, in their order.
    std::vector<shard_action> apply(const shard_event& event, base::instant now);

    /// Number of programs in memory, and bytes of cached history: for metrics.
    std::size_t program_count() const;
    std::size_t history_cache_bytes() const;
    /// Programs that have not ended; the reconciliation of engines' caches goes by it.
    std::vector<base::program_id> live_programs() const;
    /// What the request needs room in before it may be given to `apply`: empty when nothing limits
    /// it, and for everything but new programs and new calls.
    std::vector<quota_need> needs_of(const wire::program_request& request) const;
    /// What the shard's programs use of the limits that apply to them.
    const quota_use_map& quota_use() const;
    /// True when no requester waits and no attempt runs: a planned hand-over may go on.
    bool idle() const;

  private:
    std::unique_ptr<owner_state> state_;
};

}  // namespace pearbarrow::program
