/// Datagrams between nodes for membership: probes, their answers, gossip and synchronisation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"

namespace pearbarrow::wire {

/// Version of the datagram's layout. Others are dropped.
inline constexpr std::uint8_t membership_protocol = 1;

enum class swim_message_kind : std::uint8_t {
    /// Asks for an `ack` with the same sequence.
    ping = 1,
    ack = 2,
    /// Asks the receiver to ping `target` and to relay the answer.
    ping_request = 3,
    /// Carries gossip only.
    gossip = 4,
    /// Hashes of the sender's member table; answered by `sync_members` where they differ.
    sync_digest = 5,
    /// A part of a member table.
    sync_members = 6,
};

/// Text of an endpoint, or of several, in as few bytes as possible.
struct packed_endpoint {
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(address, port);
};

/// A node's statement about itself, as passed on by others. Endpoints with an empty address have
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

/// A statement about another node: it is suspect, dead, or has left.
struct member_accusation {
    base::node_id id;
    std::uint64_t generation = 0;
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;
    /// Who found it so.
    base::node_id accuser;
    MSGPACK_DEFINE(id, generation, incarnation, state, accuser);
};

/// The configuration version in force on a node, named by a hash of its id and generation.
struct config_report {
    std::uint64_t member_hash = 0;
    base::config_version version;
    MSGPACK_DEFINE(member_hash, version);
};

struct swim_datagram {
    std::uint8_t protocol = membership_protocol;
    /// Hash of the cluster's name: a datagram of another cluster is dropped.
    std::uint32_t cluster = 0;
    swim_message_kind kind = swim_message_kind::gossip;
    std::uint64_t sequence = 0;
    base::node_id from;
    std::uint64_t from_generation = 0;
    /// The sender's configuration version.
    base::config_version config_version;
    /// `ping`: whom it is for (empty: anyone). `ping_request`: whom to ping.
    base::node_id target;
    std::vector<member_record> records;
    std::vector<member_accusation> accusations;
    std::vector<config_report> reports;
    /// `sync_digest`: one hash for each bucket of the table.
    std::vector<std::uint64_t> digests;
    /// `sync_digest`: the receiver should answer with its own where they differ.
    bool wants_answer = false;
    MSGPACK_DEFINE(protocol, cluster, kind, sequence, from, from_generation, config_version, target,
                   records, accusations, reports, digests, wants_answer);
};

}  // namespace pearbarrow::wire

MSGPACK_ADD_ENUM(pearbarrow::wire::swim_message_kind);
