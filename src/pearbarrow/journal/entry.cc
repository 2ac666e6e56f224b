#include "pearbarrow/journal/entry.h"

#include "pearbarrow/base/hash.h"

namespace pearbarrow::journal {

std::uint64_t entry_checksum(base::shard_id shard, const wire::journal_entry& entry) {
    const std::uint64_t numbers[] = {shard.value(), entry.index.value(), entry.ballot.round,
                                     static_cast<std::uint64_t>(entry.kind),
                                     entry.dropped_prefixes.size()};
    std::uint64_t hash = base::stable_hash(
        std::string_view(reinterpret_cast<const char*>(numbers), sizeof(numbers)));
    hash = base::stable_hash(entry.ballot.node.value(), hash);
    hash = base::stable_hash(entry.payload, hash);
    hash = base::stable_hash(entry.retention_key, hash);
    for (const auto& prefix : entry.dropped_prefixes) {
        hash = base::stable_hash(prefix, hash);
    }
    return hash;
}

std::size_t entry_bytes(const wire::journal_entry& entry) {
    constexpr std::size_t fixed_part = 64;
    std::size_t bytes = fixed_part + entry.payload.size() + entry.retention_key.size();
    for (const auto& prefix : entry.dropped_prefixes) {
        bytes += prefix.size();
    }
    return bytes;
}

}  // namespace pearbarrow::journal
