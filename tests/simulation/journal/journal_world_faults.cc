/// Injected faults, the healing at the end, and the changes of the replica set.
#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "journal_world.h"

namespace pearbarrow::simulation {

namespace {

const base::shard_id shard(7);

}  // namespace

void journal_world::inject() {
    if (!faulty_) {
        return;
    }
    auto& target = *nodes_[random_.below(nodes_.size())];
    const auto kind = random_.below(10);
    if (kind < 3 && options_.partitions) {
        cut();
    } else if (kind < 6 && options_.crashes && target.is_running) {
        crash(target);
    } else if (kind < 8 && target.is_running) {
        pause(target);
    } else if (options_.disk_loss && target.is_running && may_lose_a_disk()) {
        if (kind == 8) {
            lose_disk(target);
        } else {
            corrupt_disk(target);
        }
    }
    at(between(50'000, base::microseconds(options_.fault_interval).count()), [this] { inject(); });
}

/// Cuts one direction between a node and some others, or both, for a while.
void journal_world::cut() {
    ++result_.partitions;
    const auto from = random_.below(nodes_.size());
    const bool one_way = random_.chance(0.4);
    std::vector<std::pair<std::size_t, std::size_t>> added;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from && random_.chance(0.7)) {
            added.emplace_back(from, to);
            if (!one_way) {
                added.emplace_back(to, from);
            }
        }
    }
    cuts_.insert(added.begin(), added.end());
    log(fmt::format("cut n{} {}", from, one_way ? "one way" : "both ways"));
    at(between(100'000, 2'500'000), [this, added] {
        for (const auto& pair : added) {
            cuts_.erase(pair);
        }
    });
}

void journal_world::crash(node& target) {
    ++result_.crashes;
    log("crash " + target.process());
    stop_node(target);
    if (random_.chance(0.5)) {
        target.store->crash();
    } else {
        target.store->finish_write();  // It became durable; nobody was told.
    }
    at(random_.chance(0.5) ? between(1'000, 20'000) : between(20'000, 1'500'000), [this, &target] {
        if (!target.is_running) {
            start_node(target);
        }
    });
}

void journal_world::pause(node& target) {
    ++result_.pauses;
    log("pause " + target.process());
    target.paused_until = now_ + between(50'000, 2'000'000);
}

/// At most one member without its data at a time, else committed records may be truly gone.
bool journal_world::may_lose_a_disk() const {
    return established_ && set_.members.size() >= 3 &&
           std::none_of(set_.members.begin(), set_.members.end(),
                        [this](const auto& member) { return is_lost(member); });
}

void journal_world::lose_disk(node& target) {
    ++result_.disk_losses;
    log("disk lost " + target.process());
    damaged_.insert(identity(target));
    crash(target);
    target.store = std::make_unique<journal::memory_replica_store>(
        fmt::format("{}-disk{}", target.id.value(), ++target.stores));
}

void journal_world::corrupt_disk(node& target) {
    const auto& store = *target.store;
    const auto loaded = store.load();
    if (!loaded.ok() || loaded->empty() || !loaded->front().metadata.ok()) {
        return;
    }
    const auto& metadata = *loaded->front().metadata;
    const auto first = metadata.snapshot_index.value() + 1;
    const auto length = metadata.last_index.value() + 1 - first;
    const base::log_index index(first + random_.below(length));
    if (length != 0 && target.store->corrupt_entry(shard, index)) {
        ++result_.disk_losses;
        log(fmt::format("corrupt entry {} of {}", index.value(), target.process()));
        damaged_.insert(identity(target));
        crash(target);
    }
}

void journal_world::heal() {
    log("heal");
    faulty_ = false;
    cuts_.clear();
    for (auto& one : nodes_) {
        one->paused_until = {};
        one->known_set = set_;
        if (!one->is_running) {
            start_node(*one);
        }
    }
    // The highest round is unknown: campaign until somebody leads.
    for (int attempt = 0; attempt < 12; ++attempt) {
        at(base::milliseconds(2'000 + 500 * attempt), [this] {
            auto& candidate = *nodes_[0];
            if (leading_node() == nullptr) {
                candidate.known_set = set_;
                start_campaign(candidate);
            }
        });
    }
}

/// Plays the configuration log: one member at a time, each epoch established before the next.
void journal_world::manage_set() {
    for (auto& one : nodes_) {
        if (one->is_running && !one->replica->corrupt_shards().empty()) {
            one->replica->reset_shard(shard, [](const absl::Status&) {});
            watch_write(*one);
        }
    }
    const bool may_change = options_.hasty_set_changes || established_;
    if (options_.set_changes && may_change) {
        if (set_.members.size() > 3) {
            remove_member();
        } else {
            add_member();
        }
    }
    at(between(50'000, 500'000), [this] { manage_set(); });
}

void journal_world::add_member() {
    const bool one_lost = std::any_of(set_.members.begin(), set_.members.end(),
                                      [this](const auto& member) { return is_lost(member); });
    if (!wanted_member_ && (one_lost || (faulty_ && random_.chance(0.15)))) {
        const auto& chosen = *nodes_[random_.below(nodes_.size())];
        const auto member = identity(chosen);
        if (std::find(set_.members.begin(), set_.members.end(), member) == set_.members.end()) {
            wanted_member_ = member;
            wanted_caught_up_ = false;
        }
    }
    if (!wanted_member_) {
        return;
    }
    if (is_lost(*wanted_member_)) {
        wanted_member_.reset();
        return;
    }
    const bool does_not_wait = faulty_ && random_.chance(0.05);
    if (wanted_caught_up_ || does_not_wait) {
        auto members = set_.members;
        members.push_back(*wanted_member_);
        wanted_member_.reset();
        publish(std::move(members));
        return;
    }
    if (auto* leading = leading_node()) {
        ++result_.catch_ups;
        feed(*leading, journal::learner_added{*wanted_member_});
    }
}

void journal_world::remove_member() {
    auto members = set_.members;
    auto leaving = std::find_if(members.begin(), members.end(),
                                [this](const auto& member) { return is_lost(member); });
    if (leaving == members.end()) {
        leaving = members.begin() + static_cast<std::ptrdiff_t>(random_.below(members.size()));
    }
    members.erase(leaving);
    publish(std::move(members));
}

void journal_world::publish(std::vector<wire::journal_member> members) {
    ++result_.set_changes;
    set_.members = std::move(members);
    ++set_.epoch;
    established_ = false;
    std::string names;
    for (const auto& member : set_.members) {
        names += " " + member.node.value() + "." + member.store + "." +
                 std::to_string(member.generation);
    }
    log(fmt::format("epoch {}:{}", set_.epoch, names));
    for (auto& one : nodes_) {
        // Some nodes hear of it very late.
        const auto delay = faulty_ && random_.chance(0.3) ? between(1'000'000, 8'000'000)
                                                          : between(1'000, 200'000);
        at(delay, [this, target = one.get(), set = set_] {
            if (target->known_set.epoch >= set.epoch) {
                return;
            }
            target->known_set = set;
            if (target->is_running && target->paused_until <= now_) {
                feed(*target, journal::replica_set_changed{set});
            }
        });
    }
}

wire::journal_member journal_world::identity(const node& target) const {
    if (target.replica) {
        return target.replica->member(shard);
    }
    const auto loaded = target.store->load();
    const bool known = loaded.ok() && !loaded->empty() && loaded->front().metadata.ok();
    return {target.id, target.store->identity(), known ? loaded->front().metadata->generation : 0};
}

bool journal_world::is_lost(const wire::journal_member& member) const {
    const auto& holder = node_of(member);
    return damaged_.contains(member) || identity(holder) != member;
}

journal_world::node& journal_world::node_of(const wire::journal_member& member) const {
    return **std::find_if(nodes_.begin(), nodes_.end(),
                          [&](const auto& one) { return one->id == member.node; });
}

journal_world::node* journal_world::leading_node() const {
    node* best = nullptr;
    for (const auto& one : nodes_) {
        const bool leads =
            one->is_running && one->paused_until <= now_ && one->leader->is_leading();
        if (leads && (best == nullptr || one->ballot > best->ballot)) {
            best = one.get();
        }
    }
    return best;
}

/// After healing, one leader must lead, hold every committed record and go on committing.
void journal_world::finish() {
    auto* leading = leading_node();
    if (leading == nullptr) {
        result_.stalls.emplace_back("no leader after healing");
        return;
    }
    const auto before = leading->committed;
    run_until(now_ + base::milliseconds(1'500));
    if (leading->committed <= before) {
        result_.stalls.emplace_back("no progress after healing");
    }
    for (const auto& [index, record] : checker_.records()) {
        const auto found = leading->records.find(index);
        if (found == leading->records.end() || !(found->second == record)) {
            checker_.violate(fmt::format("record {} is missing at the end", index.value()));
        }
    }
}

}  // namespace pearbarrow::simulation
