/// API keys: only their SHA-256 is ever kept or compared.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pearbarrow/net/http.h"

namespace pearbarrow::gateway {

/// SHA-256 in 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// The key of an `Authorization: Bearer KEY` header; none when there is none or it is malformed.
std::optional<std::string> bearer_key(const net::http_headers& headers);

}  // namespace pearbarrow::gateway
