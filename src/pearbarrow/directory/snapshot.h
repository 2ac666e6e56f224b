/// The state that a forwarding fleet needs to know: routes, back ends, storage members and emptied
/// zones.
///
/// The parts come from a directory service through an adapter. Nodes also send them to each other,
/// so that a node that the service rejects still receives them. The types are plain data;
/// `directory_state` decides when a newer part replaces an older one.
#pragma once

#include <compare>
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

/// Whether a request may be repeated after its first attempt failed.
enum class request_kind : std::uint8_t {
    /// The request may run more than once.
    idempotent,
    /// The request runs at most once.
    non_idempotent,
    /// The response is a stream of server-sent events. The request runs at most once unless the
    /// route is resumable.
    stream,
};

/// A service that receives a share of the requests of a route.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    MSGPACK_DEFINE(service, weight);
};

/// The target services and limits for the requests of a host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    std::vector<weighted_service> services;
    /// Maximum number of back ends that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Timeout of a request. Milliseconds; 0: the route sets no timeout.
    std::uint32_t timeout_ms = 0;
    /// Target latency of a response. Milliseconds.
    std::uint32_t objective_ms = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The fleet stores the conversation history and prepends it to each further turn.
    bool keeps_history = false;
    double retention_seconds = 0;
    bool resumable = false;
    /// Requests need no key, even if the configuration has tenants.
    bool is_public = false;
    /// Regions whose back ends may run the requests and whose machines may store their texts;
    /// empty: any. The permitted regions of the tenant apply as well.
    std::vector<std::string> permitted_regions;

    MSGPACK_DEFINE(name, host, path_prefix, kind, services, attempts, timeout_ms, objective_ms,
                   priority, keeps_history, retention_seconds, resumable, is_public,
                   permitted_regions);
};

/// A customer, identified by the key of its requests.
struct tenant {
    std::string name;
    /// SHA-256 of each key. The keys themselves are neither stored nor sent to other nodes.
    std::vector<std::string> key_digests;
    /// The priority of the tenant overrides that of the route if this is set.
    bool has_priority = false;
    std::uint32_t priority = 0;
    /// Requests per second over the whole fleet; 0: no limit.
    double rate = 0;
    /// Requests that may arrive at once in addition to the rate.
    double burst = 0;
    /// Same as `route::permitted_regions`.
    std::vector<std::string> permitted_regions;

    bool is_limited() const { return rate > 0; }
    MSGPACK_DEFINE(name, key_digests, has_priority, priority, rate, burst, permitted_regions);
};

/// Properties shared by all back ends of a service.
struct service {
    std::string name;
    /// Connections that one back end accepts from all callers together; 0: unknown.
    std::uint32_t max_connections = 0;
    /// Tokens in one event of a stream; 0: not a model engine.
    std::uint32_t tokens_per_event = 0;
    /// Cold time of a back end after its start, as configured by the operator; 0: it is never cold.
    std::uint32_t cold_start_ms = 0;
    /// Requests per second that a cold back end accepts from all callers together; 0: no limit.
    double cold_rate = 0;
    /// Path at which a back end responds to a GET with its id; empty: it cannot be asked.
    std::string health_path;

    MSGPACK_DEFINE(name, max_connections, tokens_per_event, cold_start_ms, cold_rate, health_path);
};

/// Limits on the size and duration of requests.
struct traffic_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 8 * 1024 * 1024;
    std::uint32_t header_timeout_ms = 30'000;
    std::uint32_t idle_timeout_ms = 30'000;

    MSGPACK_DEFINE(max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms);
};

struct configuration {
    /// Increases with each change.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    traffic_limits limits;
    /// Whether requests need a key. If not, `tenants` is empty.
    bool has_tenants = false;
    std::vector<tenant> tenants;

    MSGPACK_DEFINE(version, routes, services, limits, has_tenants, tenants);
};

/// One incarnation of a back end: the lifetime of one process.
struct backend_incarnation {
    /// A back end that does not report its start time is identified by its id alone.
    explicit backend_incarnation(std::string id, std::uint64_t started_at = 0)
        : id(std::move(id)), started_at(started_at) {}

    std::string id;
    /// Same as `backend::started_at`. The values have no order: the clock of a machine may be set
    /// back between two incarnations.
    std::uint64_t started_at = 0;

    bool operator==(const backend_incarnation&) const = default;
};

/// Version of the software of a back end, not of the weights that it serves. It has no order.
struct software_version {
    /// Empty if the back end states no version.
    std::string name;
    /// False if a node of an older build has relayed the entry, which drops the version.
    bool is_known = false;

    auto operator<=>(const software_version&) const = default;
    MSGPACK_DEFINE(name, is_known);
};

/// A process that executes requests.
struct backend {
    /// Identifies the back end. A restarted process may keep its id; `started_at` distinguishes the
    /// incarnations.
    std::string id;
    std::string service;
    net::endpoint address;
    std::string zone;
    /// Requests that it executes concurrently.
    std::uint32_t slots = 1;
    /// The back end accepts no new requests.
    bool draining = false;
    /// Start time of the process by its own clock. Unix time in milliseconds; 0: unknown.
    std::uint64_t started_at = 0;
    /// Remaining cold time when the entry was written. Milliseconds.
    std::uint32_t cold_left_ms = 0;
    /// Revision of the directory service at which the entry was written. Of two entries of one id
    /// the newer one wins, whichever list it came in. 0: unknown.
    std::uint64_t written_at = 0;
    /// One incarnation keeps its version.
    software_version version;

    backend_incarnation incarnation() const { return backend_incarnation(id, started_at); }
    bool operator==(const backend&) const = default;
    MSGPACK_DEFINE(id, service, address, zone, slots, draining, started_at, cold_left_ms,
                   written_at, version);
};

/// The back ends known at one revision of the directory service.
struct backend_list {
    std::uint64_t revision = 0;
    std::map<std::string, backend> backends;

    MSGPACK_DEFINE(revision, backends);
};

/// Changes of the list of back ends from one revision to another.
struct backend_changes {
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    /// Entries that are new or changed.
    std::vector<backend> present;
    std::vector<std::string> gone;
    /// Digest of the list that the changes apply to (`backend_index::digest`); 0: unknown.
    std::uint64_t digest_before = 0;

    bool is_empty() const { return present.empty() && gone.empty(); }
    MSGPACK_DEFINE(after, revision, present, gone, digest_before);
};

/// Nodes that an operator wants to empty, as known at one revision of the directory service.
struct retirement_list {
    std::uint64_t revision = 0;
    std::vector<base::node_id> nodes;

    MSGPACK_DEFINE(revision, nodes);
};

/// A zone whose back ends receive no new requests because an operator wants to empty it.
struct emptied_zone {
    std::string zone;
    /// Revision of the directory service at which the operator requested it.
    std::uint64_t since = 0;

    bool operator==(const emptied_zone&) const = default;
    MSGPACK_DEFINE(zone, since);
};

/// All emptied zones, as known at one revision of the directory service.
struct emptied_zone_list {
    std::uint64_t revision = 0;
    std::vector<emptied_zone> zones;

    MSGPACK_DEFINE(revision, zones);
};

/// A node that stores turns on its disk.
struct storage_member {
    base::node_id node;
    net::endpoint address;
    std::string zone;
    /// The member is leaving and has no vote: an operator has requested to empty the node, or it
    /// has not replied for long.
    bool retiring = false;
    /// The replica group of the member, counted from 0.
    std::uint32_t group = 0;

    bool operator==(const storage_member&) const = default;
    MSGPACK_DEFINE(node, address, zone, retiring, group);
};

/// The storage members by name. The directory service is used to agree on the view, one change at a
/// time.
struct storage_view {
    std::uint64_t revision = 0;
    std::vector<storage_member> members;
    /// Number of replica groups. It is set once, when the view is formed.
    std::uint32_t groups = 1;

    /// Number of members that must confirm a write if the view is that of one group.
    std::size_t majority() const { return members.size() / 2 + 1; }
    const storage_member* find(const base::node_id& node) const;

    MSGPACK_DEFINE(revision, members, groups);
};

/// All parts that a node knows. An absent part is not known yet.
struct snapshot {
    std::optional<configuration> config;
    std::optional<backend_list> backends;
    std::optional<storage_view> storage;
    std::optional<retirement_list> retirements;
    std::optional<emptied_zone_list> emptied_zones;
};

}  // namespace pearbarrow::directory

MSGPACK_ADD_ENUM(pearbarrow::directory::request_kind);
