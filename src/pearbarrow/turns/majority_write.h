/// Writes to every storage member of a replica group and reports success once a majority has
/// confirmed.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/turns/group_views.h"
#include "pearbarrow/turns/member_caller.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

/// The write continues after the majority has confirmed, so that the other members need not fetch
/// the turn later. If a member knows newer voters, the write continues with those; confirmations of
/// members that are still voters remain valid.
class majority_write final {
  public:
    struct callbacks {
        /// Runs once, when a majority of complete members has confirmed or the timeout has expired.
        std::function<void(absl::Status)> done;
        /// Runs once, as the last callback, when every member has stored the write after that, or
        /// the timeout or that of the minority has expired.
        std::function<void()> over;
    };

    majority_write(net::event_loop& loop, member_caller& caller, const client_options& options,
                   group_views& views, std::uint32_t group, finish_request request,
                   base::milliseconds timeout, callbacks callbacks);

    void start();
    /// Drops the `done` callback; the write continues.
    void detach() { callbacks_.done = nullptr; }
    bool is_confirmed() const { return is_confirmed_; }

  private:
    /// State of the write at one member.
    struct member_write {
        directory::storage_member member;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> retry;
        /// The member has stored the write.
        bool stored = false;
        /// The member has stored the write and is complete.
        bool confirmed = false;
        /// The member was a voter when the write began, but is no longer.
        bool is_replaced = false;
        /// `no_reply` to the last request, `incomplete`, or the reason of its failure.
        std::string state;
        /// Number of requests that timed out.
        std::uint32_t timeouts = 0;
    };

    /// Updates the members to the currently known voters and sends the write to new ones.
    void update_voters();
    void send(member_write& write);
    void on_reply(member_write& write, const absl::StatusOr<std::string>& reply);
    void on_incomplete(member_write& write);
    void stop_retries_of_stored();
    void on_newer_view(member_write& write, const directory::storage_view& newer);
    void check_confirmations();
    /// Names the voters that have not confirmed.
    std::string unconfirmed_voters() const;
    void report(const absl::Status& status);
    void end();

    net::event_loop& loop_;
    member_caller& caller_;
    client_options options_;
    base::milliseconds timeout_;
    callbacks callbacks_;
    group_views& views_;
    std::uint32_t group_;
    finish_request request_;
    std::string payload_;
    std::list<member_write> members_;
    /// Whether a majority has confirmed.
    bool is_confirmed_ = false;
    std::unique_ptr<net::timer_handle> timeout_timer_;
    std::unique_ptr<net::timer_handle> minority_timer_;
};

}  // namespace pearbarrow::turns
