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
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/directory_state.h"
#include "pearbarrow/directory/parts_fetch.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::directory {

/// Nodes that are drawn for one number: one of them may be down, or unknown to most.
inline constexpr std::size_t drawn_at_once = 2;

/// "What do you know that I don't?"
struct watch_question {
    directory_versions known;
    /// Where the asking node takes such questions itself.
    net::endpoint asker;
    /// Peers that the asking node knows.
    std::uint32_t peers = 0;
    /// The asking node fetches parts of the list of back ends (`directory/parts_fetch.h`). Builds
    /// that don't are told the list whole, and their digests are made in another way.
    bool takes_parts = false;
    /// Nothing was asked of this peer before: the answer comes at once, with what there is.
    bool is_first = false;

    update_receiver receiver() const {
        return {.known = known, .tells_digest = takes_parts, .takes_parts = takes_parts};
    }
    MSGPACK_DEFINE(known, asker, peers, takes_parts, is_first);
};

struct watch_answer {
    directory_update update;
    /// Some peers that the answering node knows.
    std::vector<net::endpoint> peers;
    /// The answering node reads the outside service just now, and will tell of it.
    bool is_reading = false;

    MSGPACK_DEFINE(update, peers, is_reading);
};

/// What the exchange asks of, and tells to, whoever reads the outside service on this node.
class service_reader {
  public:
    virtual ~service_reader() = default;
    virtual bool is_reading() const = 0;
    virtual void note_reading_peer() = 0;
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
    /// The same while no question was ever answered: at a common start the first contacts may begin
    /// a little later, and who is not told waits or calls the outside service itself.
    base::milliseconds first_retry{50};
    /// While a list of back ends is fetched, before a question is put again.
    base::milliseconds fetch_pause{50};
    /// Enough to know every node of a fleet twice the largest planned, 100 bytes each: how long a
    /// node leaves the outside service to the others follows from their number
    /// (`directory/watch_pacing.h`).
    std::size_t max_known_peers = 4'096;
    parts_source::limits parts;
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
    /// It outlives the exchange.
    void set_reader(service_reader& reader) { reader_ = &reader; }
    /// Another node that may be asked.
    void learn_peer(const net::endpoint& peer);
    /// An address to begin with, which may be nobody's.
    void learn_seed(const net::endpoint& seed);
    const directory_state& state() const { return state_; }
    std::size_t peer_count() const { return peers_.size(); }
    /// Whether this node is among the `drawn_at_once` that are drawn of itself and its peers;
    /// `number` names the draw. All that know the same nodes draw the same ones.
    bool is_drawn(std::uint64_t number) const;
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
        /// The peer was one of the few that this node knew at first. All nodes begin with the same
        /// few: whoever stays with them makes them work for the whole fleet (a seed of 301 nodes
        /// sent 6 MB/s, the middle node 0.14).
        bool is_first_contact = false;
        bool is_first = true;
        bool was_answered = false;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> retry;
    };

    /// An address has turned out to be a node's.
    void confirm_seed(const net::endpoint& seed);
    std::vector<net::endpoint> some_peers(std::size_t count);
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
    /// Applies what a peer has told, and asks it for what else its list holds.
    void take_update(const net::endpoint& peer, directory_update update);
    void fetch_parts(const net::endpoint& peer, const backend_digests& digests);
    /// Puts the questions that are open at the peer to others next.
    void leave(const net::endpoint& peer);
    /// The message that asks for what this node lacks.
    watch_question own_question(bool is_first) const;
    bool has_few_peers() const;
    bool is_watched(const net::endpoint& peer) const;

    net::event_loop& loop_;
    net::peer_rpc& rpc_;
    base::random_source& random_;
    exchange_options options_;
    change_handler on_change_;
    directory_state state_;
    std::vector<net::endpoint> peers_;
    std::set<net::endpoint> known_peers_;
    /// Seeds that no node has shown to be one of them: they are asked, but neither named to others
    /// nor drawn. Of twelve nodes with stale seeds four in ten looks at the outside service were
    /// nobody's, and a change stayed unheard of for 2.7 s.
    std::set<net::endpoint> unconfirmed_;
    /// Lots of the peers, in the same order, and of this node.
    std::vector<std::uint64_t> lots_;
    std::uint64_t own_lot_ = 0;
    std::list<waiting_question> waiting_;
    std::list<open_question> questions_;
    std::unique_ptr<net::peer_call_handle> ask_back_;
    bool was_ever_answered_ = false;
    parts_source source_;
    parts_fetch fetch_;
    service_reader* reader_ = nullptr;
};

}  // namespace pearbarrow::directory
