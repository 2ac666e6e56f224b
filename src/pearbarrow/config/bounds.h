/// Bounds on programs and terms of tools, as the configuration sets them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Bounds that one object sets for a program. Rates, concurrent programs and in-flight tokens are
/// counted over all programs that the object applies to.
struct applied_bounds {
    object_key source;
    limits bounds;
};

/// Returns the bounds of the class and the tenant of the program and of each matching `limit`
/// object, in the order of their keys. `own` holds the labels of the program itself.
std::vector<applied_bounds> bounds_on(const configuration& configuration,
                                      const base::tenant_id& tenant, std::string_view program_class,
                                      const base::region_name& region, const label_set& own);

/// Returns the smallest value of each field. Fields that no object bounds stay empty.
limits tightest(const std::vector<applied_bounds>& bounds);

/// Terms of a tool as configured by operators. They override the terms that a caller states.
struct tool_terms {
    /// Whether the tool may run twice. True only if every service that offers it is configured so.
    bool repeatable = false;
    /// Budget units of one execution: the maximum over all services that offer the tool.
    std::uint64_t cost = 0;

    auto operator<=>(const tool_terms&) const = default;
};

/// Returns the terms of the tool, or nothing if no service offers it.
std::optional<tool_terms> terms_of(const configuration& configuration, const base::tool_name& tool);

}  // namespace pearbarrow::config
