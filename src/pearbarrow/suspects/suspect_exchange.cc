#include "pearbarrow/suspects/suspect_exchange.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::suspects {
namespace {

directory::multicast_options multicast_options_of(const suspect_exchange_options& options) {
    directory::multicast_options multicast{.self = options.self, .method = wire::suspect_report};
    // A process without a predecessor has lost nothing.
    multicast.recent_start_time =
        options.is_first_start ? base::milliseconds{0} : options.lost_node_time;
    return multicast;
}

}  // namespace

suspect_exchange::suspect_exchange(net::event_loop& loop, net::peer_rpc& rpc,
                                   const base::clock& clock, directory::directory_exchange& peers,
                                   suspect_exchange_options options)
    : loop(loop),
      rpc(rpc),
      clock(clock),
      peers(peers),
      options(std::move(options)),
      known(this->options.table),
      started_at(clock.now()),
      multicast(
          loop, rpc, clock, multicast_options_of(this->options),
          [this] { return this->peers.confirmed_peers(); },
          [this] { return this->storage_members(); },
          [this](std::string_view payload) { this->merge(payload); },
          [this](std::string_view payload) { return this->correction_of(payload); }) {
    rpc.register_method(wire::suspect_fetch, [this](std::string_view /*payload*/, auto responder) {
        responder->finish(wire::encode(suspect_report{
            .suspects = this->known.all(this->clock.now()), .is_current = this->has_records()}));
    });
}

bool suspect_exchange::is_current() const {
    return this->fetched > 0 || this->peers.peer_count() == 0 ||
           this->clock.now() - this->started_at >= this->options.max_start_time;
}

/// A node that serves without a reply, since the time is up, knows nothing of the time before its
/// start.
bool suspect_exchange::has_records() const {
    return this->fetched > 0 || this->is_restored || this->peers.peer_count() == 0 ||
           this->clock.now() - this->started_at >= this->options.lost_node_time;
}

void suspect_exchange::restore(const std::vector<suspect>& stored) {
    this->add(stored);
    this->is_restored = true;
}

net::endpoint suspect_exchange::record_source() const {
    const std::vector<net::endpoint> members = this->storage_members();
    if (members.empty()) {
        return this->peers.random_peer([](const auto& /*peer*/) { return true; });
    }
    // Members are killed less often than edges. The offset spreads the requests of many edges.
    const std::size_t offset = base::stable_hash(net::to_string(this->options.self));
    return members[(offset + this->fetches) % members.size()];
}

void suspect_exchange::start() {
    this->fetch();
}

void suspect_exchange::fetch() {
    this->fetch_timer.reset();
    if (this->fetches == this->options.max_fetches ||
        this->fetched == this->options.wanted_fetches) {
        return;
    }
    ++this->fetches;
    const net::endpoint peer = this->record_source();
    const auto retry = [this] {
        const bool is_awaited = this->fetched == 0 &&
                                this->clock.now() - this->started_at < this->options.max_start_time;
        const base::milliseconds delay =
            is_awaited ? this->options.initial_fetch_retry : this->options.fetch_retry;
        this->fetch_timer = this->loop.after(delay, [this] { this->fetch(); });
    };
    if (peer.port == 0) {
        retry();
        return;
    }
    this->fetch_call = this->rpc.call(
        base::node_id(), peer, wire::suspect_fetch, "", this->options.fetch_timeout,
        {.on_part = nullptr,
         .on_done = [this, retry, peer](const absl::StatusOr<std::string>& reply) {
             const auto report = reply.ok() ? wire::decode<suspect_report>(*reply)
                                            : absl::StatusOr<suspect_report>(reply.status());
             if (report.ok()) {
                 if (report->is_current || !report->suspects.empty()) {
                     base::log(base::log_level::info, "suspects_fetched",
                               {{"peer", net::to_string(peer)},
                                {"suspects", report->suspects.size()},
                                {"current", report->is_current}});
                 }
                 this->add(report->suspects);
                 this->fetched += report->is_current ? 1 : 0;
             }
             retry();
         }});
}

std::vector<net::endpoint> suspect_exchange::storage_members() const {
    std::vector<net::endpoint> addresses;
    const auto& view = this->peers.state().current().storage;
    if (view.has_value()) {
        for (const directory::storage_member& member : view->members) {
            addresses.push_back(member.address);
        }
    }
    return addresses;
}

void suspect_exchange::merge(std::string_view payload) {
    const auto report = wire::decode<suspect_report>(payload);
    if (!report.ok()) {
        return;
    }
    this->add(report->suspects);
}

std::string suspect_exchange::correction_of(std::string_view payload) const {
    const auto report = wire::decode<suspect_report>(payload);
    suspect_report correction;
    if (report.ok()) {
        for (const suspect& reported : report->suspects) {
            auto known = this->known.find(reported.digest, this->clock.now());
            const bool knows_more =
                known.has_value() && (known->ends.size() > reported.ends.size() ||
                                      known->unproved.size() > reported.unproved.size());
            if (knows_more) {
                correction.suspects.push_back(*std::move(known));
            }
        }
    }
    return correction.suspects.empty() ? std::string() : wire::encode(correction);
}

std::vector<std::string> suspect_exchange::add(const std::vector<suspect>& observed) {
    const base::instant now = this->clock.now();
    std::vector<std::string> blocked;
    std::vector<std::string> new_suspects;
    for (const suspect& each : observed) {
        const bool was_suspect = this->known.status_of(each.digest, now).shows_trouble();
        if (this->known.merge(each, now)) {
            blocked.push_back(each.digest);
        }
        if (!was_suspect && this->known.status_of(each.digest, now).shows_trouble()) {
            new_suspects.push_back(each.digest);
        }
    }
    this->schedule_expiry();
    for (const suspect& each : observed) {
        this->notify_changed(each.digest);
    }
    if (this->learned) {
        for (const std::string& digest : new_suspects) {
            this->learned(digest);
        }
    }
    return blocked;
}

void suspect_exchange::schedule_expiry() {
    if (this->known.is_empty() || this->expiry_timer != nullptr) {
        return;
    }
    this->expiry_timer = this->loop.after(this->options.expiry_interval, [this] {
        this->expiry_timer.reset();
        this->known.expire(this->clock.now());
        if (this->observer != nullptr) {
            this->observer->on_expired();
        }
        this->schedule_expiry();
    });
}

void suspect_exchange::notify_changed(const std::string& digest) const {
    if (this->observer != nullptr) {
        this->observer->on_changed(digest);
    }
}

void suspect_exchange::announce(const suspect& trial, std::function<void()> done) {
    this->add({trial});
    this->known.set_trial(trial.digest, trial.trial, this->clock.now());
    this->report({trial.digest}, std::move(done));
}

void suspect_exchange::conclude(const std::string& digest, const std::string& request,
                                const std::string& backend) {
    if (this->known.excuse_attempt(digest, request, backend)) {
        this->notify_changed(digest);
        this->report({digest}, nullptr);
    }
}

bool suspect_exchange::excuse(const std::string& digest) {
    const bool was_suspect = this->known.excuse(digest, this->clock.now());
    if (was_suspect) {
        this->notify_changed(digest);
    }
    return was_suspect;
}

void suspect_exchange::report(const std::vector<std::string>& digests, std::function<void()> done) {
    this->send_report(digests, true, std::move(done));
}

void suspect_exchange::send_report(const std::vector<std::string>& digests, bool may_repeat,
                                   std::function<void()> done) {
    suspect_report message;
    for (const std::string& digest : digests) {
        if (auto found = this->known.find(digest, this->clock.now()); found.has_value()) {
            message.suspects.push_back(*std::move(found));
        }
    }
    this->multicast.send(
        wire::encode(message), [this, digests, may_repeat, done = std::move(done)](
                                   const directory::multicast_result& result) mutable {
            this->update_lost_nodes(result);
            const auto changed =
                may_repeat ? this->add_unreachable_nodes(digests) : std::vector<std::string>();
            if (!changed.empty()) {
                // The multicast is still inside this callback.
                this->loop.post([this, held = std::weak_ptr(this->alive), changed,
                                 done = std::move(done)]() mutable {
                    if (!held.expired()) {
                        this->send_report(changed, false, std::move(done));
                    }
                });
            } else if (done) {
                done();
            }
        });
}

void suspect_exchange::update_lost_nodes(const directory::multicast_result& result) {
    std::vector<net::endpoint> lost = result.unreached;
    lost.insert(lost.end(), result.recently_started.begin(), result.recently_started.end());
    const bool has_just_started =
        this->clock.now() - this->started_at < this->options.lost_node_time;
    if (has_just_started && !this->options.is_first_start) {
        lost.push_back(this->options.self);
    }
    std::map<net::endpoint, base::instant> since;
    for (const net::endpoint& node : lost) {
        const auto known_loss = this->lost_since.find(node);
        since[node] = known_loss == this->lost_since.end() ? this->clock.now() : known_loss->second;
    }
    this->lost_since = std::move(since);
}

net::endpoint suspect_exchange::recently_lost_edge() const {
    const std::vector<net::endpoint> members = this->storage_members();
    for (const auto& [node, since] : this->lost_since) {
        const bool is_member = std::find(members.begin(), members.end(), node) != members.end();
        if (!is_member && this->clock.now() - since < this->options.lost_node_time) {
            return node;
        }
    }
    return {};
}

std::vector<std::string> suspect_exchange::add_unreachable_nodes(
    const std::vector<std::string>& digests) {
    std::vector<std::string> changed;
    const net::endpoint lost = this->recently_lost_edge();
    if (lost.port == 0) {
        return changed;
    }
    for (const std::string& digest : digests) {
        auto known = this->known.find(digest, this->clock.now());
        const bool is_first_attempt =
            known.has_value() && !known->is_reserved &&
            known->ends.size() + known->unproved.size() == 1 &&
            this->known.status_of(digest, this->clock.now()).possible_ends == 1;
        if (!is_first_attempt) {
            continue;
        }
        const std::string node = net::to_string(lost);
        known->ends.clear();
        known->unproved = {
            {.request = "unknown", .node = node, .evidence = end_evidence::node_unreachable}};
        this->add({*known});
        changed.push_back(digest);
        base::log(base::log_level::warning, "attempt_of_lost_node_suspected",
                  {{"fingerprint", digest}, {"lost_node", node}});
    }
    return changed;
}

}  // namespace pearbarrow::suspects
