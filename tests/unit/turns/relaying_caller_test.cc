// A node that cannot reach the storage members directly, and a peer that can.
#include <algorithm>

#include "member_fixture.h"
#include "pearbarrow/turns/call_relay.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using namespace pearbarrow::turns::testing;

namespace {

/// A node that relays calls to the members of a view.
struct relay_node {
    relay_node(net::event_loop& loop, const directory::storage_view& view, bool is_cut = false)
        : rpc(net::make_peer_rpc(loop, {.self = base::node_id("peer"),
                                        .cluster = "test",
                                        .listen = net::testing::loopback})),
          relay(*rpc, [is_cut](std::uint32_t /*group*/) { return is_cut; }) {
        this->relay.set_view(view);
        cr_assert(this->rpc->start().ok());
    }

    std::unique_ptr<net::peer_rpc> rpc;
    call_relay relay;
};

}  // namespace

Test(relaying_caller, reaches_the_members_through_a_peer) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    // The same members at the addresses through which the peer reaches them.
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

// When a third of the nodes is cut off together, a randomly chosen peer is often cut off as well.
Test(relaying_caller, cut_off_peer_reports_it_and_next_peer_is_called_at_once) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    std::list<scripted_member> reached;
    directory::storage_view view = group.view;
    for (directory::storage_member& member : view.members) {
        reached.emplace_back(group.loop, member.node.value(), member_script{});
        member.address = reached.back().member("a").address;
    }
    const relay_node cut(group.loop, view, true);
    const relay_node peer(group.loop, view);
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::unavailable);
    cr_assert(group.caller->lacks_majority());
    group.relay_peers = {cut.rpc->local_endpoint(), cut.rpc->local_endpoint()};
    group.relay_peer = peer.rpc->local_endpoint();
    const auto started_at = std::chrono::steady_clock::now();
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::may_run);
    const auto took = std::chrono::steady_clock::now() - started_at;
    cr_assert(took < relaying_options{}.relay_backoff, "%.3f s",
              std::chrono::duration<double>(took).count());
}

// One member is down while the node is cut off: a relay that reaches the other members must be
// kept.
Test(relaying_caller, dead_member_does_not_replace_working_relay) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    std::list<scripted_member> reached;
    directory::storage_view view = group.view;
    for (directory::storage_member& member : view.members) {
        const bool is_down = reached.empty();
        reached.emplace_back(group.loop, member.node.value(), member_script{.silent = is_down});
        member.address = reached.back().member("a").address;
    }
    const relay_node peer(group.loop, view);
    group.relay_peer = peer.rpc->local_endpoint();
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::may_run);
    const int chosen = group.relays_chosen;
    const auto reaches = [&](std::size_t index) {
        std::optional<absl::Status> outcome;
        const auto call = group.caller->call(
            group.view.members[index], wire::turn_reserve,
            wire::encode(reserve_request{.wanted = request_of(10, 100).wanted}), milliseconds(120),
            [&](const absl::StatusOr<std::string>& reply) { outcome = reply.status(); });
        cr_assert(run_until(group.loop, [&] { return outcome.has_value(); }));
        return outcome->ok();
    };
    for (int round = 0; round < 5; ++round) {
        cr_assert(!reaches(0) && reaches(1) && reaches(2));
    }
    cr_assert(group.relays_chosen == chosen, "%d more chosen", group.relays_chosen - chosen);
}

Test(relaying_caller, silent_minority_causes_no_relayed_calls) {
    member_group group({{}, {}, {.silent = true}});
    const relay_node peer(group.loop, group.view);
    group.relay_peer = peer.rpc->local_endpoint();
    for (int round = 0; round < 3; ++round) {
        cr_assert(group.prepare(request_of(10, 100, "earlier")).outcome == turn_outcome::may_run);
        net::testing::run_for(group.loop, milliseconds(300));
    }
    cr_assert(group.caller->relayed_calls() == 0);
    cr_assert(!group.caller->lacks_majority());
}

Test(relaying_caller, unreachable_members_end_the_turn_in_time) {
    member_group group({{.silent = true}, {.silent = true}, {.silent = true}});
    const relay_node peer(group.loop, group.view);
    group.relay_peer = peer.rpc->local_endpoint();
    const auto before = std::chrono::steady_clock::now();
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::unavailable);
    cr_assert(std::chrono::steady_clock::now() - before < std::chrono::seconds(10));
    cr_assert(group.caller->lacks_majority());
    cr_assert(group.caller->relayed_calls() < 40, "failed relays back off");
}

Test(relaying_caller, empty_view_is_not_cut) {
    const member_group group({});
    cr_assert(!group.caller->lacks_majority());
}

Test(relaying_caller, cancelled_turn_does_not_mark_members_silent) {
    member_group group({{}, {}, {}});
    {
        const auto step = group.client->prepare(request_of(10, 100), [](const prepared_turn&) {});
    }
    net::testing::run_for(group.loop, milliseconds(400));
    cr_assert(!group.caller->lacks_majority());
}

Test(relaying_caller, peer_relays_only_known_methods_to_known_members) {
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
