#include "pearbarrow/directory/directory_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// What a peer may take longer than its own hold before its silence counts as a failure.
constexpr base::milliseconds answer_slack{1'000};
/// Peers named in an answer; to a node that knows far fewer than the answering one, more.
constexpr std::size_t peers_told = 4;
constexpr std::size_t peers_told_to_new = 64;
/// A node that knows fewer than this asks whomever it has. Small fleets have no more: there every
/// node knows all.
constexpr std::size_t few_peers = 16;
constexpr base::milliseconds ask_back_timeout{1'000};
/// Leaves the peers time to learn of a change by themselves.
constexpr base::milliseconds ask_anew_delay{150};

std::uint64_t lot_of(const net::endpoint& node) {
    return base::stable_hash(net::to_string(node));
}

/// Mixes a node's lot with the number of a draw (the finalizer of splitmix64): 2,000 of them take
/// some microseconds.
std::uint64_t drawn(std::uint64_t lot, std::uint64_t number) {
    std::uint64_t mixed = lot + number * 0x9e37'79b9'7f4a'7c15;
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
              [this](const parts_question& question, std::size_t most) {
                  const auto& held = state_.current().backends;
                  return held.has_value() ? state_.index().parts_of(*held, question.parts, most)
                                          : backend_parts();
              }),
      fetch_(loop, rpc, random, {}) {
    own_lot_ = lot_of(options_.self);
    for (const net::endpoint& seed : options_.seeds) {
        learn_seed(seed);
    }
    rpc_.register_method(wire::directory_watch, [this](std::string_view payload, auto responder) {
        take_question(payload, std::move(responder));
    });
}

directory_exchange::~directory_exchange() = default;

void directory_exchange::start() {
    for (std::size_t index = 0; index < options_.watched_peers; ++index) {
        ask(questions_.emplace_back());
    }
}

directory_state::changes directory_exchange::publish(directory_update update) {
    directory_state::changes changed = state_.apply(std::move(update));
    if (!changed.any()) {
        return changed;
    }
    answer_waiting();
    on_change_(changed);
    ask_anew();
    return changed;
}

void directory_exchange::ask_anew() {
    for (open_question& question : questions_) {
        // One that is about to be put anew stays so: where changes never cease it would be put off
        // for ever.
        if (question.peer.port != 0 && question.retry == nullptr) {
            question.retry = loop_.after(ask_anew_delay, [this, &question] { ask(question); });
        }
    }
}

watch_question directory_exchange::own_question(bool is_first) const {
    return {.known = state_.versions(),
            .asker = options_.self,
            .peers = static_cast<std::uint32_t>(peers_.size()),
            .takes_parts = true,
            .is_first = is_first};
}

void directory_exchange::ask_back(const watch_question& question) {
    ask_back_ = rpc_.call(
        base::node_id(), question.asker, wire::directory_watch, wire::encode(own_question(true)),
        ask_back_timeout,
        {.on_part = nullptr,
         .on_done = [this, peer = question.asker](const absl::StatusOr<std::string>& payload) {
             auto reply = payload.ok() ? wire::decode<watch_answer>(*payload)
                                       : absl::StatusOr<watch_answer>(payload.status());
             if (reply.ok()) {
                 take_update(peer, std::move(reply->update));
             }
         }});
}

void directory_exchange::take_update(const net::endpoint& peer, directory_update update) {
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
        peer, digests.revision, state_.index().differing(digests),
        [this, peer, digests](std::optional<backend_parts> found) {
            if (!found.has_value()) {
                leave(peer);
                return;
            }
            // What was equal then must be so still: the peer's list is known by both.
            const std::vector<std::uint32_t> differing = state_.index().differing(digests);
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

void directory_exchange::take_question(std::string_view payload,
                                       std::shared_ptr<net::peer_responder> responder) {
    const auto question = wire::decode<watch_question>(payload);
    if (!question.ok()) {
        responder->fail(question.status());
        return;
    }
    learn_peer(question->asker);
    if (question->known.is_ahead_of(state_.versions())) {
        ask_back(*question);
    }
    if (question->is_first || state_.is_news_to(question->known)) {
        answer(responder, *question);
        return;
    }
    auto& waiting = waiting_.emplace_back();
    const auto position = std::prev(waiting_.end());
    waiting.question = *question;
    waiting.responder = std::move(responder);
    waiting.limit = loop_.after(options_.hold, [this, position] {
        answer(position->responder, position->question);
        waiting_.erase(position);
    });
}

std::size_t directory_exchange::peers_to_tell(const watch_question& question) const {
    const bool is_new = std::size_t{question.peers} * 2 < peers_.size();
    return std::min(is_new ? peers_told_to_new : peers_told, peers_.size());
}

void directory_exchange::answer(const std::shared_ptr<net::peer_responder>& responder,
                                const watch_question& question) {
    watch_answer reply{.update = state_.update_for(question.receiver()),
                       .peers = {},
                       .is_reading = reader_ != nullptr && reader_->is_reading()};
    reply.peers = some_peers(peers_to_tell(question));
    responder->finish(wire::encode(reply));
}

std::vector<net::endpoint> directory_exchange::some_peers(std::size_t count) {
    std::vector<net::endpoint> some;
    const std::size_t first = peers_.empty() ? 0 : random_.below(peers_.size());
    for (std::size_t index = 0; index < peers_.size() && some.size() < count; ++index) {
        const net::endpoint& peer = peers_[(first + index) % peers_.size()];
        if (unconfirmed_.count(peer) == 0) {
            some.push_back(peer);
        }
    }
    return some;
}

void directory_exchange::answer_waiting() {
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        if (!state_.is_news_to(at->question.known)) {
            ++at;
            continue;
        }
        answer(at->responder, at->question);
        at = waiting_.erase(at);
    }
}

void directory_exchange::ask(open_question& question) {
    question.retry.reset();
    if (fetch_.is_active()) {
        question.retry = loop_.after(options_.fetch_pause, [this, &question] { ask(question); });
        return;
    }
    if (question.peer.port == 0 || (question.is_first_contact && !has_few_peers())) {
        question.is_first_contact = has_few_peers();
        question.is_first = true;
        question.peer =
            random_peer([this](const net::endpoint& peer) { return !is_watched(peer); });
    }
    if (question.peer.port == 0) {
        question.retry = loop_.after(options_.retry, [this, &question] { ask(question); });
        return;
    }
    question.call = rpc_.call(
        base::node_id(), question.peer, wire::directory_watch,
        wire::encode(own_question(question.is_first)), options_.hold + answer_slack,
        {.on_part = nullptr, .on_done = [this, &question](absl::StatusOr<std::string> payload) {
             take_answer(question, payload);
         }});
}

void directory_exchange::take_answer(open_question& question,
                                     const absl::StatusOr<std::string>& payload) {
    auto reply = payload.ok() ? wire::decode<watch_answer>(*payload)
                              : absl::StatusOr<watch_answer>(payload.status());
    question.was_answered = reply.ok();
    if (!reply.ok()) {
        question.peer = {};
        const base::milliseconds pause = was_ever_answered_ ? options_.retry : options_.first_retry;
        question.retry = loop_.after(pause, [this, &question] { ask(question); });
        return;
    }
    was_ever_answered_ = true;
    confirm_seed(question.peer);
    question.is_first = false;
    for (const net::endpoint& peer : reply->peers) {
        learn_peer(peer);
    }
    if (reply->is_reading && reader_ != nullptr) {
        reader_->note_reading_peer();
    }
    if (question.is_first_contact && !has_few_peers()) {
        // Whoever starts knows these few, and they have the list for as many a second only: 45 of
        // 55 nodes that had started together asked one, and lacked a part for four seconds. Any
        // other peer has it too, and is asked next.
        reply->update.digests.clear();
    }
    take_update(question.peer, std::move(reply->update));
    // From the loop, so that the call that ended is not replaced inside its own callback.
    question.retry = loop_.after(base::milliseconds{1}, [this, &question] { ask(question); });
}

void directory_exchange::leave(const net::endpoint& peer) {
    for (open_question& question : questions_) {
        // Not one whose answer is still to come.
        if (question.peer == peer && question.retry != nullptr) {
            question.peer = {};
        }
    }
}

bool directory_exchange::has_few_peers() const {
    return peers_.size() < few_peers;
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
        lots_[static_cast<std::size_t>(&replaced - peers_.data())] = lot_of(peer);
        replaced = peer;
        return;
    }
    peers_.push_back(peer);
    lots_.push_back(lot_of(peer));
}

bool directory_exchange::is_drawn(std::uint64_t number) const {
    const std::uint64_t own = drawn(own_lot_, number);
    std::size_t before = 0;
    for (std::size_t index = 0; index < peers_.size() && before < drawn_at_once; ++index) {
        const bool counts = unconfirmed_.empty() || unconfirmed_.count(peers_[index]) == 0;
        before += counts && drawn(lots_[index], number) < own ? 1 : 0;
    }
    return before < drawn_at_once;
}

bool directory_exchange::is_connected() const {
    return std::any_of(questions_.begin(), questions_.end(),
                       [](const open_question& question) { return question.was_answered; });
}

bool directory_exchange::is_watched(const net::endpoint& peer) const {
    return std::any_of(questions_.begin(), questions_.end(),
                       [&](const open_question& question) { return question.peer == peer; });
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
