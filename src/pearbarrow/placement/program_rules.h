/// Scheduling rules that apply to one program in one cell.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pearbarrow::placement {

/// Set of engines of a cell, one bit each.
using engine_mask = std::uint64_t;

struct program_rules {
    /// Engines that scheduling rules permit.
    engine_mask permitted = 0;
    /// Names of the matched rules, one for each kind of pool in the cell, sorted.
    std::vector<std::string> matched;
    std::int32_t priority = 0;
    double latency_weight = 1;
    double cache_weight = 0.5;
    double tenant_weight = 1;
    /// Lowest limits of the tenant, the class and matching `limit` objects; 0 for none. A
    /// dispatcher counts only the calls of its own cell.
    std::uint64_t token_limit = 0;
    std::uint32_t queue_limit = 0;
};

}  // namespace pearbarrow::placement
