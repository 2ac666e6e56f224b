/// Encoding and handling of datagrams; see swim.h.
#include <algorithm>

#include "pearbarrow/membership/member_wire.h"
#include "pearbarrow/membership/swim.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::membership {
namespace {

/// Bytes reserved for the headers of lists that grow beyond 15 items.
constexpr std::size_t list_header_bytes = 12;
/// Encoded size of a configuration report: list header, hash and version.
constexpr std::size_t report_bytes = 1 + 9 + 5;

}  // namespace

void swim_core::on(const datagram_received& event, base::instant now, actions& out) {
    ++statistics_.datagrams_received;
    statistics_.bytes_received += event.payload.size();
    const auto message = wire::decode<wire::swim_datagram>(event.payload);
    if (!message.ok() || message->protocol != wire::membership_protocol ||
        message->cluster != cluster_hash_ || message->from == self_.id) {
        ++statistics_.datagrams_rejected;
        return;
    }
    last_datagram_ = now;
    handle_message(event.from, *message, now, out);
}

void swim_core::handle_message(const net::endpoint& from, const wire::swim_datagram& message,
                               base::instant now, actions& out) {
    const bool from_table = message.kind == wire::swim_message_kind::sync_members;
    for (const wire::member_record& record : message.records) {
        merge_record(record, now, out);
    }
    for (const wire::member_accusation& accusation : message.accusations) {
        merge_accusation(accusation, from_table, now, out);
    }
    for (const wire::config_report& report : message.reports) {
        merge_report(report, out);
    }
    const auto sender = entries_.find(message.from);
    if (sender != entries_.end() && sender->second.value.generation == message.from_generation) {
        record_config_version(message.from, message.config_version, out);
    }
    switch (message.kind) {
        case wire::swim_message_kind::ping:
            handle_ping(from, message, now, out);
            break;
        case wire::swim_message_kind::ack:
            handle_ack(message, now, out);
            break;
        case wire::swim_message_kind::ping_request:
            handle_ping_request(from, message, now, out);
            break;
        case wire::swim_message_kind::sync_digest:
            handle_sync_digest(from, message, now, out);
            break;
        case wire::swim_message_kind::gossip:
        case wire::swim_message_kind::sync_members:
            break;
    }
}

void swim_core::handle_ping(const net::endpoint& from, const wire::swim_datagram& message,
                            base::instant now, actions& out) {
    if (!message.target.value().empty() && message.target != self_.id) {
        return;  // The ping is for an earlier node at this address.
    }
    if (leaving_ && leave_reported_) {
        return;
    }
    wire::swim_datagram ack = make_message(wire::swim_message_kind::ack, message.sequence);
    const bool accused =
        std::any_of(message.accusations.begin(), message.accusations.end(),
                    [&](const wire::member_accusation& each) { return each.id == self_.id; });
    if (accused && !leaving_) {
        // The node that sent the accusation receives the refutation immediately.
        ack.records.push_back(to_record(self_));
    }
    const auto sender = entries_.find(message.from);
    const bool is_known =
        sender != entries_.end() && sender->second.value.generation >= message.from_generation;
    if (is_known) {
        // A sender that this node considers dead receives the accusation and can refute it.
        ack.accusations = accusations_of(sender->second);
    }
    send(from, std::move(ack), true, out);
    if (!is_known && gossip_allowance_ > 0) {
        send_digests(from, true, out);
    }
}

wire::swim_datagram swim_core::make_message(wire::swim_message_kind kind,
                                            std::uint64_t sequence) const {
    wire::swim_datagram message;
    message.cluster = cluster_hash_;
    message.kind = kind;
    message.sequence = sequence;
    message.from = self_.id;
    message.from_generation = self_.generation;
    message.config_version = self_.config_version;
    return message;
}

void swim_core::send(const net::endpoint& to, wire::swim_datagram message, bool with_updates,
                     actions& out) {
    if (to.port == 0) {
        return;
    }
    if (with_updates && !(pending_updates_.empty() && reports_.empty())) {
        add_updates(message, wire::encode(message).size());
    }
    std::string payload = wire::encode(message);
    ++statistics_.datagrams_sent;
    statistics_.bytes_sent += payload.size();
    out.emplace_back(send_datagram{to, std::move(payload)});
}

void swim_core::add_updates(wire::swim_datagram& message, std::size_t size) {
    const std::size_t room_limit = options_.max_datagram_bytes - list_header_bytes;
    if (size >= room_limit) {
        return;
    }
    std::size_t room = room_limit - size;
    // Updates that were sent least come first, so that old updates do not delay new ones.
    std::stable_sort(pending_updates_.begin(), pending_updates_.end(),
                     [](const pending_update& left, const pending_update& right) {
                         return left.sent < right.sent;
                     });
    for (pending_update& each : pending_updates_) {
        const std::size_t used = add_update(each.about, room, message);
        if (used == 0) {
            break;
        }
        room -= used;
        ++each.sent;
    }
    const std::size_t limit = retransmit_limit();
    std::erase_if(pending_updates_, [&](const pending_update& each) { return each.sent >= limit; });
    add_reports(message, room);
}

std::size_t swim_core::add_update(const base::node_id& about, std::size_t room,
                                  wire::swim_datagram& message) const {
    if (about == self_.id && !leaving_) {
        message.records.push_back(to_record(self_));
        const std::size_t size = wire::encode(message.records.back()).size();
        if (size > room) {
            message.records.pop_back();
            return 0;
        }
        return size;
    }
    const auto found = entries_.find(about);
    if (found != entries_.end() && found->second.value.state == member_state::alive) {
        message.records.push_back(to_record(found->second.value));
        const std::size_t size = wire::encode(message.records.back()).size();
        if (size > room) {
            message.records.pop_back();
            return 0;
        }
        return size;
    }
    std::vector<wire::member_accusation> accusations;
    if (about == self_.id) {
        accusations.push_back(own_leave_announcement());
    } else if (found != entries_.end()) {
        accusations = accusations_of(found->second);
    }
    std::size_t size = 1;
    for (const wire::member_accusation& each : accusations) {
        size += wire::encode(each).size();
    }
    if (size > room) {
        return 0;
    }
    message.accusations.insert(message.accusations.end(), accusations.begin(), accusations.end());
    return size;
}

void swim_core::add_reports(wire::swim_datagram& message, std::size_t room) {
    const std::size_t limit = retransmit_limit();
    for (auto next = reports_.begin(); next != reports_.end() && room >= report_bytes;) {
        const auto member_id = by_report_hash_.find(next->first);
        const bool own = next->first == self_report_hash_;
        if (!own && member_id == by_report_hash_.end()) {
            next = reports_.erase(next);
            continue;
        }
        const base::config_version version =
            own ? self_.config_version : entries_.at(member_id->second).value.config_version;
        message.reports.push_back({next->first, version});
        room -= report_bytes;
        next = ++next->second >= limit ? reports_.erase(next) : std::next(next);
    }
}

std::vector<wire::member_accusation> swim_core::accusations_of(const member_entry& entry) const {
    std::vector<wire::member_accusation> result;
    const member& about = entry.value;
    if (about.state == member_state::alive) {
        return result;
    }
    const wire::member_accusation accusation{about.id, about.generation, about.incarnation,
                                             static_cast<std::uint8_t>(about.state), self_.id};
    if (about.state != member_state::suspect) {
        result.push_back(accusation);
        return result;
    }
    for (const base::node_id& accuser : entry.accusers) {
        result.push_back(accusation);
        result.back().accuser = accuser;
    }
    return result;
}

wire::member_accusation swim_core::own_leave_announcement() const {
    return {self_.id, self_.generation, self_.incarnation,
            static_cast<std::uint8_t>(member_state::left), self_.id};
}

}  // namespace pearbarrow::membership
