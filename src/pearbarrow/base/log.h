/// Structured logs: one JSON object a line on standard output.
///
/// Writing never waits: a line that nobody takes is dropped, and the next one that is written says
/// how many were. Each line has `time`, `level`, `event` (one stable name an event) and the given
/// fields.
#pragma once

#include <string_view>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::base {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level written ("debug", "info", "warning", "error") and the fields that every
/// line carries, such as the node's name.
void configure_logging(std::string_view lowest_level, nlohmann::json common_fields);

/// Writes one line. `fields` is a JSON object.
void log(log_level level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// The fields of a failed status: code, message, step, peer, reason.
nlohmann::json log_fields(const absl::Status& status);

}  // namespace pearbarrow::base
