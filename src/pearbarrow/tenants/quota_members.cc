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
    // Rendezvous hashing: a member that joins or leaves does not affect tenants of other members.
    const auto weight = [tenant](const directory::storage_member& member) {
        return base::stable_hash(member.node.value(), base::stable_hash(tenant));
    };
    std::sort(members.begin(), members.end(), [&](const auto& left, const auto& right) {
        return std::make_pair(weight(left), left.node) > std::make_pair(weight(right), right.node);
    });
    // Sorts the highest-ranked member of each zone first, then the second of each zone, and so on.
    std::map<std::string, std::size_t> members_in_zone;
    std::vector<std::pair<std::size_t, directory::storage_member>> ranked;
    for (directory::storage_member& member : members) {
        const std::size_t rank_in_zone = members_in_zone[member.zone]++;
        ranked.emplace_back(rank_in_zone, std::move(member));
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    ranked.resize(std::min(ranked.size(), quota_shares));
    members.clear();
    for (auto& entry : ranked) {
        members.push_back(std::move(entry.second));
    }
    return members;
}

}  // namespace pearbarrow::tenants
