// Forwarding of plain requests through a whole fleet, and its bad cases.
#include <algorithm>

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using emulator::runner_fault;

Test(forwarding, a_request_passes_through_untouched) {
    fleet_fixture fleet;
    fleet.make_ready();
    const auto answer = fleet.call(0, "/plain/a?b=c%20d", "r1",
                                   {{"Pearbarrow-Deadline-Ms", "1000"}, {"X-Own", "kept"}}, "text");
    cr_assert(answer.status == 200 && answer.whole);
    cr_assert(answer.body == "answer of i-tool");
    cr_assert(answer.headers.find("Pearbarrow-Response-Signature").has_value());
    const auto& run = fleet.tool->runs().front();
    cr_assert(run.request_id == "r1" && run.target == "/plain/a?b=c%20d" && run.body == "text");
    cr_assert(std::stoi(run.deadline) <= 1000 && std::stoi(run.deadline) > 500);
}

Test(forwarding, without_a_configuration_the_answer_is_503_and_never_404) {
    fleet_fixture fleet(0, 1);
    const auto answer = fleet.call(0, "/plain/a", "r1");
    cr_assert(answer.status == 503);
    cr_assert(answer.headers.find("Retry-After").has_value());
}

// It could only refuse what it is asked.
Test(forwarding, an_edge_without_the_list_of_back_ends_is_not_ready) {
    fleet_fixture fleet(0, 1, false);
    fleet.edges.resize(1);
    fleet.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fleet.start_edge(0);
    directory::directory_exchange& exchange = fleet.edges[0]->node.parts().directory();
    directory::directory_update told;
    told.config.push_back({.version = 3});
    told.emptied_zones.push_back({.revision = 3});
    exchange.publish(std::move(told));
    cr_assert(!fleet.edges[0]->node.is_ready());
    directory::directory_update list;
    list.backends.push_back({.revision = 3});
    exchange.publish(std::move(list));
    cr_assert(fleet.edges[0]->node.is_ready(), "it may be empty");
}

Test(forwarding, an_unknown_path_is_404) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    cr_assert(fleet.call(0, "/other/a", "r1").status == 404);
}

Test(forwarding, a_header_that_must_be_a_number_is_checked) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    cr_assert(fleet.call(0, "/plain/a", "r1", {{"Pearbarrow-Deadline-Ms", "soon"}}).status == 400);
    cr_assert(fleet.tool->runs().empty());
}

Test(forwarding, a_refused_request_goes_to_another_runner) {
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

Test(forwarding, a_refusal_without_another_runner_is_503_with_the_time_to_come_back) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::refuse);
    const auto answer = fleet.call(0, "/once/a", "r1");
    cr_assert(answer.status == 503);
    cr_assert(answer.headers.find("Retry-After").has_value());
}

Test(forwarding, a_lost_answer_is_never_asked_for_twice_unless_it_may_be) {
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

Test(forwarding, an_answer_of_another_request_or_without_signature_is_not_passed_on) {
    for (const auto fault : {runner_fault::foreign_answer, runner_fault::unsigned_answer}) {
        fleet_fixture fleet(0, 1);
        fleet.make_ready();
        fleet.tool->set_fault(fault);
        const auto answer = fleet.call(0, "/once/a", "r1", {}, "hold");
        cr_assert(answer.status == 502);
        cr_assert(answer.body.find("answer of") == std::string::npos);
    }
}

Test(forwarding, a_runner_that_does_not_answer_ends_at_the_route_s_time) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.configure(3, 200);
    fleet.tool->set_fault(runner_fault::hang);
    run_for(fleet.loop, base::milliseconds{100});
    const auto answer = fleet.call(0, "/plain/a", "r1");
    cr_assert(answer.status == 504);
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().front().cancelled; }));
}

Test(forwarding, a_caller_that_leaves_ends_the_run) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    fleet.tool->set_fault(runner_fault::hang);
    std::optional<client_answer> result;
    fleet.start_call(0, "/plain/a", "r1", {}, "", result);
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().size() == 1; }));
    fleet.calls.clear();
    cr_assert(run_until(fleet.loop, [&] { return fleet.tool->runs().front().cancelled; }));
}

// What changes while a node gathers comes in one answer, the same key more than once.
Test(forwarding, of_two_configurations_in_one_answer_the_newer_is_in_force) {
    fleet_fixture fleet(0, 2);
    fleet.make_ready();
    // Nodes that no peer answers gather nothing.
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

// An entry that is taken out and put again, and one that is put and taken out, in one answer.
Test(forwarding, of_several_entries_of_a_runner_in_one_answer_the_last_holds) {
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

Test(forwarding, a_draining_runner_gets_nothing_new) {
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

Test(forwarding, an_edge_that_the_store_refuses_learns_from_its_peers) {
    fleet_fixture fleet(0, 2);
    fleet.make_ready();
    fleet.edges[1].reset();
    fleet.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fleet.start_edge(1);
    cr_assert(run_until(fleet.loop, [&] { return fleet.edges[1]->node.is_ready(); }));
    cr_assert(fleet.call(1, "/plain/a", "r1").status == 200);
}

Test(forwarding, most_nodes_learn_of_changes_from_those_few_that_watch) {
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
    // Were every node to watch all the time, each change would cost a call of each.
    const std::uint64_t calls = fleet.store.calls() - calls_before;
    cr_assert(calls < edges * changes * 2 / 3, "%llu calls",
              static_cast<unsigned long long>(calls));
}

Test(forwarding, a_change_that_no_watch_tells_is_found_all_the_same) {
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

Test(forwarding, a_lost_history_of_the_store_hides_no_change) {
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

Test(forwarding, a_stopping_edge_is_not_ready_and_still_serves) {
    fleet_fixture fleet(0, 1);
    fleet.make_ready();
    bool stopped = false;
    fleet.edges[0]->node.stop([&] { stopped = true; });
    cr_assert(!fleet.edges[0]->node.is_ready());
    const auto answer = fleet.call(0, "/plain/a", "r1");
    cr_assert(answer.status == 200);
    cr_assert(answer.headers.find("Connection") == "close");
    cr_assert(run_until(fleet.loop, [&] { return stopped; }));
}

Test(forwarding, a_request_that_may_run_again_does_not_wait_for_a_silent_runner) {
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
    cr_assert(fleet.call(0, "/once/a", "s1", {}, "hold").status == 504, "never sent again");
}

// All nodes of a fleet start at once and are refused a part of their calls to the store.
Test(forwarding, a_list_of_many_pages_is_read_although_some_are_refused) {
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
