/// Metadata of a request from its headers: identity, deadline and program.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/forward/header_names.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::forward {

/// Metadata of one turn of an agent program.
struct turn_facts {
    std::string program;
    std::uint64_t token_budget = 0;
    std::uint64_t max_tokens = 0;
    /// Empty for a first turn and for a turn that carries its whole prompt.
    std::string previous_turn;
    /// False if the request states no budget and is reserved only to record its software.
    bool has_budget = true;
};

struct request_facts {
    std::string request_id;
    std::string host;
    std::optional<std::uint32_t> deadline_ms;
    std::string program;
    std::string session;
    /// Milliseconds until the deadline of the program.
    std::optional<std::uint32_t> program_left_ms;
    /// Number of key headers in the request. The key is valid only if there is exactly one.
    std::uint32_t key_count = 0;
    std::string key;
    /// Tenant to which the key belongs, or empty if there is none.
    std::string tenant;
    /// Priority of the tenant, which overrides that of the route.
    std::optional<std::uint32_t> tenant_priority;
    /// Whether the request rate of the tenant is limited.
    bool is_limited = false;
    /// Number of headers that name a stream to resume. The name is valid only if there is one.
    std::uint32_t resumed_stream_count = 0;
    /// Id of the request that received the first event of the stream to resume, or empty.
    std::string resumed_stream;
    /// Whether the caller states the last event that it received.
    bool has_last_event = false;
    /// Number of prompt tokens, or 0 if the request does not state it.
    std::uint64_t prompt_tokens = 0;
    /// Present if the request has a token budget.
    std::optional<turn_facts> turn;
};

/// Returns kInvalidArgument with the name of the header if a numeric header is malformed.
absl::StatusOr<request_facts> read_facts(const net::http_request& request,
                                         const header_names& names);

/// Returns the headers to forward to a back end: all except hop-by-hop headers, the key and those
/// that only edges may set. The request id is always forwarded.
net::http_headers forwarded_headers(const net::http_headers& headers, const header_names& names);

/// Returns whether a request names no stream to resume, or names one in a valid way.
bool is_valid_resumption(const request_facts& facts);

/// Returns the headers of a response to forward to the caller.
net::http_headers returned_headers(const net::http_headers& headers);

}  // namespace pearbarrow::forward
