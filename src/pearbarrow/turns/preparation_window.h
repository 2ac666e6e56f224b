/// Limits the number of turns that a node prepares concurrently at the storage members.
///
/// A pure state machine. The capacity of the members is unknown and shared with all other nodes, so
/// the window grows while they reply quickly and shrinks when they are slow. Without a limit,
/// overloaded members would spend their time on requests whose callers no longer wait, and would
/// never catch up.
#pragma once

#include <cstddef>
#include <optional>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::turns {

struct window_options {
    /// Initial, minimum and maximum number of concurrent turns. The initial value is above the
    /// concurrency of a node under normal load; at the minimum, 60 nodes keep a member busy for a
    /// tenth of a second.
    double initial = 64;
    double min_size = 4;
    double max_size = 512;
    /// A preparation that takes longer indicates that the members are overloaded. A few round trips
    /// and synced writes normally take a tenth of this time.
    base::milliseconds slow_threshold{150};
    /// Factor that a slow preparation applies to the window.
    double shrink_factor = 0.7;
    /// Weight of the newest interval in the moving average of completion intervals.
    double newest_weight = 0.1;
};

class preparation_window {
  public:
    explicit preparation_window(window_options options)
        : options(options), limit(options.initial), slow_start_threshold(options.max_size) {}

    bool has_room() const { return static_cast<double>(this->under_way) < this->limit; }
    void begin() { ++this->under_way; }
    /// Ends a preparation. `confirmed` is false if the members did not confirm the turn in time.
    void end(base::instant started_at, bool confirmed, base::instant now);
    /// Ends a preparation whose caller has gone; it does not affect the window.
    void abandon() { --this->under_way; }

    /// Returns how long a new turn behind `waiting` queued turns would wait before its preparation
    /// begins; empty until two preparations have ended.
    std::optional<base::microseconds> expected_wait(std::size_t waiting) const;
    std::size_t size() const { return static_cast<std::size_t>(this->limit); }

  private:
    void grow();
    void record_interval(base::instant now);

    window_options options;
    double limit;
    /// Slow start threshold: below it the window grows by one per quick preparation, above it by
    /// one per full window.
    double slow_start_threshold;
    std::size_t under_way = 0;
    /// Time of the last reduction. Preparations that began before it do not reduce the window
    /// again.
    base::instant reduced_at{};
    /// Moving average of the interval between completions while the window is full, in
    /// microseconds; 0 if unknown.
    double mean_interval_us = 0;
    std::optional<base::instant> last_ended_at;
};

}  // namespace pearbarrow::turns
