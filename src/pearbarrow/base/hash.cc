#include "pearbarrow/base/hash.h"

#include <xxhash.h>

namespace pearbarrow::base {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace pearbarrow::base
