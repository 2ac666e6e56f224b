/// JSON of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings, fields at
/// their default left out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "pearbarrow/emulator/key_value_store.h"

namespace pearbarrow::emulator {

std::string base64_encode(std::string_view bytes);
/// Throws std::invalid_argument on text that is not base64.
std::string base64_decode(std::string_view text);

struct watch_request {
    key_range keys;
    /// Zero: from the next change on.
    std::int64_t start_revision = 0;
    bool prev_kv = false;
    bool progress_notify = false;
};

/// Number under `key`, given as a number or as a string; zero when absent.
std::int64_t integer_at(const nlohmann::json& json, const char* key);

// Parsers throw nlohmann::json::exception or std::invalid_argument.
range_request parse_range(const nlohmann::json& json);
put_request parse_put(const nlohmann::json& json);
delete_request parse_delete(const nlohmann::json& json);
transaction_request parse_transaction(const nlohmann::json& json);
watch_request parse_watch(const nlohmann::json& json);

/// The header of every answer.
nlohmann::json response_header(std::int64_t revision);
nlohmann::json format_response(const store_response& response);
nlohmann::json format_transaction(const transaction_response& response, std::int64_t revision);
nlohmann::json format_event(const store_event& event, bool with_previous);

}  // namespace pearbarrow::emulator
