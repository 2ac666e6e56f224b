/// What nodes tell each other about requests under which back ends have ended.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace pearbarrow::suspects {

/// What a node knows of the end of a back end under an attempt. The first two prove the end.
enum class end_evidence : std::uint8_t {
    /// After the connection of an attempt was lost, a new connection was refused.
    connection_refused = 0,
    /// Another process responded at the address, or the directory listed a later incarnation.
    replaced = 1,
    /// The request was sent, and no result is known.
    sent = 2,
    /// The connection of the attempt was lost, and a process still listened.
    connection_lost = 3,
    /// The back end sent nothing, and did not answer when it was asked.
    silent = 4,
    /// A node that may have had an attempt did not confirm a report.
    node_unreachable = 5,
    /// The back end responded with an error, and has not shown since that it goes on.
    error_response = 6,
    /// The storage members hold a reservation for the attempt, and know no result.
    reserved = 7,
};

std::string_view to_string(end_evidence evidence);
bool is_proof(end_evidence evidence);
/// Whether the attempt may still be under way.
bool is_open(end_evidence evidence);

/// An attempt under which a back end has ended, or may have ended.
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
    /// The back end went on, the request was completed later, or an operator released it.
    bool is_excused = false;
    /// Time since the request was sent to the back end. Milliseconds; 0: unknown.
    std::uint64_t sent_age_ms = 0;

    MSGPACK_DEFINE(backend, started_at, request, node, evidence, age_ms, is_excused, sent_age_ms);
};

/// A request under which back ends have ended, or may have ended.
struct suspect {
    /// See `request_fingerprint`.
    std::uint64_t scope = 0;
    std::string digest;
    std::string tenant;
    std::string route;
    std::string service;
    /// Proved ends.
    std::vector<suspected_end> ends;
    /// Back end that the request was last sent to while it was a suspect; empty if there is none.
    std::string trial;
    /// Time since then when the message was sent. Milliseconds.
    std::uint64_t trial_age_ms = 0;
    /// Attempts without proof. Separate from `ends`, which older builds count without a look at the
    /// evidence.
    std::vector<suspected_end> unproved;
    /// Whether storage members record each attempt before it is sent. Older nodes omit it.
    bool is_reserved = false;

    MSGPACK_DEFINE(scope, digest, tenant, route, service, ends, trial, trial_age_ms, unproved,
                   is_reserved);
};

/// Sent to all nodes, and in reply to a node that has started.
struct suspect_report {
    std::vector<suspect> suspects;
    /// Whether the sender knows what its peers knew when it started, or has run for long.
    bool is_current = true;

    MSGPACK_DEFINE(suspects, is_current);
};

/// Returns the attempts of a suspect as log fields.
nlohmann::json to_json(const suspect& known);

}  // namespace pearbarrow::suspects

MSGPACK_ADD_ENUM(pearbarrow::suspects::end_evidence);
