#include "pearbarrow/tenants/quota_members.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::tenants {

std::vector<directory::storage_member> quota_members(const directory::storage_view& view,
                                                     std::string_view tenant) {
    std::vector<directory::storage_member> members = turns::voters_of(view);
    // Highest random weight: a member that comes or goes changes no other tenant's members.
    const auto weight = [tenant](const directory::storage_member& member) {
        return base::stable_hash(member.node.value(), base::stable_hash(tenant));
    };
    std::sort(members.begin(), members.end(), [&](const auto& left, const auto& right) {
        return std::make_pair(weight(left), left.node) > std::make_pair(weight(right), right.node);
    });
    // Each zone's heaviest first, then each zone's second, and so on.
    std::map<std::string, std::size_t> seen;
    std::vector<std::pair<std::size_t, directory::storage_member>> placed;
    for (directory::storage_member& member : members) {
        const std::size_t place = seen[member.zone]++;
        placed.emplace_back(place, std::move(member));
    }
    std::stable_sort(placed.begin(), placed.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    placed.resize(std::min(placed.size(), quota_shares));
    members.clear();
    for (auto& entry : placed) {
        members.push_back(std::move(entry.second));
    }
    return members;
}

}  // namespace pearbarrow::tenants
