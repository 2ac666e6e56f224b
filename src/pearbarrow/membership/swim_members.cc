/// The member table and the state of each member; see swim.h.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/membership/member_wire.h"
#include "pearbarrow/membership/swim.h"

namespace pearbarrow::membership {
namespace {

/// Expected number of nodes that probe a suspect as soon as they learn of the suspicion.
constexpr double expected_prompt_probes = 8.0;

auto precedence(const member& value) {
    return std::make_tuple(value.generation, value.incarnation, value.state);
}

}  // namespace

// ---- Views ----

std::vector<member> swim_core::members() const {
    std::vector<member> result;
    result.reserve(entries_.size() + 1);
    for (const auto& [id, entry] : entries_) {
        result.push_back(entry.value);
    }
    const auto position =
        std::lower_bound(result.begin(), result.end(), self_.id,
                         [](const member& each, const base::node_id& id) { return each.id < id; });
    result.insert(position, self_);
    return result;
}

std::vector<member> swim_core::live_members() const {
    std::vector<member> result = members();
    std::erase_if(result, [](const member& each) { return !each.is_live(); });
    return result;
}

std::optional<member> swim_core::find(const base::node_id& id) const {
    if (id == self_.id) {
        return self_;
    }
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.value);
}

std::size_t swim_core::live_count() const {
    return live_others_ + (self_.is_live() ? 1 : 0);
}

base::config_version swim_core::lowest_live_config_version() const {
    base::config_version lowest = self_.config_version;
    for (const auto& [id, entry] : entries_) {
        if (entry.value.is_live()) {
            lowest = std::min(lowest, entry.value.config_version);
        }
    }
    return lowest;
}

void swim_core::update_live_count(bool was_live, bool is_live) {
    live_others_ += is_live ? 1 : 0;
    live_others_ -= was_live ? 1 : 0;
    groups_are_stale_ = true;
}

void swim_core::rebuild_groups() {
    if (!groups_are_stale_) {
        return;
    }
    groups_are_stale_ = false;
    live_.clear();
    dead_.clear();
    suspects_.clear();
    successor_ = nullptr;
    std::uint64_t best_distance = 0;
    for (const auto& [id, entry] : entries_) {
        if (entry.value.state == member_state::dead) {
            dead_.push_back(&entry);
        }
        if (entry.value.state == member_state::suspect) {
            suspects_.push_back(id);
        }
        if (!entry.value.is_live()) {
            continue;
        }
        live_.push_back(&entry);
        // Unsigned subtraction wraps around like the ring.
        const std::uint64_t distance = entry.ring_position - ring_position_;
        if (successor_ == nullptr || distance < best_distance) {
            successor_ = &entry;
            best_distance = distance;
        }
    }
}

// ---- Records: state announced by a node itself ----

void swim_core::merge_record(const wire::member_record& record, base::instant now, actions& out) {
    if (record.id == self_.id) {
        merge_record_of_self(record, out);
        return;
    }
    const member next = from_record(record);
    const auto found = entries_.find(next.id);
    if (found == entries_.end()) {
        // Unknown dead members are ignored; otherwise they would be gossiped forever.
        if (next.is_live()) {
            add_member(next, now, out);
        }
        return;
    }
    member_entry& entry = found->second;
    if (precedence(next) > precedence(entry.value)) {
        update_member(entry, next, now, out);
    } else if (next.generation == entry.value.generation) {
        record_config_version(next.id, next.config_version, out);
    }
}

void swim_core::add_member(const member& next, base::instant now, actions& out) {
    member_entry& entry = entries_[next.id];
    entry.value = next;
    entry.state_changed_at = now;
    entry.ring_position = base::stable_hash(next.id.value());
    entry.report_hash = report_hash(next.id, next.generation);
    by_report_hash_[entry.report_hash] = next.id;
    update_live_count(false, true);
    if (next.state == member_state::suspect) {
        entry.value.state = member_state::alive;
        set_state(entry, member_state::suspect, now, out);
    }
    enqueue_update(next.id);
    out.emplace_back(member_changed{entry.value, std::nullopt, false});
}

void swim_core::update_member(member_entry& entry, const member& next, base::instant now,
                              actions& out) {
    const member_state previous = entry.value.state;
    update_live_count(entry.value.is_live(), next.is_live());
    const bool restarted = next.generation != entry.value.generation;
    const base::config_version reported = entry.value.config_version;
    entry.value = next;
    if (restarted) {
        by_report_hash_.erase(entry.report_hash);
        entry.report_hash = report_hash(next.id, next.generation);
        by_report_hash_[entry.report_hash] = next.id;
    } else {
        entry.value.config_version = std::max(reported, next.config_version);
    }
    entry.accusers.clear();
    if (next.state == member_state::suspect) {
        entry.value.state = member_state::alive;
        set_state(entry, member_state::suspect, now, out);
    }
    if (previous != entry.value.state) {
        entry.state_changed_at = now;
    }
    enqueue_update(next.id);
    out.emplace_back(member_changed{entry.value, previous, false});
}

void swim_core::merge_record_of_self(const wire::member_record& record, actions& out) {
    const member other = from_record(record);
    if (other.generation <= self_.generation) {
        refute(other.generation, other.incarnation, other.state);
        return;
    }
    if (other.is_live() && other.metadata.datagram != self_.metadata.datagram) {
        if (!identity_reported_) {
            identity_reported_ = true;
            out.emplace_back(identity_taken{other.generation});
        }
        return;
    }
    // The record belongs to an earlier process of this node whose clock was ahead.
    refute(other.generation, other.incarnation, member_state::dead);
}

// ---- Accusations: state of a node reported by others ----

void swim_core::merge_accusation(const wire::member_accusation& accusation, bool from_table,
                                 base::instant now, actions& out) {
    if (accusation.id == self_.id) {
        refute(accusation.generation, accusation.incarnation, state_from_wire(accusation.state));
        return;
    }
    const auto found = entries_.find(accusation.id);
    if (found == entries_.end() || found->second.value.generation != accusation.generation) {
        return;
    }
    member_entry& entry = found->second;
    const bool is_old_death = from_table && entry.value.is_live() &&
                              state_from_wire(accusation.state) == member_state::dead;
    if (is_old_death && accusation.incarnation >= entry.value.incarnation) {
        // The other side of a healed partition considered the member dead. The probe allows the
        // member to refute this; if the member is dead, the probe detects it.
        const double chance = expected_prompt_probes / static_cast<double>(live_others_ + 1);
        if (random_.chance(chance) && !is_probed(entry.value.id)) {
            start_probe(entry, now, out, &accusation);
        }
        return;
    }
    apply_accusation(entry, accusation, now, out);
}

void swim_core::apply_accusation(member_entry& entry, const wire::member_accusation& accusation,
                                 base::instant now, actions& out) {
    const member_state state = state_from_wire(accusation.state);
    if (accusation.incarnation < entry.value.incarnation || state < entry.value.state ||
        state == member_state::alive) {
        return;
    }
    if (state == entry.value.state) {
        if (state == member_state::suspect) {
            confirm_suspicion(entry, accusation.accuser, now);
        }
        return;
    }
    entry.value.incarnation = accusation.incarnation;
    set_state(entry, state, now, out);
    if (state != member_state::suspect) {
        return;
    }
    confirm_suspicion(entry, accusation.accuser, now);
    const double chance = expected_prompt_probes / static_cast<double>(live_others_ + 1);
    if (accusation.accuser != self_.id && random_.chance(chance) && !is_probed(entry.value.id)) {
        start_probe(entry, now, out);
    }
}

void swim_core::set_state(member_entry& entry, member_state state, base::instant now,
                          actions& out) {
    const member_state previous = entry.value.state;
    update_live_count(entry.value.is_live(), state <= member_state::suspect);
    entry.value.state = state;
    entry.state_changed_at = now;
    entry.accusers.clear();
    if (state == member_state::suspect) {
        ++statistics_.suspicions;
        entry.suspicion_started = now;
        entry.last_probe_sent = false;
        entry.suspicion_ends = now + min_suspicion() * options_.max_suspicion_factor;
    }
    enqueue_update(entry.value.id);
    out.emplace_back(member_changed{entry.value, previous, false});
}

void swim_core::confirm_suspicion(member_entry& entry, const base::node_id& accuser,
                                  base::instant now) {
    const std::size_t others = live_others_ <= 1 ? 0 : live_others_ - 1;
    const std::size_t required = std::min<std::size_t>(options_.required_confirmations, others);
    const bool is_known =
        std::find(entry.accusers.begin(), entry.accusers.end(), accuser) != entry.accusers.end();
    if (is_known || entry.accusers.size() > required) {
        return;
    }
    entry.accusers.push_back(accuser);
    enqueue_update(entry.value.id);
    const double shortest = static_cast<double>(min_suspicion().count());
    const double longest = shortest * options_.max_suspicion_factor;
    const double confirmations = static_cast<double>(entry.accusers.size() - 1);
    const double progress =
        required == 0 ? 1.0 : std::log1p(confirmations) / std::log1p(static_cast<double>(required));
    const double length = longest - (longest - shortest) * std::min(1.0, progress);
    entry.suspicion_ends =
        entry.suspicion_started + base::microseconds(static_cast<std::int64_t>(length));
}

void swim_core::refute(std::uint64_t generation, std::uint64_t incarnation, member_state state) {
    if (leaving_ || options_.faults.no_refutation) {
        return;
    }
    if (generation > self_.generation && state >= member_state::dead) {
        self_.generation = generation + 1;
        self_report_hash_ = report_hash(self_.id, self_.generation);
        enqueue_update(self_.id);
        return;
    }
    const bool accused = state != member_state::alive && incarnation >= self_.incarnation;
    const bool overtaken = incarnation > self_.incarnation;
    if (generation != self_.generation || !(accused || overtaken)) {
        return;
    }
    self_.incarnation = incarnation + 1;
    ++statistics_.refutations;
    increase_health_penalty();
    enqueue_update(self_.id);
}

void swim_core::check_suspicions(base::instant now, actions& out) {
    if (now < no_accusation_before_) {
        return;
    }
    rebuild_groups();
    for (const base::node_id& id : std::vector<base::node_id>(suspects_)) {
        member_entry& entry = entries_.at(id);
        if (now >= entry.suspicion_ends) {
            ++statistics_.deaths;
            set_state(entry, member_state::dead, now, out);
            continue;
        }
        // A refutation may have been lost, so this node probes the suspect once more.
        const bool expires_soon =
            now >= entry.suspicion_ends - scaled_timeout(options_.indirect_timeout);
        if (expires_soon && !entry.last_probe_sent && !options_.faults.no_last_probe) {
            entry.last_probe_sent = true;
            start_probe(entry, now, out);
        }
    }
}

void swim_core::on_probe_acknowledged(const probe& acknowledged, base::instant now) {
    const auto found = entries_.find(acknowledged.target);
    if (found == entries_.end() || options_.faults.no_last_probe ||
        found->second.value.generation != acknowledged.generation ||
        found->second.value.state != member_state::suspect) {
        return;
    }
    // The suspect is alive regardless of the accusations, and its refutation is on the way.
    found->second.suspicion_ends = std::max(found->second.suspicion_ends, now + min_suspicion());
    found->second.last_probe_sent = false;
}

void swim_core::remove_expired(base::instant now, actions& out) {
    std::erase_if(entries_, [&](const auto& each) {
        const member_entry& entry = each.second;
        if (entry.value.is_live() || now - entry.state_changed_at < options_.forget_after) {
            return false;
        }
        by_report_hash_.erase(entry.report_hash);
        groups_are_stale_ = true;
        out.emplace_back(member_changed{entry.value, entry.value.state, true});
        return true;
    });
}

// ---- Configuration versions ----

void swim_core::merge_report(const wire::config_report& report, actions& out) {
    const auto found = by_report_hash_.find(report.member_hash);
    if (found != by_report_hash_.end()) {
        record_config_version(found->second, report.version, out);
    }
}

void swim_core::record_config_version(const base::node_id& id, base::config_version version,
                                      actions& out) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || version <= found->second.value.config_version) {
        return;
    }
    found->second.value.config_version = version;
    enqueue_report(found->second.report_hash);
    out.emplace_back(member_config_version{id, version});
}

}  // namespace pearbarrow::membership
