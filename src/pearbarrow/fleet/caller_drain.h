/// The end of an edge's service to callers: what happens between the order to stop and the end of
/// the process.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/forward_log.h"
#include "pearbarrow/forward/forward_service.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::fleet {

/// Times after the order to stop, each of which is later than the one before.
struct drain_schedule {
    /// New connections are accepted until then. Load balancers have learned that the node stops.
    base::milliseconds stop_accepting{};
    /// Streams that begin later are rejected, since the node might have to break them off.
    base::milliseconds reject_streams{};
    /// Requests in progress are cancelled with an error response.
    base::milliseconds give_up{};
    /// The process ends.
    base::milliseconds end{};
};

/// What other nodes still wait for.
struct pending_node_work {
    /// Whether reports of ended back ends have not reached all nodes.
    bool has_open_reports = false;
    /// Writes of turns and settlements that no majority has confirmed.
    std::size_t unconfirmed_writes = 0;
    /// Replies to other nodes, including calls that this node relays for them.
    net::peer_backlog peers;

    bool is_empty() const {
        return !this->has_open_reports && this->unconfirmed_writes == 0 && this->peers.is_empty();
    }
};

/// Returns the schedule of a node whose process must have ended `stop_timeout` after the order.
drain_schedule make_drain_schedule(base::milliseconds stop_timeout);

/// Accepts and serves requests until callers have been redirected, and then waits until every
/// response has been delivered and other nodes wait for nothing. What is left near the end of the
/// schedule is cancelled: its callers get an error response, and it is logged.
class caller_drain {
  public:
    struct parts {
        net::event_loop& loop;
        const base::clock& clock;
        net::http_server& callers;
        forward::forward_service& requests;
        forward::forward_log& log;
        std::function<pending_node_work()> node_work;
    };

    /// `done` runs once, when the process may end.
    caller_drain(parts context, base::milliseconds stop_timeout, std::function<void()> done);
    ~caller_drain();
    caller_drain(const caller_drain&) = delete;
    caller_drain& operator=(const caller_drain&) = delete;

  private:
    void stop_accepting();
    void check();
    /// Time until the next check, which is not later than the next step of the schedule.
    base::milliseconds next_check(base::milliseconds elapsed) const;
    void give_up();
    void end();
    base::milliseconds time_since_start() const;
    nlohmann::json log_fields() const;

    parts context;
    drain_schedule schedule;
    std::function<void()> done;
    base::instant started_at;
    bool has_given_up = false;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
