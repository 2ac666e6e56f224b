/// JSON forms of the operators' API.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/operator/operator_backend.h"

namespace pearbarrow::operators {

/// A JSON array of resources, each with kind and name; what is in them is the backend's to check.
absl::StatusOr<std::vector<resource>> parse_resources(std::string_view body, std::size_t most);
/// {"set": {key: value}, "remove": [key]}
absl::StatusOr<label_request> parse_label_request(std::string_view body);
/// {"target": "node" | "back_end", "name": ..., "draining": true}
absl::StatusOr<drain_request> parse_drain_request(std::string_view body);

nlohmann::json to_json(const resource_list& list);
nlohmann::json to_json(const apply_result& result);
nlohmann::json to_json(const node_report& node);
nlohmann::json to_json(const shard_report& shard);
nlohmann::json to_json(const cluster_status& status);
nlohmann::json to_json(const call_explanation& explanation);
nlohmann::json to_json(const call_verification& verification);

}  // namespace pearbarrow::operators
