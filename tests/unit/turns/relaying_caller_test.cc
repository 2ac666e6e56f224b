// A node that cannot reach the storage members by itself, and a peer that can.
#include <algorithm>

#include "member_fixture.h"
#include "pearbarrow/turns/call_relay.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using namespace pearbarrow::turns::testing;

namespace {

/// A node that relays to the members of a view.
struct relay_node {
    relay_node(net::event_loop& loop, const directory::storage_view& view)
        : rpc(net::make_peer_rpc(loop, {.self = base::node_id("peer"),
                                        .cluster = "test",
                                        .listen = net::testing::loopback})),
          relay(*rpc) {
        this->relay.set_view(view);
        cr_assert(this->rpc->start().ok());
    }

    std::unique_ptr<net::peer_rpc> rpc;
    call_relay relay;
};

}  // namespace

Test(relaying_caller, reaches_the_members_through_a_peer) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    // The same members, by the way that the peer has.
    std::list<scripted_member> reached;
    directory::storage_view view = group.view;
    for (directory::storage_member& member : view.members) {
        reached.emplace_back(group.loop, member.node.value(), member_script{});
        member.address = reached.back().member("a").address;
    }
    const relay_node peer(group.loop, view);
    group.relay_peer = peer.rpc->local_endpoint();

    const auto prepared = group.prepare(request_of(10, 100, "earlier"));
    cr_assert(prepared.outcome == turn_outcome::may_run);
    cr_assert(prepared.chain_text == "said before");
    std::optional<absl::Status> stored;
    finish_request request;
    request.records.push_back({.turn = turn_id("turn"), .input = "in", .output = "out"});
    const auto step = group.client->store(request, milliseconds(2'000),
                                          [&](const absl::Status& status) { stored = status; });
    cr_assert(run_until(group.loop, [&] { return stored.has_value(); }));
    cr_assert(stored->ok());
    const auto holding = std::count_if(reached.begin(), reached.end(),
                                       [](const auto& member) { return !member.finished.empty(); });
    cr_assert(holding >= 2);
}

Test(relaying_caller, a_silent_minority_costs_no_peer_anything) {
    member_group group({{}, {}, {.silent = true}});
    const relay_node peer(group.loop, group.view);
    group.relay_peer = peer.rpc->local_endpoint();
    for (int round = 0; round < 3; ++round) {
        cr_assert(group.prepare(request_of(10, 100, "earlier")).outcome == turn_outcome::may_run);
        net::testing::run_for(group.loop, milliseconds(300));
    }
    cr_assert(group.caller->relayed_calls() == 0);
    cr_assert(!group.caller->is_cut());
}

Test(relaying_caller, members_that_nobody_reaches_end_the_turn_in_time) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    const relay_node peer(group.loop, group.view);
    group.relay_peer = peer.rpc->local_endpoint();
    const auto before = std::chrono::steady_clock::now();
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::unavailable);
    cr_assert(std::chrono::steady_clock::now() - before < std::chrono::seconds(10));
    cr_assert(group.caller->is_cut());
    cr_assert(group.caller->relayed_calls() < 40, "a relay that reached nothing rests");
}

Test(relaying_caller, without_members_nothing_is_cut) {
    const member_group group({});
    cr_assert(!group.caller->is_cut());
}

Test(relaying_caller, a_turn_given_up_early_is_no_sign_of_silence) {
    member_group group({{}, {}, {}});
    {
        const auto step = group.client->prepare(request_of(10, 100), [](const prepared_turn&) {});
    }
    net::testing::run_for(group.loop, milliseconds(400));
    cr_assert(!group.caller->is_cut());
}

Test(relaying_caller, a_peer_passes_on_only_calls_to_members_that_it_knows) {
    member_group group({{}, {}, {}});
    const relay_node peer(group.loop, group.view);
    for (const relay_request& request :
         {relay_request{base::node_id("stranger"), wire::turn_read, ""},
          relay_request{base::node_id("store-a"), wire::turn_list, ""}}) {
        std::optional<absl::Status> outcome;
        const auto call = group.rpc->call(
            base::node_id(), peer.rpc->local_endpoint(), wire::turn_relay, wire::encode(request),
            milliseconds(5'000),
            {.on_part = nullptr, .on_done = [&](const absl::StatusOr<std::string>& reply) {
                 outcome = reply.status();
             }});
        cr_assert(run_until(group.loop, [&] { return outcome.has_value(); }));
        cr_assert(outcome->code() == absl::StatusCode::kInvalidArgument);
    }
}
