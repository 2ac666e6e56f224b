/// Counts the grants of a sliding window.
#pragma once

#include <cstdint>
#include <deque>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::tenants {

/// Counts grants in slots of 50 ms, so that a window takes the same memory at any rate.
class recent_grants {
  public:
    void record(base::instant now) {
        const std::int64_t slot = slot_of(now);
        if (this->slots.empty() || this->slots.back().number != slot) {
            this->slots.push_back({slot, 0});
        }
        ++this->slots.back().count;
        ++this->total;
    }

    /// Returns the grants of the last `window`, including the slot at its edge.
    std::uint32_t count_within(base::microseconds window, base::instant now) {
        const std::int64_t oldest = slot_of(now - window);
        while (!this->slots.empty() && this->slots.front().number < oldest) {
            this->total -= this->slots.front().count;
            this->slots.pop_front();
        }
        return this->total;
    }

  private:
    struct slot_count {
        std::int64_t number = 0;
        std::uint32_t count = 0;
    };

    static std::int64_t slot_of(base::instant time) {
        constexpr base::microseconds slot_length{50'000};
        return std::chrono::duration_cast<base::microseconds>(time.time_since_epoch()) /
               slot_length;
    }

    std::deque<slot_count> slots;
    std::uint32_t total = 0;
};

}  // namespace pearbarrow::tenants
