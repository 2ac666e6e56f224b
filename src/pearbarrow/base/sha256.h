/// SHA-256, for values that are compared but must not be stored.
#pragma once

#include <string>
#include <string_view>

namespace pearbarrow::base {

/// Returns the 32 bytes of the digest.
std::string sha256(std::string_view bytes);

/// Compares two strings in a time that does not depend on the position of the first difference.
/// Strings of different sizes are unequal.
bool equal_in_constant_time(std::string_view left, std::string_view right);

}  // namespace pearbarrow::base
