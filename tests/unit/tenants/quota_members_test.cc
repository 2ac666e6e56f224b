// Which members count a tenant's requests, where a zone may be lost.
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

Test(quota_members, no_zone_holds_two_of_a_tenants_members_where_three_zones_have_any) {
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

Test(quota_members, one_that_leaves_changes_nothing_for_tenants_that_it_does_not_count) {
    const auto before = view_of({{"a", 4}, {"b", 4}, {"c", 3}});
    auto after = before;
    const base::node_id gone = before.members[5].node;
    after.members.erase(after.members.begin() + 5);
    int counted = 0;
    for (int tenant = 0; tenant < 300; ++tenant) {
        const auto members = quota_members(before, tenant_name(tenant));
        const bool counts = std::any_of(members.begin(), members.end(),
                                        [&](const auto& member) { return member.node == gone; });
        counted += counts ? 1 : 0;
        cr_assert(counts || quota_members(after, tenant_name(tenant)) == members);
    }
    cr_assert(counted > 30 && counted < 200, "%d", counted);
}
