/// Durable storage of a node's journal replicas: all shards in one store.
///
/// Writes are batches: atomic, in order, durable when `done` runs. Reads see finished writes only.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::journal {

/// What a replica must not forget about one shard, beside its entries.
struct shard_metadata {
    base::shard_id shard;
    /// How often this shard was reset on this store.
    std::uint32_t generation = 0;
    /// Highest epoch of the replica set ever heard of.
    std::uint64_t epoch = 0;
    base::ballot promised;
    /// Campaign to which the promise was given; 0 when taken from an append.
    std::uint64_t promised_campaign = 0;
    base::log_index snapshot_index;
    base::ballot snapshot_ballot;
    base::log_index last_index;
    base::log_index commit_index;
    /// Which copy of the retained entries is in force; an install fills the next one.
    std::uint64_t retained_copy = 0;

    bool operator==(const shard_metadata&) const = default;
    MSGPACK_DEFINE(shard, generation, epoch, promised, promised_campaign, snapshot_index,
                   snapshot_ballot, last_index, commit_index, retained_copy);
};

struct put_metadata {
    shard_metadata metadata;
};
struct put_entry {
    base::shard_id shard;
    wire::journal_entry entry;
};
/// Both ends included.
struct erase_entries {
    base::shard_id shard;
    base::log_index from;
    base::log_index through;
};
struct put_snapshot {
    base::shard_id shard;
    std::string payload;
};
/// Copies the log's entries at `indexes` to the retained ones. Sees the operations before it.
struct retain_entries {
    base::shard_id shard;
    std::uint64_t copy = 0;
    std::vector<base::log_index> indexes;
};
struct put_retained {
    base::shard_id shard;
    std::uint64_t copy = 0;
    wire::journal_entry entry;
};
/// An empty prefix clears the whole copy.
struct drop_retained {
    base::shard_id shard;
    std::uint64_t copy = 0;
    std::string key_prefix;
};
/// Erases everything of the shard but its metadata.
struct erase_shard {
    base::shard_id shard;
};

using store_operation = std::variant<put_metadata, put_entry, erase_entries, put_snapshot,
                                     retain_entries, put_retained, drop_retained, erase_shard>;

/// Metadata of one shard as found, or the fault that makes it unreadable.
struct loaded_shard {
    base::shard_id shard;
    absl::StatusOr<shard_metadata> metadata;
};

/// One page of entries and whether more follow.
struct entry_page {
    std::vector<wire::journal_entry> entries;
    bool more = false;
};

/// Where a page of retained entries begins: after this key and index.
struct retained_cursor {
    std::string after_key;
    base::log_index after_index;
};

class replica_store {
  public:
    virtual ~replica_store() = default;

    /// Drawn at random when the store was created; another store never has the same.
    virtual std::string identity() const = 0;
    virtual absl::StatusOr<std::vector<loaded_shard>> load() const = 0;
    /// Entries from `from` on, in order, at least one if there is any, then up to `max_bytes`.
    /// Fails with reason `journal_corrupt` on a checksum that doesn't hold (as the reads below).
    virtual absl::StatusOr<entry_page> read_entries(base::shard_id shard, base::log_index from,
                                                    base::log_index through,
                                                    std::size_t max_bytes) const = 0;
    /// None when no snapshot was ever put.
    virtual absl::StatusOr<std::optional<std::string>> read_snapshot(
        base::shard_id shard) const = 0;
    virtual absl::StatusOr<entry_page> read_retained(base::shard_id shard, std::uint64_t copy,
                                                     std::string_view key_prefix,
                                                     const retained_cursor& cursor,
                                                     std::size_t max_bytes) const = 0;
    /// One batch at a time: not called again before `done` ran. `done` runs on the caller's thread,
    /// perhaps within the call.
    virtual void write(std::vector<store_operation> operations,
                       std::function<void(absl::Status)> done) = 0;
};

/// Runs a function later on the event loop's thread; callable from any thread.
using loop_poster = std::function<void(std::function<void()>)>;

struct rocksdb_store_options {
    /// The journal's folder; created when missing.
    std::string folder;
    /// Identity for a store that is created now: 32 random hexadecimal digits.
    std::string new_identity;
    /// Bounds of memory, in bytes.
    std::size_t block_cache_bytes = 64 << 20;
    std::size_t write_buffer_bytes = 32 << 20;
    /// Empty: writes are done within `write`, on the caller's thread. Else on a thread of the
    /// store, and `done` is posted through this.
    loop_poster post;
};

/// Opens or creates the RocksDB store. Fails with reason `journal_corrupt` when RocksDB finds its
/// own files damaged, `journal_storage_failed` on other errors.
absl::StatusOr<std::unique_ptr<replica_store>> open_rocksdb_replica_store(
    rocksdb_store_options options);

}  // namespace pearbarrow::journal
