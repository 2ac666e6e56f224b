#include "pearbarrow/forward/service_backends.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace pearbarrow::forward {

void service_backends::add(pool_entry& entry) {
    this->by_order.emplace(entry.backend.zone != this->own_zone, entry.order, &entry);
    zone_backends& zone = this->by_zone[entry.backend.zone];
    zone.ring.emplace(entry.point, &entry);
    if (entry.is_usable()) {
        ++zone.usable;
        zone.slots += std::max(1U, entry.backend.slots);
    }
    this->listed += entry.listed ? 1 : 0;
}

void service_backends::remove(pool_entry& entry) {
    this->by_order.erase({entry.backend.zone != this->own_zone, entry.order, &entry});
    this->vanished.erase({entry.vanished_at, &entry});
    this->listed -= entry.listed ? 1 : 0;
    const auto found = this->by_zone.find(entry.backend.zone);
    zone_backends& zone = found->second;
    zone.ring.erase({entry.point, &entry});
    if (entry.is_usable()) {
        --zone.usable;
        zone.slots -= std::max(1U, entry.backend.slots);
    }
    if (zone.ring.empty()) {
        this->by_zone.erase(found);
    }
}

std::vector<pool_entry*> service_backends::from_point(const zone_backends& zone,
                                                      std::uint64_t point, std::size_t skip,
                                                      std::size_t count) {
    std::vector<pool_entry*> found;
    if (skip >= zone.ring.size()) {
        return found;
    }
    const std::size_t wanted = std::min(skip + count, zone.ring.size());
    auto at = zone.ring.lower_bound({point, nullptr});
    for (std::size_t index = 0; index < wanted; ++index, ++at) {
        if (at == zone.ring.end()) {
            at = zone.ring.begin();
        }
        if (index >= skip) {
            found.push_back(at->second);
        }
    }
    return found;
}

std::size_t service_backends::vanished_since(base::instant since) const {
    while (!this->vanished.empty() && this->vanished.begin()->first <= since) {
        this->vanished.erase(this->vanished.begin());
    }
    return this->vanished.size();
}

std::size_t service_backends::usable_count() const {
    return std::accumulate(
        this->by_zone.begin(), this->by_zone.end(), std::size_t{0},
        [](std::size_t sum, const auto& zone) { return sum + zone.second.usable; });
}

}  // namespace pearbarrow::forward
