#include "pearbarrow/places/place_rules.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::places {
namespace {

bool includes(std::span<const std::string> regions, std::string_view region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

std::string_view to_string(place_verdict verdict) {
    switch (verdict) {
        case place_verdict::permitted:
            return "permitted";
        case place_verdict::zone_emptied:
            return "zone_emptied";
        case place_verdict::region_not_permitted:
            return "region_not_permitted";
        case place_verdict::region_unknown:
            return "region_unknown";
    }
    return "unknown";
}

void place_rules::set_emptied(const directory::emptied_zone_list& list, base::instant now) {
    emptied_zones next;
    for (const directory::emptied_zone& entry : list.zones) {
        const auto known = this->emptied.find(entry.zone);
        const bool is_same = known != this->emptied.end() && known->second.since == entry.since;
        next[entry.zone] = {.since = entry.since,
                            .heard_at = is_same ? known->second.heard_at : now};
    }
    this->emptied = std::move(next);
    this->has_emptied_list = true;
}

std::string_view place_rules::region_of(std::string_view zone) const {
    const auto found = this->regions.find(zone);
    return found == this->regions.end() ? std::string_view() : std::string_view(found->second);
}

place_verdict place_rules::check_region(const place_request& request, std::string_view zone) const {
    if (request.permits_all()) {
        return place_verdict::permitted;
    }
    const std::string_view region = this->region_of(zone);
    if (region.empty()) {
        return place_verdict::region_unknown;
    }
    const bool is_permitted =
        includes(request.route_regions, region) && includes(request.tenant_regions, region);
    return is_permitted ? place_verdict::permitted : place_verdict::region_not_permitted;
}

place_verdict place_rules::judge(const place_request& request, std::string_view zone) const {
    // The zone is reported as emptied only if the region is permitted, because an emptied zone is
    // temporary.
    const place_verdict by_region = this->check_region(request, zone);
    if (by_region != place_verdict::permitted) {
        return by_region;
    }
    return this->is_emptied(zone) ? place_verdict::zone_emptied : place_verdict::permitted;
}

}  // namespace pearbarrow::places
