#include "pearbarrow/directory/directory_exchange.h"

#include <algorithm>

#include "../net/net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;
using net::testing::run_until;

namespace {

directory_update config_update(std::uint64_t version) {
    directory_update update;
    update.config.push_back({.version = version});
    return update;
}

/// A node that only runs the exchange.
struct exchange_node {
    exchange_node(net::event_loop& loop, const std::string& name, std::vector<net::endpoint> seeds,
                  std::size_t polled_peers, parts_source::limits parts = {})
        : rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})) {
        cr_assert(rpc->start().ok());
        exchange_options options;
        options.self = rpc->local_endpoint();
        options.seeds = std::move(seeds);
        options.polled_peers = polled_peers;
        options.parts = parts;
        exchange = std::make_unique<directory_exchange>(
            loop, *rpc, random, options,
            [this](const directory_state::changes& changed) { changes += changed.config ? 1 : 0; });
        exchange->start();
    }

    std::uint64_t version() const { return exchange->state().versions().config; }
    std::size_t backend_count() const {
        const auto& known = exchange->state().current().backends;
        return known.has_value() ? known->backends.size() : 0;
    }

    base::random_source random{1};
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<directory_exchange> exchange;
    int changes = 0;
};

}  // namespace

Test(directory_exchange, node_receives_updates_of_polled_peer) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    exchange_node requester(loop, "asker", {source.rpc->local_endpoint()}, 1);
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return requester.version() == 3; }));
    source.exchange->publish(config_update(5));
    cr_assert(run_until(loop, [&] { return requester.version() == 5; }));
    cr_assert(requester.changes == 2);
}

Test(directory_exchange, node_without_polls_receives_updates_of_polling_peer) {
    net::event_loop loop;
    exchange_node target(loop, "target", {}, 0);
    exchange_node requester(loop, "asker", {target.rpc->local_endpoint()}, 1);
    cr_assert(run_until(loop, [&] { return target.exchange->peer_count() == 1; }));
    requester.exchange->publish(config_update(4));
    cr_assert(run_until(loop, [&] { return target.version() == 4; }));
}

Test(directory_exchange, older_part_does_not_replace_newer_one) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    exchange_node requester(loop, "asker", {source.rpc->local_endpoint()}, 1);
    requester.exchange->publish(config_update(9));
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return source.version() == 9; }));
    cr_assert(requester.version() == 9);
}

Test(directory_exchange, node_with_few_peers_receives_many) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    for (std::uint16_t port = 1; port <= 60; ++port) {
        source.exchange->learn_peer({"127.0.0.2", port});
    }
    exchange_node requester(loop, "asker", {source.rpc->local_endpoint()}, 1);
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return requester.exchange->peer_count() > 60; }));
}

// All nodes start with the same address. If all of them fetched the list from it, twelve nodes of
// eight messages each would take 11 s at its eight messages per second.
Test(directory_exchange, nodes_started_together_fetch_list_from_many_peers) {
    net::event_loop loop;
    constexpr std::size_t backends = 2'000;
    const parts_source::limits eight_a_second{.max_in_message = 256, .messages_per_second = 8};
    std::vector<std::unique_ptr<exchange_node>> known;
    for (int index = 0; index < 24; ++index) {
        known.push_back(std::make_unique<exchange_node>(loop, "known-" + std::to_string(index),
                                                        std::vector<net::endpoint>(), 0,
                                                        eight_a_second));
    }
    directory_update update;
    backend_list list{.revision = 7, .backends = {}};
    for (std::size_t index = 0; index < backends; ++index) {
        const std::string id = "i-" + std::to_string(index);
        list.backends[id] = {.id = id, .service = "s", .address = {"127.0.0.1", 1}, .zone = "a"};
    }
    update.backends.push_back(std::move(list));
    for (const auto& node : known) {
        node->exchange->publish(update);
        for (const auto& other : known) {
            node->exchange->learn_peer(other->rpc->local_endpoint());
        }
    }
    const net::endpoint first = known.front()->rpc->local_endpoint();
    std::vector<std::unique_ptr<exchange_node>> started;
    for (int index = 0; index < 12; ++index) {
        started.push_back(std::make_unique<exchange_node>(loop, "started-" + std::to_string(index),
                                                          std::vector<net::endpoint>{first}, 2,
                                                          eight_a_second));
    }
    const auto have_all = [&] {
        return std::all_of(started.begin(), started.end(),
                           [](const auto& node) { return node->backend_count() == backends; });
    };
    cr_assert(run_until(loop, have_all, std::chrono::seconds(5)));
}

// Nodes that know all others select two of them for each number, each equally often.
Test(directory_exchange, nodes_select_the_same_nodes_without_messages) {
    net::event_loop loop;
    std::vector<std::unique_ptr<exchange_node>> nodes;
    for (int index = 0; index < 8; ++index) {
        nodes.push_back(std::make_unique<exchange_node>(loop, "n" + std::to_string(index),
                                                        std::vector<net::endpoint>(), 0));
    }
    const auto introduce_all = [&](std::size_t known) {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            for (std::size_t other = 0; other < known; ++other) {
                nodes[index]->exchange->learn_peer(
                    nodes[(index + other) % 8]->rpc->local_endpoint());
            }
        }
    };
    const auto selected_for = [&](std::uint64_t number) {
        return std::count_if(nodes.begin(), nodes.end(), [number](const auto& node) {
            return node->exchange->is_selected(number);
        });
    };
    introduce_all(4);
    for (std::uint64_t number = 0; number < 200; ++number) {
        cr_assert(selected_for(number) >= 2,
                  "a node that knows fewer peers is selected more often, not less");
    }
    introduce_all(8);
    std::vector<int> selections(nodes.size());
    for (std::uint64_t number = 0; number < 800; ++number) {
        cr_assert(selected_for(number) == 2);
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            selections[index] += nodes[index]->exchange->is_selected(number) ? 1 : 0;
        }
    }
    cr_assert(*std::min_element(selections.begin(), selections.end()) >= 120,
              "the mean is 200 selections");
}

// Seeds may be stale, and nodes may be replaced: no node polls the service on behalf of an address
// without one. A change must take effect within four intervals.
Test(directory_exchange, stale_addresses_leave_few_intervals_without_poll) {
    net::event_loop loop;
    const std::vector<net::endpoint> stale{{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    std::vector<std::unique_ptr<exchange_node>> nodes;
    for (int index = 0; index < 12; ++index) {
        nodes.push_back(
            std::make_unique<exchange_node>(loop, "n" + std::to_string(index), stale, 0));
    }
    const net::endpoint replaced{"127.0.0.1", 4};
    for (const auto& node : nodes) {
        node->exchange->learn_peer(replaced);
        for (const auto& other : nodes) {
            node->exchange->learn_peer(other->rpc->local_endpoint());
        }
        cr_assert(node->exchange->peer_count() == 11 + 3 + 1);
    }
    int max_missed_intervals = 0;
    int missed_intervals = 0;
    for (std::uint64_t number = 0; number < 20'000; ++number) {
        const bool is_any_selected = std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return node->exchange->is_selected(number);
        });
        missed_intervals = is_any_selected ? 0 : missed_intervals + 1;
        max_missed_intervals = std::max(max_missed_intervals, missed_intervals);
    }
    cr_assert(max_missed_intervals <= 2, "no node was selected in %d successive intervals",
              max_missed_intervals);
}
