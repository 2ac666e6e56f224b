#include "pearbarrow/forward/way_times.h"

#include <algorithm>

namespace pearbarrow::forward {

void way_times::add(std::string_view zone, base::microseconds took, base::instant now) {
    const auto time = static_cast<double>(took.count());
    const auto found = this->zones.find(zone);
    if (found == this->zones.end()) {
        this->zones.emplace(zone,
                            measurement{.least_us = time, .present_us = time, .span_began = now});
        return;
    }
    measurement& known = found->second;
    known.least_us = std::min(known.least_us, time);
    known.present_us = std::min(known.present_us, time);
    if (now - known.span_began >= span) {
        known = {.least_us = known.present_us, .present_us = time, .span_began = now};
    }
}

double way_times::round_trip_us(std::string_view zone) const {
    if (const auto found = this->zones.find(zone); found != this->zones.end()) {
        return found->second.least_us;
    }
    const std::string_view region = this->region_of(zone);
    double sum = 0;
    double count = 0;
    double most = 0;
    for (const auto& [other, known] : this->zones) {
        most = std::max(most, known.least_us);
        if (this->region_of(other) == region) {
            sum += known.least_us;
            ++count;
        }
    }
    return count > 0 ? sum / count : most;
}

std::string_view way_times::region_of(std::string_view zone) const {
    const auto found = this->regions.find(zone);
    return found == this->regions.end() ? std::string_view{} : found->second;
}

}  // namespace pearbarrow::forward
