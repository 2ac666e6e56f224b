/// Writes something to every storage member of a replica group until most of them have confirmed
/// it.
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

/// Goes on after the majority, so that the other members need not fetch the turn later. Where a
/// member knows newer voters the write goes on among these; whoever has stored it has it.
class majority_write final {
  public:
    struct callbacks {
        /// Runs once: a majority has confirmed, or the time is up.
        std::function<void(absl::Status)> done;
        /// Runs once, last: every member has confirmed, or the time is up.
        std::function<void()> over;
    };

    majority_write(net::event_loop& loop, member_caller& caller, const client_options& options,
                   group_views& views, std::uint32_t group, finish_request request,
                   base::milliseconds timeout, callbacks callbacks);

    void start();
    /// Nobody waits for `done` any longer; the write goes on.
    void detach() { callbacks_.done = nullptr; }

  private:
    /// One member's part.
    struct member_write {
        directory::storage_member member;
        std::unique_ptr<net::peer_call_handle> call;
        std::unique_ptr<net::timer_handle> retry;
        bool confirmed = false;
        /// It was one when the write began, and is none any more.
        bool is_replaced = false;
        /// Questions that were not answered in time.
        std::uint32_t unanswered = 0;
    };

    /// Writes among the voters as they are known now.
    void take_voters();
    void send(member_write& part);
    void take_reply(member_write& part, const absl::StatusOr<std::string>& reply);
    void take_newer(member_write& part, const directory::storage_view& newer);
    void judge();
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
    std::list<member_write> parts_;
    std::unique_ptr<net::timer_handle> limit_;
};

}  // namespace pearbarrow::turns
