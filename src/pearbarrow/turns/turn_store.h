/// Where a storage member keeps turns and reservations for good.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

/// A turn with its place in the member's log.
struct stored_turn {
    change_number number;
    /// Time of day when it was stored, in microseconds since the Unix epoch.
    std::int64_t stored_at = 0;
    turn_record record;

    MSGPACK_DEFINE(number, stored_at, record);
};

struct stored_reservation {
    change_number number;
    std::int64_t stored_at = 0;
    reservation value;

    MSGPACK_DEFINE(number, stored_at, value);
};

/// How far another member's changes are stored here.
struct peer_position {
    base::node_id node;
    /// The other member's disk, to which `taken` belongs.
    disk_id disk;
    change_number taken;

    bool operator==(const peer_position&) const = default;
    MSGPACK_DEFINE(node, disk, taken);
};

/// What the store holds belongs to another replica group: all turns and reservations go, and the
/// disk counts as a new one.
struct group_entry {
    std::uint32_t group = 0;
    disk_id disk;
};

/// An entry of the directory, under a key of its keeper's own.
struct directory_entry {
    std::string key;
    /// Empty: the entry is taken out.
    std::string value;
};

/// One atomic change of the store.
struct store_change {
    /// Before everything else of the change.
    std::optional<group_entry> emptied_for;
    /// Sets the replica group that the contents belong to.
    std::optional<std::uint32_t> group;
    std::vector<stored_turn> turns;
    std::vector<stored_reservation> reservations;
    /// Keys of what has expired.
    std::vector<turn_id> dropped_turns;
    std::vector<reservation> dropped_reservations;
    /// Sets whether the member knows all that it has ever confirmed.
    std::optional<bool> complete;
    /// Replaces the newest voters of the group that the member knows.
    std::optional<view_stamp> view;
    /// Replaces what is kept of the directory but for its entries.
    std::optional<std::string> directory;
    /// Entries of the directory that have changed.
    std::vector<directory_entry> directory_entries;
    /// Replaces what is kept of the other members' positions.
    std::optional<std::vector<peer_position>> positions;
    /// The largest number given so far; told where changes are dropped, so that none is given anew.
    std::optional<change_number> last_number;
};

/// What is read at the start; the texts of turns stay in the store.
struct store_contents {
    disk_id disk;
    bool complete = false;
    /// The replica group that the contents belong to; none: the member has not entered one.
    std::optional<std::uint32_t> group;
    /// Without `input` and `output`.
    std::vector<stored_turn> turns;
    std::vector<stored_reservation> reservations;
    std::vector<peer_position> positions;
    change_number last_number;
    /// The newest voters of the group that the member knew.
    view_stamp view;
};

class turn_store {
  public:
    virtual ~turn_store() = default;
    virtual absl::StatusOr<store_contents> load() = 0;
    /// `done` runs on the event loop once the change would survive a loss of power, or failed as a
    /// whole. Changes take effect in the order of the calls. After a failure, as on a full disk,
    /// writes fail until the store could be opened again.
    virtual void write(store_change change, std::function<void(absl::Status)> done) = 0;
    /// What is kept of the directory; empty when nothing is.
    virtual std::string read_directory() const = 0;
    /// The entries that are kept of it, by key.
    virtual std::vector<directory_entry> read_directory_entries() const { return {}; }
    /// The turn with its texts; kNotFound when it isn't there.
    virtual absl::StatusOr<turn_record> read(const turn_id& turn) const = 0;
};

struct turn_store_options {
    std::string folder;
    /// Identity and completeness of a disk that is empty.
    disk_id new_disk;
    bool new_disk_is_complete = false;
    std::size_t write_buffer_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t block_cache_bytes = std::size_t{4} * 1024 * 1024;
    /// Paces the attempts to open a database again that a failed write has stopped.
    const base::clock* clock = nullptr;
    /// Runs a task on the event loop, from any thread.
    std::function<void(std::function<void()>)> post;
};

/// Opens the store in RocksDB, with one thread that writes and syncs whatever has gathered.
/// kDataLoss: what is on the disk is damaged beyond what a loss of power explains.
absl::StatusOr<std::unique_ptr<turn_store>> open_rocksdb_turn_store(turn_store_options options);

}  // namespace pearbarrow::turns
