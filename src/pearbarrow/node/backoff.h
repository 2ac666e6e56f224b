/// Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015).
#pragma once

#include <algorithm>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::node {

class backoff {
  public:
    backoff(base::milliseconds initial, base::milliseconds maximum)
        : initial_(initial), maximum_(maximum), bound_(initial) {}

    /// The next wait: between a quarter of the bound and the bound, which then doubles.
    base::milliseconds next(base::random_source& random) {
        const auto bound = static_cast<std::uint64_t>(bound_.count());
        const std::uint64_t wait = bound / 4 + random.below(bound - bound / 4 + 1);
        bound_ = std::min(bound_ * 2, maximum_);
        return base::milliseconds(static_cast<std::int64_t>(wait));
    }

    void reset() { bound_ = initial_; }

  private:
    base::milliseconds initial_;
    base::milliseconds maximum_;
    base::milliseconds bound_;
};

}  // namespace pearbarrow::node
