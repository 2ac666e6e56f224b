/// A storage member: stores turns and reservations before it confirms them, and synchronizes with
/// the other members of its group.
///
/// Protocol: edges write to every member of a replica group and count the confirmations themselves,
/// so a member confirms only its own state. Members of a group periodically request listings of
/// each other's changes and fetch the turns that they lack. A member with a new disk becomes
/// complete once it has read from enough members that every confirmed write is among what it has
/// read (`write_coverage.h`). A member that enters another group starts there as with a new
/// disk; one that was not a voter for a while keeps its data but is not complete. A member may drop
/// a turn before it learns of another that continues it. With its next listings it then fetches the
/// dropped turn again, and counts as caught up only once the other member has been asked for it.
///
/// Invariants: everything that a member has confirmed survives a power loss; a member confirms
/// nothing to a sender that relies on voters of its group that the member knows to be replaced
/// (`view_stamps.h`).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_table.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/turns/turn_index.h"
#include "pearbarrow/turns/view_stamps.h"
#include "pearbarrow/turns/write_coverage.h"

namespace pearbarrow::turns {

struct replica_options {
    base::node_id self;
    index_options index;
    /// Interval between listings of each other member.
    base::milliseconds listing_interval{1'500};
    /// Interval between listings while this member is not complete or the other one is retiring.
    base::milliseconds catch_up_interval{100};
    base::milliseconds call_timeout{1'000};
    /// Minimum interval between writes of the positions up to which the others' changes are stored
    /// here. After a restart, the changes of about this time are listed again.
    base::milliseconds positions_interval{2'000};
    /// Delay before the retry of a failed write that is required before the member may confirm
    /// anything.
    base::milliseconds write_retry{200};
    /// Interval between drops of expired entries.
    base::milliseconds expiry_interval{5'000};
    std::size_t listed_changes = 2'000;
    std::size_t fetched_turns = 64;
};

class turn_replica {
  public:
    turn_replica(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                 turn_store& store, replica_options options);
    ~turn_replica();
    turn_replica(const turn_replica&) = delete;
    turn_replica& operator=(const turn_replica&) = delete;

    /// Reads the store. Must be called once, before connections are accepted.
    absl::Status load();
    /// Starts synchronizing with the other members.
    void start();
    void set_view(const directory::storage_view& view);

    bool is_complete() const { return complete_; }
    /// Returns the replica group whose data the disk holds; empty if it has entered no group yet.
    std::optional<std::uint32_t> group() const { return group_; }
    /// Returns the load table that edges report to.
    dispatch::load_table& load_table() { return load_table_; }
    /// Sets how long the reservations of an idle program are kept.
    void set_reservation_retention(base::seconds time) {
        options_.index.reservation_retention = time;
        index_.set_reservation_retention(time);
    }
    /// Sets a callback that runs when the member becomes complete.
    void on_complete(std::function<void()> callback) { on_complete_ = std::move(callback); }
    /// Sets a callback that runs when another member has listed this one's changes.
    void on_listed(std::function<void()> callback) { on_listed_ = std::move(callback); }
    /// Returns whether `member` is complete, and has stored everything that this member has stored
    /// or is storing.
    bool has_everything(const base::node_id& member) const;
    /// Returns when the member last replied to a listing request of this one, or the start time of
    /// this object if it never did.
    base::instant last_reply_from(const base::node_id& member) const;
    /// Returns whether all changes that the member had at its last listing for this one are stored.
    bool is_caught_up_with(const base::node_id& member) const;
    /// Returns whether the member was complete at its last listing for this one.
    bool was_complete(const base::node_id& member) const;
    std::size_t turn_count() const { return index_.turn_count(); }
    std::size_t program_count() const { return index_.program_count(); }
    /// Returns the number of turns that stored turns continue and that are not stored.
    std::size_t missing_turns() const { return index_.missing_count(); }
    std::size_t pending_writes() const { return pending_writes_; }
    /// Returns the number of edges whose load is known.
    std::size_t reporting_nodes() const { return load_table_.node_count(); }
    /// Returns the number of other members that this one is not caught up with.
    std::size_t lagging_members() const;
    /// Returns whether a voter of the group may leave (`view_settlement`).
    bool is_settled() const { return settlement_.is_settled(); }
    /// Requests listings of the other members more often until the voters are settled.
    void accelerate_settlement();
    /// Records that this member has entered the view with its present disk: it has confirmed
    /// nothing that an earlier one held.
    void record_entry();
    /// Returns the members that this one has read since it became a voter; none if it is complete.
    read_members sources() const;
    /// Returns whether the newest known voters are persisted. Until then, a restarted member would
    /// forget that it is no longer a voter and rejoin as one that has missed nothing.
    bool is_view_persisted() const { return persisted_view_.voters == known_view_.voters; }
    /// Returns the number of requests that were rejected because their voters have been replaced.
    std::uint64_t outdated_requests() const { return outdated_requests_; }
    /// Sets whether the member rejects writes from edges and from other members. A retiring member
    /// rejects them because the others can only catch up with a member whose state no longer
    /// changes.
    void reject_writes(bool reject) { rejects_writes_ = reject; }

  private:
    using responder_ptr = std::shared_ptr<net::peer_responder>;

    /// Requests for the missing turns at one other member, in order of their ids.
    struct missing_pass {
        /// Turns up to this one have been requested; empty if no pass is in progress.
        turn_id requested;
        /// Revision of the missing turns at which the current pass began.
        std::uint64_t revision = 0;
        /// Revision at which the last complete pass began.
        std::uint64_t finished = 0;
    };
    /// State of another member of the group.
    struct other_member {
        directory::storage_member member;
        disk_id disk;
        /// Every change of the other member up to this number is stored on this disk too.
        change_number taken;
        bool was_complete = false;
        bool replaces_lost_disk = false;
        bool is_caught_up = false;
        missing_pass missing;
        /// Newest voters that the other member reported in its last listing to this one.
        view_stamp view;
        base::instant last_reply_at;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> next;
    };
    /// Position up to which another member has stored this member's changes.
    struct listed_position {
        disk_id disk;
        change_number through;
        bool is_complete = false;
    };

    void register_methods();
    /// Assigns this member to the group; data of another group is deleted.
    void enter_group(std::uint32_t group);
    void persist_group(store_change change);
    /// Updates the known voters of the group and whether this member is one of them.
    void update_group_voters(bool is_voter);
    void persist_view();
    /// Returns whether the request relies on replaced voters; it must then have no effect.
    bool rejects(const view_stamp& sender);
    directory::storage_view newer_view() const;
    /// Returns the newest voters that are known to be persisted.
    view_stamp persisted_view() const;
    void advance_settlement();
    bool accepts_writes() const { return !rejects_writes_ && !entering_; }
    void reserve(const reserve_request& request, responder_ptr responder);
    void reply_to_reserve(const reserve_request& request, const responder_ptr& responder);
    void read(const read_request& request, const responder_ptr& responder);
    void finish(finish_request request, responder_ptr responder);
    void list(const list_request& request, const responder_ptr& responder);
    void fetch(const fetch_request& request, const responder_ptr& responder);
    /// Returns the requested turns and, nearest first, earlier ones of their chains.
    std::vector<turn_id> with_earlier_turns(const fetch_request& request) const;
    void usage(const usage_request& request, const responder_ptr& responder);

    /// Stores the entries that are new, then runs `done`.
    void store_new(std::vector<turn_record> records, std::vector<reservation> reservations,
                   std::function<void(absl::Status)> done);
    void apply(const store_change& change);
    void record_write_result(const absl::Status& status);
    dispatch::load_totals totals_for(const dispatch::load_report& report);
    chain_result read_chain(const turn_id& last, std::vector<turn_record>& records) const;

    void request_listing(const base::node_id& node);
    void on_listing(const base::node_id& node, const absl::StatusOr<std::string>& payload);
    /// Fetches turns that the listing names.
    void fetch_listed(const base::node_id& node, std::vector<turn_id> turns,
                      const list_reply& listing);
    /// Fetches turns that stored turns continue and that are not stored. Returns false if the
    /// member has been asked for all of them.
    bool fetch_missing(const base::node_id& node, const list_reply& listing);
    void fetch(const base::node_id& node, fetch_request request, list_reply rest);
    void log_missing_turns();
    void on_records(const base::node_id& node, const absl::StatusOr<std::string>& payload,
                    const list_reply& listing);
    void finish_listing(const base::node_id& node, const list_reply& listing);
    void schedule_listing(other_member& other, base::milliseconds delay);
    /// Sends the scheduled listing requests to all members immediately.
    void list_all_now();
    base::milliseconds listing_delay(const other_member& other) const;
    void check_complete();
    void persist_positions();
    void expire();

    net::event_loop& loop_;
    net::peer_rpc& rpc_;
    const base::clock& clock_;
    turn_store& store_;
    replica_options options_;
    turn_index index_;
    /// Loads that edges have reported.
    dispatch::load_table load_table_;
    disk_id disk_;
    /// View of the member's own group.
    directory::storage_view view_;
    std::optional<std::uint32_t> group_;
    /// The assignment to the group has not been persisted yet.
    bool entering_ = false;
    std::unique_ptr<net::timer_handle> group_retry_;
    /// The newest voters of the group: as known, and as persisted.
    view_stamp known_view_;
    view_stamp persisted_view_;
    std::unique_ptr<net::timer_handle> view_retry_;
    /// Revision since which the member is a voter, as far as it knows; 0 if it is none.
    std::uint64_t voter_since_ = 0;
    view_settlement settlement_;
    bool accelerates_settlement_ = false;
    std::uint64_t outdated_requests_ = 0;
    /// Incremented when the data is deleted, so that writes that began before have no effect.
    std::uint64_t generation_ = 0;
    std::map<base::node_id, other_member> others_;
    std::map<base::node_id, listed_position> listed_by_;
    /// Positions loaded at startup, for members that enter the view later.
    std::map<base::node_id, peer_position> loaded_positions_;
    std::vector<peer_position> persisted_positions_;
    base::instant positions_persisted_at_{};
    std::function<void()> on_complete_;
    std::function<void()> on_listed_;
    std::unique_ptr<net::timer_handle> expiry_;
    std::unique_ptr<net::timer_handle> further_expiry_;
    base::instant started_{};
    bool running_ = false;
    bool complete_ = false;
    /// The member may have confirmed writes which an earlier disk held.
    bool replaces_lost_disk_ = true;
    bool rejects_writes_ = false;
    /// Writes that the store has not completed yet.
    std::size_t pending_writes_ = 0;
    /// Whether the last write of the store failed; used to log each change of state once.
    bool write_failed_ = false;
    /// Whether turns were missing at the last check; used to log each change of state once.
    bool misses_turns_ = false;
    /// Set to false on destruction so that later callbacks of the store have no effect.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::turns
