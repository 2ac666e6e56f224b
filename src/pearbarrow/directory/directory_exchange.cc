#include "pearbarrow/directory/directory_exchange.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// What a peer may take longer than its own hold before its silence counts as a failure.
constexpr base::milliseconds answer_slack{1'000};
/// Peers named in an answer; to a node that knows far fewer than the answering one, more.
constexpr std::size_t peers_told = 4;
constexpr std::size_t peers_told_to_new = 64;
constexpr base::milliseconds ask_back_timeout{1'000};
/// Leaves the peers time to learn of a change by themselves.
constexpr base::milliseconds ask_anew_delay{150};

}  // namespace

directory_exchange::directory_exchange(net::event_loop& loop, net::peer_rpc& rpc,
                                       base::random_source& random, exchange_options options,
                                       change_handler on_change)
    : loop_(loop),
      rpc_(rpc),
      random_(random),
      options_(std::move(options)),
      on_change_(std::move(on_change)) {
    for (const net::endpoint& seed : options_.seeds) {
        learn_peer(seed);
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
    const directory_state::changes changed = state_.apply(std::move(update));
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
        if (question.peer.port != 0) {
            question.retry = loop_.after(ask_anew_delay, [this, &question] { ask(question); });
        }
    }
}

void directory_exchange::ask_back(const watch_question& question) {
    const watch_question message{.known = state_.versions(),
                                 .asker = options_.self,
                                 .peers = static_cast<std::uint32_t>(peers_.size())};
    ask_back_ = rpc_.call(
        base::node_id(), question.asker, wire::directory_watch, wire::encode(message),
        ask_back_timeout,
        {.on_part = nullptr, .on_done = [this](const absl::StatusOr<std::string>& payload) {
             if (!payload.ok()) {
                 return;
             }
             auto reply = wire::decode<watch_answer>(*payload);
             if (reply.ok()) {
                 publish(std::move(reply->update));
             }
         }});
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
    if (!state_.newer_than(question->known).is_empty()) {
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
    watch_answer reply{.update = state_.newer_than(question.known), .peers = {}};
    const std::size_t first = random_.below(peers_.size());
    for (std::size_t index = 0; index < peers_to_tell(question); ++index) {
        reply.peers.push_back(peers_[(first + index) % peers_.size()]);
    }
    responder->finish(wire::encode(reply));
}

void directory_exchange::answer_waiting() {
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        if (state_.newer_than(at->question.known).is_empty()) {
            ++at;
            continue;
        }
        answer(at->responder, at->question);
        at = waiting_.erase(at);
    }
}

void directory_exchange::ask(open_question& question) {
    question.retry.reset();
    if (question.peer.port == 0) {
        question.peer =
            random_peer([this](const net::endpoint& peer) { return !is_watched(peer); });
    }
    if (question.peer.port == 0) {
        question.retry = loop_.after(options_.retry, [this, &question] { ask(question); });
        return;
    }
    const watch_question message{.known = state_.versions(),
                                 .asker = options_.self,
                                 .peers = static_cast<std::uint32_t>(peers_.size())};
    question.call = rpc_.call(
        base::node_id(), question.peer, wire::directory_watch, wire::encode(message),
        options_.hold + answer_slack,
        {.on_part = nullptr, .on_done = [this, &question](absl::StatusOr<std::string> payload) {
             take_answer(question, payload);
         }});
}

void directory_exchange::take_answer(open_question& question,
                                     const absl::StatusOr<std::string>& payload) {
    const auto reply = payload.ok() ? wire::decode<watch_answer>(*payload)
                                    : absl::StatusOr<watch_answer>(payload.status());
    question.was_answered = reply.ok();
    if (!reply.ok()) {
        question.peer = {};
        question.retry = loop_.after(options_.retry, [this, &question] { ask(question); });
        return;
    }
    for (const net::endpoint& peer : reply->peers) {
        learn_peer(peer);
    }
    publish(reply->update);
    // From the loop, so that the call that ended is not replaced inside its own callback.
    question.retry = loop_.after(base::milliseconds{1}, [this, &question] { ask(question); });
}

void directory_exchange::learn_peer(const net::endpoint& peer) {
    if (peer.port == 0 || peer == options_.self ||
        std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) {
        return;
    }
    if (peers_.size() >= options_.max_known_peers) {
        peers_[random_.below(peers_.size())] = peer;
        return;
    }
    peers_.push_back(peer);
}

std::size_t directory_exchange::rank() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [this](const net::endpoint& peer) { return peer < options_.self; }));
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
