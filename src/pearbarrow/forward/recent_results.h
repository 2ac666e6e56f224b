/// Counts recent successes and failures of a back end, with exponential decay.
#pragma once

#include <cmath>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

class recent_results {
  public:
    /// Half-life of the counts: a fault is detected within a few requests, and its effect ends
    /// within seconds.
    static constexpr base::milliseconds half_life{1'000};

    /// Adds a result that counts `weight` times.
    void add(bool has_failed, base::instant now, double weight = 1) {
        this->fade(now);
        (has_failed ? this->failures : this->successes) += weight;
    }
    double served(base::instant now) const { return this->successes * this->remaining(now); }
    double failed(base::instant now) const { return this->failures * this->remaining(now); }

  private:
    double remaining(base::instant now) const {
        const std::chrono::duration<double> passed = now - this->counted_at;
        return std::exp2(-passed / std::chrono::duration<double>(half_life));
    }
    void fade(base::instant now) {
        const double left = this->remaining(now);
        this->successes *= left;
        this->failures *= left;
        this->counted_at = now;
    }

    double successes = 0;
    double failures = 0;
    base::instant counted_at{};
};

}  // namespace pearbarrow::forward
