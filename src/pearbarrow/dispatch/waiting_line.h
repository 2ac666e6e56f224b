/// Requests that wait until their service has room, and which of them goes next.
///
/// Order: whoever has waited as long as anyone may; then programs that can still end in time before
/// those that can't; then the route's priority; then the fewest turns left, so that work done is
/// not lost by work begun; then the earliest end wanted. A pure state machine: whether a program
/// can still end in time is judged anew at each choice.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::dispatch {

/// What the order goes by.
struct urgency {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Turns that the program is expected to have, this one among them.
    double turns_left = 1;
    /// When the whole program, or a request of no program, should be over.
    base::instant wanted_by{};
};

struct waiting_request {
    urgency order;
    base::instant since{};
    /// Never held back beyond this.
    base::instant at_latest{};
    /// Runs once, when it is the request's turn; it may enter another request.
    std::function<void()> on_turn;
};

class waiting_line {
  public:
    using place = std::uint64_t;

    place enter(waiting_request request);
    /// The request's caller has gone.
    void leave(place number);
    bool is_empty() const { return this->entries.empty(); }
    std::size_t size() const { return this->entries.size(); }
    /// Takes out whoever goes next; `turn_time` is the least time that a turn needs.
    std::optional<waiting_request> take_next(base::instant now, base::microseconds turn_time);
    /// Takes out one that must not wait any longer, if there is one.
    std::optional<waiting_request> take_overdue(base::instant now);
    /// Requests that can still end in time.
    std::size_t count_in_time(base::instant now, base::microseconds turn_time) const;
    /// When the first request must not wait any longer; none when nobody waits.
    std::optional<base::instant> next_limit() const;

  private:
    struct entry {
        place number = 0;
        waiting_request request;
    };

    waiting_request take_out(std::list<entry>::iterator chosen);

    std::list<entry> entries;
    place last_number = 0;
};

}  // namespace pearbarrow::dispatch
