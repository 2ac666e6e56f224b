/// Replica of one shard's journal: decides on requests, says what to store. Pure: no I/O.
///
/// It keeps only positions and ballots in memory; payloads stay in the store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/journal/replica_store.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::journal {

/// Mechanisms that tests switch off to see the checker fail. Never set elsewhere.
struct replica_core_faults {
    bool skip_previous_check = false;
    /// The promised ballot isn't stored: it is gone after a restart.
    bool forget_promise = false;
    bool skip_epoch_check = false;
    /// Answers for any store: an emptied replica votes as if it remembered.
    bool amnesiac_votes = false;
};

/// What a request leads to: the reply, sent once `operations` are durable. A read is completed by
/// the caller from the store (`reads` is set).
struct replica_step {
    wire::journal_reply reply;
    std::vector<store_operation> operations;
    bool reads = false;
};

class replica_core {
  public:
    replica_core(wire::journal_member self, shard_metadata metadata,
                 replica_core_faults faults = {});

    /// Tells the stored log's entries in order, after construction. Fails with reason
    /// `journal_corrupt` when they are not what the metadata says.
    absl::Status restore(const std::vector<wire::journal_entry>& entries);
    /// Ends the restoring: every entry must have been told.
    absl::Status finish_restore() const;

    replica_step apply(const wire::journal_request& request);

    const shard_metadata& metadata() const { return metadata_; }
    const wire::journal_member& member() const { return self_; }

    /// Ballot of the entry at `index`, which must be at the snapshot's index or later; none past
    /// the end.
    std::optional<base::ballot> ballot_at(base::log_index index) const;

    struct keyed_position {
        std::string key;
        base::log_index index;
        auto operator<=>(const keyed_position&) const = default;
    };
    /// Committed entries in the log (not yet truncated) under the prefix, by key and index.
    std::vector<keyed_position> live_keyed(std::string_view key_prefix,
                                           const retained_cursor& cursor) const;

    /// A reply with this replica's state filled in.
    wire::journal_reply make_reply(const wire::journal_header& header) const;

  private:
    /// Entries from `first` to the next run have this ballot.
    struct ballot_run {
        base::log_index first;
        base::ballot ballot;
    };
    struct snapshot_staging {
        base::ballot ballot;
        base::log_index index;
        std::string payload;
    };
    struct install_staging {
        base::ballot ballot;
        std::uint64_t transfer = 0;
        std::uint64_t next_step = 0;
        std::string payload;
    };

    replica_step apply_body(const wire::journal_prepare_request& request);
    replica_step apply_body(const wire::journal_append_request& request);
    replica_step apply_body(const wire::journal_read_request& request);
    replica_step apply_body(const wire::journal_snapshot_request& request);
    replica_step apply_body(const wire::journal_install_request& request);
    replica_step apply_body(const wire::journal_read_retained_request& request);
    replica_step apply_body(const wire::journal_status_request& request);

    /// The refusal, or none when the request may go on.
    std::optional<replica_step> check_header(const wire::journal_header& header) const;
    std::optional<replica_step> check_ballot(const wire::journal_header& header) const;
    replica_step fail(const wire::journal_header& header, std::string reason) const;
    std::optional<replica_step> check_entries(const wire::journal_append_request& request) const;
    std::optional<replica_step> check_previous(const wire::journal_append_request& request) const;

    /// Takes over the leader's ballot and epoch.
    void accept_leader(const wire::journal_header& header);
    /// False when an entry would replace a committed one.
    bool store_entries(const std::vector<wire::journal_entry>& entries,
                       std::vector<store_operation>& operations);
    void note_entry(const wire::journal_entry& entry);
    void truncate_from(base::log_index from, std::vector<store_operation>& operations);
    /// Drops that become committed are among `operations`; a mere advance isn't stored at once.
    void advance_commit(base::log_index to, std::vector<store_operation>& operations);
    void adopt_snapshot(const wire::journal_snapshot_request& request,
                        std::vector<store_operation>& operations);
    void adopt_install(const wire::journal_install_request& request,
                       std::vector<store_operation>& operations);
    void forget_runs_through(base::log_index index);
    put_metadata stored_metadata() const;

    wire::journal_member self_;
    shard_metadata metadata_;
    replica_core_faults faults_;
    /// The ballot or epoch in memory isn't among the operations handed out so far.
    bool metadata_unsaved_ = false;
    std::vector<ballot_run> runs_;
    /// Last entry told by `restore`, while restoring.
    base::log_index restored_through_;
    std::map<base::log_index, std::string> keyed_;
    /// Drops of entries that are not known to be committed.
    std::map<base::log_index, std::vector<std::string>> pending_drops_;
    std::optional<snapshot_staging> snapshot_staging_;
    std::optional<install_staging> install_staging_;
};

}  // namespace pearbarrow::journal
