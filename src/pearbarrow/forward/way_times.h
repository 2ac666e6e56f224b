/// Round trips to zones, measured by the connections that were opened to their back ends.
///
/// Pure. The least of the latest ones counts: a connection that waits in a queue takes longer, none
/// takes less than the way.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::forward {

class way_times {
  public:
    /// Region by zone; empty: all zones are in one.
    explicit way_times(std::map<std::string, std::string, std::less<>> regions)
        : regions(std::move(regions)) {}

    void add(std::string_view zone, base::microseconds took, base::instant now);
    /// Microseconds there and back. Of a zone without a measurement: the mean of those known in its
    /// region, else the largest known; 0 when none is.
    double round_trip_us(std::string_view zone) const;
    /// Empty: not known, or there are none.
    std::string_view region_of(std::string_view zone) const;

  private:
    struct measurement {
        double least_us = 0;
        /// Of the span under way, which replaces the other at its end.
        double present_us = 0;
        base::instant span_began{};
    };
    static constexpr base::milliseconds span{20'000};

    std::map<std::string, std::string, std::less<>> regions;
    std::map<std::string, measurement, std::less<>> zones;
};

}  // namespace pearbarrow::forward
