/// Gossip, anti-entropy and reconnection; see swim.h.
#include <algorithm>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/membership/member_wire.h"
#include "pearbarrow/membership/swim.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::membership {
namespace {

/// Number of buckets of the member table whose digests are compared in a synchronization.
constexpr std::size_t bucket_count = 32;
/// Number of hint addresses that are contacted in one round.
constexpr std::size_t hints_per_round = 3;
/// Space in a datagram reserved for fields other than the members.
constexpr std::size_t table_header_bytes = 120;

}  // namespace

// ---- Updates ----

void swim_core::enqueue_update(const base::node_id& about) {
    const auto found =
        std::find_if(pending_updates_.begin(), pending_updates_.end(),
                     [&](const pending_update& each) { return each.about == about; });
    if (found != pending_updates_.end()) {
        found->sent = 0;
        return;
    }
    pending_updates_.push_back({about, 0});
}

void swim_core::enqueue_report(std::uint64_t member_hash) {
    reports_[member_hash] = 0;
}

void swim_core::refill_allowance(base::instant now) {
    const double elapsed = std::chrono::duration<double>(now - allowance_at_).count();
    allowance_at_ = now;
    gossip_allowance_ = std::min(options_.gossip_burst_bytes,
                                 gossip_allowance_ + elapsed * options_.gossip_bytes_per_second);
}

void swim_core::send_gossip(base::instant now, actions& out) {
    if (pending_updates_.empty() && reports_.empty()) {
        return;
    }
    for (const member_entry* each : random_live(options_.gossip_fanout)) {
        if (gossip_allowance_ <= 0 || (pending_updates_.empty() && reports_.empty())) {
            return;
        }
        const std::uint64_t before = statistics_.bytes_sent;
        send(each->value.metadata.datagram, make_message(wire::swim_message_kind::gossip, 0), true,
             out);
        gossip_allowance_ -= static_cast<double>(statistics_.bytes_sent - before);
    }
}

std::vector<const member_entry*> swim_core::random_sample(
    std::vector<const member_entry*> candidates, std::size_t count) {
    const std::size_t wanted = std::min(count, candidates.size());
    for (std::size_t index = 0; index < wanted; ++index) {
        const std::size_t other = index + random_.below(candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(wanted);
    return candidates;
}

std::vector<const member_entry*> swim_core::random_live(std::size_t count) {
    rebuild_groups();
    return random_sample(live_, count);
}

std::vector<const member_entry*> swim_core::random_alive(std::size_t count,
                                                         const base::node_id& except) {
    rebuild_groups();
    std::vector<const member_entry*> candidates = live_;
    std::erase_if(candidates, [&](const member_entry* each) {
        return each->value.state != member_state::alive || each->value.id == except;
    });
    return random_sample(std::move(candidates), count);
}

// ---- Anti-entropy ----

std::size_t swim_core::bucket_of(const base::node_id& id) const {
    return base::stable_hash(id.value()) % bucket_count;
}

std::vector<std::uint64_t> swim_core::bucket_digests() const {
    std::vector<std::uint64_t> digests(bucket_count, 0);
    // Exclusive or makes the digest independent of the order of the members.
    digests[bucket_of(self_.id)] ^= self_.is_live() ? content_hash(self_) : 0;
    for (const auto& [id, entry] : entries_) {
        if (entry.value.is_live()) {
            digests[entry.ring_position % bucket_count] ^= content_hash(entry.value);
        }
    }
    return digests;
}

void swim_core::start_sync(base::instant now, actions& out) {
    if (options_.faults.no_anti_entropy) {
        return;
    }
    for (const member_entry* each : random_alive(1, self_.id)) {
        send_digests(each->value.metadata.datagram, true, out);
    }
}

void swim_core::send_digests(const net::endpoint& to, bool wants_reply, actions& out) {
    wire::swim_datagram message = make_message(wire::swim_message_kind::sync_digest, 0);
    message.digests = bucket_digests();
    message.wants_reply = wants_reply;
    if (!leaving_) {
        message.records.push_back(to_record(self_));
    }
    send(to, std::move(message), true, out);
}

void swim_core::handle_sync_digest(const net::endpoint& from, const wire::swim_datagram& message,
                                   base::instant now, actions& out) {
    if (message.digests.size() != bucket_count) {
        ++statistics_.datagrams_rejected;
        return;
    }
    send_members(from, message.digests, out);
    if (message.wants_reply) {
        send_digests(from, false, out);
    }
}

void swim_core::send_members(const net::endpoint& to,
                             const std::vector<std::uint64_t>& their_digests, actions& out) {
    const std::vector<std::uint64_t> own_digests = bucket_digests();
    const std::uint64_t before = statistics_.bytes_sent;
    const std::size_t room = options_.max_datagram_bytes - table_header_bytes;
    std::size_t used = 0;
    wire::swim_datagram part = make_message(wire::swim_message_kind::sync_members, 0);
    const auto flush = [&] {
        if (used > 0) {
            send(to, part, false, out);
        }
        part.records.clear();
        part.accusations.clear();
        used = 0;
    };
    for (const auto& [id, entry] : entries_) {
        const std::size_t bucket = entry.ring_position % bucket_count;
        if (own_digests[bucket] == their_digests[bucket]) {
            continue;
        }
        const wire::member_record record = to_record(entry.value);
        const std::vector<wire::member_accusation> accusations = accusations_of(entry);
        const std::size_t size =
            entry.value.is_live() ? wire::encode(record).size() : wire::encode(accusations).size();
        if (used + size > room) {
            flush();
        }
        used += size;
        if (entry.value.is_live()) {
            part.records.push_back(record);
            // Suspicions are propagated by gossip; the table only lists the members.
            part.records.back().state = static_cast<std::uint8_t>(member_state::alive);
        } else {
            part.accusations.insert(part.accusations.end(), accusations.begin(), accusations.end());
        }
    }
    flush();
    gossip_allowance_ -= static_cast<double>(statistics_.bytes_sent - before);
}

// ---- Reconnection ----

void swim_core::reconnect(base::instant now, actions& out) {
    if (options_.faults.no_reconnect && live_others_ > 0) {
        return;
    }
    rebuild_groups();
    for (const member_entry* each : random_sample(dead_, 1)) {
        wire::swim_datagram message = make_message(wire::swim_message_kind::ping, ++last_sequence_);
        message.target = each->value.id;
        message.accusations = accusations_of(*each);
        send(each->value.metadata.datagram, std::move(message), true, out);
    }
    std::vector<net::endpoint> unknown_hints = hints_;
    std::erase_if(unknown_hints, [&](const net::endpoint& hint) {
        return hint == self_.metadata.datagram ||
               std::any_of(entries_.begin(), entries_.end(), [&](const auto& each) {
                   return each.second.value.is_live() &&
                          each.second.value.metadata.datagram == hint;
               });
    });
    for (std::size_t attempt = 0; attempt < hints_per_round && !unknown_hints.empty(); ++attempt) {
        const std::size_t index = random_.below(unknown_hints.size());
        send_digests(unknown_hints[index], true, out);
        unknown_hints.erase(unknown_hints.begin() + static_cast<long>(index));
    }
}

}  // namespace pearbarrow::membership
