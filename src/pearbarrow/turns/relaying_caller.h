/// Calls storage members directly, and through a peer while the way to most of them is cut.
#pragma once

#include <map>
#include <optional>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/call_relay.h"
#include "pearbarrow/turns/member_caller.h"

namespace pearbarrow::turns {

struct relaying_options {
    /// A member that leaves a call unanswered for this long counts as silent.
    base::milliseconds patience{250};
    /// After relays that reached nothing either, before the next one.
    base::milliseconds rest{150};
    /// Peers that fail in a row, of all calls, before that rest. Where a third of the nodes is cut
    /// off together 1 in 27 rests; after each single failure a node stood still for 150 ms of every
    /// 400, and 786 requests of 7,000 programs were refused since nobody who counts limits was
    /// reached (61 nodes, one play).
    std::uint32_t tried_relays = 3;
    /// A peer that has reached a member so lately is not given up for another that is silent.
    base::milliseconds trust{500};
};

/// Invariant: a call is relayed only while fewer than a majority of the member's replica group
/// answer this node, so the loss of a minority costs no peer anything. Every call that may be
/// relayed is one that a member may receive twice.
class relaying_caller final : public member_caller {
  public:
    /// Gives a peer to relay through; port 0: none is known.
    using peer_source = std::function<net::endpoint()>;

    relaying_caller(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                    relaying_options options, peer_source choose_peer);
    ~relaying_caller() override;
    relaying_caller(const relaying_caller&) = delete;
    relaying_caller& operator=(const relaying_caller&) = delete;

    void set_view(const directory::storage_view& view);
    /// Asks for a peer anew before the next relayed call.
    void forget_relay() { this->good_peer = {}; }
    [[nodiscard]] std::unique_ptr<net::peer_call_handle> call(
        const directory::storage_member& member, net::method_number method, std::string payload,
        base::milliseconds timeout, reply_handler on_reply) override;
    /// Whether fewer than a majority of some group's members answer.
    bool is_cut() const;
    bool is_cut(std::uint32_t group) const;
    std::uint64_t relayed_calls() const { return this->relayed; }

  private:
    class one_call;

    void note_asked(const base::node_id& node, base::instant at);
    void note_unasked(const base::node_id& node, base::instant at);
    void note_answered(const base::node_id& node);
    /// True: another peer may reach what this one has not.
    bool note_relay(const net::endpoint& peer, const absl::StatusOr<std::string>& reply);
    net::endpoint relay_peer();

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    relaying_options options;
    peer_source choose_peer;
    struct voter {
        std::uint32_t group = 0;
        /// Since when it has left a call unanswered; none: it has answered last.
        std::optional<base::instant> silent_since;
    };

    bool answers(const voter& one, base::instant now) const;

    std::map<base::node_id, voter> voters;
    std::uint32_t groups = 1;
    /// The peer that relayed last, while it does.
    net::endpoint good_peer;
    base::instant good_at{};
    std::uint32_t failed_relays = 0;
    base::instant rests_until{};
    std::uint64_t relayed = 0;
};

}  // namespace pearbarrow::turns
