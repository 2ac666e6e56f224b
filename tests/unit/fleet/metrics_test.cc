// Tests the metrics of a fleet's nodes.
#include "fleet_fixture.h"
#include "pearbarrow/fleet/traffic_names.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

namespace {

bool has(const std::string& text, const std::string& line) {
    return text.find(line + "\n") != std::string::npos;
}

bool has_name(const std::string& text, const std::string& name) {
    return text.find("\n" + name) != std::string::npos;
}

}  // namespace

Test(metrics, edge_reports_directory_and_turn_metrics) {
    fleet_fixture fleet;
    fleet.make_ready();
    cr_assert(fleet.turn(0, "t1", "", "hello ").whole);
    cr_assert(fleet.call(0, "/plain/a", "r1").status == 200);
    const std::string text = fleet.edges[0]->node.parts().gauges().text();
    cr_assert(has(text, "pearbarrow_ready 1"));
    cr_assert(has(text, "pearbarrow_storage_cut 0"));
    cr_assert(has(text, "pearbarrow_directory_version{part=\"configuration\"} 2"), "%s",
              text.c_str());
    cr_assert(has_name(text, "pearbarrow_resident_bytes "));
    cr_assert(has_name(text, "pearbarrow_directory_unchanged_seconds{part=\"backends\"}"));
    cr_assert(
        has_name(text, "pearbarrow_directory_service_calls_total{call=\"range\",outcome=\"OK\"}"));
    cr_assert(
        has(text, "pearbarrow_turn_step_seconds_count{outcome=\"may_run\",step=\"prepare\"} 1"),
        "%s", text.c_str());
    cr_assert(has(text, "pearbarrow_turn_step_seconds_count{outcome=\"stored\",step=\"store\"} 1"));
}

Test(metrics, edge_reports_bytes_by_call_and_distance) {
    fleet_fixture fleet;
    fleet.make_ready();
    cr_assert(fleet.turn(0, "t1", "", "hello ").whole);
    const std::string text = fleet.edges[0]->node.parts().gauges().text();
    cr_assert(has_name(text, "pearbarrow_peer_call_bytes_sent_total{call=\"turn_reserve\""), "%s",
              text.c_str());
    cr_assert(has_name(text, "pearbarrow_peer_call_bytes_sent_total{call=\"turn_finish\""));
    cr_assert(has_name(text, "pearbarrow_backend_bytes_total{distance="), "%s", text.c_str());
}

Test(metrics, distances_follow_the_regions_of_the_settings) {
    settings::fleet_settings settings;
    settings.zone = "a1";
    const auto without_regions = fleet::distances_from(settings);
    cr_assert(without_regions("a1") == net::peer_distance::own_zone);
    cr_assert(without_regions("b1") == net::peer_distance::other_zone);
    settings.regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    const auto distance = fleet::distances_from(settings);
    cr_assert(distance("a2") == net::peer_distance::other_zone);
    cr_assert(distance("b1") == net::peer_distance::other_region);
    cr_assert(distance("c1") == net::peer_distance::other_region);
    cr_assert(distance("") == net::peer_distance::unknown);
}

Test(metrics, storage_member_reports_whether_it_is_complete) {
    fleet_fixture fleet;
    fleet.make_ready();
    cr_assert(fleet.turn(0, "t1", "", "hello ").whole);
    // A majority has stored the turn. This member may be the last to store it.
    std::string text;
    cr_assert(run_until(fleet.loop, [&] {
        text = fleet.storages[0]->node.parts().gauges().text();
        return has(text, "pearbarrow_turn_replica_turns 1");
    }));
    cr_assert(has(text, "pearbarrow_turn_replica_complete 1"));
    cr_assert(has(text, "pearbarrow_turn_replica_programs 1"));
    cr_assert(has_name(text, "pearbarrow_turn_replica_pending_writes "));
    cr_assert(has_name(text, "pearbarrow_turn_replica_behind "));
}
