/// What a request's headers say about its identity, its time and its program.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/forward/header_names.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::forward {

/// Facts of a turn of an agent program.
struct turn_facts {
    std::string program;
    std::uint64_t token_budget = 0;
    std::uint64_t most_tokens = 0;
    /// Empty: the first turn, or one that brings its whole prompt.
    std::string previous_turn;
};

struct request_facts {
    std::string request_id;
    std::string host;
    std::optional<std::uint32_t> deadline_ms;
    std::string program;
    std::string session;
    /// Milliseconds until the whole program should be over.
    std::optional<std::uint32_t> program_left_ms;
    /// Key headers of the request; the key itself counts only where there is one of them.
    std::uint32_t key_count = 0;
    std::string key;
    /// The tenant that the key was found to belong to; empty: none.
    std::string tenant;
    /// The tenant's own priority, which goes before the route's.
    std::optional<std::uint32_t> tenant_priority;
    /// The tenant may send only so many requests a second.
    bool is_limited = false;
    /// Tokens of the prompt, where the request says them; else 0.
    std::uint64_t prompt_tokens = 0;
    /// Present when the request has a token budget.
    std::optional<turn_facts> turn;
};

/// Fails with kInvalidArgument, naming the header, when one that must be a number is none.
absl::StatusOr<request_facts> read_facts(const net::http_request& request,
                                         const header_names& names);

/// The headers that are passed on to a back end: all but those that concern one connection, the
/// key, and those that only forwarding nodes set. The request's id is passed on in any case.
net::http_headers passed_on(const net::http_headers& headers, const header_names& names);

/// The headers of an answer that are passed on to the caller.
net::http_headers passed_back(const net::http_headers& headers);

}  // namespace pearbarrow::forward
