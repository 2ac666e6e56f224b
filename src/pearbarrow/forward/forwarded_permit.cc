// Permits for requests to back ends that have just started.
#include <algorithm>
#include <utility>

#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// Cold back ends that are asked for before the request waits or is refused: each question takes a
/// round trip, and when one back end's rate is used up those of the others mostly are.
constexpr std::size_t most_permit_questions = 3;
/// A turn under way asks again this often.
constexpr base::milliseconds permit_pause{40};
/// How long it does so where its route states no objective.
constexpr base::milliseconds default_permit_wait{250};

}  // namespace

void forwarded_request::place_cold() {
    if (without_permit_.size() < most_permit_questions) {
        ask_permit(*placed_->cold);
        return;
    }
    holds_place_ = true;
    leave_place();
    wait_for_permit();
}

void forwarded_request::ask_permit(const slowstart::cold_start& target) {
    holds_place_ = true;
    permit_asked_at_ = context_.clock.now();
    permit_step_ = context_.permits->ask(
        target, [this](const slowstart::permit_decision& decision) { take_permit(decision); });
}

/// A permit counts from the question: the answer may have lain in a buffer.
void forwarded_request::take_permit(const slowstart::permit_decision& decision) {
    const base::instant now = context_.clock.now();
    steps_.permit += now - permit_asked_at_;
    const bool is_late = !holds_permit();
    const std::string_view verdict = is_late ? "too_late" : slowstart::to_string(decision.verdict);
    context_.log.count_permit(verdict);
    if (decision.verdict == slowstart::permit_verdict::granted && !is_late) {
        holds_place_ = false;
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
    leave_place();
    const bool is_first = without_permit_.empty();
    permit_retry_after_ =
        is_first ? decision.retry_after : std::min(permit_retry_after_, decision.retry_after);
    without_permit_.insert(target_.id);
    // From the loop: the next question may not replace this one inside its own callback.
    permit_pause_ = context_.loop.after(base::milliseconds{0}, [this] { send(); });
}

/// Asked again when the request goes out: a connection may take half a second to come up, and a
/// permit that is used late counts in another second than the one it was granted for.
bool forwarded_request::holds_permit() const {
    const bool is_needed =
        placed_.has_value() && placed_->cold.has_value() && context_.permits != nullptr;
    return !is_needed ||
           context_.clock.now() - permit_asked_at_ <= context_.options.permit_lifetime;
}

/// The back end was counted as sent to when it was chosen.
void forwarded_request::leave_place() {
    if (!std::exchange(holds_place_, false)) {
        return;
    }
    context_.pool.withdraw(*placed_, attempt_began_, context_.clock.now());
}

/// All that could run the request are cold and used up. A new program comes back when there is
/// room; one under way would lose what it has done, so it waits while its objective holds.
void forwarded_request::wait_for_permit() {
    const base::instant now = context_.clock.now();
    if (without_permit_since_ == base::instant{}) {
        without_permit_since_ = now;
    }
    const base::milliseconds patience =
        route_.objective_ms > 0 ? base::milliseconds{route_.objective_ms} : default_permit_wait;
    const bool goes_on = facts_.turn.has_value() && !begins_program();
    const bool may_wait = goes_on && now + permit_pause - without_permit_since_ <= patience &&
                          time_left() > 2 * permit_pause;
    if (may_wait) {
        without_permit_.clear();
        permit_pause_ = context_.loop.after(permit_pause, [this] { send(); });
        return;
    }
    if (may_have_run_) {
        answer_problem(502, "backends_cold", "an attempt failed, and no further one could be made",
                       std::nullopt);
        return;
    }
    answer_problem(503, "backends_cold",
                   "the back ends have just started and bear no further request now",
                   spread(std::max(permit_retry_after_, context_.options.retry_after)));
}

}  // namespace pearbarrow::forward
