/// Conversion of back end errors between `application/problem+json` and `absl::Status`.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::backend {

/// An error that is sent as an HTTP response.
struct problem {
    int status = 500;
    std::string reason;
    std::string detail;
    base::executed was_executed = base::executed::no;
    /// Sent as `Retry-After` in whole seconds (rounded up) and as `retry_after_ms` in milliseconds.
    std::optional<base::milliseconds> retry_after;
};

net::http_response to_response(const problem& value);

/// Converts an HTTP error response to a status. `executed` is unknown unless the body contains it.
absl::Status to_status(const net::http_response& response, std::string_view step,
                       std::string_view peer);

/// Converts a transport error to a status. The reason is `unreachable` if nothing was sent,
/// otherwise `lost`.
absl::Status transport_error(const absl::Status& cause, std::string_view step,
                             std::string_view peer, std::string_view unreachable,
                             std::string_view lost);

}  // namespace pearbarrow::backend
