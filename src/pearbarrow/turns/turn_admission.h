/// Queues turns while the storage members are at capacity.
///
/// Turns of programs that can still meet their deadline go first; within each class the order is
/// first in, first out. A turn whose wait would be too long is rejected immediately with a retry
/// delay and never reaches the members, because work on a turn whose caller no longer waits takes
/// capacity from the others.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/preparation_window.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

class queued_turn;

class turn_admission {
  public:
    using done_callback = std::function<void(prepared_turn)>;
    /// Starts the preparation of a turn at the storage members.
    using begin_step =
        std::function<std::unique_ptr<turn_operation>(turn_request request, done_callback done)>;

    turn_admission(net::event_loop& loop, const base::clock& clock, admission_options options,
                   begin_step begin);
    ~turn_admission();
    turn_admission(const turn_admission&) = delete;
    turn_admission& operator=(const turn_admission&) = delete;

    /// Runs `done` once, from the event loop. The returned operation must be destroyed before this
    /// object.
    [[nodiscard]] std::unique_ptr<turn_operation> admit(turn_request request, done_callback done);

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t window() const { return this->preparations.size(); }
    std::uint64_t rejected() const { return this->rejected_count; }

  private:
    friend class queued_turn;

    void start_queued();
    void remove(std::list<queued_turn*>::iterator position);
    base::milliseconds max_queue_time(base::instant now);
    std::list<queued_turn*>::iterator next_turn();

    net::event_loop& loop;
    const base::clock& clock;
    admission_options options;
    begin_step begin;
    preparation_window preparations;
    std::list<queued_turn*> queue;
    /// Time since which the queue has been non-empty.
    std::optional<base::instant> queue_nonempty_since;
    base::instant overloaded_until{};
    std::uint64_t rejected_count = 0;
};

}  // namespace pearbarrow::turns
