/// Priority of a turn at its engine, from 0 (first) to 9 (last).
///
/// An engine admits requests with a lower number first, and evicts those with the highest number
/// when it runs out of memory.
#pragma once

#include <cstdint>

namespace pearbarrow::forward {

struct turn_urgency {
    /// Priority of the tenant, or of the route if the tenant has none. 0 is the highest.
    std::uint32_t rank = 0;
    /// Whether this is the first turn of its program.
    bool is_first = false;
    /// Whether the deadline of the program has passed.
    bool is_late = false;
};

std::uint32_t engine_priority(const turn_urgency& urgency);

}  // namespace pearbarrow::forward
