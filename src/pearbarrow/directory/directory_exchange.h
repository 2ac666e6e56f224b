/// Distributes changes of the directory between nodes.
///
/// Protocol: a node keeps one long poll open at each of a few peers, which states the versions it
/// has. The peer replies as soon as it has something newer, or with an empty update after a
/// timeout, and the node polls again (a poll of the directory service, `service_watch.h`, does not
/// wait). A poll also shows what its sender knows: a peer with older versions sends a request back
/// at once, and a node that has learned of a change repeats its polls. Each reply names further
/// peers, so the seeds in the settings are enough to start. Updates from peers are equivalent to
/// those from the directory service, so nodes that the service rejects stay current.
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

/// Number of nodes that `is_selected` selects for one number. There are two because one may be
/// down, or unknown to most nodes.
inline constexpr std::size_t nodes_per_selection = 2;

/// A long poll for everything that is newer than `known`.
struct watch_request {
    directory_versions known;
    /// Address at which the sender accepts such requests itself.
    net::endpoint sender;
    /// Number of peers that the sender knows.
    std::uint32_t peers = 0;
    /// The sender can fetch parts of the list of back ends (`directory/parts_fetch.h`). Builds
    /// without this receive the whole list, and they compute digests differently.
    bool accepts_parts = false;
    /// This is the first request to this peer. The peer replies at once with what it has.
    bool is_first_request = false;

    update_receiver receiver() const {
        return {.known = known, .sends_digest = accepts_parts, .accepts_parts = accepts_parts};
    }
    MSGPACK_DEFINE(known, sender, peers, accepts_parts, is_first_request);
};

struct watch_reply {
    directory_update update;
    /// Some of the peers that the replying node knows.
    std::vector<net::endpoint> peers;
    /// The replying node is reading the directory service and will publish the result.
    bool is_reading = false;

    MSGPACK_DEFINE(update, peers, is_reading);
};

/// The component of this node that reads the directory service, as seen by the exchange.
class service_reader {
  public:
    virtual ~service_reader() = default;
    virtual bool is_reading() const = 0;
    virtual void on_peer_reading() = 0;
};

struct exchange_options {
    net::endpoint self;
    std::vector<net::endpoint> seeds;
    /// Number of peers with an open poll.
    std::size_t polled_peers = 2;
    /// Longest time that a poll is held before an empty reply.
    base::milliseconds hold{8'000};
    /// Delay after a failed poll before the next peer is polled.
    base::milliseconds retry{300};
    /// The same delay until the first reply arrives. When all nodes start together, the first
    /// contacts may start a little later, and a node without a reply waits or calls the directory
    /// service itself.
    base::milliseconds initial_retry{50};
    /// Delay before a poll is repeated while a list of back ends is being fetched.
    base::milliseconds delay_during_fetch{50};
    /// Large enough to know every node of a fleet twice the largest planned size, at 100 bytes per
    /// peer. The delay before a node calls the directory service depends on the number of peers
    /// (`directory/watch_pacing.h`).
    std::size_t max_known_peers = 4'096;
    parts_source::limits parts;
};

class directory_exchange {
  public:
    using change_handler = std::function<void(const directory_state::changes&)>;

    /// `on_change` runs after each change, from any source.
    directory_exchange(net::event_loop& loop, net::peer_rpc& rpc, base::random_source& random,
                       exchange_options options, change_handler on_change);
    ~directory_exchange();
    directory_exchange(const directory_exchange&) = delete;
    directory_exchange& operator=(const directory_exchange&) = delete;

    /// Starts polling. Call it once the links between nodes are open.
    void start();
    /// Applies an update of the directory service and replies to the waiting peers. Returns the
    /// parts that changed.
    directory_state::changes publish(directory_update update);
    /// The reader must outlive the exchange.
    void set_reader(service_reader& reader) { reader_ = &reader; }
    /// Adds a node that may be polled.
    void learn_peer(const net::endpoint& peer);
    /// Adds an initial address, at which there may be no node.
    void learn_seed(const net::endpoint& seed);
    const directory_state& state() const { return state_; }
    std::size_t peer_count() const { return peers_.size(); }
    /// Returns the peers at whose addresses a node has been confirmed.
    std::vector<net::endpoint> confirmed_peers() const;
    /// Whether this node is among the `nodes_per_selection` nodes selected from itself and its
    /// peers; `number` identifies the selection. All nodes that know the same nodes select the same
    /// ones.
    bool is_selected(std::uint64_t number) const;
    /// Returns a random peer for which `is_fit` holds; port 0 if there is none.
    net::endpoint random_peer(const std::function<bool(const net::endpoint&)>& is_fit);
    /// Whether the last call of some open poll succeeded.
    bool is_connected() const;

  private:
    /// A poll that a peer keeps open here.
    struct waiting_request {
        watch_request request;
        std::shared_ptr<net::peer_responder> responder;
        std::unique_ptr<net::timer_handle> limit;
    };
    /// A poll that this node keeps open at a peer.
    struct open_poll {
        net::endpoint peer;
        /// Whether the peer was selected while this node knew only a few. All nodes start with the
        /// same few peers. If they kept polling these, those peers would serve the whole fleet
        /// (with 301 nodes, a seed sent 6 MB/s, the median node 0.14 MB/s).
        bool is_initial_peer = false;
        bool is_first_request = true;
        bool last_call_succeeded = false;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> retry;
    };

    /// Records that there is a node at the address.
    void confirm_seed(const net::endpoint& seed);
    std::vector<net::endpoint> some_peers(std::size_t count);
    void handle_request(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void send_reply(const std::shared_ptr<net::peer_responder>& responder,
                    const watch_request& request);
    std::size_t peers_in_reply(const watch_request& request) const;
    void reply_to_waiting();
    /// Sends a request to the sender of a poll that has shown newer versions than this node has.
    void send_reverse_request(const watch_request& request);
    /// Repeats the open polls, so that the peers see the new versions of this node.
    void repeat_polls();
    void send_poll(open_poll& poll);
    void handle_reply(open_poll& poll, const absl::StatusOr<std::string>& payload);
    /// Applies the update of a peer and fetches the parts of its list that differ.
    void apply_update(const net::endpoint& peer, directory_update update);
    void fetch_parts(const net::endpoint& peer, const backend_digests& digests);
    /// Moves the polls that are open at the peer to other peers.
    void abandon_peer(const net::endpoint& peer);
    /// Creates the poll for everything that this node lacks.
    watch_request own_request(bool is_first_request) const;
    bool has_few_peers() const;
    bool is_polled(const net::endpoint& peer) const;

    net::event_loop& loop_;
    net::peer_rpc& rpc_;
    base::random_source& random_;
    exchange_options options_;
    change_handler on_change_;
    directory_state state_;
    std::vector<net::endpoint> peers_;
    std::set<net::endpoint> known_peers_;
    /// Seeds at which no node has been confirmed. They are polled, but neither named to other nodes
    /// nor selected. With stale seeds in the selection, twelve nodes missed four in ten polls of
    /// the directory service, and a change went unnoticed for 2.7 s.
    std::set<net::endpoint> unconfirmed_;
    /// Address hashes of the peers, in the order of `peers_`, and of this node.
    std::vector<std::uint64_t> address_hashes_;
    std::uint64_t own_address_hash_ = 0;
    std::list<waiting_request> waiting_requests_;
    std::list<open_poll> polls_;
    std::unique_ptr<net::peer_call_handle> reverse_call_;
    bool had_any_reply_ = false;
    parts_source source_;
    parts_fetch fetch_;
    service_reader* reader_ = nullptr;
};

}  // namespace pearbarrow::directory
