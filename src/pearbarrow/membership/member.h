/// A node of the fleet as known to other nodes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::membership {

/// Ordered by precedence: of two states with the same generation and incarnation, the greater one
/// wins.
enum class member_state : std::uint8_t { alive = 0, suspect = 1, dead = 2, left = 3 };

std::string_view to_string(member_state state);

/// Properties that a node announces. Changes are propagated to all nodes by gossip.
struct member_metadata {
    base::zone_name zone;
    base::region_name region;
    /// Advertised addresses.
    net::endpoint datagram;
    net::endpoint peer;
    net::endpoint caller;
    net::endpoint operators;
    /// Whether the node has a data folder and may store journal replicas.
    bool has_disk = false;
    /// Whether the node hands its work over and accepts no new work.
    bool draining = false;
    /// Weight of the node for the assignment of shards and cells, in percent.
    std::uint32_t weight = 100;

    auto operator<=>(const member_metadata&) const = default;
    MSGPACK_DEFINE(zone, region, datagram, peer, caller, operators, has_disk, draining, weight);
};

struct member {
    base::node_id id;
    /// Start time of the process in microseconds since the Unix epoch. A restart changes it.
    std::uint64_t generation = 0;
    /// Incremented by the node itself to refute a suspicion or to change its metadata.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    member_metadata metadata;
    /// Newest configuration version reported by the node.
    base::config_version config_version;

    /// Whether the node is alive or only suspected.
    bool is_live() const { return state <= member_state::suspect; }
    /// Whether the node is live and accepts new work.
    bool accepts_work() const { return is_live() && !metadata.draining; }
    auto operator<=>(const member&) const = default;
};

}  // namespace pearbarrow::membership
