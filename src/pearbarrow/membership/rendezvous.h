/// Selection of nodes by weighted rendezvous hashing (highest random weight, Thaler & Ravishankar
/// 1998; logarithmic weights after Schindelhauer & Schomaker 2005).
///
/// All nodes with the same member table select the same node without communication. When a node
/// joins or leaves, only the keys that it gains or loses are reassigned.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/membership/member.h"

namespace pearbarrow::membership {

/// Returns the score of a node for a key. The highest score wins. `weight` must be positive.
double rendezvous_score(std::string_view key, const base::node_id& node, double weight);

/// Returns up to `count` of `candidates` for a key, highest score first. Nodes with weight 0 are
/// never selected.
std::vector<base::node_id> rank(std::string_view key, const std::vector<member>& candidates,
                                std::size_t count);

/// Selects the preferred owner of a shard: a live node in the region of the shard that accepts
/// work.
std::optional<base::node_id> preferred_owner(base::shard_id shard, const base::region_name& region,
                                             const std::vector<member>& members);

/// Selects the node that runs the queue of a cell: a node in `region` if any node there accepts
/// work, otherwise a node of any region.
std::optional<base::node_id> preferred_dispatcher(const base::pool_id& pool, std::uint32_t cell,
                                                  const base::region_name& region,
                                                  const std::vector<member>& members);

/// Selects the followers of the platform service: up to `per_zone` live nodes of each zone, sorted
/// by id.
std::vector<base::node_id> platform_followers(const std::vector<member>& members,
                                              std::size_t per_zone = 2);

/// Selects the replicas of a new shard: up to `count` nodes that have disks and accept work, each
/// in a different zone of the region, highest score first.
std::vector<base::node_id> choose_replicas(base::shard_id shard, const base::region_name& region,
                                           const std::vector<member>& members,
                                           std::size_t count = 3);

}  // namespace pearbarrow::membership
