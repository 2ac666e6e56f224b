// Quota of the tenant, checked before the first attempt and before each retry.
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {

/// A request that was delayed after its grant, for example because the machine was suspended,
/// requests a new one. A grant that is used late would count in another window than the one for
/// which it was issued.
bool forwarded_request::holds_grant() const {
    if (!facts_.is_limited) {
        return true;
    }
    return granted_at_.has_value() &&
           context_.clock.now() - *granted_at_ <= context_.quotas.limits().grant_lifetime;
}

void forwarded_request::request_quota() {
    tenants::grant_request request{.tenant = facts_.tenant};
    if (!facts_.program.empty()) {
        request.program = base::stable_hash(facts_.program) | 1U;
        // Every program starts with a turn, so any other request continues a program.
        request.continues = !facts_.turn.has_value() || !facts_.turn->previous_turn.empty();
    }
    quota_step_started_at_ = context_.clock.now();
    quota_step_ = context_.quotas.request_grant(
        std::move(request),
        [this](const tenants::quota_decision& decision) { on_quota_reply(decision); });
}

void forwarded_request::on_quota_reply(const tenants::quota_decision& decision) {
    const base::instant now = context_.clock.now();
    steps_.quota += now - quota_step_started_at_;
    context_.log.count_quota(facts_.tenant, tenants::to_string(decision.verdict));
    if (decision.verdict != tenants::quota_verdict::granted) {
        reject_by_quota(decision);
        return;
    }
    granted_at_ = now;
    advance();
}

void forwarded_request::reject_by_quota(const tenants::quota_decision& decision) {
    const std::string_view reason = tenants::to_string(decision.verdict);
    context_.log.notable("quota_refused", {{"request", facts_.request_id},
                                           {"program", facts_.program},
                                           {"tenant", facts_.tenant},
                                           {"reason", reason},
                                           {"member", decision.member},
                                           {"left", decision.reply.left},
                                           {"share_per_100_s", decision.reply.rate_hundredths},
                                           {"in_window", decision.reply.in_window},
                                           {"programs_under_way", decision.reply.programs},
                                           {"config", decision.reply.config},
                                           {"retry_after_ms", decision.retry_after.count()}});
    if (may_have_run_) {
        respond_with_problem(502, reason, "an attempt failed, and no further one could be made",
                             std::nullopt);
        return;
    }
    if (decision.verdict == tenants::quota_verdict::over_limit) {
        respond_with_problem(429, reason, "the tenant is at its limit",
                             spread(decision.retry_after));
        return;
    }
    respond_with_problem(503, reason,
                         "no storage member that counts the tenant's requests answered",
                         spread(context_.options.retry_after));
}

}  // namespace pearbarrow::forward
