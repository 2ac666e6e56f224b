/// Bounds how much retries may add to the load: a token bucket that first tries fill and retries
/// drain (the retry budget of Google's "Site Reliability Engineering", chapter 22).
#pragma once

#include <algorithm>
#include <cstdint>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::node {

struct retry_budget_options {
    /// Retries that a first try pays for.
    double for_each_first = 0.2;
    /// Retries a second that are always allowed.
    double each_second = 500.0;
    /// Most retries at once: the open requests of a busy node whose owner was lost.
    double most = 2'000.0;
};

class retry_budget {
  public:
    explicit retry_budget(base::instant now, retry_budget_options options = {})
        : options_(options), saved_(options.most), filled_at_(now) {}

    void first_try() { saved_ = std::min(options_.most, saved_ + options_.for_each_first); }

    /// Takes one retry; zero when it may go at once, else how much later it may. A later retry has
    /// taken its place in the line, and must not ask again.
    base::microseconds take(base::instant now) {
        fill(now);
        saved_ -= 1.0;
        if (saved_ >= 0.0) {
            return base::microseconds(0);
        }
        ++delayed_;
        const double seconds = -saved_ / options_.each_second;
        return base::microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }

    /// Retries that had to wait for the budget.
    std::uint64_t delayed() const { return delayed_; }

  private:
    void fill(base::instant now) {
        if (now <= filled_at_) {
            return;
        }
        const double seconds = std::chrono::duration<double>(now - filled_at_).count();
        saved_ = std::min(options_.most, saved_ + seconds * options_.each_second);
        filled_at_ = now;
    }

    retry_budget_options options_;
    double saved_;
    base::instant filled_at_;
    std::uint64_t delayed_ = 0;
};

}  // namespace pearbarrow::node
