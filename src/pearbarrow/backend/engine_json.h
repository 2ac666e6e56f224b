/// JSON forms of the engine protocol, shared by the client and the emulated engine.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::backend {

/// Names of request headers.
inline constexpr std::string_view request_id_header = "X-Request-Id";
inline constexpr std::string_view program_id_header = "X-Program-Id";
inline constexpr std::string_view call_number_header = "X-Call-Number";
inline constexpr std::string_view cache_lease_header = "X-Cache-Lease-Ms";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view deadline_header = "X-Deadline-Ms";

std::string_view to_string(finish_reason value);
std::string_view to_string(engine_role value);
std::string_view to_string(cancel_outcome value);

// nlohmann::json finds these conversions by argument-dependent lookup. `from_json` throws
// nlohmann::json::exception on an invalid structure and std::invalid_argument on an unknown enum
// name.
void to_json(nlohmann::json& json, const chat_message& value);
void from_json(const nlohmann::json& json, chat_message& value);
void to_json(nlohmann::json& json, const token_usage& value);
void from_json(const nlohmann::json& json, token_usage& value);
void to_json(nlohmann::json& json, const cancel_result& value);
void from_json(const nlohmann::json& json, cancel_result& value);
void to_json(nlohmann::json& json, const load_report& value);
void from_json(const nlohmann::json& json, load_report& value);
void to_json(nlohmann::json& json, const cache_holding& value);
void from_json(const nlohmann::json& json, cache_holding& value);
void to_json(nlohmann::json& json, const cache_listing& value);
void from_json(const nlohmann::json& json, cache_listing& value);
void to_json(nlohmann::json& json, const cache_event& value);
void from_json(const nlohmann::json& json, cache_event& value);
void to_json(nlohmann::json& json, const cache_event_batch& value);
void from_json(const nlohmann::json& json, cache_event_batch& value);
void to_json(nlohmann::json& json, const engine_order& value);
void from_json(const nlohmann::json& json, engine_order& value);
void to_json(nlohmann::json& json, const exported_prefix& value);
void from_json(const nlohmann::json& json, exported_prefix& value);
void to_json(nlohmann::json& json, const meter_entry& value);
void from_json(const nlohmann::json& json, meter_entry& value);

/// Serializes the body of a streaming `POST /v1/chat/completions` request.
std::string generate_body(const generate_request& request);

/// One event of a stream: text, the end of the stream, or both.
struct stream_chunk {
    std::string text;
    std::optional<finish_reason> reason;
    std::optional<token_usage> usage;
};

std::string chunk_body(const std::string& stream_id, const std::string& model,
                       const stream_chunk& chunk);
absl::StatusOr<stream_chunk> parse_chunk(std::string_view data);

/// Parses a `Value` from JSON text. Fails with kInvalidArgument, reason `malformed_json`.
template <typename Value>
absl::StatusOr<Value> parse_json(std::string_view text) {
    try {
        return nlohmann::json::parse(text).get<Value>();
    } catch (const std::exception& error) {
        return base::make_error(absl::StatusCode::kInvalidArgument, error.what(),
                                {.step = "parse_json", .reason = "malformed_json"});
    }
}

}  // namespace pearbarrow::backend
