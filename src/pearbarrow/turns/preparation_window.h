/// How many turns a node lets the storage members work on at once.
///
/// A pure state machine: the members' capacity is not known and is shared with all other nodes, so
/// the window grows while they answer quickly and shrinks when they don't. Without it, members that
/// have fallen behind work for callers that no longer wait, and never catch up.
#pragma once

#include <cstddef>
#include <optional>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::turns {

struct window_options {
    /// Turns at once: at the start, at least, at most. The start is above what a node has under way
    /// without trouble; with the least, 60 nodes keep a member busy for a tenth of a second.
    double initial = 64;
    double least = 4;
    double most = 512;
    /// A preparation that takes longer says that the members are behind: some round trips and
    /// synced writes take a tenth of it.
    base::milliseconds slow{150};
    /// What is left of the window after a slow one.
    double shrink_factor = 0.7;
    /// Weight of the newest time between two ends.
    double newest_weight = 0.1;
};

class preparation_window {
  public:
    explicit preparation_window(window_options options)
        : options(options), limit(options.initial), slow_start_until(options.most) {}

    bool has_room() const { return static_cast<double>(this->under_way) < this->limit; }
    void begin() { ++this->under_way; }
    /// The members have confirmed the turn, or have not in time.
    void end(base::instant began, bool confirmed, base::instant now);
    /// Nobody waits for it any more: it says nothing about the members.
    void abandon() { --this->under_way; }

    /// How long one more turn behind `waiting` others would wait for its preparation to begin; none
    /// while no two preparations have ended yet.
    std::optional<base::microseconds> expected_wait(std::size_t waiting) const;
    std::size_t size() const { return static_cast<std::size_t>(this->limit); }

  private:
    void grow();
    void note_pace(base::instant now);

    window_options options;
    double limit;
    /// Below it each quick answer opens the window by one, above it each windowful does.
    double slow_start_until;
    std::size_t under_way = 0;
    /// What began before the last reduction does not reduce again.
    base::instant reduced_at{};
    /// Mean time between two ends while the window is full. Microseconds; 0: not known.
    double pace = 0;
    std::optional<base::instant> last_end;
};

}  // namespace pearbarrow::turns
