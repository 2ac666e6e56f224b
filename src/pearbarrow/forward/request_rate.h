/// Estimates the recent request rate.
#pragma once

#include <chrono>
#include <cmath>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

/// A pure state machine. The weight of a request halves after 1.4 s.
class request_rate {
  public:
    void record(base::instant now) {
        this->count = this->decayed(now) + 1;
        this->recorded_at = now;
    }
    double per_second(base::instant now) const { return this->decayed(now) / time_constant; }

  private:
    /// Seconds. Short enough to follow a burst, and long enough to cover ten requests of a small
    /// node.
    static constexpr double time_constant = 2;

    double decayed(base::instant now) const {
        const double age = std::chrono::duration<double>(now - this->recorded_at).count();
        return this->count * std::exp(-age / time_constant);
    }

    double count = 0;
    base::instant recorded_at{};
};

}  // namespace pearbarrow::forward
