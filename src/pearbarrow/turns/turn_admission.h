/// Turns wait here while the storage members have enough to do.
///
/// Those of programs that can still be in time go first, each kind in the order it came. A turn
/// that would wait too long is turned away at once with the time to come back, and the members
/// never hear of it: time spent on a turn whose caller no longer waits is taken from the others.
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
    /// Asks the storage members.
    using begin_step =
        std::function<std::unique_ptr<turn_operation>(turn_request request, done_callback done)>;

    turn_admission(net::event_loop& loop, const base::clock& clock, admission_options options,
                   begin_step begin);
    ~turn_admission();
    turn_admission(const turn_admission&) = delete;
    turn_admission& operator=(const turn_admission&) = delete;

    /// `done` runs once, from the loop. The operation must go before this object.
    [[nodiscard]] std::unique_ptr<turn_operation> admit(turn_request request, done_callback done);

    std::size_t waiting() const { return this->queue.size(); }
    std::size_t window() const { return this->open.size(); }
    std::uint64_t turned_away() const { return this->turned_away_count; }

  private:
    friend class queued_turn;

    void begin_waiting();
    void take_out(std::list<queued_turn*>::iterator place);
    base::milliseconds tolerated_wait(base::instant now);
    std::list<queued_turn*>::iterator next_in_line();

    net::event_loop& loop;
    const base::clock& clock;
    admission_options options;
    begin_step begin;
    preparation_window open;
    std::list<queued_turn*> queue;
    /// Since when there has always been one that waits.
    std::optional<base::instant> crowded_since;
    base::instant crowded_until{};
    std::uint64_t turned_away_count = 0;
};

}  // namespace pearbarrow::turns
