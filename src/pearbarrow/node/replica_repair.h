/// Replaces lost replicas and lets replica sets grow, for the shards that this node owns.
///
/// Feeds `next_repair_step` from the members, the configuration and the shards' leaders, and
/// carries its steps out. The steps of all shards that are due go into one change of the shard map;
/// of two nodes that propose at once, compare-and-swap lets one through and the other looks again.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "pearbarrow/node/backoff.h"
#include "pearbarrow/node/change_budget.h"
#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/ownership_director.h"
#include "pearbarrow/node/replica_planner.h"

namespace pearbarrow::node {

class replica_repair {
  public:
    replica_repair(node_context& context, membership_service& membership,
                   configuration_service& configuration, ownership_director& ownership);
    ~replica_repair();
    replica_repair(const replica_repair&) = delete;
    replica_repair& operator=(const replica_repair&) = delete;

    void start();

  private:
    /// A shard on a node.
    struct place {
        base::shard_id shard;
        base::node_id node;
        auto operator<=>(const place&) const = default;
    };
    struct identity {
        wire::journal_member member;
        base::instant learnt;
    };

    void tick();
    void watch_nodes();
    std::vector<repair_node> nodes_of(const config::shard_assignment& assignment) const;
    bool is_gone(const base::node_id& node) const;
    shard_repair_view view_of(const config::shard_assignment& assignment,
                              const journal_link& journal) const;
    static void keep_learner(const config::shard_assignment& assignment, journal_link& journal);
    void carry_out(const config::shard_assignment& assignment, const repair_step& step,
                   std::vector<config::shard_assignment>& changes);
    void ask(const place& question);
    void reset(base::shard_id shard, const wire::journal_member& member);
    void propose(const std::vector<config::shard_assignment>& changes);
    void proposed(const absl::StatusOr<base::config_version>& version);

    node_context& context_;
    membership_service& membership_;
    configuration_service& configuration_;
    ownership_director& ownership_;
    base::instant started_;
    /// Nodes that can hold replicas now, and since when the others can't.
    std::set<base::node_id> usable_;
    std::map<base::node_id, base::instant> unusable_since_;
    std::map<place, identity> identities_;
    std::map<place, std::unique_ptr<net::peer_call_handle>> calls_;
    change_budget budget_;
    backoff retry_;
    base::instant not_before_{};
    bool proposing_ = false;
    std::unique_ptr<net::timer_handle> ticker_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
