/// Helpers on journal entries.
#pragma once

#include <cstdint>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::journal {

/// xxHash over every field of the entry but the checksum, and the shard, so that an entry stored
/// under the wrong shard or index doesn't pass.
std::uint64_t entry_checksum(base::shard_id shard, const wire::journal_entry& entry);

inline bool checksum_holds(base::shard_id shard, const wire::journal_entry& entry) {
    return entry.checksum == entry_checksum(shard, entry);
}

/// Bytes that the entry takes in memory and in a message, about.
std::size_t entry_bytes(const wire::journal_entry& entry);

inline base::log_index next_index(base::log_index index) {
    return base::log_index(index.value() + 1);
}
inline base::log_index previous_index(base::log_index index) {
    return base::log_index(index.value() == 0 ? 0 : index.value() - 1);
}

/// Smallest number of members that is a majority of `members`.
inline std::size_t majority_of(std::size_t members) {
    return members / 2 + 1;
}

}  // namespace pearbarrow::journal
