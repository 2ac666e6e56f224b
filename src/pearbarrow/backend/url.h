/// Percent-encoding of URL path segments (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace pearbarrow::backend {

/// `segment` with everything but letters, digits, "-", ".", "_" and "~" percent-encoded.
std::string percent_encode(std::string_view segment);
/// The reverse. A percent sign without two hexadecimal digits stays as it is.
std::string percent_decode(std::string_view segment);

}  // namespace pearbarrow::backend
