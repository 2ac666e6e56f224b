/// Client of the storage members on edges: reserves tokens, reads chains and stores
/// turns.
///
/// Writes go to every member of the program's replica group; an operation succeeds once a majority
/// has confirmed it. There is no leader, so the loss of any minority causes no delay.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/ended_objects.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/group_views.h"
#include "pearbarrow/turns/majority_write.h"
#include "pearbarrow/turns/turn_admission.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

/// Number of turns that wait for the storage members, and of those that were rejected.
struct admission_counts {
    std::size_t waiting = 0;
    /// Maximum number of turns that are prepared concurrently.
    std::size_t window = 0;
    std::uint64_t rejected = 0;
};

class turn_client {
  public:
    turn_client(net::event_loop& loop, const base::clock& clock, member_caller& caller,
                client_options options);
    ~turn_client();
    turn_client(const turn_client&) = delete;
    turn_client& operator=(const turn_client&) = delete;

    void set_view(const directory::storage_view& view);
    const group_views& views() const { return views_; }

    /// Reserves tokens and reads the chain once the members have capacity for it. `done` runs once.
    [[nodiscard]] std::unique_ptr<turn_operation> prepare(turn_request request,
                                                          std::function<void(prepared_turn)> done);
    /// Stores a finished turn and the tokens that it used. `done` runs once a majority has stored
    /// both, or with an error after `timeout`.
    [[nodiscard]] std::unique_ptr<turn_operation> store(finish_request request,
                                                        base::milliseconds timeout,
                                                        std::function<void(absl::Status)> done);
    /// Sends the tokens that the turn used to the members without waiting for a reply.
    void settle(const reservation& settled);
    /// Returns the queue of the program's turns. Each replica group has its own queue, so a slow
    /// group delays only its own turns.
    const turn_admission& admission_of(const base::program_id& program);
    /// Number of writes that no majority has confirmed yet.
    std::size_t unconfirmed_writes() const;
    /// Number of writes that not every member has confirmed yet.
    std::size_t open_writes() const { return writes_.size(); }
    /// Returns the counts summed over all groups.
    admission_counts counts() const;
    /// Returns the replica group that stores the program's turns.
    std::uint32_t group_of(const base::program_id& program) const;

  private:
    turn_admission& queue_of(const base::program_id& program);

    net::event_loop& loop_;
    const base::clock& clock_;
    member_caller& caller_;
    client_options options_;
    group_views views_;
    /// Writes that not every member has confirmed yet.
    std::map<std::uint64_t, std::shared_ptr<majority_write>> writes_;
    net::ended_objects<std::shared_ptr<majority_write>> ended_;
    std::uint64_t last_write_ = 0;
    /// Queues by replica group.
    std::map<std::uint32_t, turn_admission> queues_;
};

}  // namespace pearbarrow::turns
