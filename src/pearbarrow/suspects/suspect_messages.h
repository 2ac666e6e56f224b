/// What nodes tell each other about requests under which back ends have ended.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace pearbarrow::suspects {

/// How a node found out that the process of a back end has ended.
enum class end_evidence : std::uint8_t {
    /// After the connection of an attempt was lost, a new connection was refused.
    connection_refused,
    /// After the connection of an attempt was lost, another process responded at the address, or
    /// the directory listed a later incarnation.
    replaced,
};

std::string_view to_string(end_evidence evidence);

/// A back end that ended while it had the request.
struct suspected_end {
    /// Id and start time of the back end (`directory::backend_incarnation`).
    std::string backend;
    std::uint64_t started_at = 0;
    /// Id of the request of this attempt.
    std::string request;
    /// Node that observed the end.
    std::string node;
    end_evidence evidence = end_evidence::connection_refused;
    /// Time since the end when the message was sent. Milliseconds.
    std::uint64_t age_ms = 0;
    /// The request did not cause the end: it was completed later, or an operator released it.
    bool is_excused = false;

    MSGPACK_DEFINE(backend, started_at, request, node, evidence, age_ms, is_excused);
};

/// A request under which back ends have ended, and these ends.
struct suspect {
    /// See `request_fingerprint`.
    std::uint64_t scope = 0;
    std::string digest;
    std::string tenant;
    std::string route;
    std::string service;
    std::vector<suspected_end> ends;
    /// Back end that the request was last sent to while it was a suspect; empty if there is none.
    std::string trial;
    /// Time since then when the message was sent. Milliseconds.
    std::uint64_t trial_age_ms = 0;

    MSGPACK_DEFINE(scope, digest, tenant, route, service, ends, trial, trial_age_ms);
};

/// Sent to all nodes, and in reply to a node that has started.
struct suspect_report {
    std::vector<suspect> suspects;
    /// Whether the sender knows what its peers knew when it started.
    bool is_current = true;

    MSGPACK_DEFINE(suspects, is_current);
};

/// Returns the ends of a suspect as log fields.
nlohmann::json to_json(const suspect& known);

}  // namespace pearbarrow::suspects

MSGPACK_ADD_ENUM(pearbarrow::suspects::end_evidence);
