// Hollow nodes: what they learn from each other and from the platform, and what their process
// reports of it. Real sockets on loopback; no test depends on how long anything takes.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "../net/net_fixture.h"
#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/config/change.h"
#include "pearbarrow/emulator/hollow_engines.h"
#include "pearbarrow/emulator/hollow_fleet.h"
#include "pearbarrow/emulator/hollow_record.h"
#include "pearbarrow/emulator/platform_server.h"
#include "pearbarrow/platform/key_value_client.h"

#include <criterion/criterion.h>

namespace {

using namespace pearbarrow;
using namespace pearbarrow::emulator;
using net::testing::run_until;
using nlohmann::json;

base::node_id named(const std::string& name) {
    return base::node_id(name);
}

std::vector<membership::member> members(const std::vector<std::string>& names) {
    std::vector<membership::member> result;
    for (const std::string& name : names) {
        result.push_back({.id = named(name)});
    }
    return result;
}

/// A listener, and a client that asks it.
class scene {
  public:
    explicit scene(hollow_options options) : fleet_(loop, clock, std::move(options)) {
        server_ = net::make_http_server(loop, {.listen = net::testing::loopback},
                                        [this](const auto& exchange) { fleet_.handle(exchange); });
        client = net::make_http_client(loop);
        cr_assert(server_->start().ok());
        cr_assert(fleet_.start().ok());
    }

    /// Answer of the fleet's control.
    json ask(const std::string& method, const std::string& target, const json& body = {}) {
        json answer;
        bool done = false;
        client->fetch({.server = server_->local_endpoint(),
                       .method = method,
                       .target = target,
                       .body = body.is_null() ? std::string() : body.dump()},
                      [&](const absl::StatusOr<net::http_response>& response) {
                          cr_assert(response.ok());
                          answer = json::parse(response->body);
                          status = response->status;
                          done = true;
                      });
        run_until(loop, [&] { return done; });
        return answer;
    }

    /// Asks for the statistics until they are as wanted.
    bool reaches(const std::function<bool(const json&)>& wanted) {
        for (int round = 0; round < 400; ++round) {
            if (wanted(ask("GET", "/stats"))) {
                return true;
            }
            net::testing::run_for(loop, std::chrono::milliseconds(50));
        }
        return false;
    }

    net::event_loop loop;
    base::system_clock_source clock;
    std::unique_ptr<net::http_client> client;
    int status = 0;

  private:
    hollow_fleet fleet_;
    std::unique_ptr<net::http_server> server_;
};

bool all_see(const json& stats, std::size_t nodes, std::size_t live) {
    return stats["nodes"] == nodes && stats["live_members"]["fewest"] == live &&
           stats["live_members"]["most"] == live;
}

/// A log's first entry: a pool.
std::string first_change() {
    config::change change;
    change.id = "change-1";
    change.author = "test";
    change.operations = *config::operations_from_json(json::parse(R"([{"operation": "put",
        "object": {"kind": "pool", "name": "small", "spec": {"model": "pearl-8b"}}}])"));
    return config::encode_change(change);
}

}  // namespace

Test(hollow_record, counts_the_nodes_that_know_and_the_last_time) {
    hollow_record record;
    record.installed(named("a"), base::config_version(4), 100);
    record.installed(named("b"), base::config_version(4), 300);
    record.installed(named("b"), base::config_version(4), 900);
    record.departed(named("a"), named("c"), 50);
    record.departed(named("b"), named("c"), 70);
    const json known = record.to_json();
    cr_assert_eq(known["versions"]["4"], json({{"nodes", 2}, {"last", 300}}));
    cr_assert_eq(known["departures"]["c"], json({{"nodes", 2}, {"last", 70}}));
}

Test(hollow_record, a_member_that_returned_is_known_as_gone_no_more) {
    hollow_record record;
    record.departed(named("a"), named("c"), 50);
    record.departed(named("b"), named("c"), 70);
    record.returned(named("b"), named("c"));
    cr_assert_eq(record.to_json()["departures"]["c"], json({{"nodes", 1}, {"last", 50}}));
    record.returned(named("a"), named("c"));
    cr_assert(record.to_json()["departures"].empty());
}

Test(hollow_record, what_a_lost_observer_knew_does_not_count) {
    hollow_record record;
    record.installed(named("a"), base::config_version(4), 100);
    record.installed(named("b"), base::config_version(4), 300);
    record.departed(named("b"), named("c"), 70);
    record.forget_observer(named("b"));
    cr_assert_eq(record.to_json()["versions"]["4"]["nodes"], 1);
    cr_assert_eq(record.to_json()["departures"]["c"]["nodes"], 0);
}

Test(hollow_record, keeps_a_bounded_number_of_versions_and_departures) {
    hollow_record record;
    for (std::uint64_t i = 1; i <= 2'000; ++i) {
        record.installed(named("a"), base::config_version(i), 1);
        record.departed(named("a"), named(std::to_string(i)), 1);
    }
    const json known = record.to_json();
    cr_assert_eq(known["versions"].size(), hollow_record::kept_versions);
    cr_assert(known["versions"].contains("2000"));
    cr_assert_eq(known["departures"].size(), hollow_record::kept_departures);
}

Test(hollow_record, finds_who_is_missing) {
    cr_assert(missing_ids(members({"a", "b"}), members({"a", "b", "c"})).empty());
    cr_assert_eq(missing_ids(members({"a", "b", "c"}), members({"b"})),
                 (std::vector<base::node_id>{named("a"), named("c")}));
    cr_assert_eq(missing_ids(members({"a"}), {}), std::vector<base::node_id>{named("a")});
}

Test(hollow_fleet, refuses_addresses_and_zones_that_cannot_be_used) {
    net::event_loop loop;
    const base::system_clock_source clock;
    for (const hollow_options& options : {hollow_options{.nodes = 1, .seeds = {"here"}},
                                          hollow_options{.nodes = 1, .key_value = {"127.0.0.1"}},
                                          hollow_options{.nodes = 1, .zones = {}}}) {
        hollow_fleet fleet(loop, clock, options);
        cr_assert_eq(fleet.start().code(), absl::StatusCode::kInvalidArgument);
    }
}

Test(hollow_fleet, learns_of_a_silenced_node_and_of_its_return) {
    scene stage({.nodes = 5, .zones = {"zone-1", "zone-2"}, .shard_count = 16});
    cr_assert(stage.reaches([](const json& stats) { return all_see(stats, 5, 5); }));
    const json silenced = stage.ask("POST", "/silence", {{"nodes", {"hollow-3", "no-such"}}});
    cr_assert_eq(silenced["nodes"], json::array({"hollow-3"}));
    cr_assert(stage.reaches([&](const json& stats) {
        const json& gone = stats["departures"].value("hollow-3", json({{"nodes", 0}}));
        return all_see(stats, 4, 4) && gone["nodes"] == 4 &&
               gone["last"] >= silenced["unix_microseconds"];
    }));
    cr_assert_eq(stage.ask("POST", "/revive", {{"nodes", {"hollow-3"}}})["nodes"].size(), 1);
    cr_assert(stage.reaches([](const json& stats) {
        return all_see(stats, 5, 5) && !stats["departures"].contains("hollow-3");
    }));
}

Test(hollow_fleet, learns_of_a_zone_lost_at_once) {
    scene stage({.nodes = 9, .zones = {"zone-1", "zone-2", "zone-3"}, .shard_count = 16});
    cr_assert(stage.reaches([](const json& stats) { return all_see(stats, 9, 9); }));
    cr_assert_eq(stage.ask("POST", "/silence", {{"zone", "zone-2"}})["nodes"].size(), 3);
    cr_assert(stage.reaches(
        [](const json& stats) { return all_see(stats, 6, 6) && stats["departures"].size() == 3; }));
}

Test(hollow_fleet, counts_its_traffic_and_its_choices_of_owners) {
    scene stage({.nodes = 3, .shard_count = 16});
    cr_assert(stage.reaches([](const json& stats) {
        const json& traffic = stats["traffic"];
        return all_see(stats, 3, 3) && traffic["datagram_bytes_sent"] > 0 &&
               traffic["datagram_bytes_received"] > 0 && traffic["routing_computations"] >= 3;
    }));
}

Test(hollow_fleet, takes_the_configuration_from_the_platform_and_from_each_other) {
    net::event_loop loop;
    const base::system_clock_source clock;
    platform_server platform(loop, clock, {});
    const auto listener =
        net::make_http_server(loop, {.listen = net::testing::loopback},
                              [&](const auto& exchange) { platform.handle(exchange); });
    cr_assert(listener->start().ok());
    const auto http = net::make_http_client(loop);
    const auto writer = platform::make_key_value_client(
        loop, clock, *http, {.endpoints = {listener->local_endpoint()}});
    hollow_record record;
    // Of four nodes in one zone two follow the platform; the others learn from them.
    std::vector<std::unique_ptr<hollow_node>> nodes;
    for (int index = 0; index < 4; ++index) {
        settings::node_settings settings;
        settings.node = named("node-" + std::to_string(index));
        settings.cluster = "test";
        settings.zone = base::zone_name("zone-1");
        settings.region = base::region_name("region-1");
        settings.shard_count = 4;
        settings.platform.key_value = {{"127.0.0.1", listener->local_endpoint().port}};
        if (!nodes.empty()) {
            const net::endpoint first = nodes.front()->datagram_endpoint();
            settings.seeds = {{first.address, first.port}};
        }
        nodes.push_back(std::make_unique<hollow_node>(loop, clock, record, settings));
        cr_assert(nodes.back()->start().ok());
    }
    const auto all = [&](const auto& holds) {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto& item) { return holds(*item); });
    };
    cr_assert(run_until(loop, [&] {
        return all([](const hollow_node& item) { return item.live_members() == 4; });
    }));
    bool written = false;
    writer->put({.key = "pearbarrow/test/config/log/00000000000000000001", .value = first_change()},
                [&](const absl::Status& status) { written = status.ok(); });
    cr_assert(run_until(loop, [&] {
        return written && all([](const hollow_node& item) {
                   return item.config_version() == base::config_version(1);
               });
    }));
    cr_assert_eq(record.to_json()["versions"]["1"]["nodes"], 4);
    cr_assert(run_until(
        loop, [&] { return all([](const hollow_node& item) { return !item.owners().empty(); }); }));
    cr_assert(all([&](const hollow_node& item) { return item.owners() == nodes[0]->owners(); }),
              "all nodes choose the same owners");
    cr_assert(nodes[0]->owners()[0].has_value());
}

Test(hollow_fleet, answers_unknown_paths_and_bad_bodies_with_an_error) {
    scene stage({.nodes = 1});
    stage.ask("GET", "/silence");
    cr_assert_eq(stage.status, 404);
    for (const json& body : {json("text"), json::array(), json({{"nodes", 3}})}) {
        stage.ask("POST", "/silence", body);
        cr_assert_eq(stage.status, 400);
    }
}

Test(hollow_engines, are_watched_and_refuse_work) {
    scene stage({.engines = 3, .engine_model = "none"});
    const json engines = stage.ask("GET", "/engines")["engines"];
    cr_assert_eq(engines.size(), 3);
    const auto address = net::parse_endpoint(engines[2]["address"].get<std::string>());
    cr_assert(address.ok());
    const auto engine = backend::make_engine_client(*stage.client, *address);
    absl::StatusOr<backend::load_report> report = absl::UnknownError("no answer yet");
    bool done = false;
    engine->read_load([&](absl::StatusOr<backend::load_report> answer) {
        report = std::move(answer);
        done = true;
    });
    cr_assert(run_until(stage.loop, [&] { return done; }));
    cr_assert(report.ok());
    cr_assert_eq(report->model, base::model_name("none"));
    int refused = 0;
    stage.client->fetch({.server = *address, .method = "POST", .target = "/v1/chat/completions"},
                        [&](const absl::StatusOr<net::http_response>& answer) {
                            refused = answer.ok() ? answer->status : -1;
                        });
    cr_assert(run_until(stage.loop, [&] { return refused != 0; }));
    cr_assert_eq(refused, 503);
}
