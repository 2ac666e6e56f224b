/// Bounds and tool terms that the configuration puts on programs.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Bounds that one object puts on a program. What is counted (rate, programs at once, tokens in
/// flight) is counted over all programs that the same object applies to.
struct applied_bounds {
    object_key source;
    limits bounds;
};

/// The bounds of the program's tenant, its class and each `limit` object that matches, in the order
/// of their keys. `own` are the program's own labels.
std::vector<applied_bounds> bounds_on(const configuration& configuration,
                                      const base::tenant_id& tenant, std::string_view program_class,
                                      const base::region_name& region, const label_set& own);

/// The smallest value of each field; none where nothing bounds it.
limits tightest(const std::vector<applied_bounds>& bounds);

/// What the operators say of a tool. It stands above what a caller claims.
struct tool_terms {
    /// Running it twice does no harm: only when every service that offers it says so.
    bool repeatable = false;
    /// Budget units of one run: the most that any service asks.
    std::uint64_t cost = 0;

    auto operator<=>(const tool_terms&) const = default;
};

/// None when no service offers the tool.
std::optional<tool_terms> terms_of(const configuration& configuration, const base::tool_name& tool);

}  // namespace pearbarrow::config
