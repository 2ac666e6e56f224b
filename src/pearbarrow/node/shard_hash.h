/// The shard of a program.
#pragma once

#include <cstdint>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::node {

/// Every node of a cluster computes the same shard, since `shard_count` is fixed for its life.
inline base::shard_id shard_of(const base::program_id& program, std::uint32_t shard_count) {
    return base::shard_id(
        static_cast<std::uint32_t>(base::stable_hash(program.value()) % shard_count));
}

}  // namespace pearbarrow::node
