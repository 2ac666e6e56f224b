#include "pearbarrow/places/storage_zones.h"

#include <algorithm>

namespace pearbarrow::places {

zone_verdict check_storage(const zone_rules& rules, const region_limits& request,
                           std::span<const directory::storage_member> members) {
    for (const directory::storage_member& member : members) {
        const zone_verdict verdict = rules.check_region(request, member.zone);
        if (verdict != zone_verdict::permitted) {
            return verdict;
        }
    }
    return zone_verdict::permitted;
}

bool has_region_limits(const directory::configuration& config) {
    const auto is_limited = [](const auto& entry) { return !entry.permitted_regions.empty(); };
    return std::any_of(config.routes.begin(), config.routes.end(), is_limited) ||
           std::any_of(config.tenants.begin(), config.tenants.end(), is_limited);
}

}  // namespace pearbarrow::places
