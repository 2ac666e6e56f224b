/// Injected faults, and the healing at the end.
#include <algorithm>
#include <array>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/faults_cell.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace {

constexpr std::int64_t longest_fault_gap_us = 1'200'000;
constexpr std::int64_t longest_cut_us = 5'000'000;
constexpr std::int64_t longest_repair_wait_us = 4'000'000;
constexpr std::int64_t longest_pause_us = 5'000'000;
constexpr std::int64_t longest_down_us = 2'500'000;
constexpr std::int64_t longest_configuration_lag_us = 1'200'000;
constexpr double storm_loss = 0.3;

}  // namespace

void fault_world::schedule_fault() {
    queue.after(between(50'000, longest_fault_gap_us), [this] {
        if (faulty_) {
            inject();
            schedule_fault();
        }
    });
}

void fault_world::inject() {
    struct kind {
        const char* name;
        void (fault_world::*run)();
    };
    static constexpr std::array<kind, 15> kinds{{
        {"cut", &fault_world::inject_cut},
        {"cut", &fault_world::inject_cut},
        {"crash", &fault_world::inject_crash},
        {"crash", &fault_world::inject_crash},
        {"pause", &fault_world::inject_pause},
        {"pause", &fault_world::inject_pause},
        {"take-over", &fault_world::inject_take_over},
        {"hand-over", &fault_world::inject_hand_over},
        {"rolling stop", &fault_world::inject_rolling_stop},
        {"engine crash", &fault_world::inject_engine_crash},
        {"disk loss", &fault_world::inject_disk_loss},
        {"disk loss", &fault_world::inject_disk_loss},
        {"leaving", &fault_world::inject_leaving},
        {"storm", &fault_world::inject_storm},
        {"power loss", &fault_world::inject_power_loss},
    }};
    const kind& chosen = kinds[random.below(kinds.size())];
    ++history.injected[chosen.name];
    (this->*chosen.run)();
}

/// Cuts one direction between a node and some others, or both, for a while.
void fault_world::inject_cut() {
    const std::size_t from = random.chance(0.5) ? any_owner() : any_node();
    const bool one_way = random.chance(0.4);
    std::vector<std::pair<std::size_t, std::size_t>> added;
    for (std::size_t to = 0; to < node_count; ++to) {
        if (to != from && random.chance(0.7)) {
            added.emplace_back(from, to);
            if (!one_way) {
                added.emplace_back(to, from);
            }
        }
    }
    cuts_.insert(added.begin(), added.end());
    log(fmt::format("cut n{} {}", from, one_way ? "one way" : "both ways"));
    queue.after(between(100'000, longest_cut_us), [this, added] {
        for (const auto& pair : added) {
            cuts_.erase(pair);
        }
    });
}

void fault_world::crash(std::size_t number, base::microseconds down, bool lose_write) {
    sim_node& target = node(number);
    if (!target.running()) {
        return;
    }
    target.crash(lose_write);
    queue.after(down, [&target] {
        if (!target.running()) {
            target.start();
        }
    });
    // Membership tells the dispatcher, if the node stays away for long enough.
    queue.after(between(500'000, 2'000'000), [this, number] {
        sim_node& dispatcher = node(cell_node_);
        if (!node(number).running() && dispatcher.running()) {
            dispatcher.run(base::microseconds(0), [this, &dispatcher, number] {
                if (dispatcher.cell() != nullptr) {
                    dispatcher.cell()->owner_lost(node(number).id());
                }
            });
        }
    });
}

void fault_world::crash_now(std::size_t number) {
    constexpr base::seconds until_then{1};
    node(number).pause(queue.now() + until_then);
    queue.after(base::microseconds(0), [this, number] {
        crash(number, between(1'000, longest_down_us), random.chance(0.5));
    });
}

/// Several nodes at once, and with them all that was not yet durable.
void fault_world::inject_power_loss() {
    const std::size_t spared = random.chance(0.5) ? any_node() : node_count;
    for (std::size_t number = 0; number < node_count; ++number) {
        if (number != spared) {
            crash(number, between(1'000, longest_down_us), true);
        }
    }
}

void fault_world::inject_crash() {
    const bool quick = random.chance(0.5);
    crash(any_node(), quick ? between(1'000, 50'000) : between(50'000, longest_down_us),
          random.chance(0.5));
}

void fault_world::inject_pause() {
    sim_node& target = node(any_node());
    if (target.running()) {
        log(target.process() + " pauses");
        target.pause(queue.now() + between(10'000, longest_pause_us));
    }
}

/// Another node takes the shard, although nothing is wrong with its owner, which may be paused.
void fault_world::inject_take_over() {
    const base::shard_id shard(static_cast<std::uint32_t>(random.below(shard_count)));
    std::size_t& owner = believed_[shard.value()];
    const std::size_t old = owner;
    owner = any_node();
    if (owner == old || !node(owner).running()) {
        return;
    }
    if (random.chance(0.6) && node(old).running()) {
        log(node(old).process() + " pauses");
        node(old).pause(queue.now() + between(10'000, longest_pause_us));
    }
    node(owner).run(between(0, 300'000), [this, owner = owner, shard] {
        node(owner).host(shard).campaign(sets_[shard.value()].set);
    });
}

void fault_world::inject_hand_over() {
    const base::shard_id shard(static_cast<std::uint32_t>(random.below(shard_count)));
    std::size_t& owner = believed_[shard.value()];
    const std::size_t old = owner;
    owner = any_node();
    if (owner == old || !node(owner).running() || !node(old).running()) {
        return;
    }
    log(fmt::format("n{} hands shard {} to n{}", old, shard.value(), owner));
    node(owner).run(network_delay(), [this, owner = owner, old, shard] {
        node(owner).host(shard).campaign(sets_[shard.value()].set);
        transmit(owner, old, [this, old, shard] {
            node(old).run(base::microseconds(0),
                          [this, old, shard] { node(old).host(shard).resign(); });
        });
    });
}

/// A node hands everything over, stops, and comes back.
void fault_world::inject_rolling_stop() {
    const std::size_t stopping = any_node();
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        if (believed_[shard] != stopping) {
            continue;
        }
        const std::size_t next = healthy_node_but(stopping).value_or(stopping);
        if (next == stopping) {
            continue;
        }
        believed_[shard] = next;
        const base::shard_id id(shard);
        node(next).run(network_delay(), [this, next, stopping, id] {
            node(next).host(id).campaign(sets_[id.value()].set);
            transmit(next, stopping, [this, stopping, id] {
                node(stopping).run(base::microseconds(0),
                                   [this, stopping, id] { node(stopping).host(id).resign(); });
            });
        });
    }
    queue.after(between(300'000, 1'000'000),
                [this, stopping] { crash(stopping, between(100'000, 1'000'000), true); });
}

void fault_world::inject_engine_crash() {
    auto engine = engines.begin();
    std::advance(engine, random.below(engines.size()));
    log(engine->first.value() + " crashes");
    engine->second->crash();
}

/// At most one member of a set is without its data at a time; else records may be truly gone.
void fault_world::inject_disk_loss() {
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        const shard_set& known = sets_[shard];
        const bool whole = std::none_of(
            known.set.members.begin(), known.set.members.end(),
            [&](const auto& member) { return is_lost(member, base::shard_id(shard)); });
        if (!known.established || known.set.members.size() < replica_count || !whole) {
            --history.injected["disk loss"];
            return;
        }
    }
    sim_node& target = node(any_node());
    if (target.running()) {
        crash(target.number(), between(1'000, longest_down_us), true);
    }
    target.lose_disk();
    for (shard_set& known : sets_) {
        known.repair_at = queue.now() + between(0, longest_repair_wait_us);
    }
    if (random.chance(0.5)) {
        inject_take_over();
    }
}

void fault_world::inject_leaving() {
    auto engine = engines.begin();
    std::advance(engine, random.below(engines.size()));
    const base::backend_id name = engine->first;
    if (leaving_.contains(name) || leaving_.size() + 1 >= engines.size()) {
        --history.injected["leaving"];
        return;
    }
    log(name.value() + " leaves");
    leaving_.insert(name);
    const std::size_t mark = history.leaving.size();
    history.leaving.push_back({name, queue.now()});
    if (options.follow_leaving) {
        queue.after(between(0, longest_configuration_lag_us),
                    [this, name] { draining_.insert(name); });
    }
    if (random.chance(0.3)) {
        return;
    }
    queue.after(between(4'000'000, 10'000'000), [this, name, mark] {
        log(name.value() + " is back");
        history.leaving[mark].until = queue.now();
        leaving_.erase(name);
        draining_.erase(name);
    });
}

/// Many messages are lost for a while.
void fault_world::inject_storm() {
    const double usual = loss_;
    loss_ = storm_loss;
    log("storm");
    queue.after(between(100'000, 1'500'000), [this, usual] { loss_ = usual; });
}

void fault_world::heal() {
    log("heal");
    faulty_ = false;
    cuts_.clear();
    for (auto& each : nodes_) {
        if (!each->running()) {
            each->start();
        }
    }
}

}  // namespace pearbarrow::bench::faults
