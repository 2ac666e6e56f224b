/// Leader of one shard's journal: the owner's end of replication. Pure: no I/O, clock or
/// randomness.
///
/// A shell carries `send_request` actions out (method and bytes: `wire::method_of`,
/// `wire::encode_journal_request`), feeds replies back as `replica_replied` and transport errors as
/// `request_failed`, and calls `apply(tick{}, now)` about every 50 ms. Any request or reply may be
/// lost, late, doubled or out of order. The protocol and its safety are in docs/design/journal.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::journal {

using base::instant;
using base::log_index;

/// Bounds of one leader. Times in milliseconds, sizes in bytes.
struct leader_options {
    /// A request without a reply after this is taken for lost and sent again.
    base::milliseconds request_timeout{500};
    /// An idle replica hears from the leader this often.
    base::milliseconds heartbeat_interval{200};
    /// Without a majority for this long, `unavailable` is reported.
    base::milliseconds unavailable_after{1'500};
    std::size_t max_append_entries = 256;
    std::size_t max_append_bytes = 1 << 20;
    /// Append requests under way to one replica.
    std::size_t max_requests_in_flight = 8;
    /// Appended and not yet committed; beyond it `append_refused` with `journal_queue_full`.
    std::size_t max_uncommitted_bytes = 64 << 20;
    /// Committed entries kept in memory for replicas that lag a little.
    std::size_t window_bytes = 4 << 20;
    std::size_t chunk_bytes = 1 << 20;

    /// Mechanisms that tests switch off to see the checker fail. Never set elsewhere.
    struct test_faults {
        /// Counts entries of earlier ballots as committed once a majority holds them.
        bool commit_old_ballots = false;
        /// Goes on with the log of any promise instead of the most up-to-date one.
        bool adopt_any_promise = false;
        /// Commits once one replica has the entry.
        bool commit_without_majority = false;
    } faults;
};

/// Events. -------------------------------------------------------------------------------------

/// Takes the next higher ballot at a majority of `set`, reads the newest log and opens the reign.
/// Also ends an earlier reign of this core. `campaign_number` is random: never used before.
struct campaign {
    wire::journal_replica_set set;
    std::uint64_t campaign_number = 0;
};
struct replica_replied {
    wire::journal_reply reply;
};
/// The transport gave the request up (connection lost, timeout); it may have arrived.
struct request_failed {
    std::uint64_t request_id = 0;
};
/// Appends one record. Answered at once by `appended` or `append_refused` with the same token.
struct append {
    std::uint64_t token = 0;
    std::string payload;
    /// Empty: gone at truncation. Else readable by key until dropped.
    std::string retention_key;
    /// Once committed, earlier entries with these key prefixes are dropped.
    std::vector<std::string> dropped_prefixes;
};
/// The owner's state after all records up to `index` (committed): replicas truncate their logs.
struct snapshot_taken {
    log_index index;
    std::string payload;
};
/// The configuration log holds a new replica set, one member away from the current one.
struct replica_set_changed {
    wire::journal_replica_set set;
};
/// Starts catching up a store that is not yet in the set; `learner_caught_up` tells the end.
struct learner_added {
    wire::journal_member member;
};
struct learner_removed {
    wire::journal_member member;
};
/// Asks whether this leader still leads, now: `confirmed` follows a heartbeat round that a majority
/// acknowledged and that began after this event. For an owner that may have been paused.
struct confirm {
    std::uint64_t token = 0;
};
/// Reads committed entries by key prefix; answered once by `retained_read`.
struct read_retained {
    std::uint64_t token = 0;
    std::string key_prefix;
};
/// Stops leading (planned hand-over). Nothing is sent any more.
struct resign {};
struct tick {};

using leader_event = std::variant<campaign, replica_replied, request_failed, append, snapshot_taken,
                                  replica_set_changed, learner_added, learner_removed, confirm,
                                  read_retained, resign, tick>;

/// Actions. ------------------------------------------------------------------------------------

struct send_request {
    wire::journal_member to;
    wire::journal_request request;
};
/// The reign has begun: every record acknowledged by earlier leaders is here, in order, and
/// committed. Only records, no entries of the journal's own.
struct recovered {
    base::ballot ballot;
    log_index snapshot_index;
    std::string snapshot;
    std::vector<wire::journal_entry> records;
    /// Everything up to here is committed; the next record comes after it.
    log_index committed_through;
};
struct appended {
    std::uint64_t token = 0;
    log_index index;
};
/// Not appended and never will be. Reasons `not_leading`, `journal_queue_full`.
struct append_refused {
    std::uint64_t token = 0;
    std::string reason;
};
struct committed {
    log_index through;
};
/// This leader or candidate lost to a higher ballot or epoch. What it appended and not committed
/// is in doubt. A node that still wants the shard campaigns again (with jitter).
struct fenced {
    base::ballot by;
    std::uint64_t epoch = 0;
    /// `ballot_fenced` or `stale_epoch` (learn the newer replica set first).
    std::string reason;
    bool while_campaigning = false;
};
/// No majority answered since then. The leader goes on trying.
struct unavailable {
    instant since;
};
struct available_again {};
struct confirmed {
    std::uint64_t token = 0;
};
struct retained_read {
    std::uint64_t token = 0;
    absl::Status status;
    std::vector<wire::journal_entry> entries;
};
/// A majority of the set works with this epoch: the next change of the set may be made now.
struct epoch_established {
    std::uint64_t epoch = 0;
};
struct learner_caught_up {
    wire::journal_member member;
};
/// The member's data is gone or unusable (`store_mismatch`, `journal_corrupt`). To repair: remove
/// `member`, add `found` (for a corrupt shard after `replica::reset_shard`).
struct replica_lost {
    wire::journal_member member;
    wire::journal_member found;
    std::string reason;
};

using leader_action = std::variant<send_request, recovered, appended, append_refused, committed,
                                   fenced, unavailable, available_again, confirmed, retained_read,
                                   epoch_established, learner_caught_up, replica_lost>;

/// How far one replica is, for status pages and metrics.
struct replica_progress {
    wire::journal_member member;
    bool is_learner = false;
    log_index matched;
    log_index snapshot;
    instant last_reply;
    bool lost = false;
};

class leader_core {
  public:
    leader_core(base::shard_id shard, base::node_id self, leader_options options = {});
    ~leader_core();
    leader_core(leader_core&&) noexcept;
    leader_core& operator=(leader_core&&) noexcept;

    std::vector<leader_action> apply(const leader_event& event, instant now);

    /// Between `recovered` and `fenced` or `resign`.
    bool is_leading() const;
    base::ballot current_ballot() const;
    log_index commit_index() const;
    log_index last_index() const;
    const wire::journal_replica_set& replica_set() const;
    std::vector<replica_progress> progress() const;

  private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::journal
