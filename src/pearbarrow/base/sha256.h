/// SHA-256, for values that are compared but must not be kept.
#pragma once

#include <string>
#include <string_view>

namespace pearbarrow::base {

/// The 32 bytes of the digest.
std::string sha256(std::string_view bytes);

/// Compares without leaking by its time how much of the two agrees. Different sizes are unequal.
bool equal_in_constant_time(std::string_view left, std::string_view right);

}  // namespace pearbarrow::base
