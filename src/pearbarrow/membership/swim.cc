/// Probing, timers and the lifecycle of this node; see swim.h.
#include "pearbarrow/membership/swim.h"

#include <algorithm>
#include <cmath>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/membership/member_wire.h"

namespace pearbarrow::membership {
namespace {

/// Number of gossip datagrams that a leaving node sends immediately, in addition to its regular
/// gossip.
constexpr std::size_t leave_fanout = 8;
/// Lifetime of a relayed probe as a multiple of the indirect timeout.
constexpr int relay_lifetime_factor = 4;

}  // namespace

swim_core::swim_core(swim_options options, member self, base::random_source& random,
                     base::instant now)
    : options_(std::move(options)),
      self_(std::move(self)),
      self_report_hash_(report_hash(self_.id, self_.generation)),
      random_(random),
      cluster_hash_(static_cast<std::uint32_t>(base::stable_hash(options_.cluster))),
      ring_position_(base::stable_hash(self_.id.value())),
      last_tick_(now),
      next_sync_(now + options_.sync_period),
      allowance_at_(now) {
    const auto jitter = [&](base::milliseconds period) {
        return base::microseconds(random_.below(base::microseconds(period).count()));
    };
    next_probe_ = now + jitter(options_.probe_period);
    next_gossip_ = now + jitter(options_.gossip_period);
    next_sync_ = now + jitter(options_.sync_period);
    next_reconnect_ = now;
    next_cleanup_ = now + options_.sync_period;
    last_sequence_ = random_.below(1 << 16);
    gossip_allowance_ = options_.gossip_burst_bytes;
    enqueue_update(self_.id);
}

std::vector<swim_action> swim_core::apply(const swim_event& event, base::instant now) {
    actions out;
    if (detect_pause(now)) {
        ++statistics_.pauses;
    }
    std::visit([&](const auto& each) { on(each, now, out); }, event);
    return out;
}

bool swim_core::detect_pause(base::instant now) {
    const base::microseconds gap = now - last_tick_;
    if (gap <= options_.pause_threshold || options_.faults.no_self_awareness) {
        return false;
    }
    // Overdue probes may have been acknowledged while this process was paused.
    probes_.clear();
    relayed_.clear();
    no_accusation_before_ = now + options_.pause_grace;
    for (auto& [id, entry] : entries_) {
        if (entry.value.state == member_state::suspect) {
            entry.suspicion_ends += gap;
        }
    }
    last_tick_ = now;
    next_probe_ = std::max(next_probe_, now);
    next_sync_ = now;
    return true;
}

void swim_core::on(const swim_tick& event, base::instant now, actions& out) {
    last_tick_ = now;
    refill_allowance(now);
    check_probes(now, out);
    check_suspicions(now, out);
    if (leaving_) {
        continue_leaving(now, out);
    } else if (now >= next_probe_) {
        next_probe_ = now + scaled_timeout(options_.probe_period);
        start_probe_round(now, out);
    }
    if (now >= next_gossip_) {
        next_gossip_ = now + options_.gossip_period;
        send_gossip(now, out);
    }
    if (now >= next_sync_ && !leaving_) {
        next_sync_ =
            now + options_.sync_period / 2 +
            base::microseconds(random_.below(base::microseconds(options_.sync_period).count()));
        start_sync(now, out);
    }
    if (now >= next_reconnect_ && !leaving_) {
        next_reconnect_ = now + options_.reconnect_period / 2 +
                          base::microseconds(
                              random_.below(base::microseconds(options_.reconnect_period).count()));
        reconnect(now, out);
    }
    if (now >= next_cleanup_) {
        next_cleanup_ = now + options_.sync_period;
        remove_expired(now, out);
    }
}

void swim_core::on(const join_hints& event, base::instant now, actions& out) {
    hints_ = event.endpoints;
    if (live_others_ == 0) {
        next_reconnect_ = now;
    }
}

void swim_core::on(const metadata_changed& event, base::instant now, actions& out) {
    if (event.metadata == self_.metadata) {
        return;
    }
    self_.metadata = event.metadata;
    ++self_.incarnation;
    enqueue_update(self_.id);
}

void swim_core::on(const config_version_changed& event, base::instant now, actions& out) {
    if (event.version <= self_.config_version) {
        return;
    }
    self_.config_version = event.version;
    enqueue_report(self_report_hash_);
}

void swim_core::on(const leave& event, base::instant now, actions& out) {
    if (leaving_) {
        return;
    }
    leaving_ = true;
    self_.state = member_state::left;
    leave_ends_ = now + options_.leave_period;
    probes_.clear();
    enqueue_update(self_.id);
    for (const member_entry* each : random_live(leave_fanout)) {
        send(each->value.metadata.datagram, make_message(wire::swim_message_kind::gossip, 0), true,
             out);
    }
}

void swim_core::continue_leaving(base::instant now, actions& out) {
    if (now >= leave_ends_ && !leave_reported_) {
        leave_reported_ = true;
        out.emplace_back(leave_finished{});
    }
}

// ---- Probes ----

void swim_core::start_probe_round(base::instant now, actions& out) {
    const member_entry* successor = ring_successor();
    if (successor != nullptr && !is_probed(successor->value.id)) {
        start_probe(*successor, now, out);
    }
    const member_entry* next = next_in_round();
    if (next != nullptr && !is_probed(next->value.id)) {
        start_probe(*next, now, out);
    }
}

bool swim_core::is_probed(const base::node_id& id) const {
    return std::any_of(probes_.begin(), probes_.end(),
                       [&](const probe& each) { return each.target == id; });
}

const member_entry* swim_core::ring_successor() {
    rebuild_groups();
    return successor_;
}

const member_entry* swim_core::next_in_round() {
    if (live_others_ == 0) {
        return nullptr;
    }
    while (true) {
        if (probe_order_.empty()) {
            rebuild_groups();
            for (const member_entry* each : live_) {
                probe_order_.push_back(each->value.id);
            }
            for (std::size_t index = probe_order_.size(); index > 1; --index) {
                std::swap(probe_order_[index - 1], probe_order_[random_.below(index)]);
            }
        }
        const auto found = entries_.find(probe_order_.back());
        probe_order_.pop_back();
        if (found != entries_.end() && found->second.value.is_live()) {
            return &found->second;
        }
    }
}

void swim_core::start_probe(const member_entry& target, base::instant now, actions& out,
                            const wire::member_accusation* extra_accusation) {
    probe started;
    started.target = target.value.id;
    started.generation = target.value.generation;
    started.sequence = ++last_sequence_;
    started.sent = now;
    started.indirect_at = now + scaled_timeout(options_.direct_timeout);
    started.fails_at = now + scaled_timeout(options_.indirect_timeout);
    ++statistics_.probes;
    wire::swim_datagram message = make_message(wire::swim_message_kind::ping, started.sequence);
    message.target = target.value.id;
    // The ping carries the accusations, so that the accused node can refute them immediately.
    message.accusations = accusations_of(target);
    if (extra_accusation != nullptr) {
        message.accusations.push_back(*extra_accusation);
    }
    probes_.push_back(std::move(started));
    send(target.value.metadata.datagram, std::move(message), true, out);
}

void swim_core::check_probes(base::instant now, actions& out) {
    std::vector<probe> failed;
    std::erase_if(probes_, [&](probe& each) {
        if (now >= each.fails_at) {
            failed.push_back(each);
            return true;
        }
        if (now >= each.indirect_at && !each.indirect_sent) {
            each.indirect_sent = true;
            send_indirect(each, out);
        }
        return false;
    });
    for (const probe& each : failed) {
        on_probe_failed(each, now, out);
    }
    std::erase_if(relayed_, [&](const relayed_probe& each) { return now >= each.expires; });
}

void swim_core::send_indirect(probe& pending, actions& out) {
    if (options_.faults.no_indirect_probes) {
        return;
    }
    for (const member_entry* helper : random_alive(options_.indirect_probes, pending.target)) {
        wire::swim_datagram message =
            make_message(wire::swim_message_kind::ping_request, pending.sequence);
        message.target = pending.target;
        send(helper->value.metadata.datagram, std::move(message), true, out);
    }
}

void swim_core::on_probe_failed(const probe& failed, base::instant now, actions& out) {
    ++statistics_.probes_failed;
    if (last_datagram_ < failed.sent) {
        // No datagram from any node arrived, so the fault may be local.
        increase_health_penalty();
    }
    const auto found = entries_.find(failed.target);
    if (found == entries_.end() || now < no_accusation_before_) {
        return;
    }
    member_entry& entry = found->second;
    if (entry.value.generation != failed.generation || !entry.value.is_live()) {
        return;
    }
    apply_accusation(entry,
                     {entry.value.id, entry.value.generation, entry.value.incarnation,
                      static_cast<std::uint8_t>(member_state::suspect), self_.id},
                     now, out);
}

void swim_core::handle_ping_request(const net::endpoint& from, const wire::swim_datagram& message,
                                    base::instant now, actions& out) {
    const auto found = entries_.find(message.target);
    if (found == entries_.end()) {
        return;
    }
    relayed_probe relayed;
    relayed.own_sequence = ++last_sequence_;
    relayed.requester_sequence = message.sequence;
    relayed.requester = from;
    relayed.expires = now + options_.indirect_timeout * relay_lifetime_factor;
    wire::swim_datagram ping = make_message(wire::swim_message_kind::ping, relayed.own_sequence);
    ping.target = message.target;
    ping.accusations = accusations_of(found->second);
    relayed_.push_back(std::move(relayed));
    send(found->second.value.metadata.datagram, std::move(ping), true, out);
}

void swim_core::handle_ack(const wire::swim_datagram& message, base::instant now, actions& out) {
    const auto relayed = std::find_if(
        relayed_.begin(), relayed_.end(),
        [&](const relayed_probe& each) { return each.own_sequence == message.sequence; });
    if (relayed != relayed_.end()) {
        send(relayed->requester,
             make_message(wire::swim_message_kind::ack, relayed->requester_sequence), true, out);
        relayed_.erase(relayed);
        return;
    }
    const auto acknowledged = std::find_if(probes_.begin(), probes_.end(), [&](const probe& each) {
        return each.sequence == message.sequence;
    });
    if (acknowledged != probes_.end()) {
        on_probe_acknowledged(*acknowledged, now);
        probes_.erase(acknowledged);
        decrease_health_penalty();
    }
}

// ---- Limits and timeouts ----

std::size_t swim_core::retransmit_limit() const {
    const double fleet = static_cast<double>(live_others_ + 2);
    return static_cast<std::size_t>(std::ceil(options_.retransmit_factor * std::log2(fleet)));
}

base::microseconds swim_core::min_suspicion() const {
    const double fleet = static_cast<double>(live_others_ + 1);
    const double factor = std::max(1.0, std::log10(fleet));
    const double length = factor * static_cast<double>(options_.suspicion_base.count()) * 1000.0;
    return base::microseconds(static_cast<std::int64_t>(length));
}

base::microseconds swim_core::scaled_timeout(base::milliseconds timeout) const {
    return base::microseconds(timeout) * (1 + health_penalty_);
}

void swim_core::increase_health_penalty() {
    if (options_.faults.no_self_awareness || live_others_ <= 1) {
        return;
    }
    health_penalty_ = std::min(health_penalty_ + 1, options_.max_health_penalty);
}

void swim_core::decrease_health_penalty() {
    health_penalty_ = health_penalty_ == 0 ? 0 : health_penalty_ - 1;
}

}  // namespace pearbarrow::membership
