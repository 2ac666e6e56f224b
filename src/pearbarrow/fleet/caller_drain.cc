#include "pearbarrow/fleet/caller_drain.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "pearbarrow/base/log.h"

namespace pearbarrow::fleet {
namespace {

/// How long load balancers need to redirect callers. They poll readiness once a second, and act on
/// the second failure.
constexpr base::milliseconds redirect_time{2'600};
/// How long requests that were sent before the listener closed may take to arrive.
constexpr base::milliseconds max_arrival_time{300};
/// Time reserved for the exit of the process.
constexpr base::milliseconds max_exit_time{400};
/// Time reserved for the delivery of the last error responses.
constexpr base::milliseconds max_last_response_time{200};
constexpr base::milliseconds check_interval{50};
constexpr base::milliseconds min_check_interval{5};
/// Reason of requests that are given up because the process ends.
constexpr char stopped_reason[] = "node_stopped";
/// Limit for the log lines about responses that are given up.
constexpr std::size_t max_undelivered_lines = 100;

}  // namespace

drain_schedule make_drain_schedule(base::milliseconds stop_timeout) {
    drain_schedule schedule;
    schedule.stop_accepting = std::min(redirect_time, stop_timeout * 2 / 5);
    schedule.reject_streams =
        schedule.stop_accepting + std::min(max_arrival_time, stop_timeout / 20);
    schedule.end = stop_timeout - std::min(max_exit_time, stop_timeout / 10);
    schedule.give_up = schedule.end - std::min(max_last_response_time, stop_timeout / 20);
    return schedule;
}

caller_drain::caller_drain(parts context, base::milliseconds stop_timeout,
                           std::function<void()> done)
    : context(std::move(context)),
      schedule(make_drain_schedule(stop_timeout)),
      done(std::move(done)),
      started_at(this->context.clock.now()) {
    this->context.callers.disable_keep_alive();
    this->timer =
        this->context.loop.after(this->schedule.stop_accepting, [this] { this->stop_accepting(); });
}

caller_drain::~caller_drain() = default;

base::milliseconds caller_drain::time_since_start() const {
    return std::chrono::duration_cast<base::milliseconds>(this->context.clock.now() -
                                                          this->started_at);
}

void caller_drain::stop_accepting() {
    this->context.callers.stop_accepting();
    base::log(base::log_level::info, "drain_waiting", this->log_fields());
    this->check();
}

nlohmann::json caller_drain::log_fields() const {
    const pending_node_work pending = this->context.node_work();
    return {{"requests", this->context.requests.open_requests()},
            {"responses", this->context.callers.undelivered().size()},
            {"open_reports", pending.has_open_reports},
            {"unconfirmed_writes", pending.unconfirmed_writes},
            {"peer_requests", pending.peers.open_requests},
            {"peer_bytes", pending.peers.queued_bytes}};
}

void caller_drain::check() {
    const base::milliseconds elapsed = this->time_since_start();
    const bool is_drained =
        this->context.callers.is_drained() && this->context.node_work().is_empty();
    if (is_drained || (elapsed >= this->schedule.end && this->has_given_up)) {
        this->end();
        return;
    }
    if (elapsed >= this->schedule.reject_streams) {
        this->context.requests.reject_streams();
    }
    if (elapsed >= this->schedule.give_up && !std::exchange(this->has_given_up, true)) {
        this->give_up();
    }
    this->timer = this->context.loop.after(this->next_check(elapsed), [this] { this->check(); });
}

base::milliseconds caller_drain::next_check(base::milliseconds elapsed) const {
    const base::milliseconds next_step =
        this->has_given_up ? this->schedule.end : this->schedule.give_up;
    return std::clamp(next_step - elapsed, min_check_interval, check_interval);
}

void caller_drain::give_up() {
    base::log(base::log_level::warning, "drain_timeout", this->log_fields());
    this->context.requests.give_up_requests();
    this->context.callers.reject_arriving("node_stopping", "the node stops");
}

void caller_drain::end() {
    std::vector<net::undelivered_response> given_up = this->context.callers.undelivered();
    base::log(given_up.empty() ? base::log_level::info : base::log_level::warning, "drain_ended",
              {{"milliseconds", this->time_since_start().count()},
               {"responses_given_up", given_up.size()}});
    given_up.resize(std::min(given_up.size(), max_undelivered_lines));
    for (net::undelivered_response& response : given_up) {
        response.reason = stopped_reason;
        this->context.log.undelivered(response);
    }
    this->done();
}

}  // namespace pearbarrow::fleet
