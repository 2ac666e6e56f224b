/// Errors of back ends on the wire: `application/problem+json` to and from `absl::Status`.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::backend {

/// A refusal as an HTTP response.
struct problem {
    int status = 500;
    std::string reason;
    std::string detail;
    base::executed was_executed = base::executed::no;
    /// Sent as `Retry-After`, in whole seconds, and exactly as `retry_after_ms`.
    std::optional<base::milliseconds> retry_after;
};

net::http_response to_response(const problem& value);

/// The status that an HTTP error answer stands for. `executed` is unknown unless the body says.
absl::Status to_status(const net::http_response& response, std::string_view step,
                       std::string_view peer);

/// The status of a failed exchange: reason `unreachable` when nothing was sent, else `lost`.
absl::Status transport_error(const absl::Status& cause, std::string_view step,
                             std::string_view peer, std::string_view unreachable,
                             std::string_view lost);

}  // namespace pearbarrow::backend
