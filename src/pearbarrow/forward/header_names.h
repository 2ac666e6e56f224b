/// The names of the headers through which callers and back ends say what forwarding must know.
///
/// The product's own names are the defaults; an adapter gives those of its surroundings.
#pragma once

#include <string>
#include <vector>

namespace pearbarrow::forward {

struct header_names {
    std::string request_id = "X-Request-Id";
    /// Milliseconds that the caller will wait.
    std::string deadline = "X-Request-Deadline-Ms";
    /// Id of the only back end that may run the request.
    std::string target_backend = "X-Target-Backend";
    /// On an answer: the back end did not run the request.
    std::string not_executed = "X-Not-Executed";
    /// On an answer: the back end's proof that the body is its own.
    std::string signature = "X-Response-Signature";
    std::string program = "X-Program-Id";
    std::string session = "X-Session-Id";
    /// Milliseconds until the program should be over.
    std::string program_deadline = "X-Program-Deadline-Ms";
    /// Tokens that all turns of the program may generate.
    std::string token_budget = "X-Token-Budget";
    /// Tokens of the prompt, a comma, the most tokens of the answer.
    std::string token_usage = "X-Token-Usage";
    /// The turn that this one goes on from.
    std::string previous_turn = "X-Previous-Turn";
    /// The caller's API key. Never passed on.
    std::string key = "X-Api-Key";
    /// To a back end: the name of the tenant whose key the request came with.
    std::string tenant = "X-Tenant";
    /// To an engine: how urgent the request is; 0 first.
    std::string engine_priority = "X-Engine-Priority";
    /// Further headers to back ends that only forwarding nodes may set: a caller's are dropped.
    /// With them it could continue from another caller's memory, or take room of an engine.
    std::vector<std::string> reserved;
};

}  // namespace pearbarrow::forward
