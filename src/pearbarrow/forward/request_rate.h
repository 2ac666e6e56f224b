/// How many requests a second come of late.
#pragma once

#include <chrono>
#include <cmath>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

/// A pure state machine: older requests count for less, by half after 1.4 s.
class request_rate {
  public:
    void note(base::instant now) {
        this->count = this->decayed(now) + 1;
        this->noted_at = now;
    }
    double per_second(base::instant now) const { return this->decayed(now) / time_constant; }

  private:
    /// Seconds: short enough to follow a burst, long enough to hold ten requests of a small node.
    static constexpr double time_constant = 2;

    double decayed(base::instant now) const {
        const double age = std::chrono::duration<double>(now - this->noted_at).count();
        return this->count * std::exp(-age / time_constant);
    }

    double count = 0;
    base::instant noted_at{};
};

}  // namespace pearbarrow::forward
