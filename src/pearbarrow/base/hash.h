/// Stable hashing: the same input gives the same number in every process and release.
#pragma once

#include <cstdint>
#include <string_view>

namespace pearbarrow::base {

/// 64-bit xxHash (XXH3) of `bytes`.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace pearbarrow::base
