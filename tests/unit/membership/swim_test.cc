#include "pearbarrow/membership/swim.h"

#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
namespace membership = pearbarrow::membership;
namespace net = pearbarrow::net;
namespace wire = pearbarrow::wire;

namespace {

membership::member make_member(const std::string& name, std::uint16_t port) {
    membership::member value;
    value.id = base::node_id(name);
    value.generation = 100;
    value.metadata.datagram = {"10.0.0.1", port};
    value.metadata.peer = {"10.0.0.1", 7001};
    value.metadata.caller = {"10.0.0.2", 7002};
    value.metadata.zone = base::zone_name("z");
    value.metadata.has_disk = true;
    return value;
}

/// Two cores that exchange datagrams without delay.
struct pair_of_nodes {
    base::random_source random{1};
    base::instant now{};
    membership::swim_core first;
    membership::swim_core second;

    explicit pair_of_nodes(membership::swim_options first_options = {.cluster = "c"},
                           membership::swim_options second_options = {.cluster = "c"})
        : first(first_options, make_member("a", 1), random, now),
          second(second_options, make_member("b", 2), random, now) {}

    void deliver(const std::vector<membership::swim_action>& actions) {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<membership::send_datagram>(&action)) {
                const bool to_first = sent->to.port == 1;
                const net::endpoint from{"10.0.0.1", static_cast<std::uint16_t>(to_first ? 2 : 1)};
                deliver((to_first ? first : second)
                            .apply(membership::datagram_received{from, sent->payload}, now));
            }
        }
    }
    void join() {
        deliver(first.apply(membership::join_hints{{{"10.0.0.1", 2}}}, now));
        for (int tick = 0; tick < 40; ++tick) {
            now += base::milliseconds(50);
            deliver(first.apply(membership::swim_tick{}, now));
            deliver(second.apply(membership::swim_tick{}, now));
        }
    }
};

}  // namespace

Test(swim, metadata_is_propagated_completely) {
    pair_of_nodes nodes;
    nodes.join();
    const auto seen = nodes.second.find(base::node_id("a"));
    cr_assert(seen.has_value());
    cr_assert(seen->metadata == make_member("a", 1).metadata);
    auto changed = make_member("a", 1).metadata;
    changed.draining = true;
    nodes.deliver(nodes.first.apply(membership::metadata_changed{changed}, nodes.now));
    nodes.join();
    cr_assert(nodes.second.find(base::node_id("a"))->metadata.draining);
    cr_assert_not(nodes.second.find(base::node_id("a"))->accepts_work());
}

Test(swim, foreign_and_malformed_datagrams_are_rejected) {
    pair_of_nodes nodes({.cluster = "c"}, {.cluster = "d"});
    nodes.join();
    cr_assert_eq(nodes.first.live_count(), 1);
    cr_assert_gt(nodes.second.statistics().datagrams_rejected, 0);
    for (const char* garbage : {"", "x", "\x93\x01\x02", "\xdd\xff\xff\xff\xff"}) {
        nodes.first.apply(membership::datagram_received{{"10.0.0.9", 9}, garbage}, nodes.now);
    }
    cr_assert_eq(nodes.first.live_count(), 1);
}

Test(swim, accused_node_refutes_with_higher_incarnation) {
    pair_of_nodes nodes;
    nodes.join();
    wire::swim_datagram message;
    message.from = base::node_id("x");
    message.cluster = wire::decode<wire::swim_datagram>(
                          std::get<membership::send_datagram>(
                              nodes.first.apply(membership::leave{}, nodes.now).front())
                              .payload)
                          ->cluster;
    message.accusations.push_back(
        {base::node_id("b"), 100, nodes.second.self().incarnation, 2, base::node_id("x")});
    const auto before = nodes.second.self().incarnation;
    nodes.second.apply(membership::datagram_received{{"10.0.0.9", 9}, wire::encode(message)},
                       nodes.now);
    cr_assert_eq(nodes.second.self().incarnation, before + 1);
    cr_assert(nodes.second.self().state == membership::member_state::alive);
}

Test(swim, later_process_with_same_id_is_reported) {
    pair_of_nodes nodes;
    nodes.join();
    base::random_source random{3};
    auto later_process = make_member("a", 9);
    later_process.generation = 200;
    membership::swim_core other({.cluster = "c"}, later_process, random, nodes.now);
    const auto sent = other.apply(membership::join_hints{{{"10.0.0.1", 1}}}, nodes.now);
    const auto ticked = other.apply(membership::swim_tick{}, nodes.now);
    bool reported = false;
    for (const auto& action : ticked) {
        if (const auto* datagram = std::get_if<membership::send_datagram>(&action)) {
            // Sent through the other node because a node drops datagrams with its own id as the
            // sender.
            nodes.second.apply(membership::datagram_received{{"10.0.0.1", 9}, datagram->payload},
                               nodes.now);
        }
    }
    for (int tick = 0; tick < 20 && !reported; ++tick) {
        nodes.now += base::milliseconds(50);
        for (const auto& action : nodes.second.apply(membership::swim_tick{}, nodes.now)) {
            if (const auto* datagram = std::get_if<membership::send_datagram>(&action)) {
                for (const auto& reaction : nodes.first.apply(
                         membership::datagram_received{{"10.0.0.1", 2}, datagram->payload},
                         nodes.now)) {
                    reported |= std::holds_alternative<membership::identity_taken>(reaction);
                }
            }
        }
    }
    cr_assert(reported);
}

Test(swim, dead_members_are_removed) {
    membership::swim_options options{.cluster = "c"};
    options.forget_after = base::milliseconds(60'000);
    pair_of_nodes nodes(options, options);
    nodes.join();
    bool forgotten = false;
    for (int tick = 0; tick < 2'400; ++tick) {
        nodes.now += base::milliseconds(50);
        for (const auto& action : nodes.first.apply(membership::swim_tick{}, nodes.now)) {
            const auto* change = std::get_if<membership::member_changed>(&action);
            forgotten |= change != nullptr && change->forgotten;
        }
    }
    cr_assert(forgotten);
    cr_assert_not(nodes.first.find(base::node_id("b")).has_value());
}
