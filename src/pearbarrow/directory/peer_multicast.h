/// Sends a message to all nodes that a node knows.
///
/// Protocol: the sender orders its peers on a ring by the hash of their addresses, divides the ring
/// into a bounded number of arcs, and sends the message to the first peer of each arc, which passes
/// it on in the same way to the rest of the arc, named in the message. A peer confirms once
/// those in its arc have confirmed, or its time is up. If the first peer of an arc does not reply,
/// the next one takes its place. A node thus sends few messages, and a fleet of a thousand nodes is
/// reached in three steps. A node may receive a message more than once.
///
/// A node that has just started knows few peers. It lets some receivers, hubs if it knows any, send
/// the message to all peers that they know if these are more. A receiver that knows more than a
/// message states corrects it with its reply.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::directory {

struct multicast_options {
    net::endpoint self;
    net::method_number method = 0;
    /// Maximum number of peers that a node sends one message to.
    std::size_t fanout = 16;
    /// Time until all peers should have confirmed.
    base::milliseconds timeout{60};
    /// Number of receivers that may send the message to further peers.
    std::size_t wideners = 3;
    /// How long a peer that did not reply is not waited for.
    base::milliseconds unresponsive_penalty{3'000};
    /// How long after its start a node says in its replies that it has just started.
    base::milliseconds recent_start_time{5'000};
};

/// A message, and the peers to which the receiver passes it on.
struct multicast_message {
    std::string payload;
    std::vector<net::endpoint> pass_on_to;
    /// Milliseconds within which the receiver should confirm.
    std::uint32_t timeout_ms = 0;
    /// The receiver sends the message to all its peers if it knows more than `known_peers`.
    bool may_widen = false;
    std::uint32_t known_peers = 0;

    MSGPACK_DEFINE(payload, pass_on_to, timeout_ms, may_widen, known_peers);
};

struct multicast_reply {
    /// Nodes that have received the message, including the replying one.
    std::uint32_t reached = 0;
    /// Message to the sender; empty if there is none.
    std::string correction;
    /// Peers among those that the message was to be passed on to that did not reply.
    std::vector<net::endpoint> unreached;
    /// Nodes among those reached that started within `recent_start_time`.
    std::vector<net::endpoint> recently_started;

    MSGPACK_DEFINE(reached, correction, unreached, recently_started);
};

struct multicast_result {
    std::uint32_t reached = 0;
    /// Number of peers that did not reply to this node.
    std::uint32_t failed = 0;
    /// Peers that did not reply, to this node or to one that passed the message on.
    std::vector<net::endpoint> unreached;
    /// Peers that replied and started within `recent_start_time`.
    std::vector<net::endpoint> recently_started;
};

class peer_multicast {
  public:
    /// Returns the peers that this node knows.
    using peer_source = std::function<std::vector<net::endpoint>()>;
    using receiver = std::function<void(std::string_view payload)>;
    /// Returns what a sender of the message should know in addition, or an empty text. It is called
    /// after `receiver`.
    using corrector = std::function<std::string(std::string_view payload)>;
    using done_handler = std::function<void(const multicast_result&)>;

    /// `hubs` returns nodes that most nodes know.
    peer_multicast(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                   multicast_options options, peer_source peers, peer_source hubs, receiver receive,
                   corrector correct);
    ~peer_multicast();
    peer_multicast(const peer_multicast&) = delete;
    peer_multicast& operator=(const peer_multicast&) = delete;

    /// Sends the message to all peers. `done` runs once, when all that are expected to reply have
    /// confirmed or the time is up; with no peers, inside this call.
    void send(std::string payload, done_handler done);

  private:
    class transmission;
    /// A peer and its position on the ring.
    struct ring_peer {
        std::uint64_t position = 0;
        net::endpoint address;
        bool is_hub = false;
    };

    void handle(std::string_view payload, const std::shared_ptr<net::peer_responder>& responder);
    /// Returns all peers, in the order of the ring from this node on.
    std::vector<ring_peer> peers_after_self() const;
    void start(const std::vector<ring_peer>& targets, const std::string& payload,
               base::milliseconds timeout, bool may_widen, done_handler done);
    bool is_unresponsive(const net::endpoint& peer) const;

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    multicast_options options;
    peer_source peers;
    peer_source hubs;
    receiver receive;
    corrector correct;
    std::uint64_t own_position;
    base::instant started_at;
    std::map<net::endpoint, base::instant> unresponsive_until;
    std::list<std::shared_ptr<transmission>> transmissions;
};

}  // namespace pearbarrow::directory
