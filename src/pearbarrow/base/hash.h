/// Stable hashing: the hash of an input is the same in every process and release.
#pragma once

#include <cstdint>
#include <string_view>

namespace pearbarrow::base {

/// Returns the 64-bit xxHash (XXH3) of `bytes`.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace pearbarrow::base
