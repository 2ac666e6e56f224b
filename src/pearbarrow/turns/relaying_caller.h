/// Calls storage members directly, and through a relaying peer while less than a majority of them
/// can be reached directly.
#pragma once

#include <map>
#include <optional>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/call_relay.h"
#include "pearbarrow/turns/member_caller.h"

namespace pearbarrow::turns {

struct relaying_options {
    /// Time without a reply after which a member counts as silent.
    base::milliseconds silence_timeout{250};
    /// Delay before the next relayed call after consecutive relays have failed.
    base::milliseconds relay_backoff{150};
    /// Number of consecutive relay failures, over all calls, that cause this delay. If a third of
    /// the nodes is cut off at once, 1 in 27 sequences of attempts causes a delay. With a limit of
    /// one failure, a node sent no relayed calls for 150 ms of every 400, and 786 requests of 7,000
    /// programs on 61 nodes were rejected because no member that enforces limits was reached.
    std::uint32_t max_failed_relays = 3;
    /// A peer that reached a member within this time is kept when another member is silent.
    base::milliseconds relay_trust_time{500};
};

/// Invariant: a call is relayed only while less than a majority of the member's replica group
/// responds to this node, so the loss of a minority causes no load on peers. Every call that may be
/// relayed must be idempotent, because a member may receive it twice.
class relaying_caller final : public member_caller {
  public:
    /// Returns a peer to relay through; port 0 if none is known.
    using peer_source = std::function<net::endpoint()>;

    relaying_caller(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                    relaying_options options, peer_source choose_peer);
    ~relaying_caller() override;
    relaying_caller(const relaying_caller&) = delete;
    relaying_caller& operator=(const relaying_caller&) = delete;

    void set_view(const directory::storage_view& view);
    /// Drops the current relay, so that the next relayed call chooses a new peer.
    void forget_relay() { this->working_relay = {}; }
    [[nodiscard]] std::unique_ptr<net::peer_call_handle> call(
        const directory::storage_member& member, net::method_number method, std::string payload,
        base::milliseconds timeout, reply_handler on_reply) override;
    std::optional<base::milliseconds> silence_of(const base::node_id& member) const override;
    /// Returns whether less than a majority of some group's members responds.
    bool lacks_majority() const;
    bool lacks_majority(std::uint32_t group) const;
    std::uint64_t relayed_calls() const { return this->relayed; }

  private:
    class relayable_call;

    void on_call_sent(const base::node_id& node, base::instant at);
    void on_call_cancelled(const base::node_id& node, base::instant at);
    void on_reply_received(const base::node_id& node);
    /// Records the result of a relayed call. Returns whether the call should be retried through
    /// another peer.
    bool on_relay_result(const net::endpoint& peer, const absl::StatusOr<std::string>& reply);
    net::endpoint relay_peer();

    net::event_loop& loop;
    net::peer_rpc& rpc;
    const base::clock& clock;
    relaying_options options;
    peer_source choose_peer;
    struct voter {
        std::uint32_t group = 0;
        /// Time since which a call has been unanswered; empty if the last call got a reply.
        std::optional<base::instant> unanswered_since;
    };

    bool is_responsive(const voter& state, base::instant now) const;

    std::map<base::node_id, voter> voters;
    std::uint32_t groups = 1;
    /// The peer of the last successful relayed call; port 0 once it has failed.
    net::endpoint working_relay;
    base::instant relay_succeeded_at{};
    std::uint32_t failed_relays = 0;
    base::instant relay_backoff_until{};
    std::uint64_t relayed = 0;
};

}  // namespace pearbarrow::turns
