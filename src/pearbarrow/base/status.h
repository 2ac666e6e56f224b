/// Errors with the step and the peer at which they occurred.
///
/// Every function that can fail returns `absl::Status` or `absl::StatusOr`. The step ("append",
/// "dispatch") and the peer (a node, an engine or an address) are payloads of the status, and so
/// are the reason code, whether the request was executed, and the retry delay.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::base {

/// Whether a rejected or failed request took effect at a back end. `no` guarantees that it was not
/// executed and will not be. `unknown` means that it cannot be determined.
enum class executed { no, yes, unknown };

std::string_view to_string(executed value);

/// Details of an error besides its code and message.
struct error_details {
    std::string step;
    std::string peer;
    /// Machine-readable reason: a stable snake_case code such as `budget_exhausted`.
    std::string reason;
    executed was_executed = executed::no;
    /// Delay after which the caller may retry; absent if a retry cannot succeed.
    std::optional<milliseconds> retry_after;
};

/// Creates an error status with its details.
absl::Status make_error(absl::StatusCode code, std::string_view message, error_details details);

/// Returns the details of a status: empty strings and `executed::no` if none were attached.
error_details details_of(const absl::Status& status);

/// Adds `step` and `peer` to an error status without a step. Other statuses are returned unchanged.
absl::Status with_step(absl::Status status, std::string_view step, std::string_view peer);

}  // namespace pearbarrow::base
