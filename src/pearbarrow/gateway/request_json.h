/// Reading of the native API's request bodies into messages, and of messages into response bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/gateway/json_body.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::gateway {

inline constexpr std::size_t max_messages = 4'096;
inline constexpr std::size_t max_content_bytes = std::size_t{4} * 1'024 * 1'024;
inline constexpr std::size_t max_name_bytes = 256;
inline constexpr std::size_t max_labels = 64;
inline constexpr std::size_t max_idempotency_key_bytes = 255;
inline constexpr std::uint64_t max_token_budget = 1'000'000'000'000;
inline constexpr std::uint64_t max_output_tokens = 1'000'000;
inline constexpr std::uint64_t max_milliseconds = 30ULL * 24 * 3'600 * 1'000;
inline constexpr std::uint64_t max_call_number = 1'000'000'000;
/// Output tokens of a call that names no bound.
inline constexpr std::uint64_t default_output_tokens = 1'024;

/// The body of POST /v1/programs, or of POST /v1/programs/{id}/programs with its field `call`.
absl::StatusOr<wire::open_program_request> parse_open_program(std::string_view body,
                                                              const base::program_id* parent);

/// The body of POST /v1/programs/{id}/calls.
absl::StatusOr<wire::submit_call_request> parse_submit_call(std::string_view body);

/// Notes what is wrong with labels given as one JSON object.
std::vector<wire::label> read_labels(const nlohmann::json& labels, const std::string& path,
                                     std::vector<field_problem>& problems);

/// 32 lower-case hexadecimal digits.
bool is_program_id(std::string_view text);

/// Checks the form of an event id, `attempt.offset`; the empty id is good.
bool is_event_id(std::string_view text);

nlohmann::json to_json(const wire::program_view& view);
nlohmann::json to_json(const wire::history_view& history);
nlohmann::json to_json(const base::program_id& program, const wire::call_result& result);

}  // namespace pearbarrow::gateway
