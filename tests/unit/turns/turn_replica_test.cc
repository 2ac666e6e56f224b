// Storage members that synchronize with each other, over stores controlled by the test.
#include "pearbarrow/turns/turn_replica.h"

#include <list>
#include <optional>

#include "../net/net_fixture.h"
#include "memory_store.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using net::testing::run_until;
using turns::testing::memory_store;

namespace {

struct member {
    member(net::event_loop& loop, const base::clock& clock, const std::string& name)
        : loop(loop),
          name(name),
          rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})),
          store("disk of " + name),
          replica(loop, *rpc, clock, store, options(name)) {
        cr_assert(this->replica.load().ok());
        cr_assert(this->rpc->start().ok());
    }
    static replica_options options(const std::string& name) {
        replica_options options{.self = base::node_id(name), .index = {}};
        // Longer than any test, so no result depends on it.
        options.listing_interval = base::milliseconds{60'000};
        return options;
    }
    directory::storage_member entry(bool retiring = false) const {
        return {.node = base::node_id(this->name),
                .address = this->rpc->local_endpoint(),
                .zone = "a",
                .retiring = retiring};
    }

    template <typename Reply, typename Request>
    absl::StatusOr<Reply> call(net::method_number method, const Request& request) {
        std::optional<absl::StatusOr<Reply>> answer;
        const auto call = this->rpc->call(
            base::node_id(this->name), this->rpc->local_endpoint(), method, wire::encode(request),
            base::milliseconds{5'000},
            {.on_part = nullptr, .on_done = [&](const absl::StatusOr<std::string>& reply) {
                 answer = reply.ok() ? wire::decode<Reply>(*reply)
                                     : absl::StatusOr<Reply>(reply.status());
             }});
        cr_assert(run_until(this->loop, [&] { return answer.has_value(); }));
        return *answer;
    }
    absl::Status store_turn(const std::string& program, const std::string& turn,
                            const std::string& previous = "") {
        finish_request request;
        request.settled.push_back({.program = base::program_id(program),
                                   .turn = turn_id(turn),
                                   .tokens = 5,
                                   .settled = true});
        request.records.push_back({.turn = turn_id(turn),
                                   .program = base::program_id(program),
                                   .previous = turn_id(previous),
                                   .input = "in " + turn + ";",
                                   .output = "out " + turn + ";",
                                   .retention_seconds = 60});
        return this->call<finish_reply>(wire::turn_finish, request).status();
    }

    net::event_loop& loop;
    std::string name;
    std::unique_ptr<net::peer_rpc> rpc;
    memory_store store;
    turn_replica replica;
};

struct two_members {
    two_members() {
        this->set_view(false);
        this->leaving.replica.start();
        this->staying.replica.start();
    }
    void set_view(bool retiring) {
        this->leaving.replica.reject_writes(retiring);
        this->leaving.replica.set_view(this->view(retiring));
        this->staying.replica.set_view(this->view(retiring));
    }
    directory::storage_view view(bool retiring) {
        return {.revision = ++this->revision,
                .members = {this->leaving.entry(retiring), this->staying.entry()}};
    }
    /// Stores a turn at the retiring member; the outcome is set in `stored`.
    void store_turn(const std::string& turn) {
        finish_request request;
        request.records.push_back({.turn = turn_id(turn), .input = "in", .output = "out"});
        this->calls.push_back(this->staying.rpc->call(
            base::node_id(this->leaving.name), this->leaving.rpc->local_endpoint(),
            wire::turn_finish, wire::encode(request), base::milliseconds{20'000},
            {.on_part = nullptr, .on_done = [this](const absl::StatusOr<std::string>& reply) {
                 this->stored = reply.ok();
             }}));
    }
    bool is_replicated() const {
        return this->leaving.replica.has_everything(base::node_id(this->staying.name));
    }

    net::event_loop loop;
    base::system_clock_source clock;
    member leaving{this->loop, this->clock, "leaving"};
    member staying{this->loop, this->clock, "staying"};
    std::uint64_t revision = 0;
    std::optional<bool> stored;
    std::vector<std::unique_ptr<net::peer_call_handle>> calls;
};

}  // namespace

Test(turn_replica, retiring_member_is_listed_at_once) {
    two_members pair;
    pair.store_turn("t1");
    cr_assert(run_until(pair.loop, [&] { return pair.stored.has_value(); }));
    cr_assert(*pair.stored && !pair.is_replicated());
    bool was_notified = false;
    pair.leaving.replica.on_listed([&] { was_notified = true; });
    pair.set_view(true);
    cr_assert(run_until(pair.loop, [&] { return pair.is_replicated(); }));
    cr_assert(was_notified);
    cr_assert(pair.staying.store.turns.count(turn_id("t1")) == 1);
}

Test(turn_replica, write_in_progress_does_not_count_as_replicated) {
    two_members pair;
    // The staying member learns of the retirement first and lists often.
    pair.staying.replica.set_view(pair.view(true));
    cr_assert(run_until(pair.loop, [&] { return pair.is_replicated(); }));
    pair.leaving.store.held = true;
    pair.store_turn("t1");
    cr_assert(run_until(pair.loop, [&] { return !pair.leaving.store.waiting.empty(); }));
    cr_assert(!pair.is_replicated(), "it would be confirmed after the member has left");
    pair.set_view(true);
    pair.leaving.store.release();
    cr_assert(
        run_until(pair.loop, [&] { return pair.stored.has_value() && pair.is_replicated(); }));
    cr_assert(pair.staying.store.turns.count(turn_id("t1")) == 1);
}

// After a restart of the fleet, members must list only new changes, not everything.
Test(turn_replica, restarted_member_lists_from_persisted_position) {
    net::event_loop loop;
    const base::system_clock_source clock;
    std::vector<list_request> asked;
    const auto other = net::make_peer_rpc(
        loop,
        {.self = base::node_id("other"), .cluster = "test", .listen = net::testing::loopback});
    other->register_method(wire::turn_list, [&](std::string_view payload, auto answer) {
        asked.push_back(*wire::decode<list_request>(payload));
        answer->finish(wire::encode(list_reply{.disk = disk_id("disk of other"),
                                               .is_complete = true,
                                               .turns = {},
                                               .reservations = {},
                                               .through = change_number(7)}));
    });
    cr_assert(other->start().ok());
    const directory::storage_view view{
        .revision = 1,
        .members = {{.node = base::node_id("other"), .address = other->local_endpoint()}}};

    std::vector<peer_position> kept;
    {
        member first(loop, clock, "first");
        first.replica.set_view(view);
        first.replica.start();
        cr_assert(run_until(loop, [&] { return !first.store.contents.positions.empty(); }));
        kept = first.store.contents.positions;
    }
    cr_assert(asked.size() == 1 && asked.back().after == change_number());

    const auto rpc = net::make_peer_rpc(
        loop,
        {.self = base::node_id("first"), .cluster = "test", .listen = net::testing::loopback});
    memory_store store("disk of first");
    store.contents.positions = kept;
    turn_replica again(loop, *rpc, clock, store, member::options("first"));
    cr_assert(again.load().ok());
    cr_assert(rpc->start().ok());
    again.set_view(view);
    again.start();
    cr_assert(run_until(loop, [&] { return asked.size() == 2; }));
    cr_assert(asked.back().after == change_number(7));
    cr_assert(asked.back().disk == disk_id("disk of other"), "on another disk it begins anew");
}

Test(turn_replica, idle_members_write_nothing) {
    two_members pair;
    // Both members list each other frequently, as during a retirement.
    pair.set_view(true);
    cr_assert(run_until(pair.loop, [&] { return pair.is_replicated(); }));
    cr_assert(pair.staying.store.writes == 3,
              "%zu writes: the group that it entered, its voters, one of whom is retiring",
              pair.staying.store.writes);
    net::testing::run_for(pair.loop, std::chrono::milliseconds(300));
    cr_assert(pair.staying.store.writes == 3, "%zu writes", pair.staying.store.writes);
}

namespace {

/// A view in which one member is alone in the group of the given number.
directory::storage_view alone_in(const member& single, std::uint32_t group) {
    directory::storage_view view{.revision = 1, .members = {single.entry()}, .groups = 3};
    view.members.front().group = group;
    return view;
}

}  // namespace

Test(turn_replica, chain_is_returned_as_records_on_request) {
    net::event_loop loop;
    const base::system_clock_source clock;
    member single(loop, clock, "one");
    single.replica.set_view(alone_in(single, 0));
    cr_assert(single.store_turn("program", "t1").ok());
    cr_assert(single.store_turn("program", "t2", "t1").ok());
    const auto reply = single.call<read_reply>(
        wire::turn_read, read_request{.turn = turn_id("t2"), .wants_records = true});
    cr_assert(reply.ok() && reply->chain == chain_result::found);
    cr_assert(reply->records.size() == 2 && reply->records[0].turn == turn_id("t1"));
    cr_assert(reply->records[1].previous == turn_id("t1"));
    cr_assert(reply->chain_text.empty(), "not twice");
}

Test(turn_replica, member_that_enters_another_group_starts_empty) {
    net::event_loop loop;
    const base::system_clock_source clock;
    member single(loop, clock, "one");
    single.replica.set_view(alone_in(single, 0));
    cr_assert(single.store_turn("program", "t1").ok());
    const disk_id before = single.store.contents.disk;

    single.replica.set_view(alone_in(single, 2));
    cr_assert(single.store.turns.empty(), "the disk is empty");
    cr_assert(single.store.contents.group == 2U);
    cr_assert(single.store.contents.disk != before, "positions on the old contents are void");
    const auto reply =
        single.call<read_reply>(wire::turn_read, read_request{.turn = turn_id("t1")});
    cr_assert(reply->chain == chain_result::absent);
    cr_assert(!reply->is_complete, "its word that a turn is absent proves nothing yet");
    const auto usage = single.call<usage_reply>(
        wire::turn_usage, usage_request{.program = base::program_id("program")});
    cr_assert(usage->reservations.empty() && !usage->is_complete);
}

// The member missed the writes that were confirmed while it was not a voter: a turn that it lacks
// may exist until it has copied from the others.
Test(turn_replica, returning_member_keeps_data_and_copies_missed_changes) {
    two_members pair;
    member& back = pair.leaving;
    cr_assert(back.store_turn("program", "t1").ok());
    directory::storage_view without = pair.view(false);
    std::erase_if(without.members,
                  [&](const auto& single) { return single.node == back.entry().node; });
    back.replica.set_view(without);
    pair.staying.replica.set_view(without);
    cr_assert(!back.replica.is_complete() && back.replica.turn_count() == 1);
    cr_assert(back.store.contents.complete == false, "nor after a restart");
    cr_assert(pair.staying.store_turn("program", "t2").ok());

    const directory::storage_view with = pair.view(false);
    back.replica.set_view(with);
    cr_assert(!back.replica.is_complete());
    run_until(pair.loop, [&] { return back.replica.turn_count() == 2; });
    cr_assert(!back.replica.is_complete(), "the other has not heard that it is a voter");
    pair.staying.replica.set_view(with);
    cr_assert(run_until(pair.loop, [&] { return back.replica.is_complete(); }));
    cr_assert(back.replica.turn_count() == 2);
}

Test(turn_replica, request_with_replaced_voters_is_rejected_with_newer_view) {
    two_members pair;
    member& single = pair.staying;
    const directory::storage_view before = pair.view(false);
    single.replica.set_view(before);
    directory::storage_view after = before;
    after.revision += 1;
    after.members.erase(after.members.begin());
    single.replica.set_view(after);
    const view_stamp outdated = stamp_of(before);
    const reservation wanted{
        .program = base::program_id("program"), .turn = turn_id("t1"), .tokens = 5};
    const auto reserved = single.call<reserve_reply>(
        wire::turn_reserve,
        reserve_request{.wanted = wanted, .previous = {}, .load = {}, .view = outdated});
    cr_assert(reserved.ok() && reserved->newer.has_value());
    cr_assert(reserved->newer->revision == after.revision && reserved->newer->members.size() == 1);
    cr_assert(reserved->reservations.empty());
    const auto finished = single.call<finish_reply>(
        wire::turn_finish,
        finish_request{.settled = {wanted}, .records = {}, .load = {}, .view = outdated});
    cr_assert(finished.ok() && finished->newer.has_value());
    const auto usage = single.call<usage_reply>(
        wire::turn_usage, usage_request{.program = wanted.program, .view = outdated});
    cr_assert(usage.ok() && usage->newer.has_value());
    const auto read = single.call<read_reply>(
        wire::turn_read, read_request{.turn = turn_id("t0"), .view = outdated});
    cr_assert(read.ok() && read->newer.has_value(), "nor is a turn absent by its word");
    cr_assert(single.replica.program_count() == 0, "nothing was stored");
    const auto taken = single.call<reserve_reply>(
        wire::turn_reserve,
        reserve_request{.wanted = wanted, .previous = {}, .load = {}, .view = stamp_of(after)});
    cr_assert(taken.ok() && !taken->newer.has_value());
    const auto older_node = single.call<reserve_reply>(
        wire::turn_reserve, reserve_request{.wanted = wanted, .previous = {}, .load = {}});
    cr_assert(older_node.ok() && !older_node->newer.has_value(), "older nodes tell no view");
}

// A restart with an intact disk must preserve all state that others rely on.
Test(turn_replica, restarted_member_still_rejects_outdated_requests) {
    net::event_loop loop;
    const base::system_clock_source clock;
    member first(loop, clock, "first");
    directory::storage_view before = alone_in(first, 0);
    before.members.push_back(
        {.node = base::node_id("gone"), .address = first.rpc->local_endpoint(), .zone = "a"});
    directory::storage_view after = alone_in(first, 0);
    after.revision = 2;
    first.replica.set_view(before);
    first.replica.set_view(after);
    cr_assert(first.replica.is_view_persisted());

    const auto rpc = net::make_peer_rpc(
        loop,
        {.self = base::node_id("again"), .cluster = "test", .listen = net::testing::loopback});
    memory_store store("disk");
    store.contents = first.store.contents;
    turn_replica again(loop, *rpc, clock, store, member::options("first"));
    cr_assert(again.load().ok());
    cr_assert(rpc->start().ok());
    const read_request question{.turn = turn_id("t0"), .view = stamp_of(before)};
    std::optional<read_reply> reply;
    const auto call = first.rpc->call(
        base::node_id("again"), rpc->local_endpoint(), wire::turn_read, wire::encode(question),
        base::milliseconds{5'000},
        {.on_part = nullptr, .on_done = [&](const absl::StatusOr<std::string>& payload) {
             reply = *wire::decode<read_reply>(*payload);
         }});
    cr_assert(run_until(loop, [&] { return reply.has_value(); }));
    cr_assert(reply->newer.has_value() && reply->newer->members.empty(),
              "it knows that there are newer ones, and not yet who they are");
}

// Otherwise a restart would attribute the new group's turns to the old group and drop them.
Test(turn_replica, nothing_is_confirmed_before_group_is_persisted) {
    net::event_loop loop;
    const base::system_clock_source clock;
    member single(loop, clock, "one");
    single.replica.set_view(alone_in(single, 0));
    single.store.failing = true;
    single.replica.set_view(alone_in(single, 1));
    single.store.failing = false;
    cr_assert(!single.store_turn("program", "t1").ok());
    cr_assert(run_until(loop, [&] { return single.store.contents.group == 1U; }));
    cr_assert(single.store_turn("program", "t2").ok());
}

Test(turn_replica, write_in_progress_during_group_change_is_not_confirmed) {
    net::event_loop loop;
    const base::system_clock_source clock;
    member single(loop, clock, "one");
    single.replica.set_view(alone_in(single, 0));
    single.store.held = true;
    std::optional<bool> stored;
    finish_request request;
    request.records.push_back({.turn = turn_id("t1"), .input = "in", .output = "out"});
    const auto call = single.rpc->call(
        base::node_id("one"), single.rpc->local_endpoint(), wire::turn_finish,
        wire::encode(request), base::milliseconds{5'000},
        {.on_part = nullptr,
         .on_done = [&](const absl::StatusOr<std::string>& reply) { stored = reply.ok(); }});
    cr_assert(run_until(loop, [&] { return !single.store.waiting.empty(); }));
    single.replica.set_view(alone_in(single, 1));
    single.store.release();
    cr_assert(run_until(loop, [&] { return stored.has_value(); }));
    cr_assert(!*stored, "its data have gone");
    cr_assert(single.replica.turn_count() == 0);
}
