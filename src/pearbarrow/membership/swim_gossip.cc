/// Gossip, anti-entropy and reconnection; see swim.h.
#include <algorithm>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/membership/member_wire.h"
#include "pearbarrow/membership/swim.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::membership {
namespace {

/// Buckets of the member table whose hashes are compared in a synchronisation.
constexpr std::size_t bucket_count = 32;
/// Addresses from hints that are tried in one round.
constexpr std::size_t hints_per_round = 3;
/// Room that a table's part leaves for the datagram's own fields.
constexpr std::size_t table_header_bytes = 120;

}  // namespace

// ---- News ----

void swim_core::spread(const base::node_id& about) {
    const auto found = std::find_if(news_.begin(), news_.end(),
                                    [&](const news& each) { return each.about == about; });
    if (found != news_.end()) {
        found->sent = 0;
        return;
    }
    news_.push_back({about, 0});
}

void swim_core::spread_report(std::uint64_t member_hash) {
    reports_[member_hash] = 0;
}

void swim_core::refill_allowance(base::instant now) {
    const double elapsed = std::chrono::duration<double>(now - allowance_at_).count();
    allowance_at_ = now;
    gossip_allowance_ = std::min(options_.gossip_burst_bytes,
                                 gossip_allowance_ + elapsed * options_.gossip_bytes_per_second);
}

void swim_core::send_gossip(base::instant now, actions& out) {
    if (news_.empty() && reports_.empty()) {
        return;
    }
    for (const member_entry* each : random_live(options_.gossip_fanout)) {
        if (gossip_allowance_ <= 0 || (news_.empty() && reports_.empty())) {
            return;
        }
        const std::uint64_t before = statistics_.bytes_sent;
        send(each->value.metadata.datagram, make_message(wire::swim_message_kind::gossip, 0), true,
             out);
        gossip_allowance_ -= static_cast<double>(statistics_.bytes_sent - before);
    }
}

std::vector<const member_entry*> swim_core::random_of(std::vector<const member_entry*> candidates,
                                                      std::size_t count) {
    const std::size_t wanted = std::min(count, candidates.size());
    for (std::size_t index = 0; index < wanted; ++index) {
        const std::size_t other = index + random_.below(candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(wanted);
    return candidates;
}

std::vector<const member_entry*> swim_core::random_live(std::size_t count) {
    regroup();
    return random_of(live_, count);
}

std::vector<const member_entry*> swim_core::random_alive(std::size_t count,
                                                         const base::node_id& except) {
    regroup();
    std::vector<const member_entry*> candidates = live_;
    std::erase_if(candidates, [&](const member_entry* each) {
        return each->value.state != member_state::alive || each->value.id == except;
    });
    return random_of(std::move(candidates), count);
}

// ---- Anti-entropy ----

std::size_t swim_core::bucket_of(const base::node_id& id) const {
    return base::stable_hash(id.value()) % bucket_count;
}

std::vector<std::uint64_t> swim_core::bucket_digests() const {
    std::vector<std::uint64_t> digests(bucket_count, 0);
    // Exclusive or: the order of the members does not matter.
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

void swim_core::send_digests(const net::endpoint& to, bool wants_answer, actions& out) {
    wire::swim_datagram message = make_message(wire::swim_message_kind::sync_digest, 0);
    message.digests = bucket_digests();
    message.wants_answer = wants_answer;
    if (!leaving_) {
        message.records.push_back(to_record(self_));
    }
    send(to, std::move(message), true, out);
}

void swim_core::handle_sync_digest(const net::endpoint& from, const wire::swim_datagram& message,
                                   base::instant now, actions& out) {
    if (message.digests.size() != bucket_count) {
        ++statistics_.datagrams_refused;
        return;
    }
    send_members(from, message.digests, out);
    if (message.wants_answer) {
        send_digests(from, false, out);
    }
}

void swim_core::send_members(const net::endpoint& to, const std::vector<std::uint64_t>& theirs,
                             actions& out) {
    const std::vector<std::uint64_t> own = bucket_digests();
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
        if (own[bucket] == theirs[bucket]) {
            continue;
        }
        const wire::member_record record = to_record(entry.value);
        const std::vector<wire::member_accusation> said = accusations_of(entry);
        const std::size_t size =
            entry.value.is_live() ? wire::encode(record).size() : wire::encode(said).size();
        if (used + size > room) {
            flush();
        }
        used += size;
        if (entry.value.is_live()) {
            part.records.push_back(record);
            // Suspicions spread as gossip; a table tells who is there.
            part.records.back().state = static_cast<std::uint8_t>(member_state::alive);
        } else {
            part.accusations.insert(part.accusations.end(), said.begin(), said.end());
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
    regroup();
    for (const member_entry* each : random_of(dead_, 1)) {
        wire::swim_datagram message = make_message(wire::swim_message_kind::ping, ++last_sequence_);
        message.target = each->value.id;
        message.accusations = accusations_of(*each);
        send(each->value.metadata.datagram, std::move(message), true, out);
    }
    std::vector<net::endpoint> strangers = hints_;
    std::erase_if(strangers, [&](const net::endpoint& hint) {
        return hint == self_.metadata.datagram ||
               std::any_of(entries_.begin(), entries_.end(), [&](const auto& each) {
                   return each.second.value.is_live() &&
                          each.second.value.metadata.datagram == hint;
               });
    });
    for (std::size_t tried = 0; tried < hints_per_round && !strangers.empty(); ++tried) {
        const std::size_t index = random_.below(strangers.size());
        send_digests(strangers[index], true, out);
        strangers.erase(strangers.begin() + static_cast<long>(index));
    }
}

}  // namespace pearbarrow::membership
