// Admission of new programs and the priority of their turns.
#include <algorithm>

#include "pearbarrow/forward/engine_priority.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {

/// If the fleet keeps the history, a first turn continues no other turn, and that of a sub-agent
/// continues a turn of its parent. Otherwise only the storage members know whether the program has
/// used any tokens.
bool forwarded_request::begins_program() const {
    if (!facts_.turn.has_value() || !facts_.turn->has_budget ||
        !facts_.turn->previous_turn.empty() || is_resumed()) {
        return false;
    }
    return route_.keeps_history || (prepared_ && other_tokens_ == 0);
}

bool forwarded_request::reject_program_if_full() {
    if (admission_checked_ || !begins_program() || route_.services.empty()) {
        return false;
    }
    admission_checked_ = true;
    const base::instant now = context_.clock.now();
    const service_load load = context_.pool.load_of(route_.services.front().service, now);
    const auto retry_after = context_.admission.check(load, now);
    if (!retry_after.has_value()) {
        return false;
    }
    context_.log.notable("program_turned_away", {{"request", facts_.request_id},
                                                 {"program", facts_.program},
                                                 {"tenant", facts_.tenant},
                                                 {"service", load.service},
                                                 {"requests", load.requests},
                                                 {"places", load.slots},
                                                 {"load_known", load.is_known},
                                                 {"retry_after_ms", retry_after->count()}});
    respond_with_problem(503, "engines_full", "the engines have no room for another program now",
                         spread(*retry_after));
    return true;
}

void forwarded_request::record_turn(bool in_time) {
    if (facts_.turn.has_value() && facts_.turn->has_budget && route_.objective_ms > 0) {
        context_.admission.record_turn(in_time, context_.clock.now());
    }
}

std::uint32_t forwarded_request::priority_at_engine() const {
    const auto left = facts_.program_left_ms;
    const auto passed = context_.clock.now() - arrived_;
    return engine_priority({.rank = facts_.tenant_priority.value_or(route_.priority),
                            .is_first = begins_program(),
                            .is_late = left.has_value() && passed >= base::milliseconds{*left}});
}

}  // namespace pearbarrow::forward
