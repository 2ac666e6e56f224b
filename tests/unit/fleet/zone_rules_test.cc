// Tests emptied zones and permitted regions in a whole fleet.
#include <algorithm>

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using emulator::runner_fault;

namespace {

constexpr char zone_a_key[] = "op/evacuate/a";
constexpr char zone_b_key[] = "op/evacuate/b";

/// A fleet with edges in zone `a` and back ends in `a` and `b`.
struct places_fixture : fleet_fixture {
    explicit places_fixture(std::size_t storage_count = 0, std::size_t edge_count = 1,
                            bool start_all = true)
        : fleet_fixture(storage_count, edge_count, false) {
        for (auto* list : {&this->edge_settings, &this->storage_settings}) {
            for (settings::fleet_settings& node : *list) {
                node.regions = {{"a", "north"}, {"b", "south"}};
            }
        }
        this->tool = &this->add_runner_in("a", "tool", "tool-a");
        this->model = &this->add_runner_in("a", "model", "model-a");
        this->far_tool = &this->add_runner_in("b", "tool", "tool-b");
        this->far_model = &this->add_runner_in("b", "model", "model-b");
        this->configure();
        if (start_all) {
            this->start_everything();
            cr_assert(run_until(this->loop, [this] { return this->is_settled(); }));
        }
    }

    emulator::runner& add_runner_in(const std::string& zone, const std::string& service,
                                    const std::string& id) {
        emulator::runner& runner = this->add_runner(service, id);
        this->list_in(zone, service, id, runner);
        return runner;
    }
    void list_in(const std::string& zone, const std::string& service, const std::string& id,
                 const emulator::runner& runner) {
        nlohmann::json entry = nlohmann::json::parse(runner.list_entry(service));
        entry["zone"] = zone;
        this->store.put("servers/" + id, entry.dump());
    }
    bool all_edges_know(std::size_t emptied) const {
        return std::all_of(this->edges.begin(), this->edges.end(), [emptied](const auto& edge) {
            const auto& known = edge->node.parts().directory().state().current().emptied_zones;
            return known.has_value() && known->zones.size() == emptied;
        });
    }
    void empty_zone(const char* key) {
        const std::size_t before =
            this->edges[0]->node.parts().directory().state().current().emptied_zones->zones.size();
        this->store.put(key, "{}");
        cr_assert(run_until(this->loop, [&] { return this->all_edges_know(before + 1); }));
    }
    void call_repeatedly(std::size_t edge, int count, const char* target = "/once/a") {
        for (int index = 0; index < count; ++index) {
            const auto response =
                this->call(edge, target, "often" + std::to_string(this->last_call++));
            cr_assert(response.status == 200, "status %d: %s", response.status,
                      response.body.c_str());
        }
    }
    /// Restricts all routes of `configure` to the regions.
    void configure_regions(std::uint64_t version, const std::vector<std::string>& regions) {
        nlohmann::json config = nlohmann::json::parse(this->store.value("op/config"));
        config["version"] = version;
        for (nlohmann::json& route : config["routes"]) {
            route["allowed_regions"] = regions;
        }
        this->store.put("op/config", config.dump());
        cr_assert(run_until(this->loop, [&] {
            return std::all_of(this->edges.begin(), this->edges.end(), [&](const auto& edge) {
                const auto& known = edge->node.parts().directory().state().current().config;
                return known.has_value() && known->version >= version;
            });
        }));
    }

    emulator::runner* far_tool = nullptr;
    emulator::runner* far_model = nullptr;
    int last_call = 0;
};

void assert_refused(const client_response& response, const char* reason) {
    cr_assert(response.status == 503, "status %d", response.status);
    cr_assert(response.body.find(reason) != std::string::npos, "%s", response.body.c_str());
    cr_assert(response.headers.find("Retry-After").has_value());
}

}  // namespace

Test(places, emptied_zone_gets_no_requests_until_back_in_use) {
    places_fixture fleet;
    fleet.call_repeatedly(0, 5);
    cr_assert(!fleet.tool->runs().empty(), "requests go to the own zone first");
    const std::size_t before = fleet.tool->runs().size();
    fleet.empty_zone(zone_a_key);
    fleet.call_repeatedly(0, 10);
    cr_assert(fleet.tool->runs().size() == before);
    fleet.store.remove(zone_a_key);
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(0); }));
    fleet.call_repeatedly(0, 10);
    cr_assert(fleet.tool->runs().size() > before);
}

Test(places, requests_in_flight_in_an_emptied_zone_continue) {
    places_fixture fleet;
    fleet.configure(3, 20'000);
    run_for(fleet.loop, base::milliseconds{100});
    std::optional<client_response> result;
    fleet.tool->set_fault(runner_fault::hang);
    fleet.start_call(0, "/once/a", "r1", {}, "hold", result);
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().size() == 1; }));
    fleet.empty_zone(zone_a_key);
    run_for(fleet.loop, base::milliseconds{200});
    cr_assert(!fleet.tool->runs().front().cancelled);
    cr_assert(!result.has_value());
}

Test(places, second_attempt_uses_current_zone_rules) {
    places_fixture fleet;
    auto& other = fleet.add_runner_in("a", "tool", "tool-a2");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    fleet.tool->set_fault(runner_fault::hang);
    other.set_fault(runner_fault::hang);
    fleet.far_tool->set_fault(runner_fault::none);
    std::optional<client_response> result;
    fleet.start_call(0, "/plain/a", "r1", {}, "", result);
    cr_assert(run_until(fleet.loop, [&] {
        return fleet.tool->runs().size() + other.runs().size() + fleet.far_tool->runs().size() == 1;
    }));
    fleet.empty_zone(zone_a_key);
    cr_assert(run_until(fleet.loop, [&] { return result.has_value(); }));
    cr_assert(result->status == 200);
    cr_assert(fleet.tool->runs().size() + other.runs().size() <= 1);
    cr_assert(fleet.far_tool->runs().size() == 1);
}

Test(places, turn_that_waited_for_members_uses_current_zone_rules) {
    places_fixture fleet(3, 1);
    fleet.configure(3, 10'000);
    run_for(fleet.loop, base::milliseconds{100});
    cr_assert(fleet.turn(0, "t1", "", "hello").status == 200);
    const std::size_t before = fleet.model->runs().size();
    fleet.storages[1].reset();
    fleet.storages[2].reset();
    std::optional<client_response> result;
    fleet.start_call(0, "/turn/x", "t2",
                     {{"Pearbarrow-Program-Id", "program"},
                      {"Pearbarrow-Token-Budget", "10000"},
                      {"Pearbarrow-Token-Usage", "100,50"},
                      {"Pearbarrow-Previous-Turn", "t1"}},
                     "more", result);
    run_for(fleet.loop, base::milliseconds{100});
    cr_assert(!result.has_value(), "the turn is being prepared");
    fleet.empty_zone(zone_a_key);
    fleet.start_storage(1);
    fleet.start_storage(2);
    cr_assert(run_until(fleet.loop, [&] { return result.has_value(); }));
    cr_assert(result->status == 200, "status %d: %s", result->status, result->body.c_str());
    cr_assert(fleet.model->runs().size() == before);
    cr_assert(!fleet.far_model->runs().empty());
}

Test(places, request_that_waited_for_its_quota_uses_current_zone_rules) {
    places_fixture fleet(3, 1);
    nlohmann::json config = nlohmann::json::parse(fleet.store.value("op/config"));
    config["version"] = 3;
    config["tenants"] = {
        {{"name", "a"}, {"api_keys", {"key-of-a"}}, {"quota", {{"rate", 100}, {"burst", 100}}}}};
    fleet.store.put("op/config", config.dump());
    cr_assert(run_until(fleet.loop, [&] {
        const auto& known = fleet.edges[0]->node.parts().directory().state().current().config;
        return known->version == 3;
    }));
    for (auto& storage : fleet.storages) {
        storage.reset();
    }
    std::optional<client_response> result;
    fleet.start_call(0, "/once/a", "r1", {{"Authorization", "Bearer key-of-a"}}, "", result);
    run_for(fleet.loop, base::milliseconds{5});
    fleet.store.put(zone_a_key, "{}");
    for (std::size_t index = 0; index < fleet.storages.size(); ++index) {
        fleet.start_storage(index);
    }
    cr_assert(run_until(fleet.loop, [&] { return result.has_value(); }));
    cr_assert(fleet.tool->runs().empty());
}

Test(places, request_is_refused_at_once_if_all_zones_are_emptied) {
    places_fixture fleet;
    fleet.store.put(zone_a_key, "{}");
    fleet.store.put(zone_b_key, "{}");
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(2); }));
    assert_refused(fleet.call(0, "/once/a", "r1"), "zone_emptied");
    cr_assert(fleet.tool->runs().empty() && fleet.far_tool->runs().empty());
    fleet.store.remove(zone_b_key);
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(1); }));
    fleet.call_repeatedly(0, 5);
    cr_assert(fleet.tool->runs().empty());
}

Test(places, turn_refused_by_emptied_zones_can_be_repeated) {
    places_fixture fleet(3, 1);
    fleet.store.put(zone_a_key, "{}");
    fleet.store.put(zone_b_key, "{}");
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(2); }));
    assert_refused(fleet.turn(0, "t1", "", "hello", 150), "zone_emptied");
    fleet.store.remove(zone_b_key);
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(1); }));
    // The budget covers one such turn, so the refused turn must not leave a reservation.
    const auto response = fleet.turn(0, "t2", "", "hello", 150);
    cr_assert(response.status == 200, "status %d: %s", response.status, response.body.c_str());
    cr_assert(fleet.model->runs().empty());
}

Test(places, service_without_usable_zone_is_refused) {
    places_fixture fleet;
    fleet.store.remove("servers/tool-b");
    cr_assert(run_until(fleet.loop, [&] {
        const auto& known = fleet.edges[0]->node.parts().directory().state().current();
        return known.backends->backends.count("tool-b") == 0;
    }));
    fleet.empty_zone(zone_a_key);
    assert_refused(fleet.call(0, "/once/a", "r1"), "zone_emptied");
}

Test(places, emptying_an_unknown_zone_has_no_effect) {
    places_fixture fleet;
    fleet.empty_zone("op/evacuate/nowhere");
    fleet.call_repeatedly(0, 5);
    cr_assert(!fleet.tool->runs().empty());
}

Test(places, node_without_store_learns_emptied_zones_from_peers) {
    places_fixture fleet(0, 3, false);
    fleet.edge_settings[2].directory_service = free_address();
    fleet.start_everything();
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled() && fleet.all_edges_know(0); }));
    const base::instant started_at = fleet.clock.now();
    fleet.empty_zone(zone_a_key);
    cr_assert(fleet.clock.now() - started_at < base::milliseconds{2'000});
    fleet.call_repeatedly(2, 5);
    cr_assert(fleet.tool->runs().empty());
    fleet.store.remove(zone_a_key);
    cr_assert(run_until(fleet.loop, [&] { return fleet.all_edges_know(0); }));
    fleet.call_repeatedly(2, 5);
    cr_assert(!fleet.tool->runs().empty());
}

Test(places, node_restarted_without_store_knows_emptied_zones_before_it_is_ready) {
    places_fixture fleet(0, 3);
    fleet.empty_zone(zone_a_key);
    fleet.store.set_trouble(emulator::metadata_store::trouble::silent);
    fleet.edges[2].reset();
    fleet.start_edge(2);
    cr_assert(!fleet.edges[2]->node.is_ready());
    cr_assert(run_until(fleet.loop, [&] { return fleet.edges[2]->node.is_ready(); }));
    fleet.call_repeatedly(2, 5);
    cr_assert(fleet.tool->runs().empty());
}

Test(places, node_without_emptied_zones_forwards_nothing) {
    places_fixture fleet(0, 2, false);
    fleet.edge_settings[1].directory_service = free_address();
    fleet.edge_settings[1].seeds.clear();
    fleet.start_everything();
    const auto& complete = fleet.edges[0]->node.parts().directory().state();
    cr_assert(run_until(fleet.loop, [&] {
        return complete.current().config.has_value() && complete.current().backends.has_value();
    }));
    directory::directory_update partial = complete.update_since({});
    partial.emptied_zones.clear();
    fleet.edges[1]->node.parts().directory().publish(partial);
    cr_assert(!fleet.edges[1]->node.is_ready());
    assert_refused(fleet.call(1, "/once/a", "r1"), "emptied_zones_unknown");
    directory::directory_update remaining;
    remaining.emptied_zones.push_back({.revision = 1, .zones = {}});
    fleet.edges[1]->node.parts().directory().publish(remaining);
    cr_assert(fleet.edges[1]->node.is_ready());
    fleet.call_repeatedly(1, 1);
}

Test(places, requests_run_only_in_permitted_regions) {
    places_fixture fleet;
    fleet.configure_regions(3, {"south"});
    fleet.call_repeatedly(0, 10);
    cr_assert(fleet.tool->runs().empty());
    fleet.empty_zone(zone_b_key);
    assert_refused(fleet.call(0, "/once/a", "r1"), "zone_emptied");
    fleet.configure_regions(4, {"west"});
    assert_refused(fleet.call(0, "/once/a", "r2"), "region_not_permitted");
    cr_assert(fleet.tool->runs().empty());
}

Test(places, back_end_without_region_is_excluded_from_restricted_routes) {
    places_fixture fleet;
    fleet.list_in("unknown", "tool", "tool-a", *fleet.tool);
    fleet.list_in("unknown", "tool", "tool-b", *fleet.far_tool);
    run_for(fleet.loop, base::milliseconds{300});
    fleet.configure_regions(3, {"north", "south"});
    assert_refused(fleet.call(0, "/once/a", "r1"), "region_unknown");
    cr_assert(fleet.tool->runs().empty() && fleet.far_tool->runs().empty());
}

Test(places, turns_are_stored_only_in_fully_permitted_groups) {
    places_fixture fleet(3, 1);
    fleet.configure_regions(3, {"south"});
    assert_refused(fleet.turn(0, "t1", "", "hello"), "no_permitted_storage");
    cr_assert(fleet.model->runs().empty() && fleet.far_model->runs().empty());
    cr_assert(fleet.call(0, "/once/a", "r1").status == 200,
              "a route that stores no texts is served");
    fleet.configure_regions(4, {"north"});
    cr_assert(fleet.turn(0, "t1", "", "hello").status == 200);
    cr_assert(fleet.far_model->runs().empty());
}

Test(places, partly_permitted_group_stores_no_turn) {
    places_fixture fleet(3, 1, false);
    fleet.storage_settings[2].zone = "b";
    fleet.start_everything();
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    cr_assert(fleet.turn(0, "t1", "", "hello").status == 200);
    fleet.configure_regions(3, {"north"});
    assert_refused(fleet.turn(0, "t2", "t1", "more"), "no_permitted_storage");
    fleet.configure_regions(4, {"north", "south"});
    cr_assert(fleet.turn(0, "t2", "t1", "more").status == 200);
}
