#include "pearbarrow/forward/round_trip_estimates.h"

#include <algorithm>

namespace pearbarrow::forward {

void round_trip_estimates::add(std::string_view zone, base::microseconds took, base::instant now) {
    const auto time = static_cast<double>(took.count());
    const auto found = this->zones.find(zone);
    if (found == this->zones.end()) {
        this->zones.emplace(
            zone, measurement{.min_us = time, .current_min_us = time, .span_started_at = now});
        return;
    }
    measurement& known = found->second;
    known.min_us = std::min(known.min_us, time);
    known.current_min_us = std::min(known.current_min_us, time);
    if (now - known.span_started_at >= span) {
        known = {.min_us = known.current_min_us, .current_min_us = time, .span_started_at = now};
    }
}

double round_trip_estimates::round_trip_us(std::string_view zone) const {
    if (const auto found = this->zones.find(zone); found != this->zones.end()) {
        return found->second.min_us;
    }
    const std::string_view region = this->region_of(zone);
    double sum = 0;
    double count = 0;
    double most = 0;
    for (const auto& [other, known] : this->zones) {
        most = std::max(most, known.min_us);
        if (this->region_of(other) == region) {
            sum += known.min_us;
            ++count;
        }
    }
    return count > 0 ? sum / count : most;
}

std::string_view round_trip_estimates::region_of(std::string_view zone) const {
    const auto found = this->regions.find(zone);
    return found == this->regions.end() ? std::string_view{} : found->second;
}

}  // namespace pearbarrow::forward
