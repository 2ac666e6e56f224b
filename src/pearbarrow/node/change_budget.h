/// Bounds how often a node changes the configuration by itself: a token bucket.
#pragma once

#include <algorithm>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::node {

/// At most `burst` changes at once, and one more each `refill`.
class change_budget {
  public:
    change_budget(int burst, base::milliseconds refill)
        : burst_(burst), refill_(refill), tokens_(burst) {}

    /// Takes a token; false when there is none.
    bool take(base::instant now) {
        if (tokens_ == burst_) {
            refilled_ = now;
        }
        const auto grown = (now - refilled_) / refill_;
        if (grown > 0) {
            tokens_ = static_cast<int>(std::min<decltype(grown + 0)>(burst_, tokens_ + grown));
            refilled_ += grown * refill_;
        }
        if (tokens_ == 0) {
            return false;
        }
        --tokens_;
        return true;
    }

  private:
    int burst_;
    base::milliseconds refill_;
    int tokens_;
    base::instant refilled_{};
};

}  // namespace pearbarrow::node
