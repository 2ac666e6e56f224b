/// Nodes tell each other what is new in the directory.
///
/// Protocol: a node keeps one question open at each of a few peers ("I have these versions").
/// The peer answers as soon as it knows something newer, or after a while with nothing; the node
/// asks again. A question also shows what the asker knows: a peer that knows less asks back at
/// once, and a node that has learned something puts its questions anew. Each answer names further
/// peers, so the seeds of the settings are enough to begin. What a node learns here counts as much
/// as what it reads from the outside service itself, so nodes which that service turns away stay
/// current.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/directory_state.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::directory {

/// "What do you know that I don't?"
struct watch_question {
    directory_versions known;
    /// Where the asking node takes such questions itself.
    net::endpoint asker;
    /// Peers that the asking node knows.
    std::uint32_t peers = 0;

    MSGPACK_DEFINE(known, asker, peers);
};

struct watch_answer {
    directory_update update;
    /// Some peers that the answering node knows.
    std::vector<net::endpoint> peers;

    MSGPACK_DEFINE(update, peers);
};

struct exchange_options {
    net::endpoint self;
    std::vector<net::endpoint> seeds;
    /// Peers that a question is kept open at.
    std::size_t watched_peers = 2;
    /// Longest time that a question is held before it is answered with nothing.
    base::milliseconds hold{8'000};
    /// After a question that failed, before the next peer is asked.
    base::milliseconds retry{300};
    /// Enough to know every node of a fleet: who reads the outside service in turn with how many
    /// others follows from it (`directory/watch_pacing.h`).
    std::size_t max_known_peers = 1'024;
};

class directory_exchange {
  public:
    using change_handler = std::function<void(const directory_state::changes&)>;

    /// `on_change` runs after each change, whichever way it came.
    directory_exchange(net::event_loop& loop, net::peer_rpc& rpc, base::random_source& random,
                       exchange_options options, change_handler on_change);
    ~directory_exchange();
    directory_exchange(const directory_exchange&) = delete;
    directory_exchange& operator=(const directory_exchange&) = delete;

    /// Begins to ask. Call once the links between nodes are open.
    void start();
    /// Takes what the outside service told, and tells it to the peers that wait. Gives which parts
    /// say something new.
    directory_state::changes publish(directory_update update);
    /// Another node that may be asked.
    void learn_peer(const net::endpoint& peer);
    const directory_state& state() const { return state_; }
    std::size_t peer_count() const { return peers_.size(); }
    /// How many of the peers have a lower address than this node.
    std::size_t rank() const;
    /// One of the peers that `is_fit` takes; port 0: there is none.
    net::endpoint random_peer(const std::function<bool(const net::endpoint&)>& is_fit);
    /// Whether a peer has answered a question and has not failed one since.
    bool is_connected() const;

  private:
    /// A question that a peer keeps open here.
    struct waiting_question {
        watch_question question;
        std::shared_ptr<net::peer_responder> responder;
        std::unique_ptr<net::timer_handle> limit;
    };
    /// A question that this node keeps open at a peer.
    struct open_question {
        net::endpoint peer;
        bool was_answered = false;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> retry;
    };

    void take_question(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void answer(const std::shared_ptr<net::peer_responder>& responder,
                const watch_question& question);
    std::size_t peers_to_tell(const watch_question& question) const;
    void answer_waiting();
    /// Asks whoever has just shown to know more than this node.
    void ask_back(const watch_question& question);
    /// Puts the open questions anew, so that peers see what this node knows now.
    void ask_anew();
    void ask(open_question& question);
    void take_answer(open_question& question, const absl::StatusOr<std::string>& payload);
    bool is_watched(const net::endpoint& peer) const;

    net::event_loop& loop_;
    net::peer_rpc& rpc_;
    base::random_source& random_;
    exchange_options options_;
    change_handler on_change_;
    directory_state state_;
    std::vector<net::endpoint> peers_;
    std::list<waiting_question> waiting_;
    std::list<open_question> questions_;
    std::unique_ptr<net::peer_call_handle> ask_back_;
};

}  // namespace pearbarrow::directory
