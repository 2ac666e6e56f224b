/// Interface to time. No other code reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace pearbarrow::base {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A point on the monotonic clock of a process, in microseconds. Meaningless in another process.
using instant = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Source of time. Nodes use `system_clock_source`; simulations and tests use `manual_clock`.
class clock {
  public:
    virtual ~clock() = default;
    /// Monotonic time, for all timeouts and deadlines.
    virtual instant now() const = 0;
    /// Microseconds since the Unix epoch, only for logs and display.
    virtual std::int64_t unix_microseconds() const = 0;
};

class system_clock_source final : public clock {
  public:
    instant now() const override;
    std::int64_t unix_microseconds() const override;
};

/// A clock that a test or a simulation advances.
class manual_clock final : public clock {
  public:
    instant now() const override { return now_; }
    std::int64_t unix_microseconds() const override { return now_.time_since_epoch().count(); }
    void advance(microseconds by) { now_ += by; }
    void set(instant now) { now_ = now; }

  private:
    instant now_{};
};

}  // namespace pearbarrow::base
