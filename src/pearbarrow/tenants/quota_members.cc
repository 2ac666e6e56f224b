#include "pearbarrow/tenants/quota_members.h"

#include <algorithm>
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
    const std::size_t count = std::min(members.size(), quota_shares);
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count),
                      members.end(), [&](const auto& left, const auto& right) {
                          return std::make_pair(weight(left), left.node) >
                                 std::make_pair(weight(right), right.node);
                      });
    members.resize(count);
    return members;
}

}  // namespace pearbarrow::tenants
