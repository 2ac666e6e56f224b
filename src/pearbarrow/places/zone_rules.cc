#include "pearbarrow/places/zone_rules.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::places {
namespace {

bool includes(std::span<const std::string> regions, std::string_view region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

std::string_view to_string(zone_verdict verdict) {
    switch (verdict) {
        case zone_verdict::permitted:
            return "permitted";
        case zone_verdict::zone_emptied:
            return "zone_emptied";
        case zone_verdict::region_not_permitted:
            return "region_not_permitted";
        case zone_verdict::region_unknown:
            return "region_unknown";
    }
    return "unknown";
}

void zone_rules::set_emptied(const directory::emptied_zone_list& list, base::instant now) {
    emptied_zones next;
    for (const directory::emptied_zone& entry : list.zones) {
        const auto known = this->emptied.find(entry.zone);
        const bool is_same = known != this->emptied.end() && known->second.since == entry.since;
        next[entry.zone] = {.since = entry.since,
                            .received_at = is_same ? known->second.received_at : now};
    }
    this->emptied = std::move(next);
    this->has_emptied_list = true;
}

std::string_view zone_rules::region_of(std::string_view zone) const {
    const auto found = this->regions.find(zone);
    return found == this->regions.end() ? std::string_view() : std::string_view(found->second);
}

zone_verdict zone_rules::check_region(const region_limits& request, std::string_view zone) const {
    if (request.permits_all()) {
        return zone_verdict::permitted;
    }
    const std::string_view region = this->region_of(zone);
    if (region.empty()) {
        return zone_verdict::region_unknown;
    }
    const bool is_permitted =
        includes(request.route_regions, region) && includes(request.tenant_regions, region);
    return is_permitted ? zone_verdict::permitted : zone_verdict::region_not_permitted;
}

zone_verdict zone_rules::check(const region_limits& request, std::string_view zone) const {
    // The zone is reported as emptied only if the region is permitted, because an emptied zone is
    // temporary.
    const zone_verdict by_region = this->check_region(request, zone);
    if (by_region != zone_verdict::permitted) {
        return by_region;
    }
    return this->is_emptied(zone) ? zone_verdict::zone_emptied : zone_verdict::permitted;
}

}  // namespace pearbarrow::places
