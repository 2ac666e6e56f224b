/// The end of an edge's service to callers: what happens between the order to stop and the end of
/// the process.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/forward_log.h"
#include "pearbarrow/forward/forward_service.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace pearbarrow::fleet {

/// Times after the order to stop, each of which is later than the one before.
struct drain_schedule {
    /// New connections are accepted until then. Load balancers have learned that the node stops.
    base::milliseconds stop_accepting{};
    /// Requests in progress are given up, and their callers are told.
    base::milliseconds give_up{};
    /// The process ends.
    base::milliseconds end{};
};

/// Returns the schedule of a node whose process must have ended `stop_timeout` after the order.
drain_schedule make_drain_schedule(base::milliseconds stop_timeout);

/// Accepts and serves requests until callers have been redirected, and then waits until nothing is
/// owed: to callers, until every response has been delivered; to other nodes, until `is_idle`. What
/// is still owed at the end of the schedule is logged.
class caller_drain {
  public:
    struct parts {
        net::event_loop& loop;
        const base::clock& clock;
        net::http_server& callers;
        forward::forward_service& requests;
        forward::forward_log& log;
        /// Whether this node owes nothing to other nodes.
        std::function<bool()> is_idle;
    };

    /// `done` runs once, when the process may end.
    caller_drain(parts context, base::milliseconds stop_timeout, std::function<void()> done);
    ~caller_drain();
    caller_drain(const caller_drain&) = delete;
    caller_drain& operator=(const caller_drain&) = delete;

  private:
    void stop_accepting();
    void check();
    void give_up();
    void end();
    base::milliseconds time_since_start() const;

    parts context;
    drain_schedule schedule;
    std::function<void()> done;
    base::instant started_at;
    bool has_given_up = false;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
