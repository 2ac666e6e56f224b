// Permits for requests to back ends that have just started.
#include <algorithm>
#include <utility>

#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// Maximum number of permit requests before the request waits or is rejected. Each takes a round
/// trip, and when the rate of one cold back end is used up, those of the others usually are too.
constexpr std::size_t max_permit_requests = 3;
/// Interval at which a turn of a running program retries.
constexpr base::milliseconds permit_retry_interval{40};
/// Maximum wait for a permit if the route has no objective.
constexpr base::milliseconds default_permit_wait{250};

}  // namespace

void forwarded_request::select_cold_backend() {
    if (without_permit_.size() < max_permit_requests) {
        request_permit(*placed_->cold);
        return;
    }
    holds_slot_ = true;
    release_slot();
    wait_for_permit();
}

void forwarded_request::request_permit(const slowstart::cold_start& target) {
    holds_slot_ = true;
    permit_requested_at_ = context_.clock.now();
    permit_step_ = context_.permits->request_permit(
        target, [this](const slowstart::permit_decision& decision) { on_permit_reply(decision); });
}

/// The lifetime of a permit starts with its request, because the reply may have been delayed in a
/// buffer.
void forwarded_request::on_permit_reply(const slowstart::permit_decision& decision) {
    const base::instant now = context_.clock.now();
    steps_.permit += now - permit_requested_at_;
    const bool is_late = !holds_permit();
    const std::string_view verdict = is_late ? "too_late" : slowstart::to_string(decision.verdict);
    context_.log.count_permit(verdict);
    if (decision.verdict == slowstart::permit_verdict::granted && !is_late) {
        holds_slot_ = false;
        begin_attempt();
        return;
    }
    context_.log.notable("start_permit_refused",
                         {{"request", facts_.request_id},
                          {"program", facts_.program},
                          {"backend", target_.id},
                          {"started_at", target_.started_at},
                          {"reason", verdict},
                          {"retry_after_ms", decision.retry_after.count()}});
    release_slot();
    const bool is_first = without_permit_.empty();
    permit_retry_after_ =
        is_first ? decision.retry_after : std::min(permit_retry_after_, decision.retry_after);
    without_permit_.insert(target_.id);
    // Deferred to the event loop, because the next permit request must not replace this one within
    // its callback.
    permit_retry_timer_ = context_.loop.after(base::milliseconds{0}, [this] { send(); });
}

/// Checked again when the request is sent. A connection may take half a second to establish, and a
/// permit that is used late counts in another second than the one for which it was granted.
bool forwarded_request::holds_permit() const {
    const bool is_needed =
        placed_.has_value() && placed_->cold.has_value() && context_.permits != nullptr;
    return !is_needed ||
           context_.clock.now() - permit_requested_at_ <= context_.options.permit_lifetime;
}

/// The request was counted at the back end when the back end was selected.
void forwarded_request::release_slot() {
    if (!std::exchange(holds_slot_, false)) {
        return;
    }
    context_.pool.withdraw(*placed_, attempt_started_at_, context_.clock.now());
}

/// All suitable back ends are cold and at their limit. A new program is rejected with a retry
/// delay. A turn of a running program waits for up to its objective, because the work of the
/// program would be lost.
void forwarded_request::wait_for_permit() {
    if (choose_other_software()) {
        return;
    }
    const base::instant now = context_.clock.now();
    if (without_permit_since_ == base::instant{}) {
        without_permit_since_ = now;
    }
    const base::milliseconds patience =
        route_.objective_ms > 0 ? base::milliseconds{route_.objective_ms} : default_permit_wait;
    const bool is_running_program = facts_.turn.has_value() && !begins_program();
    const bool may_wait = is_running_program &&
                          now + permit_retry_interval - without_permit_since_ <= patience &&
                          time_left() > 2 * permit_retry_interval;
    if (may_wait) {
        without_permit_.clear();
        permit_retry_timer_ = context_.loop.after(permit_retry_interval, [this] { send(); });
        return;
    }
    if (may_have_run_) {
        respond_with_problem(502, "backends_cold",
                             "an attempt failed, and no further one could be made", std::nullopt);
        return;
    }
    respond_with_problem(503, "backends_cold",
                         "the back ends have just started and bear no further request now",
                         spread(std::max(permit_retry_after_, context_.options.retry_after)));
}

}  // namespace pearbarrow::forward
