#include "pearbarrow/places/zone_rules.h"

#include <chrono>
#include <string>
#include <vector>

#include "pearbarrow/places/storage_zones.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using places::region_limits;
using places::zone_rules;
using places::zone_verdict;

namespace {

zone_rules two_regions() {
    zone_rules rules({{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}});
    rules.set_emptied({.revision = 7, .zones = {{.zone = "north-2", .since = 7}}});
    return rules;
}

}  // namespace

Test(zone_rules, limits_of_route_and_tenant_and_emptied_zones_apply) {
    struct test_case {
        std::vector<std::string> route;
        std::vector<std::string> tenant;
        std::string zone;
        zone_verdict expected;
    };
    const std::vector<test_case> cases = {
        {{}, {}, "north-1", zone_verdict::permitted},
        {{}, {}, "north-2", zone_verdict::zone_emptied},
        {{}, {}, "elsewhere", zone_verdict::permitted},
        {{"north"}, {}, "north-1", zone_verdict::permitted},
        {{"north"}, {}, "north-2", zone_verdict::zone_emptied},
        {{"north"}, {}, "south-1", zone_verdict::region_not_permitted},
        {{"south"}, {}, "north-2", zone_verdict::region_not_permitted},
        {{"north"}, {}, "elsewhere", zone_verdict::region_unknown},
        {{"north", "south"}, {"south"}, "north-1", zone_verdict::region_not_permitted},
        {{"north", "south"}, {"south"}, "south-1", zone_verdict::permitted},
        {{"north"}, {"south"}, "south-1", zone_verdict::region_not_permitted},
        {{"north"}, {"south"}, "north-1", zone_verdict::region_not_permitted},
    };
    const zone_rules rules = two_regions();
    for (const test_case& entry : cases) {
        const region_limits request{.route_regions = entry.route, .tenant_regions = entry.tenant};
        const auto verdict = rules.check(request, entry.zone);
        cr_assert(verdict == entry.expected, "%s: %s", entry.zone.c_str(),
                  std::string(places::to_string(verdict)).c_str());
    }
}

Test(zone_rules, zone_is_permitted_after_withdrawal) {
    zone_rules rules = two_regions();
    cr_assert(rules.is_emptied("north-2"));
    rules.set_emptied({.revision = 9, .zones = {}});
    cr_assert(!rules.is_emptied("north-2"));
    cr_assert(rules.check({}, "north-2") == zone_verdict::permitted);
}

Test(zone_rules, time_of_each_emptied_zone_is_kept) {
    zone_rules rules({});
    cr_assert(!rules.is_emptied_list_known());
    const base::instant first{std::chrono::seconds(1)};
    const base::instant second{std::chrono::seconds(2)};
    rules.set_emptied({.revision = 7, .zones = {{.zone = "a", .since = 7}}}, first);
    rules.set_emptied(
        {.revision = 9, .zones = {{.zone = "a", .since = 7}, {.zone = "b", .since = 9}}}, second);
    cr_assert(rules.is_emptied_list_known());
    cr_assert(rules.emptied_zones_by_name().at("a").received_at == first);
    cr_assert(rules.emptied_zones_by_name().at("b").received_at == second);
    rules.set_emptied({.revision = 12, .zones = {{.zone = "a", .since = 11}}}, second);
    cr_assert(rules.emptied_zones_by_name().at("a").received_at == second,
              "withdrawn and requested again");
}

Test(zone_rules, texts_may_be_stored_in_emptied_zone) {
    const std::vector<std::string> north = {"north"};
    const region_limits request{.route_regions = north, .tenant_regions = {}};
    const zone_rules rules = two_regions();
    cr_assert(rules.check_region(request, "north-2") == zone_verdict::permitted);
    cr_assert(rules.check_region(request, "south-1") == zone_verdict::region_not_permitted);
}

Test(zone_rules, configuration_has_limits_if_route_or_tenant_does) {
    directory::configuration config;
    config.routes.resize(2);
    config.tenants.resize(2);
    cr_assert(!places::has_region_limits(config));
    config.routes[1].permitted_regions = {"north"};
    cr_assert(places::has_region_limits(config));
    config.routes[1].permitted_regions.clear();
    config.tenants[1].permitted_regions = {"north"};
    cr_assert(places::has_region_limits(config));
}

Test(zone_rules, all_members_of_group_must_be_permitted) {
    const std::vector<std::string> north = {"north"};
    const region_limits request{.route_regions = north, .tenant_regions = {}};
    const zone_rules rules = two_regions();
    std::vector<directory::storage_member> members(2);
    members[0].zone = "north-1";
    members[1].zone = "north-2";
    cr_assert(places::check_storage(rules, request, members) == zone_verdict::permitted);
    members[1].zone = "south-1";
    cr_assert(places::check_storage(rules, request, members) == zone_verdict::region_not_permitted);
    cr_assert(places::check_storage(rules, {}, members) == zone_verdict::permitted);
    members[1].zone = "elsewhere";
    cr_assert(places::check_storage(rules, request, members) == zone_verdict::region_unknown);
}
