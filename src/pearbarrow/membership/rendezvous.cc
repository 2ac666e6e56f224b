#include "pearbarrow/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::membership {
namespace {

/// Converts a hash to a number in (0, 1) with 53 bits. The result is never 0 and never 1.
double unit_interval(std::uint64_t hash) {
    return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
}

using member_pointers = std::vector<const member*>;

template <typename Predicate>
member_pointers select_members(const std::vector<member>& members, Predicate predicate) {
    member_pointers result;
    for (const member& each : members) {
        if (predicate(each)) {
            result.push_back(&each);
        }
    }
    return result;
}

struct scored_member {
    double score;
    const member* value;
};

bool ranks_before(const scored_member& left, const scored_member& right) {
    return left.score != right.score ? left.score > right.score : left.value->id < right.value->id;
}

std::vector<base::node_id> rank_pointers(std::string_view key, const member_pointers& candidates,
                                         std::size_t count) {
    std::vector<scored_member> all;
    for (const member* each : candidates) {
        if (each->metadata.weight > 0) {
            all.push_back({rendezvous_score(key, each->id, each->metadata.weight), each});
        }
    }
    const std::size_t selected_count = std::min(count, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<long>(selected_count), all.end(),
                      ranks_before);
    std::vector<base::node_id> result;
    for (std::size_t index = 0; index < selected_count; ++index) {
        result.push_back(all[index].value->id);
    }
    return result;
}

std::optional<base::node_id> best(std::string_view key, const member_pointers& candidates) {
    const std::vector<base::node_id> ranked = rank_pointers(key, candidates, 1);
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

std::string shard_key(base::shard_id shard) {
    return fmt::format("shard/{}", shard.value());
}

}  // namespace

double rendezvous_score(std::string_view key, const base::node_id& node, double weight) {
    const std::uint64_t hash = base::stable_hash(key, base::stable_hash(node.value()));
    return -weight / std::log(unit_interval(hash));
}

std::vector<base::node_id> rank(std::string_view key, const std::vector<member>& candidates,
                                std::size_t count) {
    return rank_pointers(key, select_members(candidates, [](const member&) { return true; }),
                         count);
}

std::optional<base::node_id> preferred_owner(base::shard_id shard, const base::region_name& region,
                                             const std::vector<member>& members) {
    return best(shard_key(shard), select_members(members, [&](const member& each) {
                    return each.accepts_work() && each.metadata.region == region;
                }));
}

std::optional<base::node_id> preferred_dispatcher(const base::pool_id& pool, std::uint32_t cell,
                                                  const base::region_name& region,
                                                  const std::vector<member>& members) {
    const std::string key = fmt::format("cell/{}/{}", pool.value(), cell);
    const member_pointers regional = select_members(members, [&](const member& each) {
        return each.accepts_work() && each.metadata.region == region;
    });
    if (!regional.empty()) {
        return best(key, regional);
    }
    return best(key,
                select_members(members, [](const member& each) { return each.accepts_work(); }));
}

std::vector<base::node_id> platform_followers(const std::vector<member>& members,
                                              std::size_t per_zone) {
    std::map<std::pair<base::region_name, base::zone_name>, member_pointers> zones;
    for (const member& each : members) {
        if (each.is_live()) {
            zones[{each.metadata.region, each.metadata.zone}].push_back(&each);
        }
    }
    std::vector<base::node_id> result;
    for (const auto& [zone, candidates] : zones) {
        for (base::node_id& node : rank_pointers("platform-follower", candidates, per_zone)) {
            result.push_back(std::move(node));
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<base::node_id> choose_replicas(base::shard_id shard, const base::region_name& region,
                                           const std::vector<member>& members, std::size_t count) {
    const member_pointers candidates = select_members(members, [&](const member& each) {
        return each.accepts_work() && each.metadata.has_disk && each.metadata.region == region;
    });
    std::map<base::node_id, base::zone_name> zone_of;
    for (const member* each : candidates) {
        zone_of[each->id] = each->metadata.zone;
    }
    std::vector<base::node_id> result;
    std::vector<base::zone_name> used;
    for (const base::node_id& node :
         rank_pointers(shard_key(shard), candidates, candidates.size())) {
        const base::zone_name& zone = zone_of[node];
        if (result.size() < count && std::find(used.begin(), used.end(), zone) == used.end()) {
            used.push_back(zone);
            result.push_back(node);
        }
    }
    return result;
}

}  // namespace pearbarrow::membership
