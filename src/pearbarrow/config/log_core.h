/// State machine of the configuration log on one node. It performs no I/O.
///
/// Entry n of the log is a key in the key-value service of the platform, created only if entry n is
/// absent and entry n-1 exists. A change is accepted when its entry exists. Nodes apply entries in
/// order, and their version never decreases. Two nodes per zone follow the service. The others see
/// new versions in membership probes and fetch the entries by the peer request `config_fetch`.
///
/// The caller executes the actions, those of the key-value service through
/// `platform/config_log_store.h`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/config/change.h"
#include "pearbarrow/config/configuration.h"

namespace pearbarrow::config {

/// Faults that tests inject to verify that their checks fail. All are off in production.
struct log_core_faults {
    /// Applies entries in any order, including older ones.
    bool accept_any_order = false;
    /// Treats a lost reply as a rejection, without reading the entry.
    bool lost_reply_is_rejection = false;
    /// Reports a change as accepted before the key-value service confirms it.
    bool accept_early = false;
};

struct log_core_options {
    base::node_id self;
    /// Maximum time until the final result of a proposal.
    base::milliseconds proposal_timeout{5'000};
    /// Delay before a failed request to the key-value service is retried. It doubles up to the
    /// maximum.
    base::milliseconds retry_initial{200};
    base::milliseconds retry_maximum{5'000};
    /// Interval at which a follower reads the log even if its watch is open.
    base::milliseconds reread_period{60'000};
    /// Time that a node waits for the reply of a peer before it tries another peer.
    base::milliseconds fetch_timeout{1'000};
    /// Number of entries in the service at which a follower writes a snapshot.
    std::uint64_t compact_after_entries = 512;
    /// Number of entries kept in memory for peers. Peers that need older entries get a snapshot.
    std::size_t kept_entries = 1024;
    log_core_faults faults;
};

// ---- Events ----

/// A change of an operator. `proposal_done` returns the same `token`.
struct propose {
    std::uint64_t token = 0;
    change content;
};
/// Reply to `create_entry`.
struct entry_created {
    std::uint64_t request = 0;
    /// Ok if this request created the entry. kAlreadyExists if another entry exists or the base
    /// entry is not the newest. Otherwise, `executed` of the error details states whether the entry
    /// may exist.
    absl::Status status;
};
/// Reply to `read_log`: a snapshot if the head of the log was compacted, and entries in order.
struct log_read {
    std::uint64_t request = 0;
    absl::Status status;
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
    /// Service revision of the reply. A watch continues from the next revision.
    std::int64_t revision = 0;
    /// Number of entries in the service.
    std::uint64_t stored_entries = 0;
};
/// Entries delivered by the watch.
struct watch_delivered {
    std::uint64_t request = 0;
    std::vector<log_entry> entries;
};
struct watch_ended {
    std::uint64_t request = 0;
    absl::Status status;
};
/// Reply to `write_snapshot`.
struct snapshot_written {
    std::uint64_t request = 0;
    absl::Status status;
};
/// Version of a peer, reported by membership.
struct peer_version_seen {
    base::node_id peer;
    base::config_version version;
};
/// Reply to `fetch_from_peer`.
struct peer_answered {
    std::uint64_t request = 0;
    absl::Status status;
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
};
/// Whether this node follows the key-value service (see membership/rendezvous.h).
struct follower_changed {
    bool follows = false;
};
/// Timer event, expected about every 100 ms.
struct log_tick {};

using log_event =
    std::variant<propose, entry_created, log_read, watch_delivered, watch_ended, snapshot_written,
                 peer_version_seen, peer_answered, follower_changed, log_tick>;

// ---- Actions ----

/// Creates entry `version` in the key-value service in one transaction.
struct create_entry {
    std::uint64_t request = 0;
    base::config_version version;
    change content;
};
/// Reads the entries after `after` from the key-value service, and the snapshot if they were
/// compacted.
struct read_log {
    std::uint64_t request = 0;
    base::config_version after;
};
/// Watches for new entries, starting at a service revision.
struct watch_log {
    std::uint64_t request = 0;
    std::int64_t from_revision = 0;
};
/// Closes the watch.
struct cancel_watch {
    std::uint64_t request = 0;
};
/// Stores a snapshot in the key-value service and removes the entries before its version.
struct write_snapshot {
    std::uint64_t request = 0;
    configuration_ptr snapshot;
};
/// Requests the entries after `after` from a peer by `wire::config_fetch`.
struct fetch_from_peer {
    std::uint64_t request = 0;
    base::node_id peer;
    base::config_version after;
};
/// Final result of a proposal: the version, or one of these errors:
/// kAborted `config_conflict` (the message names the accepted change; executed no),
/// kInvalidArgument `invalid_configuration` (executed no),
/// kUnavailable `config_store_unavailable` with a retry delay (executed no), or
/// kUnavailable `config_outcome_unknown` (executed unknown).
struct proposal_done {
    std::uint64_t token = 0;
    absl::StatusOr<base::config_version> result;
};
/// A newer configuration is active on this node.
struct config_installed {
    configuration_ptr value;
};
/// The key-value service or a peer has a different entry at a version that this node has applied,
/// for example after the service was restored from a backup. The node keeps its own entry and
/// continues. An operator must resolve the divergence.
struct config_diverged {
    base::config_version version;
    std::string own_change;
    std::string other_change;
};

using log_action = std::variant<create_entry, read_log, watch_log, cancel_watch, write_snapshot,
                                fetch_from_peer, proposal_done, config_installed, config_diverged>;

/// Reply to `config_fetch`.
struct log_tail {
    /// Set if some entries after the requested version are no longer in memory.
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
};

class log_core {
  public:
    /// `initial` is the copy from the data folder, or `configuration::empty()`.
    log_core(log_core_options options, configuration_ptr initial, base::random_source& random);

    std::vector<log_action> apply(const log_event& event, base::instant now);

    /// The active configuration of this node. Its version never decreases.
    const configuration_ptr& current() const { return current_; }
    /// Newest version that this node has seen, on any node or in the service.
    base::config_version newest_known() const { return newest_known_; }
    /// Whether the key-value service replied to the last request of this node.
    bool store_reachable() const { return store_reachable_; }
    /// Returns what a peer at version `after` lacks, with at most `max_entries` entries.
    log_tail entries_after(base::config_version after, std::size_t max_entries = 256) const;

  private:
    enum class proposal_phase { creating, settling };
    struct proposal {
        std::uint64_t token = 0;
        change content;
        proposal_phase phase = proposal_phase::creating;
        std::uint64_t request = 0;
        base::instant deadline;
        base::instant retry_at;
        base::milliseconds retry_delay{0};
        /// Whether a create may have reached the service, so that the entry must be read.
        bool in_doubt = false;
        std::string failure;
    };
    enum class follow_state { idle, reading, watching, waiting };
    using actions = std::vector<log_action>;

    void on(const propose& event, base::instant now, actions& out);
    void on(const entry_created& event, base::instant now, actions& out);
    void on(const log_read& event, base::instant now, actions& out);
    void on(const watch_delivered& event, base::instant now, actions& out);
    void on(const watch_ended& event, base::instant now, actions& out);
    void on(const snapshot_written& event, base::instant now, actions& out);
    void on(const peer_version_seen& event, base::instant now, actions& out);
    void on(const peer_answered& event, base::instant now, actions& out);
    void on(const follower_changed& event, base::instant now, actions& out);
    void on(const log_tick& event, base::instant now, actions& out);

    void apply_received(const configuration_ptr& snapshot, const std::vector<log_entry>& entries,
                        base::instant now, actions& out);
    void apply_snapshot(const configuration_ptr& snapshot, actions& out);
    void apply_entry(const log_entry& entry, actions& out);
    void install(configuration_ptr next, actions& out);
    void report_divergence(const log_entry& entry, actions& out);
    const log_entry* find_kept_entry(base::config_version version) const;

    void send_create(proposal& waiting, actions& out);
    void start_settling(proposal& waiting, base::instant now, actions& out);
    void settle_proposals(base::instant now, actions& out);
    /// Returns whether an entry of this change may exist now or later.
    static bool may_have_executed(const proposal& waiting);
    bool settle_from_log(const proposal& waiting, actions& out);
    void expire_or_retry(base::instant now, actions& out);
    void finish(const proposal& waiting, absl::StatusOr<base::config_version> result, actions& out);
    absl::Status conflict_status(const change& rejected, const change& accepted) const;

    void start_reading(base::instant now, actions& out);
    void wait_before_reading(base::instant now);
    void maybe_compact(std::uint64_t stored_entries, actions& out);
    void maybe_fetch(base::instant now, actions& out);
    std::uint64_t next_request() { return ++last_request_; }

    log_core_options options_;
    configuration_ptr current_;
    base::random_source& random_;
    base::config_version newest_known_;
    bool store_reachable_ = false;
    std::vector<log_entry> kept_;
    std::vector<proposal> proposals_;
    std::uint64_t last_request_ = 0;

    bool follows_ = false;
    follow_state follow_ = follow_state::idle;
    std::uint64_t follow_request_ = 0;
    base::instant follow_due_;
    base::milliseconds follow_delay_{0};
    bool compacting_ = false;
    std::uint64_t compact_request_ = 0;

    std::map<base::node_id, base::config_version> peer_versions_;
    std::uint64_t fetch_request_ = 0;
    base::node_id fetch_peer_;
    base::instant fetch_due_;
};

}  // namespace pearbarrow::config
