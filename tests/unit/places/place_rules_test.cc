#include "pearbarrow/places/place_rules.h"

#include <chrono>
#include <string>
#include <vector>

#include "pearbarrow/places/storage_places.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using places::place_request;
using places::place_rules;
using places::place_verdict;

namespace {

place_rules two_regions() {
    place_rules rules({{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}});
    rules.set_emptied({.revision = 7, .zones = {{.zone = "north-2", .since = 7}}});
    return rules;
}

}  // namespace

Test(place_rules, limits_of_route_and_tenant_and_emptied_zones_apply) {
    struct test_case {
        std::vector<std::string> route;
        std::vector<std::string> tenant;
        std::string zone;
        place_verdict expected;
    };
    const std::vector<test_case> cases = {
        {{}, {}, "north-1", place_verdict::permitted},
        {{}, {}, "north-2", place_verdict::zone_emptied},
        {{}, {}, "elsewhere", place_verdict::permitted},
        {{"north"}, {}, "north-1", place_verdict::permitted},
        {{"north"}, {}, "north-2", place_verdict::zone_emptied},
        {{"north"}, {}, "south-1", place_verdict::region_not_permitted},
        {{"south"}, {}, "north-2", place_verdict::region_not_permitted},
        {{"north"}, {}, "elsewhere", place_verdict::region_unknown},
        {{"north", "south"}, {"south"}, "north-1", place_verdict::region_not_permitted},
        {{"north", "south"}, {"south"}, "south-1", place_verdict::permitted},
        {{"north"}, {"south"}, "south-1", place_verdict::region_not_permitted},
        {{"north"}, {"south"}, "north-1", place_verdict::region_not_permitted},
    };
    const place_rules rules = two_regions();
    for (const test_case& entry : cases) {
        const place_request request{.route_regions = entry.route, .tenant_regions = entry.tenant};
        const auto verdict = rules.judge(request, entry.zone);
        cr_assert(verdict == entry.expected, "%s: %s", entry.zone.c_str(),
                  std::string(places::to_string(verdict)).c_str());
    }
}

Test(place_rules, zone_is_permitted_after_withdrawal) {
    place_rules rules = two_regions();
    cr_assert(rules.is_emptied("north-2"));
    rules.set_emptied({.revision = 9, .zones = {}});
    cr_assert(!rules.is_emptied("north-2"));
    cr_assert(rules.judge({}, "north-2") == place_verdict::permitted);
}

Test(place_rules, time_of_each_emptied_zone_is_kept) {
    place_rules rules({});
    cr_assert(!rules.knows_emptied());
    const base::instant first{std::chrono::seconds(1)};
    const base::instant second{std::chrono::seconds(2)};
    rules.set_emptied({.revision = 7, .zones = {{.zone = "a", .since = 7}}}, first);
    rules.set_emptied(
        {.revision = 9, .zones = {{.zone = "a", .since = 7}, {.zone = "b", .since = 9}}}, second);
    cr_assert(rules.knows_emptied());
    cr_assert(rules.all_emptied().at("a").heard_at == first);
    cr_assert(rules.all_emptied().at("b").heard_at == second);
    rules.set_emptied({.revision = 12, .zones = {{.zone = "a", .since = 11}}}, second);
    cr_assert(rules.all_emptied().at("a").heard_at == second, "withdrawn and requested again");
}

Test(place_rules, texts_may_be_stored_in_emptied_zone) {
    const std::vector<std::string> north = {"north"};
    const place_request request{.route_regions = north, .tenant_regions = {}};
    const place_rules rules = two_regions();
    cr_assert(rules.check_region(request, "north-2") == place_verdict::permitted);
    cr_assert(rules.check_region(request, "south-1") == place_verdict::region_not_permitted);
}

Test(place_rules, configuration_has_limits_if_route_or_tenant_does) {
    directory::configuration config;
    config.routes.resize(2);
    config.tenants.resize(2);
    cr_assert(!places::binds_regions(config));
    config.routes[1].permitted_regions = {"north"};
    cr_assert(places::binds_regions(config));
    config.routes[1].permitted_regions.clear();
    config.tenants[1].permitted_regions = {"north"};
    cr_assert(places::binds_regions(config));
}

Test(place_rules, all_members_of_group_must_be_permitted) {
    const std::vector<std::string> north = {"north"};
    const place_request request{.route_regions = north, .tenant_regions = {}};
    const place_rules rules = two_regions();
    std::vector<directory::storage_member> members(2);
    members[0].zone = "north-1";
    members[1].zone = "north-2";
    cr_assert(places::judge_storage(rules, request, members) == place_verdict::permitted);
    members[1].zone = "south-1";
    cr_assert(places::judge_storage(rules, request, members) ==
              place_verdict::region_not_permitted);
    cr_assert(places::judge_storage(rules, {}, members) == place_verdict::permitted);
    members[1].zone = "elsewhere";
    cr_assert(places::judge_storage(rules, request, members) == place_verdict::region_unknown);
}
