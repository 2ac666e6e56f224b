/// Errors that carry the step and the peer at which they arose.
///
/// Every fallible function returns `absl::Status` or `absl::StatusOr`. The step ("append",
/// "dispatch") and the peer (a node, engine or address) travel as payloads of the status, and so
/// do the reason code, whether the request was executed, and when to come back.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"

namespace pearbarrow::base {

/// Whether a refused or failed request took effect at a back end.
/// `no` is a promise: it was not run and will not be. `unknown` is the truth when nobody can tell.
enum class executed { no, yes, unknown };

std::string_view to_string(executed value);

/// What an error says beyond its code and message.
struct error_details {
    std::string step;
    std::string peer;
    /// Machine-readable reason, a stable snake_case word such as `budget_exhausted`.
    std::string reason;
    executed was_executed = executed::no;
    /// When the caller may usefully come back; none when repeating cannot help.
    std::optional<milliseconds> retry_after;
};

/// Builds a status with its details attached.
absl::Status make_error(absl::StatusCode code, std::string_view message, error_details details);

/// The details of a status; empty strings and `executed::no` where none were attached.
error_details details_of(const absl::Status& status);

/// Adds `step` and `peer` to a failed status that carries none yet; an ok status stays ok.
absl::Status at_step(absl::Status status, std::string_view step, std::string_view peer);

}  // namespace pearbarrow::base
