/// Token bucket. Pure: time is handed in.
#pragma once

#include <algorithm>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::emulator {

class rate_limiter {
  public:
    /// `rate` requests a second, at most `burst` at once. Rate zero or less: no limit.
    rate_limiter(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    /// Zero when the request may pass, else the time until the next one may.
    base::microseconds take(base::instant now) {
        if (rate_ <= 0) {
            return base::microseconds{0};
        }
        const double passed = std::chrono::duration<double>(now - filled_at_).count();
        tokens_ = std::min(burst_, tokens_ + passed * rate_);
        filled_at_ = now;
        if (tokens_ >= 1) {
            tokens_ -= 1;
            return base::microseconds{0};
        }
        return std::chrono::ceil<base::microseconds>(
            std::chrono::duration<double>((1 - tokens_) / rate_));
    }

  private:
    double rate_;
    double burst_;
    double tokens_;
    base::instant filled_at_{};
};

}  // namespace pearbarrow::emulator
