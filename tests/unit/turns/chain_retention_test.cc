// Tests how long a member keeps the turns of a chain: the index alone, and members that are
// restarted, replaced and cut off while chains go on.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../net/net_fixture.h"
#include "memory_store.h"
#include "pearbarrow/turns/turn_index.h"
#include "pearbarrow/turns/turn_replica.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using base::seconds;
using net::testing::run_until;
using turns::testing::memory_store;

namespace {

constexpr double retention_seconds = 20;
constexpr seconds slack{15};
constexpr seconds max_turn_duration{30};

base::instant at(std::int64_t second) {
    return base::instant{seconds{second}};
}

struct indexed_turns {
    void store(const std::string& turn, const std::string& previous, base::instant now) {
        this->index.add(stored_turn{this->index.next_number(),
                                    now.time_since_epoch().count(),
                                    {.turn = turn_id(turn),
                                     .program = base::program_id("p"),
                                     .previous = turn_id(previous),
                                     .retention_seconds = retention_seconds}},
                        now);
    }
    void reserve(const std::string& turn, const std::string& previous, base::instant now) {
        this->index.add(stored_reservation{this->index.next_number(),
                                           0,
                                           {.program = base::program_id("p"),
                                            .turn = turn_id(turn),
                                            .tokens = 10,
                                            .previous = turn_id(previous)}},
                        now);
    }
    void settle(const std::string& turn, base::instant now) {
        this->index.add(stored_reservation{this->index.next_number(),
                                           0,
                                           {.program = base::program_id("p"),
                                            .turn = turn_id(turn),
                                            .tokens = 5,
                                            .settled = true}},
                        now);
    }
    std::size_t chain_length(const std::string& last) const {
        const auto chain = this->index.chain(turn_id(last));
        return chain.has_value() ? chain->size() : 0;
    }

    turn_index index{{.retention_slack = slack, .reservation_retention = seconds{50}}};
};

}  // namespace

Test(chain_retention, turn_is_kept_while_a_later_one_is) {
    indexed_turns turns;
    turns.store("t1", "", at(0));
    turns.store("t2", "t1", at(16));
    turns.store("t3", "t2", at(32));
    turns.index.expire(at(66));
    cr_assert(turns.chain_length("t3") == 3);
    turns.index.expire(at(68));
    cr_assert(turns.index.turn_count() == 0, "%zu", turns.index.turn_count());
}

Test(chain_retention, branch_keeps_the_common_turns) {
    indexed_turns turns;
    turns.store("t1", "", at(0));
    turns.store("t2", "t1", at(1));
    turns.store("t3", "t1", at(30));
    turns.index.expire(at(60));
    cr_assert(!turns.index.has(turn_id("t2")));
    cr_assert(turns.chain_length("t3") == 2);
}

Test(chain_retention, turn_is_kept_while_its_continuation_is_answered) {
    indexed_turns turns;
    turns.store("t1", "", at(0));
    turns.store("t2", "t1", at(1));
    turns.reserve("t3", "t2", at(18));
    turns.index.expire(at(48));
    cr_assert(turns.chain_length("t2") == 2);
    turns.store("t3", "t2", at(48));
    turns.settle("t3", at(48));
    turns.index.expire(at(82));
    cr_assert(turns.chain_length("t3") == 3);
}

Test(chain_retention, turn_outlives_a_failed_continuation_by_the_slack) {
    indexed_turns turns;
    turns.store("t1", "", at(0));
    turns.reserve("t2", "t1", at(18));
    turns.settle("t2", at(40));
    turns.index.expire(at(54));
    cr_assert(turns.chain_length("t1") == 1);
    turns.index.expire(at(56));
    cr_assert(turns.index.turn_count() == 0);
}

Test(chain_retention, reservation_of_a_lost_edge_keeps_a_turn_no_longer_than_its_program) {
    indexed_turns turns;
    turns.reserve("t0", "", at(0));
    turns.store("t1", "", at(0));
    turns.reserve("t2", "t1", at(18));
    turns.index.expire(at(67));
    cr_assert(turns.chain_length("t1") == 1);
    turns.index.expire(at(200));
    turns.index.expire(at(216));
    cr_assert(turns.index.turn_count() == 0);
    turns.index.expire(at(216));
    cr_assert(turns.index.program_count() == 0);
}

Test(chain_retention, budget_is_kept_while_a_turn_of_the_program_is) {
    indexed_turns turns;
    turns.reserve("t1", "", at(0));
    turns.settle("t1", at(0));
    turns.store("t1", "", at(0));
    // Other programs continue the turn.
    for (int step = 1; step <= 8; ++step) {
        turns.store("t" + std::to_string(step + 1), "t" + std::to_string(step), at(step * 30));
        turns.index.expire(at(step * 30));
    }
    cr_assert(turns.index.reservations(base::program_id("p")).size() == 1);
}

Test(chain_retention, order_of_arrival_does_not_matter) {
    indexed_turns turns;
    turns.store("t3", "t2", at(0));
    turns.store("t1", "", at(0));
    cr_assert(turns.index.missing_turns({}, 5) == std::vector<turn_id>{turn_id("t2")});
    cr_assert(turns.chain_length("t3") == 0);
    turns.store("t2", "t1", at(1));
    cr_assert(turns.index.missing_count() == 0);
    turns.store("t4", "t3", at(30));
    turns.index.expire(at(60));
    cr_assert(turns.chain_length("t4") == 4);
}

Test(chain_retention, turn_that_continues_itself_expires) {
    indexed_turns turns;
    turns.store("t1", "t1", at(0));
    turns.index.expire(at(40));
    cr_assert(turns.index.turn_count() == 0);
}

Test(chain_retention, expiry_drops_a_long_chain_in_steps_and_from_its_end) {
    indexed_turns turns;
    for (int turn = 1; turn <= 25'000; ++turn) {
        turns.store("t" + std::to_string(turn), "t" + std::to_string(turn - 1), at(0));
    }
    const store_change first = turns.index.expire(at(36));
    cr_assert(first.dropped_turns.size() == 10'000);
    cr_assert(first.dropped_turns.front() == turn_id("t25000"));
    cr_assert(turns.index.has_expired_turns(at(36)));
    cr_assert(turns.index.has(turn_id("t1")) && !turns.index.has(turn_id("t20000")));
}

namespace {

double seconds_to_extend(int length) {
    indexed_turns turns;
    for (int turn = 1; turn <= length; ++turn) {
        turns.store("t" + std::to_string(turn), "t" + std::to_string(turn - 1), at(0));
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int turn = length + 1; turn <= length + 2'000; ++turn) {
        turns.store("t" + std::to_string(turn), "t" + std::to_string(turn - 1), at(turn / 100));
        turns.index.expire(at(turn / 100));
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

}  // namespace

Test(chain_retention, work_per_turn_does_not_grow_with_the_chain) {
    const double few = seconds_to_extend(10);
    const double many = seconds_to_extend(100'000);
    // A walk over the chain would take some thousand times as long.
    cr_assert(many < 20 * few + 0.05, "%.4f s, then %.4f s", few, many);
}

namespace {

/// A storage member whose process can end and start again, with or without its disk.
struct process {
    process(net::event_loop& loop, const base::clock& clock, std::string name)
        : loop(loop), clock(clock), name(std::move(name)) {}

    void start() {
        this->rpc = net::make_peer_rpc(this->loop, {.self = base::node_id(this->name),
                                                    .cluster = "test",
                                                    .listen = net::testing::loopback});
        this->replica = std::make_unique<turn_replica>(
            this->loop, *this->rpc, this->clock, *this->store,
            replica_options{.self = base::node_id(this->name),
                            .index = {.retention_slack = slack},
                            .listing_interval = base::milliseconds{8},
                            .catch_up_interval = base::milliseconds{4},
                            .expiry_interval = base::milliseconds{3},
                            .listed_changes = 7,
                            .fetched_turns = 3});
        this->replica->set_reservation_retention(seconds{50});
        cr_assert(this->replica->load().ok());
        cr_assert(this->rpc->start().ok());
    }
    void end() {
        this->replica.reset();
        this->rpc.reset();
    }
    bool is_up() const { return this->replica != nullptr; }
    void replace_disk() {
        this->store = std::make_unique<memory_store>(
            this->name + " disk " + std::to_string(++this->disks), false);
    }
    bool is_caught_up() const {
        return this->replica->is_complete() && this->replica->lagging_members() == 0;
    }

    net::event_loop& loop;
    const base::clock& clock;
    std::string name;
    int disks = 0;
    std::unique_ptr<memory_store> store =
        std::make_unique<memory_store>(this->name + " disk", true);
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<turn_replica> replica;
};

/// Three members, and a model of the turns that callers have received.
class modelled_group {
  public:
    explicit modelled_group(std::uint64_t seed) : random_(seed) {
        clock_.set(at(1'000));
        for (process& member : members_) {
            member.start();
        }
        this->announce();
        for (process& member : members_) {
            member.replica->start();
        }
    }

    void play(int steps) {
        for (int step = 0; step < steps; ++step) {
            this->step();
        }
    }
    /// Ends every attempt, waits until nobody may name a turn, and checks that none is kept.
    void expect_nothing_is_kept() {
        for (process& member : members_) {
            this->restart_if_down(member);
        }
        for (int round = 0; round < 40; ++round) {
            clock_.advance(seconds{10});
            net::testing::run_for(loop_, std::chrono::milliseconds(12));
        }
        for (process& member : members_) {
            cr_assert(member.replica->turn_count() == 0 && member.replica->program_count() == 0,
                      "%s keeps %zu turns and %zu programs", member.name.c_str(),
                      member.replica->turn_count(), member.replica->program_count());
            cr_assert(member.store->turns.empty(), "on disk");
            cr_assert(member.store->stored_reservations.empty(), "on disk");
        }
    }
    int answered() const { return answered_; }
    int continued() const { return continued_; }

  private:
    struct open_turn {
        reserve_request request;
        base::instant at;
    };
    struct wanted_chain {
        turn_id turn;
        std::vector<turn_id> chain;
        std::size_t holders;
    };
    struct answered_turn {
        std::vector<turn_id> chain;
        base::instant at;
    };
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

    void step() {
        switch (this->below(12)) {
            case 0:
                this->end_member();
                break;
            case 1:
                this->replace_member();
                break;
            case 2:
            case 3:
                for (process& member : members_) {
                    this->restart_if_down(member);
                }
                break;
            case 4:
            case 5:
                // Members that are cut off expire their turns at different moments.
                clock_.advance(this->below(6) == 0 ? seconds{36} : seconds{1 + this->below(9)});
                net::testing::run_for(loop_, std::chrono::milliseconds(1 + this->below(10)));
                break;
            case 6:
            case 7:
            case 8:
                this->finish_turn();
                break;
            default:
                this->begin_turn();
                break;
        }
        const std::string lost = this->find_lost_chain(1);
        cr_assert(lost.empty(), "%s", lost.c_str());
    }

    void announce() {
        directory::storage_view view{.revision = ++revision_, .members = {}};
        for (process& member : members_) {
            view.members.push_back({.node = base::node_id(member.name),
                                    .address = member.is_up() ? member.rpc->local_endpoint()
                                                              : net::endpoint{"127.0.0.1", 1},
                                    .zone = "z"});
        }
        for (process& member : members_) {
            if (member.is_up()) {
                member.replica->set_view(view);
            }
        }
    }
    std::size_t up_count() const {
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(),
                          [](const process& member) { return member.is_up(); }));
    }
    /// Members are lost one at a time: the next one only after all have caught up.
    bool may_lose_member() {
        net::testing::run_for(loop_, std::chrono::milliseconds(20));
        if (this->up_count() < members_.size()) {
            return false;
        }
        cr_assert(run_until(loop_, [this] {
            return std::all_of(members_.begin(), members_.end(),
                               [](const process& member) { return member.is_caught_up(); });
        }));
        // A turn that its member has just missed comes with the next listing.
        for (int round = 0; round < 500 && !this->find_lost_chain(members_.size()).empty();
             ++round) {
            net::testing::run_for(loop_, std::chrono::milliseconds(10));
        }
        const std::string lost = this->find_lost_chain(members_.size());
        cr_assert(lost.empty(), "%s", lost.c_str());
        return true;
    }
    void end_member() {
        if (this->may_lose_member()) {
            members_[this->below(members_.size())].end();
        }
    }
    void replace_member() {
        if (!this->may_lose_member()) {
            return;
        }
        process& member = members_[this->below(members_.size())];
        member.end();
        member.replace_disk();
        this->restart_if_down(member);
    }
    void restart_if_down(process& member) {
        if (member.is_up()) {
            return;
        }
        member.start();
        this->announce();
        member.replica->start();
        cr_assert(run_until(loop_, [this] {
            return std::all_of(members_.begin(), members_.end(),
                               [](const process& one) { return one.is_caught_up(); });
        }));
    }

    template <typename Reply, typename Request>
    absl::StatusOr<Reply> call(process& member, net::method_number method, const Request& request) {
        std::optional<absl::StatusOr<Reply>> reply;
        const auto call = member.rpc->call(
            base::node_id(member.name), member.rpc->local_endpoint(), method, wire::encode(request),
            base::milliseconds{5'000},
            {.on_part = nullptr, .on_done = [&](const absl::StatusOr<std::string>& payload) {
                 reply = payload.ok() ? wire::decode<Reply>(*payload)
                                      : absl::StatusOr<Reply>(payload.status());
             }});
        cr_assert(run_until(loop_, [&] { return reply.has_value(); }));
        return *reply;
    }

    /// A message reaches at least a majority of the members; returns whether that many are up.
    template <typename Reply, typename Request>
    bool send_to_majority(net::method_number method, const Request& request) {
        if (this->up_count() < 2) {
            return false;
        }
        const std::size_t missed = this->up_count() == 3 ? this->below(6) : members_.size();
        for (std::size_t index = 0; index < members_.size(); ++index) {
            if (members_[index].is_up() && index != missed) {
                cr_assert(this->call<Reply>(members_[index], method, request).ok());
            }
        }
        return true;
    }

    bool may_be_named(const answered_turn& turn) const {
        return clock_.now() - turn.at <= base::microseconds(seconds{20});
    }
    turn_id any_answered_turn() {
        std::vector<turn_id> named;
        for (const auto& [turn, known] : turns_) {
            if (this->may_be_named(known)) {
                named.push_back(turn);
            }
        }
        return named.empty() || this->below(8) == 0 ? turn_id() : named[this->below(named.size())];
    }
    void begin_turn() {
        const turn_id previous = this->any_answered_turn();
        const turn_id turn("t" + std::to_string(++last_turn_));
        const reserve_request request{
            .wanted = {.program = base::program_id("p" + std::to_string(last_turn_ % 5)),
                       .turn = turn,
                       .tokens = 10},
            .previous = previous};
        if (this->send_to_majority<reserve_reply>(wire::turn_reserve, request)) {
            open_.push_back({request, clock_.now()});
            continued_ += previous.value().empty() ? 0 : 1;
        }
    }
    void finish_turn() {
        if (open_.empty()) {
            return;
        }
        const std::size_t index = this->below(open_.size());
        const reserve_request begun = open_[index].request;
        finish_request request;
        request.settled.push_back({.program = begun.wanted.program,
                                   .turn = begun.wanted.turn,
                                   .tokens = 5,
                                   .settled = true});
        const bool is_given_up = this->below(6) == 0;
        if (!is_given_up) {
            request.records.push_back({.turn = begun.wanted.turn,
                                       .program = begun.wanted.program,
                                       .previous = begun.previous,
                                       .input = "in",
                                       .output = "out",
                                       .retention_seconds = retention_seconds});
        }
        if (!this->send_to_majority<finish_reply>(wire::turn_finish, request)) {
            return;
        }
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
        if (is_given_up) {
            return;
        }
        ++answered_;
        std::vector<turn_id> chain;
        if (const auto previous = chains_.find(begun.previous); previous != chains_.end()) {
            chain = previous->second;
        }
        chain.push_back(begun.wanted.turn);
        chains_[begun.wanted.turn] = chain;
        turns_[begun.wanted.turn] = {std::move(chain), clock_.now()};
    }

    /// Returns a turn that a caller may name, or that an open turn names, whose whole chain fewer
    /// than `holders` members return; empty if there is none. A majority suffices for an open turn.
    std::string find_lost_chain(std::size_t holders) {
        std::erase_if(turns_,
                      [this](const auto& entry) { return !this->may_be_named(entry.second); });
        // The node of a turn that takes longer has been lost.
        std::erase_if(open_, [this](const open_turn& turn) {
            return clock_.now() - turn.at > max_turn_duration;
        });
        const std::size_t majority = members_.size() / 2 + 1;
        std::vector<wanted_chain> wanted;
        for (const auto& [turn, known] : turns_) {
            wanted.push_back({turn, known.chain, holders});
        }
        for (const open_turn& turn : open_) {
            const turn_id& previous = turn.request.previous;
            if (!previous.value().empty()) {
                wanted.push_back({previous, chains_.at(previous), std::min(holders, majority)});
            }
        }
        std::vector<std::size_t> found(wanted.size());
        std::size_t replies = 0;
        std::vector<std::unique_ptr<net::peer_call_handle>> calls;
        for (process& member : members_) {
            for (std::size_t index = 0; member.is_up() && index < wanted.size(); ++index) {
                calls.push_back(
                    this->read(member, wanted[index].turn, [&, index](const read_reply& reply) {
                        ++replies;
                        found[index] += has_chain(reply, wanted[index].chain);
                    }));
            }
        }
        cr_assert(run_until(loop_, [&] { return replies == calls.size(); }));
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            if (found[index] < wanted[index].holders) {
                return std::to_string(found[index]) + " members have the chain of " +
                       wanted[index].turn.value() + ", " +
                       std::to_string(wanted[index].chain.size()) + " turns";
            }
        }
        return {};
    }
    std::unique_ptr<net::peer_call_handle> read(process& member, const turn_id& turn,
                                                std::function<void(const read_reply&)> done) {
        return member.rpc->call(
            base::node_id(member.name), member.rpc->local_endpoint(), wire::turn_read,
            wire::encode(read_request{.turn = turn, .wants_records = true}),
            base::milliseconds{5'000},
            {.on_part = nullptr, .on_done = [done = std::move(done)](const auto& payload) {
                 const auto reply = wire::decode<read_reply>(*payload);
                 cr_assert(reply.ok());
                 done(*reply);
             }});
    }
    static bool has_chain(const read_reply& reply, const std::vector<turn_id>& chain) {
        if (reply.chain != chain_result::found) {
            return false;
        }
        const bool is_same = std::equal(
            reply.records.begin(), reply.records.end(), chain.begin(), chain.end(),
            [](const turn_record& record, const turn_id& id) { return record.turn == id; });
        cr_assert(is_same, "a part of the chain is missing or foreign");
        return true;
    }

    std::mt19937_64 random_;
    net::event_loop loop_;
    base::manual_clock clock_;
    std::array<process, 3> members_{process{loop_, clock_, "m0"}, process{loop_, clock_, "m1"},
                                    process{loop_, clock_, "m2"}};
    std::uint64_t revision_ = 0;
    std::uint64_t last_turn_ = 0;
    int answered_ = 0;
    int continued_ = 0;
    std::map<turn_id, answered_turn> turns_;
    std::map<turn_id, std::vector<turn_id>> chains_;
    std::vector<open_turn> open_;
};

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise) {
    const char* value = std::getenv(name);
    return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

}  // namespace

Test(chain_retention, member_fetches_turns_again_that_it_dropped_before_their_continuation_came) {
    constexpr int length = 50;
    net::event_loop loop;
    base::manual_clock clock;
    clock.set(at(1'000));
    process whole(loop, clock, "whole");
    process behind(loop, clock, "behind");
    store_change chain;
    for (int turn = 1; turn <= length; ++turn) {
        chain.turns.push_back(
            {change_number(turn),
             clock.unix_microseconds(),
             {.turn = turn_id("t" + std::to_string(turn)),
              .previous = turn_id(turn == 1 ? "" : "t" + std::to_string(turn - 1)),
              .retention_seconds = retention_seconds}});
    }
    whole.store->write(chain, [](const auto&) {});
    behind.store->write({.turns = {chain.turns.back()}}, [](const auto&) {});
    // The member has listed all changes of the other one.
    behind.store->contents.positions = {
        {base::node_id("whole"), whole.store->contents.disk, change_number(length)}};
    whole.start();
    behind.start();
    cr_assert(behind.replica->missing_turns() == 1);
    directory::storage_view view{.revision = 1, .members = {}};
    for (process* member : {&whole, &behind}) {
        view.members.push_back({.node = base::node_id(member->name),
                                .address = member->rpc->local_endpoint(),
                                .zone = "z"});
    }
    for (process* member : {&whole, &behind}) {
        member->replica->set_view(view);
        member->replica->start();
    }
    cr_assert(run_until(loop, [&] { return behind.replica->lagging_members() == 0; }));
    cr_assert(behind.replica->missing_turns() == 0 && behind.store->turns.size() == length,
              "%zu turns", behind.store->turns.size());
}

// CHAIN_SEED=7 CHAIN_SEEDS=1 CHAIN_STEPS=5000 plays one seed for longer.
Test(chain_retention, answered_turn_keeps_its_whole_chain_through_restarts_and_new_disks,
     .timeout = 280) {
    const std::uint64_t first = number_from_environment("CHAIN_SEED", 1);
    const std::uint64_t seeds = number_from_environment("CHAIN_SEEDS", 5);
    const std::uint64_t steps = number_from_environment("CHAIN_STEPS", 300);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        std::fflush(stdout);
        modelled_group group(seed);
        group.play(static_cast<int>(steps));
        cr_assert(group.answered() > 10 && group.continued() > 5, "%d answered, %d continued",
                  group.answered(), group.continued());
        group.expect_nothing_is_kept();
    }
}
