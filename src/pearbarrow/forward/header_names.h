/// Names of the headers that carry request metadata between callers, edges and back
/// ends.
///
/// The defaults are the names of this project. An adapter replaces them with those of its
/// environment.
#pragma once

#include <string>
#include <vector>

namespace pearbarrow::forward {

struct header_names {
    std::string request_id = "X-Request-Id";
    /// Milliseconds for which the caller will wait.
    std::string deadline = "X-Request-Deadline-Ms";
    /// Id of the only back end that may execute the request.
    std::string target_backend = "X-Target-Backend";
    /// On a response to a health check: id of the back end.
    std::string responding_backend = "X-Backend-Id";
    /// On a response: the back end did not execute the request.
    std::string not_executed = "X-Not-Executed";
    /// On a response: signature with which the back end proves that the body is its own.
    std::string signature = "X-Response-Signature";
    std::string program = "X-Program-Id";
    std::string session = "X-Session-Id";
    /// Milliseconds until the deadline of the program.
    std::string program_deadline = "X-Program-Deadline-Ms";
    /// Maximum number of tokens that all turns of the program may generate.
    std::string token_budget = "X-Token-Budget";
    /// Number of prompt tokens and maximum number of response tokens, separated by a comma.
    std::string token_usage = "X-Token-Usage";
    /// The turn that this one continues.
    std::string previous_turn = "X-Previous-Turn";
    /// API key of the caller. It is never forwarded.
    std::string key = "X-Api-Key";
    /// On a request to a back end: name of the tenant to which the API key belongs.
    std::string tenant = "X-Tenant";
    /// On a request to an engine: priority of the request, 0 is first.
    std::string engine_priority = "X-Engine-Priority";
    /// On a request that resumes a stream: id of the request that received its first event.
    std::string resumed_stream = "X-Resumes";
    /// On a request that resumes a stream: id of the last event that the caller received.
    std::string last_event = "Last-Event-Id";
    /// Further headers that only edges may set on requests to back ends. Those of
    /// callers are dropped, because a caller could use them to continue from the memory of another
    /// caller or to occupy space at an engine.
    std::vector<std::string> reserved;
};

}  // namespace pearbarrow::forward
