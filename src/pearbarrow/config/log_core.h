/// The configuration log as one node sees it: a state machine without I/O.
///
/// Entry n of the log is a key of the platform's key-value service, created only if entry n is
/// absent and entry n-1 is there. A change is accepted at the moment its entry exists. Nodes apply
/// entries in order and never go back. Two nodes a zone follow the service; the others learn from
/// them, by versions that ride on membership probes and by the peer call `config_fetch`.
///
/// The shell carries out the actions: the platform's ones through `platform/config_log_store.h`.
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

/// Mechanisms that tests switch off, to see their checks fail. Production leaves all on.
struct log_core_faults {
    /// Apply whatever entry comes, also out of order or older.
    bool accept_any_order = false;
    /// Take a lost answer for a refusal, without reading the entry again.
    bool trust_lost_answers = false;
    /// Report a change as accepted before the platform has confirmed it.
    bool accept_early = false;
};

struct log_core_options {
    base::node_id self;
    /// Longest wait of a proposal for its final answer.
    base::milliseconds proposal_timeout{5'000};
    /// Pause before the platform is tried again after a failure, doubled up to the maximum.
    base::milliseconds retry_initial{200};
    base::milliseconds retry_maximum{5'000};
    /// A follower reads the log this often although its watch is open.
    base::milliseconds reread_period{60'000};
    /// A node behind a peer's version waits this long for an answer before it asks another peer.
    base::milliseconds fetch_timeout{1'000};
    /// A follower writes a snapshot once the log in the service holds this many entries.
    std::uint64_t compact_after_entries = 512;
    /// Entries kept in memory to answer peers; older ones are answered with a snapshot.
    std::size_t kept_entries = 1024;
    log_core_faults faults;
};

// ---- Events ----

/// An operator's change. `token` comes back in `proposal_done`.
struct propose {
    std::uint64_t token = 0;
    change content;
};
/// Answer to `create_entry`.
struct entry_created {
    std::uint64_t request = 0;
    /// ok: created by this request. kAlreadyExists: another entry is there, or the base entry is
    /// not the newest. Others: details' `executed` says whether it may exist.
    absl::Status status;
};
/// Answer to `read_log`: a snapshot if the log's head has been compacted, and entries in order.
struct log_read {
    std::uint64_t request = 0;
    absl::Status status;
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
    /// Service revision of the answer; a watch goes on from the next one.
    std::int64_t revision = 0;
    /// Entries now in the service.
    std::uint64_t stored_entries = 0;
};
/// Entries that the watch delivered.
struct watch_delivered {
    std::uint64_t request = 0;
    std::vector<log_entry> entries;
};
struct watch_ended {
    std::uint64_t request = 0;
    absl::Status status;
};
/// Answer to `write_snapshot`.
struct snapshot_written {
    std::uint64_t request = 0;
    absl::Status status;
};
/// A peer's version, from membership.
struct peer_version_seen {
    base::node_id peer;
    base::config_version version;
};
/// Answer to `fetch_from_peer`.
struct peer_answered {
    std::uint64_t request = 0;
    absl::Status status;
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
};
/// Whether this node follows the platform; see membership/rendezvous.h.
struct follower_changed {
    bool follows = false;
};
/// Due about every 100 ms.
struct log_tick {};

using log_event =
    std::variant<propose, entry_created, log_read, watch_delivered, watch_ended, snapshot_written,
                 peer_version_seen, peer_answered, follower_changed, log_tick>;

// ---- Actions ----

/// Create entry `version` in the platform's service, by one transaction.
struct create_entry {
    std::uint64_t request = 0;
    base::config_version version;
    change content;
};
/// Read the entries after `after` from the platform's service, and the snapshot if those are gone.
struct read_log {
    std::uint64_t request = 0;
    base::config_version after;
};
/// Watch for new entries from a service revision on.
struct watch_log {
    std::uint64_t request = 0;
    std::int64_t from_revision = 0;
};
/// Close the watch.
struct cancel_watch {
    std::uint64_t request = 0;
};
/// Store a snapshot in the platform's service and remove the entries before its version.
struct write_snapshot {
    std::uint64_t request = 0;
    configuration_ptr snapshot;
};
/// Ask a peer for what follows `after`, by `wire::config_fetch`.
struct fetch_from_peer {
    std::uint64_t request = 0;
    base::node_id peer;
    base::config_version after;
};
/// The final answer of a proposal: the version, or
/// kAborted `config_conflict` (the message names the winner; executed no),
/// kInvalidArgument `invalid_configuration` (executed no),
/// kUnavailable `config_store_unavailable` with a time to come back (executed no), or
/// kUnavailable `config_outcome_unknown` (executed unknown).
struct proposal_done {
    std::uint64_t token = 0;
    absl::StatusOr<base::config_version> result;
};
/// A newer configuration is in force on this node.
struct config_installed {
    configuration_ptr value;
};
/// The platform or a peer holds another entry at a version that this node has applied. The node
/// keeps its own and goes on; an operator has to look (a service restored from a backup).
struct config_diverged {
    base::config_version version;
    std::string own_change;
    std::string other_change;
};

using log_action = std::variant<create_entry, read_log, watch_log, cancel_watch, write_snapshot,
                                fetch_from_peer, proposal_done, config_installed, config_diverged>;

/// What `config_fetch` answers.
struct log_tail {
    /// Set when the entries after the asked version are no longer all kept.
    configuration_ptr snapshot;
    std::vector<log_entry> entries;
};

class log_core {
  public:
    /// `initial` is the copy from the data folder, or `configuration::empty()`.
    log_core(log_core_options options, configuration_ptr initial, base::random_source& random);

    std::vector<log_action> apply(const log_event& event, base::instant now);

    /// The configuration in force on this node. Its version never falls.
    const configuration_ptr& current() const { return current_; }
    /// Newest version this node knows to exist anywhere.
    base::config_version newest_known() const { return newest_known_; }
    /// The platform's service answered this node's last request.
    bool store_reachable() const { return store_reachable_; }
    /// What a peer at version `after` needs; at most `max_entries` entries.
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
        /// A create may have reached the service: only reading the entry can tell.
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

    void take(const configuration_ptr& snapshot, const std::vector<log_entry>& entries,
              base::instant now, actions& out);
    void take_snapshot(const configuration_ptr& snapshot, actions& out);
    void take_entry(const log_entry& entry, actions& out);
    void install(configuration_ptr next, actions& out);
    void note_divergence(const log_entry& entry, actions& out);
    const log_entry* kept(base::config_version version) const;

    void send_create(proposal& waiting, actions& out);
    void start_settling(proposal& waiting, base::instant now, actions& out);
    void settle_proposals(base::instant now, actions& out);
    /// Whether an entry of this change may exist or come to exist.
    static bool may_have_run(const proposal& waiting);
    bool settle_from_log(const proposal& waiting, actions& out);
    void expire_or_retry(base::instant now, actions& out);
    void finish(const proposal& waiting, absl::StatusOr<base::config_version> result, actions& out);
    absl::Status conflict_status(const change& loser, const change& winner) const;

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
