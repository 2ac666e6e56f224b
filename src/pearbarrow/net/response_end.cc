#include "pearbarrow/net/response_end.h"

namespace pearbarrow::net {

response_verdict verdict_of(const response_end& end) {
    const bool has_whole_body = end.framing == body_framing::until_close
                                    ? end.connection == connection_end::closed
                                    : end.has_announced_bytes;
    if (!has_whole_body) {
        return response_verdict::body_incomplete;
    }
    return end.is_inside_event ? response_verdict::event_incomplete : response_verdict::whole;
}

std::string_view to_string(body_framing framing) {
    switch (framing) {
        case body_framing::none:
            return "none";
        case body_framing::length:
            return "length";
        case body_framing::chunks:
            return "chunks";
        case body_framing::until_close:
            return "until_close";
    }
    return "unknown";
}

std::string_view to_string(connection_end connection) {
    switch (connection) {
        case connection_end::open:
            return "open";
        case connection_end::closed:
            return "closed";
        case connection_end::lost:
            return "lost";
        case connection_end::timed_out:
            return "timed_out";
        case connection_end::malformed:
            return "malformed";
        case connection_end::canceled:
            return "canceled";
    }
    return "unknown";
}

std::string_view to_string(response_verdict verdict) {
    switch (verdict) {
        case response_verdict::whole:
            return "whole";
        case response_verdict::body_incomplete:
            return "body_incomplete";
        case response_verdict::event_incomplete:
            return "event_incomplete";
    }
    return "unknown";
}

}  // namespace pearbarrow::net
