// Zone rules applied to the back ends of the pool.
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

places::zone_verdict backend_pool::zone_verdict(std::string_view zone,
                                                const places::region_limits& request) const {
    return zone_rules_ == nullptr ? places::zone_verdict::permitted
                                  : zone_rules_->check(request, zone);
}

bool backend_pool::is_in_emptied_zone(std::string_view zone) const {
    return zone_rules_ != nullptr && zone_rules_->is_emptied(zone);
}

/// An emptied zone takes precedence over a region as the reason, because it is temporary and of
/// interest to operators.
places::zone_verdict backend_pool::placement_verdict_of(
    const std::string& service, const std::optional<directory::software_version>& version,
    const places::region_limits& request) const {
    places::zone_verdict reason = places::zone_verdict::permitted;
    const service_backends* backends = find_backends(service, version);
    if (backends == nullptr) {
        return reason;
    }
    for (const auto& [name, zone] : backends->zones()) {
        if (zone.usable == 0) {
            continue;
        }
        const places::zone_verdict verdict = zone_verdict(name, request);
        if (verdict == places::zone_verdict::permitted) {
            return verdict;
        }
        if (reason == places::zone_verdict::permitted ||
            verdict == places::zone_verdict::zone_emptied) {
            reason = verdict;
        }
    }
    return reason;
}

std::uint32_t backend_pool::requests_in_emptied_zones() const {
    std::uint32_t requests = 0;
    for (const pool_entry* entry : used_) {
        requests += is_in_emptied_zone(entry->backend.zone) ? entry->in_flight : 0;
    }
    return requests;
}

}  // namespace pearbarrow::forward
