#include "pearbarrow/directory/directory_exchange.h"

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

/// A node that only takes part in the exchange.
struct exchange_node {
    exchange_node(net::event_loop& loop, const std::string& name, std::vector<net::endpoint> seeds,
                  std::size_t watched)
        : rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})) {
        cr_assert(rpc->start().ok());
        exchange_options options;
        options.self = rpc->local_endpoint();
        options.seeds = std::move(seeds);
        options.watched_peers = watched;
        exchange = std::make_unique<directory_exchange>(
            loop, *rpc, random, options,
            [this](const directory_state::changes& changed) { changes += changed.config ? 1 : 0; });
        exchange->start();
    }

    std::uint64_t version() const { return exchange->state().versions().config; }

    base::random_source random{1};
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<directory_exchange> exchange;
    int changes = 0;
};

}  // namespace

Test(directory_exchange, a_node_learns_from_the_peer_that_it_asks) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    exchange_node asker(loop, "asker", {source.rpc->local_endpoint()}, 1);
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return asker.version() == 3; }));
    source.exchange->publish(config_update(5));
    cr_assert(run_until(loop, [&] { return asker.version() == 5; }));
    cr_assert(asker.changes == 2);
}

Test(directory_exchange, a_node_that_asks_nobody_learns_from_one_that_asks_it) {
    net::event_loop loop;
    exchange_node target(loop, "target", {}, 0);
    exchange_node asker(loop, "asker", {target.rpc->local_endpoint()}, 1);
    cr_assert(run_until(loop, [&] { return target.exchange->peer_count() == 1; }));
    asker.exchange->publish(config_update(4));
    cr_assert(run_until(loop, [&] { return target.version() == 4; }));
}

Test(directory_exchange, an_older_part_never_replaces_a_newer_one) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    exchange_node asker(loop, "asker", {source.rpc->local_endpoint()}, 1);
    asker.exchange->publish(config_update(9));
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return source.version() == 9; }));
    cr_assert(asker.version() == 9);
}

Test(directory_exchange, a_node_that_knows_few_peers_is_told_of_many) {
    net::event_loop loop;
    exchange_node source(loop, "source", {}, 0);
    for (std::uint16_t port = 1; port <= 60; ++port) {
        source.exchange->learn_peer({"127.0.0.2", port});
    }
    exchange_node asker(loop, "asker", {source.rpc->local_endpoint()}, 1);
    source.exchange->publish(config_update(3));
    cr_assert(run_until(loop, [&] { return asker.exchange->peer_count() > 60; }));
}
