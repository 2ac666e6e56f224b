/// How the end of an HTTP response is recognized, and whether the response is whole.
///
/// Every reader of responses asks `verdict_of`. No other place decides whether a response is whole.
#pragma once

#include <string_view>

namespace pearbarrow::net {

/// Framing of a response body. `none`: the response has no body.
enum class body_framing { none, length, chunks, until_close };

/// State of the connection when a response ended.
enum class connection_end {
    /// The response ended before its connection.
    open,
    /// The peer ended the connection in an orderly way: by a FIN, with TLS after a closing alert.
    closed,
    /// Reset, network error, or a TLS connection that ended without a closing alert.
    lost,
    /// Nothing arrived within the time limit.
    timed_out,
    /// The bytes that arrived are no valid response.
    malformed,
    /// This process canceled the call.
    canceled,
};

struct response_end {
    body_framing framing = body_framing::none;
    connection_end connection = connection_end::open;
    /// Whether all bytes have arrived that a length or chunks announce.
    bool has_announced_bytes = false;
    /// Whether the body ended inside an event.
    bool is_inside_event = false;
};

enum class response_verdict { whole, body_incomplete, event_incomplete };

/// Returns whether the response is whole.
///
/// A body without a length and without chunks is whole if its connection ended in an orderly way
/// (RFC 9112, section 8). The kernel also ends the connections of a process that crashes in this
/// way, so such a response is broken off if it ends inside an event.
response_verdict verdict_of(const response_end& end);

std::string_view to_string(body_framing framing);
std::string_view to_string(connection_end connection);
std::string_view to_string(response_verdict verdict);

}  // namespace pearbarrow::net
