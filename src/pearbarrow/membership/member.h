/// A node of the fleet as the others know it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::membership {

/// In rising order of strength: of two statements with the same generation and incarnation, the
/// stronger one holds.
enum class member_state : std::uint8_t { alive = 0, suspect = 1, dead = 2, left = 3 };

std::string_view to_string(member_state state);

/// What a node says of itself. Changes reach all nodes by gossip.
struct member_metadata {
    base::zone_name zone;
    base::region_name region;
    /// Advertised addresses.
    net::endpoint datagram;
    net::endpoint peer;
    net::endpoint caller;
    net::endpoint operators;
    /// It has a data folder and may hold journal replicas.
    bool has_disk = false;
    /// It hands its work over and takes no new work.
    bool draining = false;
    /// Share of shards and cells relative to other nodes, in percent.
    std::uint32_t weight = 100;

    auto operator<=>(const member_metadata&) const = default;
    MSGPACK_DEFINE(zone, region, datagram, peer, caller, operators, has_disk, draining, weight);
};

struct member {
    base::node_id id;
    /// Start of the process, as microseconds since the Unix epoch: a restart makes a new one.
    std::uint64_t generation = 0;
    /// Raised by the node itself, to refute a suspicion or to change its metadata.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    member_metadata metadata;
    /// Newest configuration version that the node has reported.
    base::config_version config_version;

    /// Alive or only suspected: still to be counted on.
    bool is_live() const { return state <= member_state::suspect; }
    /// Live and taking new work.
    bool takes_work() const { return is_live() && !metadata.draining; }
    auto operator<=>(const member&) const = default;
};

}  // namespace pearbarrow::membership
