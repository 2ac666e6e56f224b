/// Everything before a turn may run: reservation, budget and the chain that it goes on from.
#pragma once

#include <functional>
#include <list>
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

/// Protocol: the reservation goes to every member of the program's replica group; the one nearest
/// is asked for the chain with it. When that one lacks the chain, or is slow, all others are asked;
/// a chain found anywhere is the truth. A turn may go on from one of another program: once most of
/// the group lack the chain, the members of all other groups are asked too. It is absent for
/// certain only when every member of every group, each complete, says so. A member that knows newer
/// voters than the ones asked here ends the preparation, which is then to begin anew.
class turn_preparation final : public turn_operation {
  public:
    /// One of the two runs, once.
    struct callbacks {
        std::function<void(prepared_turn)> done;
        /// What the member has told stands in the views. True: it names the newer voters.
        std::function<void(bool is_told)> outdated;
    };

    turn_preparation(net::event_loop& loop, member_caller& caller, const client_options& options,
                     group_views& views, turn_request request, callbacks callbacks);

    void start();

  private:
    /// What one member has said so far.
    struct member_state {
        directory::storage_member member;
        /// The voters that it is asked as one of.
        view_stamp view;
        std::unique_ptr<net::peer_call_handle> reserve_call;
        std::unique_ptr<net::peer_call_handle> read_call;
        std::unique_ptr<net::timer_handle> reserve_retry;
        std::unique_ptr<net::timer_handle> read_retry;
        bool confirmed = false;
        bool confirmed_complete = false;
        bool looked_again = false;
        bool says_absent = false;
        /// Of another replica group: asked for the chain only.
        bool is_elsewhere = false;
    };

    bool wants_chain() const { return !request_.previous.value().empty(); }
    const member_state* nearest() const;
    dispatch::load_report own_load(const member_state& member) const;
    void send_reserve(member_state& member, bool with_chain);
    void take_reserve(member_state& member, bool with_chain,
                      const absl::StatusOr<std::string>& payload);
    void read_from_all();
    void read_elsewhere();
    void send_read(member_state& member);
    void take_read(member_state& member, const absl::StatusOr<std::string>& payload);
    void take_chain(member_state& member, bool is_complete, chain_result result, std::string text);
    void take_absent(member_state& member, bool is_certain);
    void copy_records(std::vector<turn_record> records);
    void judge();
    void look_again();
    void send_usage(member_state& member);
    void take_usage(member_state& member, const absl::StatusOr<std::string>& payload);
    void go_on();
    void end(turn_outcome outcome);
    /// True: the member's answer has ended the preparation.
    bool ends_outdated(const member_state& member,
                       const std::optional<directory::storage_view>& newer);
    static std::list<member_state> states_of(const directory::storage_view& group);
    std::size_t count(bool member_state::*flag) const;
    bool all_say_absent() const;

    net::event_loop& loop_;
    member_caller& caller_;
    client_options options_;
    group_views& views_;
    turn_request request_;
    callbacks callbacks_;
    /// Of the program's group.
    std::list<member_state> members_;
    /// Of the others, once they are asked: a turn costs its own group only.
    std::list<member_state> elsewhere_;
    std::size_t majority_ = 0;
    reservation_union known_;
    std::optional<std::string> chain_;
    std::vector<turn_record> copied_;
    bool chain_is_absent_ = false;
    bool asked_all_ = false;
    bool asked_elsewhere_ = false;
    bool budget_fits_ = false;
    bool looking_again_ = false;
    std::uint64_t view_revision_ = 0;
    std::uint32_t group_ = 0;
    std::unique_ptr<net::timer_handle> limit_;
    std::unique_ptr<net::timer_handle> patience_;
};

}  // namespace pearbarrow::turns
