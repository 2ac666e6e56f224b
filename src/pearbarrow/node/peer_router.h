/// Routes programs' requests to the owners of their shards, over peer calls.
///
/// Every request is safe to repeat: calls are numbered (or get an idempotency key here), programs
/// are opened under an id drawn before. So a request whose owner was lost is sent again, within its
/// time, and a stream goes on behind the last part that the caller has.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "pearbarrow/gateway/program_router.h"
#include "pearbarrow/node/configuration_view.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/retry_budget.h"

namespace pearbarrow::node {

class routed_request;

class peer_router final : public gateway::program_router {
  public:
    peer_router(node_context& context, membership_service& membership,
                const configuration_view& configuration, peer_health& health);
    ~peer_router() override;

    [[nodiscard]] std::unique_ptr<gateway::program_route> start(
        wire::program_request request, base::milliseconds timeout,
        gateway::program_route_callbacks callbacks) override;

    /// Turns requests away from nodes that are gone, after a change of the members.
    void update();
    /// Ends each open request with an error, since the node stops.
    void give_up();
    std::size_t open_requests() const { return open_.size(); }
    std::uint64_t retries() const { return retries_; }

  private:
    friend class routed_request;

    /// Where to send a request for the shard; none when no node of the region is known.
    std::optional<base::node_id> target_for(base::shard_id shard) const;
    /// What an answer told of the shard's owner.
    void owner_answered(base::shard_id shard, const base::node_id& owner);
    void owner_denied(base::shard_id shard, const base::node_id& asked, const std::string& hint);
    bool is_gone(const base::node_id& node) const;

    node_context& context_;
    membership_service& membership_;
    const configuration_view& configuration_;
    peer_health& health_;
    /// The last node that answered for a shard, or that was named as its owner.
    std::map<base::shard_id, base::node_id> known_owners_;
    std::map<std::uint64_t, std::weak_ptr<routed_request>> open_;
    std::uint64_t last_id_ = 0;
    std::uint64_t retries_ = 0;
    retry_budget budget_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
