// Tests which members enforce a tenant's limit. A tenant must keep members when a zone fails.
#include "pearbarrow/tenants/quota_members.h"

#include <algorithm>
#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::tenants;

namespace {

directory::storage_view view_of(const std::map<std::string, int>& zones) {
    directory::storage_view view{.revision = 1, .members = {}, .groups = 1};
    for (const auto& [zone, count] : zones) {
        for (int number = 0; number < count; ++number) {
            view.members.push_back(
                {.node = base::node_id("store-" + zone + "-" + std::to_string(number)),
                 .address = {},
                 .zone = zone});
        }
    }
    return view;
}

std::size_t zones_of(const std::vector<directory::storage_member>& members) {
    std::map<std::string, int> zones;
    for (const auto& member : members) {
        ++zones[member.zone];
    }
    return zones.size();
}

std::string tenant_name(int index) {
    return "tenant-" + std::to_string(index);
}

}  // namespace

Test(quota_members, members_are_spread_over_all_zones) {
    for (int a = 1; a <= 6; ++a) {
        for (int b = 1; b <= 6; ++b) {
            for (int c = 0; a + b + c <= 12; ++c) {
                const auto view = view_of({{"a", a}, {"b", b}, {"c", c}});
                const std::size_t zones = c == 0 ? 2 : 3;
                for (int tenant = 0; tenant < 20; ++tenant) {
                    const auto members = quota_members(view, tenant_name(tenant));
                    cr_assert(members.size() == std::min(quota_shares, view.members.size()));
                    cr_assert(zones_of(members) == zones, "%d %d %d", a, b, c);
                }
            }
        }
    }
}

Test(quota_members, leaving_member_does_not_affect_tenants_of_other_members) {
    const auto before = view_of({{"a", 4}, {"b", 4}, {"c", 3}});
    auto after = before;
    const base::node_id removed = before.members[5].node;
    after.members.erase(after.members.begin() + 5);
    int responsible_count = 0;
    for (int tenant = 0; tenant < 300; ++tenant) {
        const auto members = quota_members(before, tenant_name(tenant));
        const bool is_responsible =
            std::any_of(members.begin(), members.end(),
                        [&](const auto& member) { return member.node == removed; });
        responsible_count += is_responsible ? 1 : 0;
        cr_assert(is_responsible || quota_members(after, tenant_name(tenant)) == members);
    }
    cr_assert(responsible_count > 30 && responsible_count < 200, "%d", responsible_count);
}
