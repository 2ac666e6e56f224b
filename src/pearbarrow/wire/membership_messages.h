/// Membership datagrams between nodes: probes, acknowledgements, gossip and synchronisation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

/// Version of the datagram layout. Datagrams with another version are dropped.
inline constexpr std::uint8_t membership_protocol = 1;

enum class swim_message_kind : std::uint8_t {
    /// Requests an `ack` with the same sequence.
    ping = 1,
    ack = 2,
    /// Requests that the receiver pings `target` and relays the `ack`.
    ping_request = 3,
    /// Carries gossip only.
    gossip = 4,
    /// Hashes of the sender's member table. The reply is `sync_members` for buckets that differ.
    sync_digest = 5,
    /// A part of a member table.
    sync_members = 6,
};

/// Compact form of an endpoint.
struct packed_endpoint {
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(address, port);
};

/// A node's statement about itself, which other nodes relay. Endpoints with an empty address have
/// the address of `datagram`.
struct member_record {
    base::node_id id;
    std::uint64_t generation = 0;
    std::uint64_t incarnation = 0;
    /// A `membership::member_state`.
    std::uint8_t state = 0;
    base::zone_name zone;
    base::region_name region;
    packed_endpoint datagram;
    packed_endpoint peer;
    packed_endpoint caller;
    packed_endpoint operators;
    /// Bit 0: has a disk. Bit 1: draining.
    std::uint8_t flags = 0;
    std::uint32_t weight = 100;
    base::config_version config_version;
    MSGPACK_DEFINE(id, generation, incarnation, state, zone, region, datagram, peer, caller,
                   operators, flags, weight, config_version);
};

/// A statement about another node: that it is suspect, is dead, or has left.
struct member_accusation {
    base::node_id id;
    std::uint64_t generation = 0;
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    /// The node that made the statement.
    base::node_id accuser;
    MSGPACK_DEFINE(id, generation, incarnation, state, accuser);
};

/// The active configuration version of a node, which a hash of its id and generation identifies.
struct config_report {
    std::uint64_t member_hash = 0;
    base::config_version version;
    MSGPACK_DEFINE(member_hash, version);
};

struct swim_datagram {
    std::uint8_t protocol = membership_protocol;
    /// Hash of the cluster name. Datagrams of other clusters are dropped.
    std::uint32_t cluster = 0;
    swim_message_kind kind = swim_message_kind::gossip;
    std::uint64_t sequence = 0;
    base::node_id from;
    std::uint64_t from_generation = 0;
    /// The sender's configuration version.
    base::config_version config_version;
    /// `ping`: the receiver, or empty for any node. `ping_request`: the node to ping.
    base::node_id target;
    std::vector<member_record> records;
    std::vector<member_accusation> accusations;
    std::vector<config_report> reports;
    /// `sync_digest`: a hash for each bucket of the member table.
    std::vector<std::uint64_t> digests;
    /// `sync_digest`: whether the receiver should reply with its own digest if they differ.
    bool wants_reply = false;
    MSGPACK_DEFINE(protocol, cluster, kind, sequence, from, from_generation, config_version, target,
                   records, accusations, reports, digests, wants_reply);
};

}  // namespace pearbarrow::wire

MSGPACK_ADD_ENUM(pearbarrow::wire::swim_message_kind);
