/// The forwarding side of turns: reserves, reads chains and stores turns on the storage members.
///
/// Writes go to every member of the program's replica group; an operation succeeds once a majority
/// of them has confirmed it. No member leads, so the loss of any minority delays nothing.
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

/// What waits for storage members, and what was turned away.
struct admission_counts {
    std::size_t waiting = 0;
    /// Turns that may be prepared at once.
    std::size_t window = 0;
    std::uint64_t turned_away = 0;
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

    /// Reserves and reads, once the members have room for it. `done` runs once.
    [[nodiscard]] std::unique_ptr<turn_operation> prepare(turn_request request,
                                                          std::function<void(prepared_turn)> done);
    /// Stores a turn that has ended, with its cost. `done` runs once a majority has it, or with an
    /// error after `timeout`.
    [[nodiscard]] std::unique_ptr<turn_operation> store(finish_request request,
                                                        base::milliseconds timeout,
                                                        std::function<void(absl::Status)> done);
    /// Tells the members what a turn cost, without an answer being waited for.
    void settle(const reservation& settled);
    /// Where the program's turns wait: each replica group has a line of its own, so that a slow one
    /// holds up only its own turns.
    const turn_admission& admission_of(const base::program_id& program);
    /// Over all groups.
    admission_counts counts() const;
    /// The replica group that keeps the program.
    std::uint32_t group_of(const base::program_id& program) const;

  private:
    turn_admission& line_of(const base::program_id& program);

    net::event_loop& loop_;
    const base::clock& clock_;
    member_caller& caller_;
    client_options options_;
    group_views views_;
    /// Writes that have not reached every member yet.
    std::map<std::uint64_t, std::shared_ptr<majority_write>> writes_;
    net::ended_objects<std::shared_ptr<majority_write>> ended_;
    std::uint64_t last_write_ = 0;
    /// By replica group.
    std::map<std::uint32_t, turn_admission> lines_;
};

}  // namespace pearbarrow::turns
