#include "pearbarrow/suspects/suspect_exchange.h"

#include <memory>
#include <string>
#include <vector>

#include "../net/net_fixture.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::suspects;
using net::testing::run_until;

namespace {

/// A node that only exchanges suspects.
struct suspects_node {
    suspects_node(net::event_loop& loop, const std::string& name, std::vector<net::endpoint> seeds)
        : rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})) {
        cr_assert(rpc->start().ok());
        directory::exchange_options options;
        options.self = rpc->local_endpoint();
        options.seeds = std::move(seeds);
        peers = std::make_unique<directory::directory_exchange>(loop, *rpc, random, options,
                                                                [](const auto& /*changed*/) {});
        exchange = std::make_unique<suspect_exchange>(
            loop, *rpc, clock, *peers,
            suspect_exchange_options{.self = options.self, .table = suspect_options()});
        peers->start();
    }
    suspect_status status() const { return exchange->table().status_of(digest, clock.now()); }

    static inline const std::string digest = std::string(32, 'a');
    base::system_clock_source clock;
    base::random_source random{1};
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<directory::directory_exchange> peers;
    std::unique_ptr<suspect_exchange> exchange;
};

suspect suspect_at(const std::vector<std::string>& backends) {
    suspect reported{.scope = 1, .digest = suspects_node::digest};
    for (const std::string& backend : backends) {
        reported.ends.push_back({.backend = backend});
    }
    return reported;
}

struct two_nodes {
    two_nodes() {
        cr_assert(run_until(loop, [this] {
            return first.peers->confirmed_peers().size() == 1 &&
                   second.peers->confirmed_peers().size() == 1;
        }));
    }

    net::event_loop loop;
    suspects_node first{loop, "first", {}};
    suspects_node second{loop, "second", {first.rpc->local_endpoint()}};
};

}  // namespace

Test(suspect_exchange, report_reaches_the_other_node_before_it_is_done) {
    two_nodes nodes;
    nodes.first.exchange->add({suspect_at({"b1"})});
    bool is_done = false;
    nodes.first.exchange->report({suspects_node::digest}, [&] {
        is_done = true;
        cr_assert(nodes.second.status().ends == 1);
    });
    cr_assert(run_until(nodes.loop, [&] { return is_done; }));
}

Test(suspect_exchange, node_that_missed_reports_learns_of_the_ends_with_its_own_report) {
    two_nodes nodes;
    nodes.first.exchange->add({suspect_at({"b1", "b2"})});
    nodes.second.exchange->add({suspect_at({"b3"})});
    bool is_done = false;
    nodes.second.exchange->report({suspects_node::digest}, [&] {
        is_done = true;
        cr_assert(nodes.second.status().is_blocked);
    });
    cr_assert(run_until(nodes.loop, [&] { return is_done; }));
    cr_assert(nodes.first.status().is_blocked);
}

Test(suspect_exchange, node_is_current_once_it_has_fetched) {
    two_nodes nodes;
    nodes.first.exchange->add({suspect_at({"b1", "b2", "b3"})});
    nodes.second.exchange->start();
    cr_assert(!nodes.second.exchange->is_current());
    cr_assert(run_until(nodes.loop, [&] { return nodes.second.exchange->is_current(); }));
    cr_assert(nodes.second.status().is_blocked);
}

Test(suspect_exchange, reply_of_a_node_that_has_just_started_does_not_make_current) {
    two_nodes nodes;
    nodes.first.exchange->start();
    nodes.second.exchange->start();
    cr_assert(!nodes.first.exchange->is_current());
    net::testing::run_for(nodes.loop, base::milliseconds{200});
    cr_assert(!nodes.second.exchange->is_current());
    cr_assert(run_until(nodes.loop, [&] { return nodes.second.exchange->is_current(); }));
}

Test(suspect_exchange, node_without_a_reply_is_no_source_of_records) {
    two_nodes nodes;
    nodes.first.exchange->start();
    cr_assert(run_until(nodes.loop, [&] { return nodes.first.exchange->is_current(); }));
    bool is_done = false;
    const auto call = nodes.second.rpc->call(
        base::node_id(), nodes.first.rpc->local_endpoint(), wire::suspect_fetch, "",
        base::milliseconds{1'000},
        {.on_part = nullptr, .on_done = [&](const absl::StatusOr<std::string>& reply) {
             const auto report = wire::decode<suspect_report>(*reply);
             cr_assert(report.ok() && !report->is_current);
             is_done = true;
         }});
    cr_assert(run_until(nodes.loop, [&] { return is_done; }));
}

Test(suspect_exchange, node_that_restored_its_suspects_is_a_source_of_records) {
    two_nodes nodes;
    nodes.first.exchange->restore({suspect_at({"b1", "b2", "b3"})});
    nodes.first.exchange->start();
    nodes.second.exchange->start();
    cr_assert(run_until(
        nodes.loop, [&] { return nodes.second.status().is_blocked; }, base::milliseconds{300}));
    cr_assert(nodes.second.exchange->is_current());
}

Test(suspect_exchange, node_whose_peers_do_not_reply_is_current_after_a_while) {
    net::event_loop loop;
    const net::testing::raw_server silent;
    const suspects_node alone(loop, "alone", {silent.local_endpoint()});
    alone.exchange->start();
    cr_assert(!alone.exchange->is_current());
    cr_assert(run_until(loop, [&] { return alone.exchange->is_current(); }));
}

Test(suspect_exchange, node_without_peers_is_current) {
    net::event_loop loop;
    const suspects_node alone(loop, "alone", {});
    cr_assert(alone.exchange->is_current());
}

Test(suspect_exchange, malformed_report_changes_nothing) {
    two_nodes nodes;
    const auto call = nodes.second.rpc->call(
        base::node_id(), nodes.first.rpc->local_endpoint(), wire::suspect_report, "no message",
        base::milliseconds{1'000}, {.on_part = nullptr, .on_done = [&](const auto& reply) {
                                        cr_assert(!reply.ok());
                                        nodes.loop.stop();
                                    }});
    nodes.loop.run();
    cr_assert(nodes.first.exchange->table().is_empty());
}
