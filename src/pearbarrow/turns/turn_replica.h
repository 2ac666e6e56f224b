/// A storage member: stores turns and reservations before it confirms them, and keeps level with
/// the other members.
///
/// Protocol: nodes that forward requests write to every member of a replica group and count
/// confirmations themselves, so a member never speaks for another. Members of a group list each
/// other's changes from time to time and fetch what they lack; a member whose disk is new is
/// complete once it has read from as many complete members as hold, between them, every confirmed
/// write (`storage_view`). A member that enters another group begins there as with a new disk; one
/// that has been no voter for a while keeps what it has and is not complete.
///
/// Invariants: what a member has confirmed would survive a loss of power; it confirms nothing to
/// whoever counts on voters of its group that it knows to be replaced (`view_stamps.h`).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_board.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/turns/turn_index.h"
#include "pearbarrow/turns/view_stamps.h"

namespace pearbarrow::turns {

struct replica_options {
    base::node_id self;
    index_options index;
    /// Between two listings of each other member.
    base::milliseconds listing_interval{1'500};
    /// The same while this member is not complete, or the other one is to be taken away.
    base::milliseconds catch_up_interval{100};
    base::milliseconds call_timeout{1'000};
    /// Between two writes of how far the others' changes are stored here: what is listed again
    /// after a restart are the changes of about this time.
    base::milliseconds positions_interval{2'000};
    /// After a write that failed which the member needs before it may confirm anything.
    base::milliseconds write_retry{200};
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

    /// Reads the store. Call once, before the links open.
    absl::Status load();
    /// Begins to keep level with the other members.
    void start();
    void set_view(const directory::storage_view& view);

    bool is_complete() const { return complete_; }
    /// The replica group that the disk holds data of; none: it has entered no group yet.
    std::optional<std::uint32_t> group() const { return group_; }
    /// What forwarding nodes have told of their load.
    dispatch::load_board& board() { return board_; }
    /// How long a program that rests may be asked for.
    void keep_reservations_for(base::seconds time) {
        options_.index.reservation_retention = time;
        index_.keep_reservations_for(time);
    }
    /// Runs when the member becomes complete.
    void on_complete(std::function<void()> callback) { on_complete_ = std::move(callback); }
    /// Runs when another member has shown what it holds.
    void on_listed(std::function<void()> callback) { on_listed_ = std::move(callback); }
    /// Whether `member` has stored everything that this one has, or has begun to store.
    bool has_everything(const base::node_id& member) const;
    /// When the member last answered a listing; the start of this object when never.
    base::instant last_heard(const base::node_id& member) const;
    /// Whether everything that the member had at its last listing is stored here.
    bool is_level_with(const base::node_id& member) const;
    std::size_t turn_count() const { return index_.turn_count(); }
    std::size_t program_count() const { return index_.program_count(); }
    std::size_t pending_writes() const { return pending_writes_; }
    /// Forwarding nodes whose load is known.
    std::size_t reporting_nodes() const { return board_.node_count(); }
    /// Other members that this one is not level with.
    std::size_t behind_count() const;
    /// Whether a voter of the group may leave (`view_settlement`).
    bool is_settled() const { return settlement_.is_settled(); }
    /// Lists the others often until it is.
    void hurry_settling();
    /// Whether the disk knows the newest voters that the member does. Before, it would forget by a
    /// restart that it is no voter, and come back as one that has missed nothing.
    bool has_kept_view() const { return kept_view_.voters == known_view_.voters; }
    /// Requests refused since they count on voters that have been replaced.
    std::uint64_t outdated_requests() const { return outdated_requests_; }
    /// Whether the member takes nothing new, neither from edges nor from other members: it is to be
    /// taken away, and the others can only be level with one that stands still.
    void refuse_writes(bool refuse) { refusing_ = refuse; }

  private:
    using responder = std::shared_ptr<net::peer_responder>;

    /// What is known of another member.
    struct other_member {
        directory::storage_member member;
        disk_id disk;
        /// Everything up to here is stored on this disk too.
        change_number taken;
        bool was_complete = false;
        bool level = false;
        /// Newest voters that it knew when it was listed last.
        view_stamp view;
        base::instant heard;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> next;
    };
    /// How far another member has listed this one's changes.
    struct listed_position {
        disk_id disk;
        change_number through;
    };

    void register_methods();
    /// Belongs to the group from here on; data of another one goes.
    void enter_group(std::uint32_t group);
    void write_entry(store_change change);
    /// Takes note of who the group's voters are, and whether this member is one.
    void note_voters(bool is_voter);
    void keep_view();
    /// True: the request counts on replaced voters, and nothing is done for it.
    bool refuses(const view_stamp& asked);
    directory::storage_view newer_view() const;
    /// The newest voters that a restart would not forget.
    view_stamp told_view() const;
    void advance_settlement();
    bool takes_writes() const { return !refusing_ && !entering_; }
    void reserve(const reserve_request& request, responder answer);
    void answer_reserve(const reserve_request& request, const responder& answer);
    void read(const read_request& request, const responder& answer);
    void finish(finish_request request, responder answer);
    void list(const list_request& request, const responder& answer);
    void fetch(const fetch_request& request, const responder& answer);
    void usage(const usage_request& request, const responder& answer);

    /// Stores what is new of it, then runs `done`.
    void store_new(std::vector<turn_record> records, std::vector<reservation> reservations,
                   std::function<void(absl::Status)> done);
    void apply(const store_change& change);
    void note_write(const absl::Status& status);
    dispatch::load_totals totals_for(const dispatch::load_report& report);
    chain_result read_chain(const turn_id& last, std::vector<turn_record>& records) const;

    void ask_listing(const base::node_id& node);
    void take_listing(const base::node_id& node, const absl::StatusOr<std::string>& payload);
    void fetch_missing(const base::node_id& node, std::vector<turn_id> missing,
                       const list_reply& listing);
    void take_records(const base::node_id& node, const absl::StatusOr<std::string>& payload,
                      const list_reply& listing);
    void finish_listing(const base::node_id& node, const list_reply& listing);
    void ask_later(other_member& other, base::milliseconds delay);
    /// Asks all that wait for their next listing.
    void list_now();
    base::milliseconds pause_before_listing(const other_member& other) const;
    void check_complete();
    void keep_positions();
    void expire();

    net::event_loop& loop_;
    net::peer_rpc& rpc_;
    const base::clock& clock_;
    turn_store& store_;
    replica_options options_;
    turn_index index_;
    /// What forwarding nodes have told of their load.
    dispatch::load_board board_;
    disk_id disk_;
    /// Of the member's own group.
    directory::storage_view view_;
    std::optional<std::uint32_t> group_;
    /// The disk has not confirmed yet that it belongs to the group.
    bool entering_ = false;
    std::unique_ptr<net::timer_handle> entry_retry_;
    /// The newest voters of the group, as known and as the disk knows.
    view_stamp known_view_;
    view_stamp kept_view_;
    std::unique_ptr<net::timer_handle> view_retry_;
    /// Since which revision the member is a voter, as it knows; 0: it is none.
    std::uint64_t voter_since_ = 0;
    view_settlement settlement_;
    bool hurries_ = false;
    std::uint64_t outdated_requests_ = 0;
    /// Grows when the data go: writes that began before have no effect after.
    std::uint64_t generation_ = 0;
    std::map<base::node_id, other_member> others_;
    std::map<base::node_id, listed_position> listed_by_;
    /// As read at the start, for members that come into the view after it.
    std::map<base::node_id, peer_position> kept_positions_;
    std::vector<peer_position> written_positions_;
    base::instant positions_kept_at_{};
    std::function<void()> on_complete_;
    std::function<void()> on_listed_;
    std::unique_ptr<net::timer_handle> expiry_;
    base::instant started_{};
    bool running_ = false;
    bool complete_ = false;
    bool refusing_ = false;
    /// Writes that the store has not answered yet.
    std::size_t pending_writes_ = 0;
    /// The store's last write failed: said once, until one succeeds.
    bool write_failed_ = false;
    /// Ends callbacks of the store that come after this object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearbarrow::turns
