#include "pearbarrow/directory/peer_multicast.h"

#include <algorithm>
#include <list>
#include <optional>

#include "../net/net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;
using net::testing::run_for;
using net::testing::run_until;

namespace {

constexpr net::method_number method = wire::suspect_report;

/// A node that receives messages and knows the peers in `peers`.
struct multicast_node {
    multicast_node(net::event_loop& loop, const std::string& name,
                   const std::vector<net::endpoint>& peers, const std::vector<net::endpoint>& hubs)
        : rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})) {
        cr_assert(rpc->start().ok());
        multicast = std::make_unique<peer_multicast>(
            loop, *rpc, clock,
            multicast_options{.self = rpc->local_endpoint(),
                              .method = method,
                              .fanout = 4,
                              .timeout = base::milliseconds{2'000}},
            [&peers] { return peers; }, [&hubs] { return hubs; },
            [this](std::string_view payload) { received.emplace_back(payload); },
            [this](std::string_view /*payload*/) { return correction; });
    }

    base::system_clock_source clock;
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<peer_multicast> multicast;
    std::vector<std::string> received;
    std::string correction;
};

struct multicast_fixture {
    explicit multicast_fixture(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            const bool is_first = index == 0;
            nodes.emplace_back(loop, "n" + std::to_string(index), is_first ? peers_of_first : peers,
                               is_first ? hubs_of_first : hubs);
            peers.push_back(nodes.back().rpc->local_endpoint());
        }
    }
    multicast_result send() {
        std::optional<multicast_result> result;
        nodes.front().multicast->send("text",
                                      [&](const multicast_result& reported) { result = reported; });
        cr_assert(run_until(loop, [&] { return result.has_value(); }));
        return *result;
    }
    /// Number of nodes other than the sender that received the message.
    std::size_t reached() const {
        return static_cast<std::size_t>(
            std::count_if(std::next(nodes.begin()), nodes.end(),
                          [](const multicast_node& node) { return !node.received.empty(); }));
    }

    net::event_loop loop;
    void let_first_know_all() { peers_of_first = peers; }

    std::vector<net::endpoint> peers;
    std::vector<net::endpoint> hubs;
    std::vector<net::endpoint> peers_of_first;
    std::vector<net::endpoint> hubs_of_first;
    std::list<multicast_node> nodes;
};

}  // namespace

Test(peer_multicast, each_node_of_a_large_fleet_receives_the_message) {
    multicast_fixture fleet(60);
    fleet.let_first_know_all();
    const multicast_result result = fleet.send();
    cr_assert(result.reached == 59, "%u", result.reached);
    cr_assert(result.failed == 0);
    cr_assert(fleet.reached() == 59);
}

Test(peer_multicast, node_without_peers_is_done_at_once) {
    multicast_fixture fleet(1);
    cr_assert(fleet.send().reached == 0);
}

Test(peer_multicast, unreachable_nodes_do_not_hide_those_behind_them) {
    multicast_fixture fleet(40);
    fleet.let_first_know_all();
    std::size_t index = 0;
    for (multicast_node& node : fleet.nodes) {
        if (++index % 3 == 0) {
            node.multicast.reset();
            node.rpc.reset();
        }
    }
    fleet.send();
    cr_assert(run_until(fleet.loop, [&] { return fleet.reached() == 26; }), "%zu of 26",
              fleet.reached());
}

Test(peer_multicast, silent_node_is_not_waited_for_again) {
    multicast_fixture fleet(3);
    // Replies to nothing.
    const net::testing::raw_server silent;
    fleet.peers.push_back(silent.local_endpoint());
    fleet.let_first_know_all();
    cr_assert(fleet.send().failed == 1);
    const base::instant before = base::system_clock_source().now();
    const multicast_result result = fleet.send();
    cr_assert(result.reached == 2);
    cr_assert(base::system_clock_source().now() - before < base::milliseconds{500});
}

Test(peer_multicast, peers_and_hubs_reach_those_that_a_new_node_does_not_know) {
    for (const bool knows_hubs : {false, true}) {
        multicast_fixture fleet(50);
        const std::vector<net::endpoint> few{fleet.peers[7], fleet.peers[21]};
        (knows_hubs ? fleet.hubs_of_first : fleet.peers_of_first) = few;
        fleet.send();
        cr_assert(run_until(fleet.loop, [&] { return fleet.reached() == 49; }), "%zu of 49",
                  fleet.reached());
    }
}

Test(peer_multicast, sender_has_the_corrections_of_its_receivers_when_it_is_done) {
    multicast_fixture fleet(4);
    fleet.let_first_know_all();
    fleet.nodes.back().correction = "more";
    fleet.send();
    cr_assert(fleet.nodes.front().received == std::vector<std::string>{"more"});
}

Test(peer_multicast, destroyed_sender_reports_nothing) {
    multicast_fixture fleet(10);
    fleet.let_first_know_all();
    bool is_done = false;
    fleet.nodes.front().multicast->send("text", [&](const multicast_result&) { is_done = true; });
    fleet.nodes.front().multicast.reset();
    run_for(fleet.loop, base::milliseconds{100});
    cr_assert(!is_done);
}
