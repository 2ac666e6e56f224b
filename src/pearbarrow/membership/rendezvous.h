/// Choice of nodes by weighted rendezvous hashing (highest random weight, Thaler & Ravishankar
/// 1998; logarithmic weights after Schindelhauer & Schomaker 2005).
///
/// All nodes that know the same members choose the same node, without talking. When a node joins or
/// leaves, only the keys that it gains or loses move.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/membership/member.h"

namespace pearbarrow::membership {

/// The score of a node for a key; the highest wins. `weight` must be positive.
double rendezvous_score(std::string_view key, const base::node_id& node, double weight);

/// The best `count` of `candidates` for a key, best first. Weight 0 is never chosen.
std::vector<base::node_id> rank(std::string_view key, const std::vector<member>& candidates,
                                std::size_t count);

/// The node that should own a shard: live, taking work, in the shard's region.
std::optional<base::node_id> preferred_owner(base::shard_id shard, const base::region_name& region,
                                             const std::vector<member>& members);

/// The node that should run the queue of a cell; in `region` if any node there takes work,
/// otherwise anywhere.
std::optional<base::node_id> preferred_dispatcher(const base::pool_id& pool, std::uint32_t cell,
                                                  const base::region_name& region,
                                                  const std::vector<member>& members);

/// Followers of the platform's service: the best `per_zone` live nodes of each zone, sorted by id.
std::vector<base::node_id> platform_followers(const std::vector<member>& members,
                                              std::size_t per_zone = 2);

/// Replicas for a new shard: nodes with disks that take work, in as many zones of the region as
/// there are, at most `count`; sorted best first.
std::vector<base::node_id> choose_replicas(base::shard_id shard, const base::region_name& region,
                                           const std::vector<member>& members,
                                           std::size_t count = 3);

}  // namespace pearbarrow::membership
