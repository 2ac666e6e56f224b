/// Persistent store of the turns and reservations of a storage member.
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

/// A turn with its position in the member's log.
struct stored_turn {
    change_number number;
    /// Wall-clock time of storing, in microseconds since the Unix epoch.
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

/// Position up to which another member's changes are stored here.
struct peer_position {
    base::node_id node;
    /// Disk of the other member that `taken` refers to.
    disk_id disk;
    change_number taken;

    bool operator==(const peer_position&) const = default;
    MSGPACK_DEFINE(node, disk, taken);
};

/// Assigns the store to another replica group: all turns and reservations are deleted, and the disk
/// gets a new id.
struct group_entry {
    std::uint32_t group = 0;
    disk_id disk;
};

/// An entry of the directory, stored under the directory's own key.
struct directory_entry {
    std::string key;
    /// Empty to remove the entry.
    std::string value;
};

/// A request under which back ends may have ended, stored under its digest.
struct suspect_entry {
    std::string digest;
    /// Empty to remove the entry.
    std::string value;
};

/// One atomic change of the store.
struct store_change {
    /// Applied before all other parts of the change.
    std::optional<group_entry> emptied_for;
    /// Sets the replica group that the contents belong to.
    std::optional<std::uint32_t> group;
    std::vector<stored_turn> turns;
    std::vector<stored_reservation> reservations;
    /// Keys of expired entries.
    std::vector<turn_id> dropped_turns;
    std::vector<reservation> dropped_reservations;
    /// Sets whether the member has everything that it has ever confirmed.
    std::optional<bool> complete;
    /// Sets whether the member may have confirmed writes which an earlier disk held.
    std::optional<bool> replaces_lost_disk;
    /// Replaces the newest known voters of the group.
    std::optional<view_stamp> view;
    /// Replaces the stored directory state except its entries.
    std::optional<std::string> directory;
    /// Directory entries that have changed.
    std::vector<directory_entry> directory_entries;
    /// Suspects of which something new is known.
    std::vector<suspect_entry> suspects;
    /// Replaces the stored positions of the other members.
    std::optional<std::vector<peer_position>> positions;
    /// The largest number assigned so far. It is set when changes are dropped, so that no number is
    /// assigned twice.
    std::optional<change_number> last_number;
};

/// Contents read at startup; the texts of turns stay in the store.
struct store_contents {
    disk_id disk;
    bool complete = false;
    /// Empty if it was never set.
    std::optional<bool> replaces_lost_disk;
    /// The replica group that the contents belong to; empty if the member has not entered one.
    std::optional<std::uint32_t> group;
    /// Stored turns, with `input` and `output` empty.
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
    /// Runs `done` on the event loop once the change is durable across a power loss, or has failed
    /// as a whole. Changes take effect in the order of the calls. After a failure, such as a full
    /// disk, writes fail until the store has been reopened.
    virtual void write(store_change change, std::function<void(absl::Status)> done) = 0;
    /// Returns the stored directory state; empty if there is none.
    virtual std::string read_directory() const = 0;
    /// Returns the stored directory entries, ordered by key.
    virtual std::vector<directory_entry> read_directory_entries() const { return {}; }
    /// Returns the stored suspects.
    virtual std::vector<suspect_entry> read_suspects() const { return {}; }
    /// Returns the turn with its texts, or kNotFound if it does not exist.
    virtual absl::StatusOr<turn_record> read(const turn_id& turn) const = 0;
};

/// A batch of changes that was written and synced, or that failed.
struct synced_batch {
    std::size_t changes = 0;
    base::microseconds took{};
};

struct turn_store_options {
    std::string folder;
    /// Id and completeness that an empty disk gets.
    disk_id new_disk;
    bool new_disk_is_complete = false;
    std::size_t write_buffer_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t block_cache_bytes = std::size_t{4} * 1024 * 1024;
    /// Clock that paces attempts to reopen a database after a failed write.
    const base::clock* clock = nullptr;
    /// Posts a task to the event loop; callable from any thread.
    std::function<void(std::function<void()>)> post;
    /// Runs on the event loop after each batch, before the callbacks of its changes. May be empty.
    std::function<void(const synced_batch&)> on_synced;
};

/// Opens the RocksDB store. One thread writes and syncs all pending changes as a batch. Returns
/// kDataLoss if the disk is damaged beyond the effects of a power loss.
absl::StatusOr<std::unique_ptr<turn_store>> open_rocksdb_turn_store(turn_store_options options);

}  // namespace pearbarrow::turns
