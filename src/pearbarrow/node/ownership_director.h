/// Decides which shards this node owns, and hosts those.
///
/// The preferred owner of a shard is the first in rendezvous order among the nodes of the shard's
/// region that are alive and not draining. A node that is preferred campaigns; an owner that is no
/// longer preferred serves on until the preferred node's ballot fences it, so a shard is without an
/// owner only while its journal is read. Nodes that disagree fence each other; the journal keeps
/// every answer right. See docs/design/ownership.md.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "pearbarrow/node/backoff.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/peer_prober.h"
#include "pearbarrow/node/shard_host.h"

namespace pearbarrow::node {

class ownership_director {
  public:
    ownership_director(shard_services& services, peer_health& health, peer_prober& prober);
    ~ownership_director();
    ownership_director(const ownership_director&) = delete;
    ownership_director& operator=(const ownership_director&) = delete;

    /// Registers the peer methods `program_request`, `ownership_offer`, `ownership_locate`
    /// and `programs_ended`.
    void register_methods();
    void start();
    /// Takes up shards after a change of the members or of the configuration.
    void update();
    void configuration_changed();

    /// The node that should own the shard, as far as this node knows.
    std::optional<base::node_id> preferred_owner(base::shard_id shard) const;
    /// True when each shard that this node should own is served.
    bool settled() const;
    /// True when this node owns nothing any more.
    bool idle() const { return hosts_.empty(); }
    /// Offers every owned shard to the node that should own it now; for a planned stop. A shard
    /// that nobody can take is given up once it is idle.
    void hand_over();

    const std::map<base::shard_id, std::unique_ptr<shard_host>>& hosts() const { return hosts_; }

  private:
    struct schedule {
        backoff retry{base::milliseconds(50), base::milliseconds(2'000)};
        base::instant not_before{};
    };

    std::optional<base::node_id> preferred_without(base::shard_id shard,
                                                   const base::node_id& excluded) const;
    void serve_request(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void take_offer(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void locate(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void tell_ended(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void consider(base::shard_id shard);
    void campaign(base::shard_id shard);
    void lost(base::shard_id shard);
    void send_offer(const base::node_id& node, std::vector<base::shard_id> shards);
    void tick();
    void drop_idle_hosts();

    shard_services& services_;
    peer_health& health_;
    peer_prober& prober_;
    std::map<base::shard_id, std::unique_ptr<shard_host>> hosts_;
    std::map<base::shard_id, schedule> schedules_;
    std::set<base::shard_id> offered_;
    std::unique_ptr<net::timer_handle> ticker_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
