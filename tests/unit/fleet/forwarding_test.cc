// Tests the forwarding of plain requests through a whole fleet, and its failures.
#include <algorithm>

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using emulator::runner_fault;

Test(forwarding, request_is_forwarded_unchanged) {
    fleet_fixture fleet;
    fleet.make_ready();
    const auto response =
        fleet.call(0, "/plain/a?b=c%20d", "r1",
                   {{"Pearbarrow-Deadline-Ms", "1000"}, {"X-Own", "kept"}}, "text");
    cr_assert(response.status == 200 && response.whole);
    cr_assert(response.body == "answer of i-tool");
    cr_assert(response.headers.find("Pearbarrow-Response-Signature").has_value());
    const auto& run = fleet.tool->runs().front();
    cr_assert(run.request_id == "r1" && run.target == "/plain/a?b=c%20d" && run.body == "text");
    cr_assert(std::stoi(run.deadline) <= 1000 && std::stoi(run.deadline) > 500);
}

Test(forwarding, without_configuration_status_is_503) {
    fleet_fixture fleet(0, 1);
    const auto response = fleet.call(0, "/plain/a", "r1");
    cr_assert(response.status == 503);
    cr_assert(response.headers.find("Retry-After").has_value());
}

// Guards against reporting ready too early: without the list, an edge can only reject requests.
Test(forwarding, edge_without_backend_list_is_not_ready) {
    fleet_fixture fleet(0, 1, false);
    fleet.edges.resize(1);
    fleet.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fleet.start_edge(0);
    directory::directory_exchange& exchange = fleet.edges[0]->node.parts().directory();
    directory::directory_update update;
    update.config.push_back({.version = 3});
    update.emptied_zones.push_back({.revision = 3});
    exchange.publish(std::move(update));
    cr_assert(!fleet.edges[0]->node.is_ready());
    directory::directory_update list;
    list.backends.push_back({.revision = 3});
    exchange.publish(std::move(list));
    cr_assert(fleet.edges[0]->node.is_ready(), "the list may be empty");
}

Test(forwarding, unknown_path_is_404) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    cr_assert(fleet.call(0, "/other/a", "r1").status == 404);
}

Test(forwarding, non_numeric_deadline_is_rejected) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    cr_assert(fleet.call(0, "/plain/a", "r1", {{"Pearbarrow-Deadline-Ms", "soon"}}).status == 400);
    cr_assert(fleet.tool->runs().empty());
}

Test(forwarding, refused_request_is_retried_at_another_runner) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::refuse);
    auto& other = fleet.add_runner("tool", "i-other");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    for (int index = 0; index < 4; ++index) {
        cr_assert(fleet.call(0, "/once/a", "r" + std::to_string(index)).status == 200);
    }
    cr_assert(other.runs().size() == 4);
}

Test(forwarding, refusal_without_another_runner_is_503_with_retry_after) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::refuse);
    const auto response = fleet.call(0, "/once/a", "r1");
    cr_assert(response.status == 503);
    cr_assert(response.headers.find("Retry-After").has_value());
}

Test(forwarding, lost_response_is_retried_only_if_idempotent) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    auto& other = fleet.add_runner("tool", "i-other");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    fleet.tool->set_fault(runner_fault::lose_answer);
    other.set_fault(runner_fault::lose_answer);
    const auto once = fleet.call(0, "/once/a", "r1", {}, "hold");
    cr_assert(once.status == 502);
    cr_assert(fleet.tool->runs().size() + other.runs().size() == 1);
    cr_assert(fleet.call(0, "/plain/a", "r2").status == 502);
    cr_assert(fleet.tool->runs().size() + other.runs().size() == 3);
}

Test(forwarding, foreign_or_unsigned_response_is_not_forwarded) {
    for (const auto fault : {runner_fault::foreign_answer, runner_fault::unsigned_answer}) {
        fleet_fixture fleet(0, 1);
        fleet.make_ready();
        fleet.tool->set_fault(fault);
        const auto response = fleet.call(0, "/once/a", "r1", {}, "hold");
        cr_assert(response.status == 502);
        cr_assert(response.body.find("answer of") == std::string::npos);
    }
}

Test(forwarding, request_to_hanging_runner_ends_at_route_timeout) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.configure(3, 200);
    fleet.tool->set_fault(runner_fault::hang);
    run_for(fleet.loop, base::milliseconds{100});
    const auto response = fleet.call(0, "/plain/a", "r1");
    cr_assert(response.status == 504);
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().front().cancelled; }));
}

Test(forwarding, disconnected_caller_cancels_the_execution) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::hang);
    std::optional<client_response> result;
    fleet.start_call(0, "/plain/a", "r1", {}, "", result);
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().size() == 1; }));
    fleet.calls.clear();
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().front().cancelled; }));
}

// Guards against applying an older value: changes that arrive while a node collects them come in
// one response, which may contain the same key more than once.
Test(forwarding, newest_configuration_of_one_response_applies) {
    fleet_fixture fleet(0, 2);
    fleet.make_ready();
    // Nodes without a connected peer do not collect changes.
    cr_assert(run_until(fleet.loop, [&] {
        return std::all_of(fleet.edges.begin(), fleet.edges.end(), [](const auto& edge) {
            return edge->node.parts().directory().is_connected();
        });
    }));
    const auto known_by_all = [&](std::uint64_t version) {
        return std::all_of(fleet.edges.begin(), fleet.edges.end(), [&](const auto& edge) {
            return edge->node.parts().directory().state().versions().config == version;
        });
    };
    for (std::uint64_t version = 10; version < 40; version += 3) {
        fleet.configure(version);
        run_for(fleet.loop, base::milliseconds{20});
        fleet.configure(version + 1);
        fleet.configure(version + 2);
        cr_assert(
            run_until(
                fleet.loop, [&] { return known_by_all(version + 2); }, base::milliseconds{3'000}),
            "version %lu", version + 2);
    }
}

// Guards against applying an outdated entry: one response contains an entry that is removed and put
// again, and one that is put and removed.
Test(forwarding, last_entry_of_a_runner_in_one_response_applies) {
    fleet_fixture fleet(0, 2);
    fleet.make_ready();
    const auto& known = fleet.edges[0]->node.parts().directory().state().current();
    for (int round = 0; round < 5; ++round) {
        fleet.store.remove("servers/i-tool");
        fleet.store.put("servers/i-tool", fleet.tool->list_entry("tool", "draining"));
        fleet.store.put("servers/i-tool", fleet.tool->list_entry("tool"));
        fleet.store.put("servers/i-short", fleet.tool->list_entry("tool"));
        fleet.store.remove("servers/i-short");
        const std::string marker = "servers/i-marker-" + std::to_string(round);
        fleet.store.put(marker, fleet.tool->list_entry("tool"));
        cr_assert(run_until(fleet.loop, [&] {
            return known.backends->backends.count("i-marker-" + std::to_string(round)) > 0;
        }));
        cr_assert(!known.backends->backends.at("i-tool").draining);
        cr_assert(known.backends->backends.count("i-short") == 0);
    }
}

Test(forwarding, draining_runner_gets_no_new_requests) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    auto& other = fleet.add_runner("tool", "i-other");
    fleet.store.put("servers/i-tool", fleet.tool->list_entry("tool", "draining"));
    cr_assert(run_until(fleet.loop, [&] {
        const auto& known = fleet.edges[0]->node.parts().directory().state().current();
        return known.backends->backends.at("i-tool").draining &&
               known.backends->backends.size() == 3;
    }));
    for (int index = 0; index < 6; ++index) {
        cr_assert(fleet.call(0, "/plain/a", "r" + std::to_string(index)).status == 200);
    }
    cr_assert(fleet.tool->runs().empty() && other.runs().size() == 6);
}

Test(forwarding, edge_refused_by_the_store_learns_from_peers) {
    fleet_fixture fleet(0, 2);
    fleet.make_ready();
    fleet.edges[1].reset();
    fleet.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fleet.start_edge(1);
    cr_assert(run_until(fleet.loop, [&] { return fleet.edges[1]->node.is_ready(); }));
    cr_assert(fleet.call(1, "/plain/a", "r1").status == 200);
}

Test(forwarding, most_nodes_learn_of_changes_from_few_watchers) {
    constexpr std::size_t edges = 6;
    constexpr std::uint64_t changes = 20;
    fleet_fixture fleet(0, edges);
    fleet.make_ready();
    run_for(fleet.loop, base::milliseconds{500});
    const std::uint64_t calls_before = fleet.store.calls();
    for (std::uint64_t version = 10; version < 10 + changes; ++version) {
        fleet.configure(version);
        run_for(fleet.loop, base::milliseconds{100});
    }
    cr_assert(run_until(fleet.loop, [&] {
        return std::all_of(fleet.edges.begin(), fleet.edges.end(), [](const auto& edge) {
            return edge->node.parts().directory().state().versions().config == 9 + changes;
        });
    }));
    // If every node watched all the time, each change would cost one call per node.
    const std::uint64_t calls = fleet.store.calls() - calls_before;
    cr_assert(calls < edges * changes * 2 / 3, "%llu calls",
              static_cast<unsigned long long>(calls));
}

Test(forwarding, change_without_watch_event_is_found) {
    fleet_fixture fleet(0, 3);
    fleet.make_ready();
    fleet.store.set_trouble(emulator::metadata_store::trouble::deaf_watches);
    fleet.configure(5);
    cr_assert(run_until(fleet.loop, [&] {
        return std::all_of(fleet.edges.begin(), fleet.edges.end(), [](const auto& edge) {
            return edge->node.parts().directory().state().versions().config == 5;
        });
    }));
}

Test(forwarding, change_is_found_after_store_history_is_lost) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.store.set_trouble(emulator::metadata_store::trouble::deaf_watches);
    fleet.configure(5);
    fleet.store.forget_history();
    fleet.store.set_trouble(emulator::metadata_store::trouble::none);
    cr_assert(run_until(fleet.loop, [&] {
        return fleet.edges[0]->node.parts().directory().state().versions().config == 5;
    }));
}

Test(forwarding, stopping_edge_is_not_ready_and_still_serves) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    bool stopped = false;
    fleet.edges[0]->node.stop([&] { stopped = true; });
    cr_assert(!fleet.edges[0]->node.is_ready());
    const auto response = fleet.call(0, "/plain/a", "r1");
    cr_assert(response.status == 200);
    cr_assert(response.headers.find("Connection") == "close");
    cr_assert(run_until(fleet.loop, [&] { return stopped; }));
}

Test(forwarding, idempotent_request_does_not_wait_for_hanging_runner) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::hang);
    auto& other = fleet.add_runner("tool", "i-other");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    for (int index = 0; index < 3; ++index) {
        cr_assert(fleet.call(0, "/plain/a", "r" + std::to_string(index)).status == 200);
    }
    cr_assert(other.runs().size() == 3);
    other.set_fault(runner_fault::hang);
    cr_assert(fleet.call(0, "/once/a", "s1", {}, "hold").status == 504,
              "a non-idempotent request is not repeated");
}

// Guards against giving up on a partial read: when all nodes of a fleet start at once, the store
// refuses a part of their calls.
Test(forwarding, paged_list_is_read_despite_refused_calls) {
    fleet_fixture fleet(0, 1, false);
    fleet.configure();
    fleet.add_runner("tool", "i-tool");
    for (int index = 0; index < 60; ++index) {
        const std::string id = "i-more-" + std::to_string(index);
        fleet.store.put("servers/" + id, fleet.runners.front().list_entry("tool"));
    }
    fleet.store.set_page_items(10);
    fleet.store.refuse_each(4);
    fleet.start_everything();
    const auto knows_all = [&] {
        const auto& known = fleet.edges[0]->node.parts().directory().state().current();
        return known.config.has_value() && known.backends.has_value() &&
               known.backends->backends.size() == 61;
    };
    cr_assert(run_until(fleet.loop, knows_all, std::chrono::seconds(10)));
}
