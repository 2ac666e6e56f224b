// Storage members that keep level with each other, over stores that a test holds in its hand.
#include "pearbarrow/turns/turn_replica.h"

#include <list>
#include <optional>

#include "../net/net_fixture.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using net::testing::run_until;

namespace {

/// Keeps turns in memory; writes wait while `held`.
class memory_store final : public turn_store {
  public:
    explicit memory_store(std::string disk) : disk(std::move(disk)) {}

    absl::StatusOr<store_contents> load() override {
        return store_contents{.disk = disk_id(this->disk),
                              .complete = true,
                              .turns = {},
                              .reservations = {},
                              .positions = this->positions,
                              .last_number = {}};
    }
    void write(store_change change, std::function<void(absl::Status)> done) override {
        ++this->writes;
        for (stored_turn& turn : change.turns) {
            this->turns[turn.record.turn] = std::move(turn.record);
        }
        if (change.positions.has_value()) {
            this->positions = *change.positions;
        }
        if (this->held) {
            this->waiting.push_back(std::move(done));
            return;
        }
        done(absl::OkStatus());
    }
    std::string read_directory() const override { return {}; }
    absl::StatusOr<turn_record> read(const turn_id& turn) const override {
        const auto found = this->turns.find(turn);
        if (found == this->turns.end()) {
            return absl::NotFoundError("no such turn");
        }
        return found->second;
    }
    void release() {
        this->held = false;
        for (const auto& done : std::exchange(this->waiting, {})) {
            done(absl::OkStatus());
        }
    }

    std::string disk;
    bool held = false;
    std::size_t writes = 0;
    std::map<turn_id, turn_record> turns;
    std::vector<peer_position> positions;
    std::vector<std::function<void(absl::Status)>> waiting;
};

struct member {
    member(net::event_loop& loop, const base::clock& clock, const std::string& name)
        : name(name),
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
        // Longer than any test: what happens does not wait for it.
        options.listing_interval = base::milliseconds{60'000};
        return options;
    }
    directory::storage_member entry(bool retiring = false) const {
        return {.node = base::node_id(this->name),
                .address = this->rpc->local_endpoint(),
                .zone = "a",
                .retiring = retiring};
    }

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
        this->leaving.replica.refuse_writes(retiring);
        this->leaving.replica.set_view(this->view(retiring));
        this->staying.replica.set_view(this->view(retiring));
    }
    directory::storage_view view(bool retiring) {
        return {.revision = ++this->revision,
                .members = {this->leaving.entry(retiring), this->staying.entry()}};
    }
    /// Stores a turn at the member that is to leave; the outcome arrives in `stored`.
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
    bool is_level() const {
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

Test(turn_replica, a_member_that_retires_is_listed_at_once) {
    two_members pair;
    pair.store_turn("t1");
    cr_assert(run_until(pair.loop, [&] { return pair.stored.has_value(); }));
    cr_assert(*pair.stored && !pair.is_level());
    bool was_told = false;
    pair.leaving.replica.on_listed([&] { was_told = true; });
    pair.set_view(true);
    cr_assert(run_until(pair.loop, [&] { return pair.is_level(); }));
    cr_assert(was_told);
    cr_assert(pair.staying.store.turns.count(turn_id("t1")) == 1);
}

Test(turn_replica, a_write_under_way_is_not_held_by_others) {
    two_members pair;
    // The one that stays has learned of the retirement first, and lists often.
    pair.staying.replica.set_view(pair.view(true));
    cr_assert(run_until(pair.loop, [&] { return pair.is_level(); }));
    pair.leaving.store.held = true;
    pair.store_turn("t1");
    cr_assert(run_until(pair.loop, [&] { return !pair.leaving.store.waiting.empty(); }));
    cr_assert(!pair.is_level(), "it would be confirmed after the member has left");
    pair.set_view(true);
    pair.leaving.store.release();
    cr_assert(run_until(pair.loop, [&] { return pair.stored.has_value() && pair.is_level(); }));
    cr_assert(pair.staying.store.turns.count(turn_id("t1")) == 1);
}

// A fleet that comes back lists all that its members know of each other, or what is new.
Test(turn_replica, a_restarted_member_asks_from_where_it_was) {
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
        cr_assert(run_until(loop, [&] { return !first.store.positions.empty(); }));
        kept = first.store.positions;
    }
    cr_assert(asked.size() == 1 && asked.back().after == change_number());

    const auto rpc = net::make_peer_rpc(
        loop,
        {.self = base::node_id("first"), .cluster = "test", .listen = net::testing::loopback});
    memory_store store("disk of first");
    store.positions = kept;
    turn_replica again(loop, *rpc, clock, store, member::options("first"));
    cr_assert(again.load().ok());
    cr_assert(rpc->start().ok());
    again.set_view(view);
    again.start();
    cr_assert(run_until(loop, [&] { return asked.size() == 2; }));
    cr_assert(asked.back().after == change_number(7));
    cr_assert(asked.back().disk == disk_id("disk of other"), "on another disk it begins anew");
}

Test(turn_replica, members_at_rest_write_nothing) {
    two_members pair;
    // Both list each other all the time, as they do while one is to be taken away.
    pair.set_view(true);
    cr_assert(run_until(pair.loop, [&] { return pair.is_level(); }));
    net::testing::run_for(pair.loop, std::chrono::milliseconds(300));
    cr_assert(pair.staying.store.writes == 0, "%zu writes", pair.staying.store.writes);
}
