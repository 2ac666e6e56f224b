#include "pearbarrow/directory/directory_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// Time that a peer may take beyond its hold time before the poll counts as failed.
constexpr base::milliseconds reply_slack{1'000};
/// Peers named in a reply. A node that knows far fewer peers than the replying one receives more of
/// them.
constexpr std::size_t peers_per_reply = 4;
constexpr std::size_t peers_per_reply_to_new_node = 64;
/// A node that knows fewer peers than this polls any of them. Small fleets never have more; there,
/// every node knows all others.
constexpr std::size_t min_known_peers = 16;
constexpr base::milliseconds reverse_request_timeout{1'000};
/// Gives the peers time to learn of a change on their own.
constexpr base::milliseconds poll_repeat_delay{150};

std::uint64_t address_hash(const net::endpoint& node) {
    return base::stable_hash(net::to_string(node));
}

/// Combines the address hash of a node with the number of a selection (the finalizer of
/// splitmix64). 2,000 of these take a few microseconds.
std::uint64_t selection_rank(std::uint64_t hash, std::uint64_t number) {
    std::uint64_t mixed = hash + number * 0x9e37'79b9'7f4a'7c15;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58'476d'1ce4'e5b9;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d0'49bb'1331'11eb;
    return mixed ^ (mixed >> 31U);
}

}  // namespace

directory_exchange::directory_exchange(net::event_loop& loop, net::peer_rpc& rpc,
                                       base::random_source& random, exchange_options options,
                                       change_handler on_change)
    : loop_(loop),
      rpc_(rpc),
      random_(random),
      options_(std::move(options)),
      on_change_(std::move(on_change)),
      source_(rpc, options_.parts,
              [this](const parts_request& request, std::size_t max_backends) {
                  const auto& held = state_.current().backends;
                  return held.has_value()
                             ? state_.index().parts_of(*held, request.parts, max_backends)
                             : backend_parts();
              }),
      fetch_(loop, rpc, random, {}) {
    own_address_hash_ = address_hash(options_.self);
    for (const net::endpoint& seed : options_.seeds) {
        learn_seed(seed);
    }
    rpc_.register_method(wire::directory_watch, [this](std::string_view payload, auto responder) {
        handle_request(payload, std::move(responder));
    });
}

directory_exchange::~directory_exchange() = default;

void directory_exchange::start() {
    for (std::size_t index = 0; index < options_.polled_peers; ++index) {
        send_poll(polls_.emplace_back());
    }
}

directory_state::changes directory_exchange::publish(directory_update update) {
    directory_state::changes changed = state_.apply(std::move(update));
    if (!changed.any()) {
        return changed;
    }
    reply_to_waiting();
    on_change_(changed);
    repeat_polls();
    return changed;
}

void directory_exchange::repeat_polls() {
    for (open_poll& poll : polls_) {
        // A poll whose repetition is already scheduled keeps its timer. Under constant changes it
        // would otherwise be postponed forever.
        if (poll.peer.port != 0 && poll.retry == nullptr) {
            poll.retry = loop_.after(poll_repeat_delay, [this, &poll] { send_poll(poll); });
        }
    }
}

watch_request directory_exchange::own_request(bool is_first_request) const {
    return {.known = state_.versions(),
            .sender = options_.self,
            .peers = static_cast<std::uint32_t>(peers_.size()),
            .accepts_parts = true,
            .is_first_request = is_first_request};
}

void directory_exchange::send_reverse_request(const watch_request& request) {
    reverse_call_ = rpc_.call(
        base::node_id(), request.sender, wire::directory_watch, wire::encode(own_request(true)),
        reverse_request_timeout,
        {.on_part = nullptr,
         .on_done = [this, peer = request.sender](const absl::StatusOr<std::string>& payload) {
             auto reply = payload.ok() ? wire::decode<watch_reply>(*payload)
                                       : absl::StatusOr<watch_reply>(payload.status());
             if (reply.ok()) {
                 apply_update(peer, std::move(reply->update));
             }
         }});
}

void directory_exchange::apply_update(const net::endpoint& peer, directory_update update) {
    const std::vector<backend_digests> digests = std::move(update.digests);
    publish(std::move(update));
    if (!digests.empty()) {
        fetch_parts(peer, digests.front());
    }
}

void directory_exchange::fetch_parts(const net::endpoint& peer, const backend_digests& digests) {
    if (fetch_.is_active()) {
        return;
    }
    fetch_.start(
        peer, digests.revision, state_.index().differing_parts(digests),
        [this, peer, digests](std::optional<backend_parts> found) {
            if (!found.has_value()) {
                abandon_peer(peer);
                return;
            }
            // Parts that were equal when the fetch started must still be equal, because the update
            // treats them as known to both nodes.
            const std::vector<std::uint32_t> differing = state_.index().differing_parts(digests);
            const std::set<std::uint32_t> fetched(found->parts.begin(), found->parts.end());
            if (!std::all_of(differing.begin(), differing.end(),
                             [&](std::uint32_t part) { return fetched.count(part) > 0; })) {
                return;
            }
            directory_update update;
            update.parts = std::move(found);
            publish(std::move(update));
        });
}

void directory_exchange::handle_request(std::string_view payload,
                                        std::shared_ptr<net::peer_responder> responder) {
    const auto request = wire::decode<watch_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    learn_peer(request->sender);
    if (request->known.is_ahead_of(state_.versions())) {
        send_reverse_request(*request);
    }
    if (request->is_first_request || state_.has_changes_for(request->known)) {
        send_reply(responder, *request);
        return;
    }
    responder->mark_as_long_poll();
    auto& waiting = waiting_requests_.emplace_back();
    const auto position = std::prev(waiting_requests_.end());
    waiting.request = *request;
    waiting.responder = std::move(responder);
    waiting.limit = loop_.after(options_.hold, [this, position] {
        send_reply(position->responder, position->request);
        waiting_requests_.erase(position);
    });
}

std::size_t directory_exchange::peers_in_reply(const watch_request& request) const {
    const bool is_new_node = std::size_t{request.peers} * 2 < peers_.size();
    return std::min(is_new_node ? peers_per_reply_to_new_node : peers_per_reply, peers_.size());
}

void directory_exchange::send_reply(const std::shared_ptr<net::peer_responder>& responder,
                                    const watch_request& request) {
    watch_reply reply{.update = state_.update_for(request.receiver()),
                      .peers = {},
                      .is_reading = reader_ != nullptr && reader_->is_reading()};
    reply.peers = some_peers(peers_in_reply(request));
    responder->finish(wire::encode(reply));
}

std::vector<net::endpoint> directory_exchange::some_peers(std::size_t count) {
    std::vector<net::endpoint> selected;
    const std::size_t first = peers_.empty() ? 0 : random_.below(peers_.size());
    for (std::size_t index = 0; index < peers_.size() && selected.size() < count; ++index) {
        const net::endpoint& peer = peers_[(first + index) % peers_.size()];
        if (unconfirmed_.count(peer) == 0) {
            selected.push_back(peer);
        }
    }
    return selected;
}

void directory_exchange::reply_to_waiting() {
    for (auto at = waiting_requests_.begin(); at != waiting_requests_.end();) {
        if (!state_.has_changes_for(at->request.known)) {
            ++at;
            continue;
        }
        send_reply(at->responder, at->request);
        at = waiting_requests_.erase(at);
    }
}

void directory_exchange::send_poll(open_poll& poll) {
    poll.retry.reset();
    if (fetch_.is_active()) {
        poll.retry = loop_.after(options_.delay_during_fetch, [this, &poll] { send_poll(poll); });
        return;
    }
    if (poll.peer.port == 0 || (poll.is_initial_peer && !has_few_peers())) {
        poll.is_initial_peer = has_few_peers();
        poll.is_first_request = true;
        poll.peer = random_peer([this](const net::endpoint& peer) { return !is_polled(peer); });
    }
    if (poll.peer.port == 0) {
        poll.retry = loop_.after(options_.retry, [this, &poll] { send_poll(poll); });
        return;
    }
    poll.call = rpc_.call(
        base::node_id(), poll.peer, wire::directory_watch,
        wire::encode(own_request(poll.is_first_request)), options_.hold + reply_slack,
        {.on_part = nullptr, .on_done = [this, &poll](absl::StatusOr<std::string> payload) {
             handle_reply(poll, payload);
         }});
}

void directory_exchange::handle_reply(open_poll& poll, const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<watch_reply>(*payload)
                              : absl::StatusOr<watch_reply>(payload.status());
    poll.last_call_succeeded = reply.ok();
    if (!reply.ok()) {
        poll.peer = {};
        const base::milliseconds delay = had_any_reply_ ? options_.retry : options_.initial_retry;
        poll.retry = loop_.after(delay, [this, &poll] { send_poll(poll); });
        return;
    }
    had_any_reply_ = true;
    confirm_seed(poll.peer);
    poll.is_first_request = false;
    for (const net::endpoint& peer : reply->peers) {
        learn_peer(peer);
    }
    if (reply->is_reading && reader_ != nullptr) {
        reader_->on_peer_reading();
    }
    if (poll.is_initial_peer && !has_few_peers()) {
        // All starting nodes know only these few peers, and each peer serves its list to a limited
        // number of nodes per second: 45 of 55 nodes that had started together polled one peer and
        // lacked a part for four seconds. The next poll goes to any other peer, which has the list
        // too.
        reply->update.digests.clear();
    }
    apply_update(poll.peer, std::move(reply->update));
    // The timer runs the next poll from the loop, so that the finished call is not replaced inside
    // its own callback.
    poll.retry = loop_.after(base::milliseconds{1}, [this, &poll] { send_poll(poll); });
}

void directory_exchange::abandon_peer(const net::endpoint& peer) {
    for (open_poll& poll : polls_) {
        // A poll that still waits for its reply is kept.
        if (poll.peer == peer && poll.retry != nullptr) {
            poll.peer = {};
        }
    }
}

bool directory_exchange::has_few_peers() const {
    return peers_.size() < min_known_peers;
}

void directory_exchange::learn_seed(const net::endpoint& seed) {
    if (known_peers_.count(seed) > 0 || seed == options_.self) {
        return;
    }
    learn_peer(seed);
    unconfirmed_.insert(seed);
}

void directory_exchange::confirm_seed(const net::endpoint& seed) {
    unconfirmed_.erase(seed);
}

void directory_exchange::learn_peer(const net::endpoint& peer) {
    if (peer.port == 0 || peer == options_.self) {
        return;
    }
    confirm_seed(peer);
    if (!known_peers_.insert(peer).second) {
        return;
    }
    if (peers_.size() >= options_.max_known_peers) {
        net::endpoint& replaced = peers_[random_.below(peers_.size())];
        known_peers_.erase(replaced);
        unconfirmed_.erase(replaced);
        address_hashes_[static_cast<std::size_t>(&replaced - peers_.data())] = address_hash(peer);
        replaced = peer;
        return;
    }
    peers_.push_back(peer);
    address_hashes_.push_back(address_hash(peer));
}

std::vector<net::endpoint> directory_exchange::confirmed_peers() const {
    std::vector<net::endpoint> confirmed;
    std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(confirmed),
                 [this](const net::endpoint& peer) { return unconfirmed_.count(peer) == 0; });
    return confirmed;
}

bool directory_exchange::is_selected(std::uint64_t number) const {
    const std::uint64_t own = selection_rank(own_address_hash_, number);
    std::size_t before = 0;
    for (std::size_t index = 0; index < peers_.size() && before < nodes_per_selection; ++index) {
        const bool counts = unconfirmed_.empty() || unconfirmed_.count(peers_[index]) == 0;
        before += counts && selection_rank(address_hashes_[index], number) < own ? 1 : 0;
    }
    return before < nodes_per_selection;
}

bool directory_exchange::is_connected() const {
    return std::any_of(polls_.begin(), polls_.end(),
                       [](const open_poll& poll) { return poll.last_call_succeeded; });
}

bool directory_exchange::is_polled(const net::endpoint& peer) const {
    return std::any_of(polls_.begin(), polls_.end(),
                       [&](const open_poll& poll) { return poll.peer == peer; });
}

net::endpoint directory_exchange::random_peer(
    const std::function<bool(const net::endpoint&)>& is_fit) {
    std::vector<net::endpoint> candidates;
    std::copy_if(peers_.begin(), peers_.end(), std::back_inserter(candidates), is_fit);
    if (candidates.empty()) {
        return {};
    }
    return candidates[random_.below(candidates.size())];
}

}  // namespace pearbarrow::directory
