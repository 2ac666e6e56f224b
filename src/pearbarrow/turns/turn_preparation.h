/// Prepares a turn: reserves tokens, checks the budget and reads the chain that the turn continues.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/budget_check.h"
#include "pearbarrow/turns/group_views.h"
#include "pearbarrow/turns/member_caller.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

/// Protocol: the reservation is sent to every member of the program's replica group, and the
/// request to the nearest member also reads the chain. If that member lacks the chain or is
/// slow, all others are queried; turns are immutable, so any copy of the chain is valid. A turn may
/// continue a turn of another program: once a majority of the group lacks the chain, the members of
/// all other groups are queried too. The chain is certainly absent only if every member of every
/// group is complete and reports it absent. A reply with newer voters than those used here ends the
/// preparation, which must then be restarted.
class turn_preparation final : public turn_operation {
  public:
    /// Exactly one of the two callbacks runs, once.
    struct callbacks {
        std::function<void(prepared_turn)> done;
        /// The newer view has been recorded in the group views. `names_voters` is true if it names
        /// the newer voters.
        std::function<void(bool names_voters)> outdated;
    };

    turn_preparation(net::event_loop& loop, member_caller& caller, const client_options& options,
                     group_views& views, turn_request request, callbacks callbacks);

    void start();

  private:
    /// Replies of one member so far.
    struct member_state {
        directory::storage_member member;
        /// Stamp of the view under which the member is queried.
        view_stamp view;
        std::unique_ptr<net::peer_call_handle> reserve_call;
        std::unique_ptr<net::peer_call_handle> read_call;
        std::unique_ptr<net::timer_handle> reserve_retry;
        std::unique_ptr<net::timer_handle> read_retry;
        bool confirmed = false;
        bool confirmed_complete = false;
        bool has_reread = false;
        bool reports_absent = false;
        bool reports_partial = false;
        /// See `member_progress`.
        std::string reservation;
        std::string chain;
        /// The member belongs to another replica group and is queried only for the chain.
        bool in_other_group = false;
    };

    bool wants_chain() const { return !request_.previous.value().empty(); }
    const member_state* nearest() const;
    dispatch::load_report load_report_for(const member_state& member) const;
    void send_reserve(member_state& member, bool with_chain);
    void on_reserve_reply(member_state& member, bool with_chain,
                          const absl::StatusOr<std::string>& payload);
    void read_from_all();
    void read_other_groups();
    void send_read(member_state& member);
    void on_read_reply(member_state& member, const absl::StatusOr<std::string>& payload);
    void on_chain_result(member_state& member, bool is_complete, chain_result result,
                         std::string text);
    void on_chain_absent(member_state& member, bool is_certain);
    void set_copied_records(std::vector<turn_record> records);
    void check_budget();
    void reread_reservations();
    void send_usage(member_state& member);
    void on_usage_reply(member_state& member, const absl::StatusOr<std::string>& payload);
    void finish_if_ready();
    void end(turn_outcome outcome);
    /// Ends the preparation if the member reports newer voters. Returns whether it did.
    bool end_if_outdated(const member_state& member,
                         const std::optional<directory::storage_view>& newer);
    std::vector<member_progress> progress() const;
    /// Returns the age of a reservation, 0 if no member has reported it.
    base::milliseconds age_of(const turn_id& turn) const;
    static std::list<member_state> states_of(const directory::storage_view& group);
    std::size_t count(bool member_state::*flag) const;
    bool all_report_absent() const;

    net::event_loop& loop_;
    member_caller& caller_;
    client_options options_;
    group_views& views_;
    turn_request request_;
    callbacks callbacks_;
    /// Members of the program's group.
    std::list<member_state> members_;
    /// Members of the other groups; empty until they are queried, because a turn normally involves
    /// only its own group.
    std::list<member_state> other_members_;
    std::size_t majority_ = 0;
    reservation_union known_;
    std::optional<std::string> chain_;
    std::vector<turn_record> copied_;
    bool chain_is_absent_ = false;
    bool reading_all_ = false;
    bool reading_other_groups_ = false;
    bool budget_fits_ = false;
    bool rereading_ = false;
    std::uint64_t view_revision_ = 0;
    std::uint32_t group_ = 0;
    /// Ages of reservations, the longest of those that members reported.
    std::map<turn_id, base::milliseconds> ages_;
    std::unique_ptr<net::timer_handle> timeout_;
    std::unique_ptr<net::timer_handle> chain_timer_;
};

}  // namespace pearbarrow::turns
