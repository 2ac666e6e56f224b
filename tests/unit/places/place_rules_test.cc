#include "pearbarrow/places/place_rules.h"

#include <string>
#include <vector>

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

Test(place_rules, route_and_tenant_both_bind_and_an_emptied_zone_takes_nothing) {
    struct row {
        std::vector<std::string> route;
        std::vector<std::string> tenant;
        std::string zone;
        place_verdict wanted;
    };
    const std::vector<row> rows = {
        {{}, {}, "north-1", place_verdict::permitted},
        {{}, {}, "north-2", place_verdict::zone_emptied},
        {{}, {}, "elsewhere", place_verdict::permitted},
        {{"north"}, {}, "north-1", place_verdict::permitted},
        {{"north"}, {}, "north-2", place_verdict::zone_emptied},
        {{"north"}, {}, "south-1", place_verdict::region_not_permitted},
        {{"north"}, {}, "elsewhere", place_verdict::region_unknown},
        {{"north", "south"}, {"south"}, "north-1", place_verdict::region_not_permitted},
        {{"north", "south"}, {"south"}, "south-1", place_verdict::permitted},
        {{"north"}, {"south"}, "south-1", place_verdict::region_not_permitted},
        {{"north"}, {"south"}, "north-1", place_verdict::region_not_permitted},
    };
    const place_rules rules = two_regions();
    for (const row& one : rows) {
        const place_request request{.route_regions = one.route, .tenant_regions = one.tenant};
        const auto given = rules.judge(request, one.zone);
        cr_assert(given == one.wanted, "%s: %s", one.zone.c_str(),
                  std::string(places::to_string(given)).c_str());
    }
}

Test(place_rules, a_zone_that_is_taken_back_is_open_again) {
    place_rules rules = two_regions();
    cr_assert(rules.is_emptied("north-2"));
    rules.set_emptied({.revision = 9, .zones = {}});
    cr_assert(!rules.is_emptied("north-2"));
    cr_assert(rules.judge({}, "north-2") == place_verdict::permitted);
}

Test(place_rules, texts_may_lie_in_an_emptied_zone) {
    const std::vector<std::string> north = {"north"};
    const place_request request{.route_regions = north, .tenant_regions = {}};
    const place_rules rules = two_regions();
    cr_assert(rules.judge_region(request, "north-2") == place_verdict::permitted);
    cr_assert(rules.judge_region(request, "south-1") == place_verdict::region_not_permitted);
}
