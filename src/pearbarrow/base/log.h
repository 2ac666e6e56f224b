/// Structured logs: one JSON object per line on standard output.
///
/// Logging never blocks: a line is dropped if standard output does not accept it, and the next line
/// that is written is preceded by the number of dropped lines. Each line has the fields `time`,
/// `level` and `event` (a stable name) and the given fields.
#pragma once

#include <string_view>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::base {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level that is written ("debug", "info", "warning", "error") and the fields that
/// are added to every line, such as the name of the node. Ignores SIGPIPE from then on.
void configure_logging(std::string_view min_level, nlohmann::json common_fields);

/// Writes one line. `fields` must be a JSON object.
void log(log_level level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// Returns the log fields of an error status: code, message, step, peer and reason.
nlohmann::json log_fields(const absl::Status& status);

}  // namespace pearbarrow::base
