#include "pearbarrow/places/storage_places.h"

#include <algorithm>

namespace pearbarrow::places {

place_verdict judge_storage(const place_rules& rules, const place_request& request,
                            std::span<const directory::storage_member> members) {
    for (const directory::storage_member& member : members) {
        const place_verdict verdict = rules.check_region(request, member.zone);
        if (verdict != place_verdict::permitted) {
            return verdict;
        }
    }
    return place_verdict::permitted;
}

bool binds_regions(const directory::configuration& config) {
    const auto is_limited = [](const auto& entry) { return !entry.permitted_regions.empty(); };
    return std::any_of(config.routes.begin(), config.routes.end(), is_limited) ||
           std::any_of(config.tenants.begin(), config.tenants.end(), is_limited);
}

}  // namespace pearbarrow::places
