/// Who owns which shard and runs the cell, as membership would have it; and the replica sets, as
/// the configuration log and the repair of replicas would change them.
#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/faults_cell.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace {

constexpr std::int64_t soonest_look_us = 150'000;
constexpr std::int64_t latest_look_us = 500'000;
/// A node that has been paused for this long is taken for dead.
constexpr base::milliseconds suspicion{800};
/// A campaign that takes longer starts again.
constexpr base::milliseconds campaign_limit{3'000};

}  // namespace

void fault_world::direct() {
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        direct_shard(base::shard_id(shard));
        manage_set(base::shard_id(shard));
    }
    direct_cell();
    queue.after(between(soonest_look_us, latest_look_us), [this] { direct(); });
}

bool fault_world::looks_dead(std::size_t number) const {
    const sim_node& seen = *nodes_[number];
    std::size_t cut_off_from = 0;
    for (std::size_t other = 0; other < node_count; ++other) {
        cut_off_from += reachable(number, other) ? 0 : 1;
    }
    const bool stuck = seen.paused() && queue.now() - seen.paused_since() > suspicion;
    return !seen.running() || stuck || cut_off_from >= 2;
}

std::optional<std::size_t> fault_world::healthy_node_but(std::size_t excluded) {
    std::vector<std::size_t> healthy;
    for (std::size_t number = 0; number < node_count; ++number) {
        if (number != excluded && !looks_dead(number)) {
            healthy.push_back(number);
        }
    }
    if (healthy.empty()) {
        return std::nullopt;
    }
    return healthy[random.below(healthy.size())];
}

std::optional<std::size_t> fault_world::leading_node(base::shard_id shard) const {
    std::optional<std::size_t> best;
    for (const auto& each : nodes_) {
        const sim_shard_host* host = each->running() ? each->find_host(shard) : nullptr;
        if (host == nullptr || !host->leads()) {
            continue;
        }
        if (!best || host->ballot() > nodes_[*best]->find_host(shard)->ballot()) {
            best = each->number();
        }
    }
    return best;
}

void fault_world::direct_shard(base::shard_id shard) {
    std::size_t& owner = believed_[shard.value()];
    if (looks_dead(owner)) {
        owner = healthy_node_but(owner).value_or(owner);
    }
    sim_node& chosen = node(owner);
    if (!chosen.running()) {
        return;
    }
    const sim_shard_host* host = chosen.find_host(shard);
    const bool idle = host == nullptr || host->current() == sim_shard_host::state::idle;
    const bool stuck = host != nullptr && host->current() == sim_shard_host::state::campaigning &&
                       queue.now() - host->since() > campaign_limit;
    if (idle || stuck) {
        chosen.run(base::microseconds(0), [this, &chosen, shard] {
            chosen.host(shard).campaign(sets_[shard.value()].set);
        });
    }
}

void fault_world::direct_cell() {
    sim_node* runs = &node(cell_node_);
    if (looks_dead(cell_node_)) {
        const std::size_t old = cell_node_;
        cell_node_ = healthy_node_but(old).value_or(old);
        node(old).run(between(0, 1'000'000), [this, old] {
            if (cell_node_ != old) {
                node(old).give_up_cell();
            }
        });
        runs = &node(cell_node_);
    }
    if (runs->running()) {
        runs->run(base::microseconds(0), [this, runs] {
            if (runs->number() == cell_node_) {
                runs->take_cell();
            }
        });
    }
}

bool fault_world::is_lost(const wire::journal_member& member, base::shard_id shard) const {
    for (const auto& each : nodes_) {
        if (each->id() == member.node) {
            return each->member(shard) != member;
        }
    }
    return true;
}

/// One member at a time, each epoch established before the next.
void fault_world::manage_set(base::shard_id shard) {
    shard_set& known = sets_[shard.value()];
    if (!known.established) {
        return;
    }
    auto members = known.set.members;
    const auto lost = std::find_if(members.begin(), members.end(),
                                   [&](const auto& member) { return is_lost(member, shard); });
    if (lost != members.end()) {
        if (queue.now() < known.repair_at) {
            return;
        }
        members.erase(lost);
        publish(shard, std::move(members));
        return;
    }
    if (members.size() >= replica_count) {
        return;
    }
    if (known.learner && is_lost(*known.learner, shard)) {
        known.learner.reset();
    }
    if (known.learner && known.learner_caught_up) {
        members.push_back(*known.learner);
        known.learner.reset();
        publish(shard, std::move(members));
        return;
    }
    if (!known.learner) {
        const wire::journal_member wanted = node(any_node()).member(shard);
        if (std::find(members.begin(), members.end(), wanted) != members.end()) {
            return;
        }
        known.learner = wanted;
        known.learner_caught_up = false;
    }
    if (const auto leading = leading_node(shard)) {
        node(*leading).run(base::microseconds(0), [this, leading, shard, learner = *known.learner] {
            node(*leading).host(shard).feed_leader(journal::learner_added{learner});
        });
    }
}

void fault_world::publish(base::shard_id shard, std::vector<wire::journal_member> members) {
    shard_set& known = sets_[shard.value()];
    known.set.members = std::move(members);
    ++known.set.epoch;
    known.established = false;
    std::string names;
    for (const wire::journal_member& member : known.set.members) {
        names += fmt::format(" {}.{}", member.node.value(), member.store);
    }
    log(fmt::format("shard {} epoch {}:{}", shard.value(), known.set.epoch, names));
    for (auto& each : nodes_) {
        const bool late = faulty_ && random.chance(0.3);
        const auto delay = late ? between(500'000, 5'000'000) : between(1'000, 200'000);
        if (!each->running()) {
            continue;
        }
        each->run(delay, [&target = *each, shard, set = known.set] {
            sim_shard_host& host = target.host(shard);
            if (host.current() != sim_shard_host::state::idle) {
                host.feed_leader(journal::replica_set_changed{set});
            }
        });
    }
}

}  // namespace pearbarrow::bench::faults
