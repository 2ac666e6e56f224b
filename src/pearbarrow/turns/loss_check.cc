#include "pearbarrow/turns/loss_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

#include "pearbarrow/turns/replica_groups.h"

namespace pearbarrow::turns {

std::size_t voter_count(const directory::storage_view& view) {
    return static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(),
                      [](const auto& member) { return !member.retiring; }));
}

std::size_t max_lost_with_zones(const directory::storage_view& view, std::size_t zones) {
    std::map<std::string, std::size_t> by_zone;
    for (const directory::storage_member& member : view.members) {
        if (!member.retiring) {
            ++by_zone[member.zone];
        }
    }
    std::vector<std::size_t> counts;
    counts.reserve(by_zone.size());
    for (const auto& [zone, count] : by_zone) {
        counts.push_back(count);
    }
    std::sort(counts.begin(), counts.end(), std::greater<>());
    std::size_t lost = 0;
    for (std::size_t index = 0; index < std::min(zones, counts.size()); ++index) {
        lost += counts[index];
    }
    return lost;
}

bool leaves_majority(std::size_t voters, std::size_t lost) {
    return lost < voters && voters - lost >= voters / 2 + 1;
}

bool survives_zone_loss(const directory::storage_view& view, std::size_t zones) {
    for (std::uint32_t group = 0; group < view.groups; ++group) {
        const directory::storage_view part = members_of(view, group);
        if (!leaves_majority(voter_count(part), max_lost_with_zones(part, zones))) {
            return false;
        }
    }
    return true;
}

groups_at_risk find_groups_at_risk(const directory::storage_view& view,
                                   const loss_tolerance& tolerance) {
    groups_at_risk found;
    if (view.members.empty()) {
        return found;
    }
    for (std::uint32_t group = 0; group < view.groups; ++group) {
        const directory::storage_view part = members_of(view, group);
        const std::size_t voters = voter_count(part);
        if (!leaves_majority(voters, tolerance.disks)) {
            found.by_disks.push_back(group);
        }
        if (!leaves_majority(voters, max_lost_with_zones(part, tolerance.zones))) {
            found.by_zones.push_back(group);
        }
    }
    return found;
}

}  // namespace pearbarrow::turns
