/// Errors towards callers and operators: RFC 9457 `application/problem+json`.
///
/// docs/api.md holds the table of status codes and reasons.
#pragma once

#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::gateway {

/// The HTTP status that a failed status is shown as.
int http_status_of(const absl::Status& status);

/// Members type, title, status, detail, reason, step, peer, executed, and retry_after_ms when
/// known. `node` stands as peer where the error names none.
nlohmann::json problem_json(const absl::Status& status, const base::node_id& node);

/// A whole answer; 429 and 503 carry `Retry-After` in seconds, rounded up.
net::http_response problem_response(const absl::Status& status, const base::node_id& node);

/// JSON text; bytes that are not UTF-8 are replaced.
std::string dump_json(const nlohmann::json& value);

/// A whole JSON answer.
net::http_response json_response(int status, const nlohmann::json& body);

}  // namespace pearbarrow::gateway
