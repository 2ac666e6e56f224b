/// Internal state of `leader_core`; only the leader's own files include this.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pearbarrow/journal/entry.h"
#include "pearbarrow/journal/leader.h"

namespace pearbarrow::journal {

class leader_core::state {
  public:
    state(base::shard_id shard, base::node_id self, leader_options options);

    std::vector<leader_action> apply(const leader_event& event, instant now);

    bool is_leading() const { return phase_ == phase::leading; }
    const base::ballot& current_ballot() const { return ballot_; }
    log_index commit_index() const { return commit_; }
    log_index last_index() const { return last_; }
    const wire::journal_replica_set& replica_set() const { return set_; }
    std::vector<replica_progress> progress() const;

  private:
    enum class phase { idle, preparing, reading, opening, leading };
    enum class purpose {
        prepare,
        recovery_read,
        append,
        transfer_read,
        transfer_write,
        truncation,
        history_read
    };

    /// A request without a reply so far.
    struct outstanding_request {
        purpose why = purpose::append;
        wire::journal_member to;
        /// The replica it is about: in a transfer, the one that is caught up.
        wire::journal_member subject;
        instant first_sent;
        instant sent;
        /// Sent again, as it was, after a timeout; empty for appends.
        std::optional<wire::journal_request> repeat;
        /// Appends: taken for lost, but a late reply still counts.
        bool expired = false;
    };

    /// Copying what a replica lacks from another replica, one step at a time.
    struct transfer {
        enum class stage { entries, snapshot, retained };
        stage at = stage::entries;
        wire::journal_member source;
        std::uint64_t id = 0;
        std::uint64_t step = 0;
        log_index index;
        base::ballot index_ballot;
        std::uint64_t offset = 0;
        std::string after_key;
        log_index after_index;
        bool is_last_step = false;
        instant last_progress;
    };

    /// Sending the owner's snapshot to one replica, one chunk at a time.
    struct truncation {
        log_index index;
        std::uint64_t offset = 0;
    };

    struct follower {
        wire::journal_member member;
        bool is_learner = false;
        bool lost = false;
        bool caught_up_reported = false;
        /// One request at a time until the replica's log is known to match.
        bool probing = true;
        log_index matched;
        log_index next;
        /// Where to begin again while nothing is known to match.
        log_index probe_from;
        log_index snapshot;
        log_index known_commit;
        std::size_t appends_in_flight = 0;
        instant last_sent;
        /// When the newest acknowledged request was sent, and its id.
        instant last_contact;
        std::uint64_t last_acked_request = 0;
        std::optional<transfer> copying;
        std::optional<truncation> truncating;
    };

    struct ballot_run {
        log_index first;
        base::ballot ballot;
    };
    struct waiting_confirm {
        std::uint64_t token = 0;
        std::uint64_t first_request = 0;
    };
    struct history_read {
        std::uint64_t token = 0;
        std::string key_prefix;
        log_index required;
        instant began;
        std::uint64_t request_id = 0;
        std::size_t attempts = 0;
        std::vector<wire::journal_entry> entries;
    };
    struct owner_snapshot {
        log_index index;
        base::ballot ballot;
        std::string payload;
    };
    using follower_map = std::map<wire::journal_member, follower>;
    using outstanding_map = std::map<std::uint64_t, outstanding_request>;

    // leader.cc: events.
    void on(const campaign& event);
    void on(const replica_replied& event);
    void on(const request_failed& event);
    void on(const append& event);
    void on(const snapshot_taken& event);
    void on(const replica_set_changed& event);
    void on(const learner_added& event);
    void on(const learner_removed& event);
    void on(const confirm& event);
    void on(const read_retained& event);
    void on(const resign& event);
    void on(const tick& event);
    void fence(const base::ballot& by, std::uint64_t epoch, std::string reason);
    void stop();
    void note_loss(const wire::journal_member& member, const wire::journal_reply& reply);
    void dispatch(const outstanding_request& request, const wire::journal_reply& reply);
    void dispatch_catch_up(const outstanding_request& request, const wire::journal_reply& reply);
    void note_contact(follower& replica, std::uint64_t request_id, instant sent,
                      const wire::journal_reply& reply);
    void watch_availability();

    // leader_recovery.cc: campaign and recovery.
    void start_campaign();
    void on_promise(const outstanding_request& request, const wire::journal_reply& reply);
    void start_reading();
    void read_on();
    void on_recovery_read(const wire::journal_reply& reply);
    void open_reign();
    void become_leading();

    // leader_replication.cc: appends and commits.
    void add_entry(wire::journal_entry entry);
    void replicate(follower& replica);
    void replicate_all();
    void send_append(follower& replica);
    void on_append_reply(follower& replica, const outstanding_request& request,
                         const wire::journal_reply& reply);
    void probe_lost(follower& replica);
    void probe_after(follower& replica, log_index hint);
    void expire_appends(follower& replica);
    void advance_commit();
    void report_confirms();
    void trim_window();
    base::ballot ballot_at(log_index index) const;
    void expire_requests();

    // leader_catch_up.cc: transfers, truncation, history reads.
    void start_transfer(follower& replica);
    void read_for_transfer(follower& replica);
    void on_transfer_read(follower& replica, const wire::journal_reply& reply);
    void pass_entries_on(follower& replica, const wire::journal_reply& reply);
    void pass_state_on(follower& replica, const wire::journal_reply& reply);
    void on_transfer_write(follower& replica, const wire::journal_reply& reply);
    void end_transfer(follower& replica);
    const follower* choose_source(const wire::journal_member& target, log_index at_least) const;
    bool is_source(const wire::journal_member& member) const;
    void truncate_replica(follower& replica);
    void on_truncation_reply(follower& replica, const wire::journal_reply& reply);
    void read_history(history_read& read);
    void on_history_reply(const wire::journal_reply& reply);
    void watch_history_reads();
    void fail_history_reads(std::string_view reason);

    wire::journal_header make_header(const wire::journal_member& to);
    /// Sends a request that is repeated as it is until it is answered.
    std::uint64_t send_until_answered(purpose why, const wire::journal_member& subject,
                                      wire::journal_request request);
    void forget_requests(const wire::journal_member& subject, purpose why);
    void drop_follower(const wire::journal_member& member);
    follower* find(const wire::journal_member& member);
    std::size_t majority() const { return majority_of(set_.members.size()); }
    bool in_reign() const { return phase_ == phase::opening || phase_ == phase::leading; }

    base::shard_id shard_;
    base::node_id self_;
    leader_options options_;
    instant now_{};
    std::vector<leader_action> actions_;

    phase phase_ = phase::idle;
    wire::journal_replica_set set_;
    base::ballot ballot_;
    std::uint64_t campaign_number_ = 0;
    std::uint64_t highest_round_ = 0;
    std::uint64_t next_request_ = 1;
    outstanding_map outstanding_;
    follower_map followers_;

    std::map<wire::journal_member, wire::journal_reply> promises_;
    wire::journal_member recovery_source_;
    wire::journal_reply recovery_promise_;
    std::string recovered_snapshot_;
    bool snapshot_read_ = false;

    /// Entries from `window_first_` to `last_`; ballots of all entries since the snapshot.
    std::deque<wire::journal_entry> window_;
    log_index window_first_{1};
    std::size_t window_bytes_ = 0;
    std::vector<ballot_run> runs_;
    log_index last_;
    log_index commit_;
    std::size_t uncommitted_bytes_ = 0;
    log_index ownership_index_;
    /// Entry whose commit establishes the epoch; 0 when established.
    log_index establishing_index_;

    std::optional<owner_snapshot> snapshot_;
    std::vector<waiting_confirm> confirms_;
    std::vector<history_read> history_reads_;
    bool unavailable_reported_ = false;
};

}  // namespace pearbarrow::journal
