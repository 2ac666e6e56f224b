/// What a forwarding fleet must know of its surroundings: routes, back ends, storage members, and
/// the zones that take nothing.
///
/// The parts come from an outside service through an adapter, and travel between nodes so that a
/// node which that service turns away still learns them. Plain data; `directory_state` holds the
/// rule by which a newer part replaces an older one.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::directory {

/// What may be done with a request whose first attempt failed.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Answered by server-sent events; runs at most once unless the route is resumable.
    stream,
};

/// A service that takes a share of a route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    MSGPACK_DEFINE(service, weight);
};

/// Where requests of a host and path prefix go, and under which bounds.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    std::vector<weighted_service> services;
    /// Largest number of back ends that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Longest time that a request is held. Milliseconds; 0: no bound of the route's own.
    std::uint32_t timeout_ms = 0;
    /// Time in which an answer is worth most. Milliseconds.
    std::uint32_t objective_ms = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The fleet keeps what was said, and puts it before each further turn.
    bool keeps_history = false;
    double retention_seconds = 0;
    bool resumable = false;
    /// Needs no key, also where the configuration has tenants.
    bool is_public = false;
    /// Regions whose back ends may run its requests, and whose machines may hold their texts;
    /// empty: any. Those of the tenant bind as well.
    std::vector<std::string> permitted_regions;

    MSGPACK_DEFINE(name, host, path_prefix, kind, services, attempts, timeout_ms, objective_ms,
                   priority, keeps_history, retention_seconds, resumable, is_public,
                   permitted_regions);
};

/// Whose requests come with one of its keys.
struct tenant {
    std::string name;
    /// SHA-256 of each key: a key itself is neither kept nor told to another node.
    std::vector<std::string> key_digests;
    /// Goes before the routes' priority, if there is one.
    bool has_priority = false;
    std::uint32_t priority = 0;
    /// Requests a second over the whole fleet; 0: no limit.
    double rate = 0;
    /// Requests that may come at once on top of the rate.
    double burst = 0;
    /// As those of a route.
    std::vector<std::string> permitted_regions;

    bool is_limited() const { return rate > 0; }
    MSGPACK_DEFINE(name, key_digests, has_priority, priority, rate, burst, permitted_regions);
};

/// What is the same for all back ends of a name.
struct service {
    std::string name;
    /// Connections that one back end takes from all callers together; 0: not told.
    std::uint32_t max_connections = 0;
    /// Tokens in one event of a stream; 0: not a model engine.
    std::uint32_t tokens_per_event = 0;
    /// How long a back end is cold after its start, as the operator knows it; 0: it is never cold.
    std::uint32_t cold_start_ms = 0;
    /// Requests a second that a cold back end bears from all callers together; 0: no bound.
    double cold_rate = 0;

    MSGPACK_DEFINE(name, max_connections, tokens_per_event, cold_start_ms, cold_rate);
};

/// Bounds on what callers may send, and how long they may take.
struct traffic_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 8 * 1024 * 1024;
    std::uint32_t header_timeout_ms = 30'000;
    std::uint32_t idle_timeout_ms = 30'000;

    MSGPACK_DEFINE(max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms);
};

struct configuration {
    /// Grows with each change.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    traffic_limits limits;
    /// Whether requests need a key; without it `tenants` is empty.
    bool has_tenants = false;
    std::vector<tenant> tenants;

    MSGPACK_DEFINE(version, routes, services, limits, has_tenants, tenants);
};

/// One run of a back end's process, from a start to its end.
struct backend_run {
    /// A back end that doesn't tell its start is named by its id alone.
    explicit backend_run(std::string id, std::uint64_t started_at = 0)
        : id(std::move(id)), started_at(started_at) {}

    std::string id;
    /// As `backend::started_at`. No order: the clock of a machine may be set back between two runs.
    std::uint64_t started_at = 0;

    bool operator==(const backend_run&) const = default;
};

/// One process that runs requests.
struct backend {
    /// Names the back end. A process may start again under the id that it had; `started_at` tells
    /// the two apart.
    std::string id;
    std::string service;
    net::endpoint address;
    std::string zone;
    /// Requests that it works on at once.
    std::uint32_t slots = 1;
    /// Takes no new requests.
    bool draining = false;
    /// When the process started, by its own clock. Unix time in milliseconds; 0: not told.
    std::uint64_t started_at = 0;
    /// How much longer it was cold when it wrote this. Milliseconds.
    std::uint32_t cold_left_ms = 0;
    /// Revision of the outside service at which the entry was written: of two entries of one id the
    /// newer one holds, whatever list it came in. 0: not told.
    std::uint64_t written_at = 0;

    backend_run run() const { return backend_run(id, started_at); }
    bool operator==(const backend&) const = default;
    MSGPACK_DEFINE(id, service, address, zone, slots, draining, started_at, cold_left_ms,
                   written_at);
};

/// The back ends known at one revision of the outside service.
struct backend_list {
    std::uint64_t revision = 0;
    std::map<std::string, backend> backends;

    MSGPACK_DEFINE(revision, backends);
};

/// What changed in the list of back ends from one revision to another.
struct backend_changes {
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    /// New, or changed since.
    std::vector<backend> present;
    std::vector<std::string> gone;
    /// Of the list that they change (`backend_index::digest`); 0: not told.
    std::uint64_t digest_before = 0;

    bool is_empty() const { return present.empty() && gone.empty(); }
    MSGPACK_DEFINE(after, revision, present, gone, digest_before);
};

/// Nodes that an operator wants to be emptied, as known at one revision of the outside service.
struct retirement_list {
    std::uint64_t revision = 0;
    std::vector<base::node_id> nodes;

    MSGPACK_DEFINE(revision, nodes);
};

/// A zone whose back ends take nothing new, since an operator wants them to be empty.
struct emptied_zone {
    std::string zone;
    /// Revision of the outside service at which the operator asked for it.
    std::uint64_t since = 0;

    bool operator==(const emptied_zone&) const = default;
    MSGPACK_DEFINE(zone, since);
};

/// All such zones, as known at one revision of the outside service.
struct emptied_zone_list {
    std::uint64_t revision = 0;
    std::vector<emptied_zone> zones;

    MSGPACK_DEFINE(revision, zones);
};

/// A node that keeps turns on its disk.
struct storage_member {
    base::node_id node;
    net::endpoint address;
    std::string zone;
    /// An operator has asked for the node to be emptied.
    bool retiring = false;
    /// The replica group that the member belongs to, from 0.
    std::uint32_t group = 0;

    bool operator==(const storage_member&) const = default;
    MSGPACK_DEFINE(node, address, zone, retiring, group);
};

/// The storage members by name, agreed on through the outside service, one change at a time.
struct storage_view {
    std::uint64_t revision = 0;
    std::vector<storage_member> members;
    /// Replica groups that the members are divided into; set once, when the view is formed.
    std::uint32_t groups = 1;

    /// Members of which most must confirm a write, where the view is that of one group.
    std::size_t majority() const { return members.size() / 2 + 1; }
    const storage_member* find(const base::node_id& node) const;

    MSGPACK_DEFINE(revision, members, groups);
};

/// Everything of the above that a node knows. An absent part is not known yet.
struct snapshot {
    std::optional<configuration> config;
    std::optional<backend_list> backends;
    std::optional<storage_view> storage;
    std::optional<retirement_list> retirements;
    std::optional<emptied_zone_list> emptied_zones;
};

}  // namespace pearbarrow::directory

MSGPACK_ADD_ENUM(pearbarrow::directory::request_kind);
