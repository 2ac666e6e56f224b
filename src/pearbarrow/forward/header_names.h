/// The names of the headers through which callers and back ends say what forwarding must know.
///
/// The product's own names are the defaults; an adapter gives those of its surroundings.
#pragma once

#include <string>

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
};

}  // namespace pearbarrow::forward
