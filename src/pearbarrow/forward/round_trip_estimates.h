/// Round-trip estimates by zone, from the time it takes to open connections to back ends.
///
/// Pure. The estimate is the minimum of recent samples: a queue lengthens the time to connect, but
/// nothing makes it shorter than the round trip.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

class round_trip_estimates {
  public:
    /// `regions` maps zones to regions. If empty, all zones belong to one region.
    explicit round_trip_estimates(std::map<std::string, std::string, std::less<>> regions)
        : regions(std::move(regions)) {}

    void add(std::string_view zone, base::microseconds took, base::instant now);
    /// Returns the round-trip time in microseconds. For a zone without samples this is the mean of
    /// the known zones of its region, else the largest known value, or 0 if none is known.
    double round_trip_us(std::string_view zone) const;
    /// Returns the region of the zone, or an empty string if it is unknown or there are no regions.
    std::string_view region_of(std::string_view zone) const;

  private:
    struct measurement {
        double min_us = 0;
        /// Minimum of the current span. It replaces `min_us` at the end of the span.
        double current_min_us = 0;
        base::instant span_started_at{};
    };
    static constexpr base::milliseconds span{20'000};

    std::map<std::string, std::string, std::less<>> regions;
    std::map<std::string, measurement, std::less<>> zones;
};

}  // namespace pearbarrow::forward
