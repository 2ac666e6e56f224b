/// Percent-encoding of URL path segments (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace pearbarrow::backend {

/// Percent-encodes all characters except letters, digits, "-", ".", "_" and "~".
std::string percent_encode(std::string_view segment);
/// Decodes percent-encoded characters. A percent sign without two hexadecimal digits is unchanged.
std::string percent_decode(std::string_view segment);

}  // namespace pearbarrow::backend
