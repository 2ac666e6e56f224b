// Requests under which back ends have ended (docs/design/lethal-requests.md).
#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// Reason of the rejection of a blocked request.
constexpr std::string_view blocked_reason = "request_ends_back_ends";

}  // namespace

const suspects::request_fingerprint& forwarded_request::fingerprint() {
    if (!fingerprint_.has_value()) {
        const net::http_request& request = exchange_->request();
        fingerprint_ = suspects::fingerprint_of(
            {.tenant = facts_.tenant,
             .program = facts_.program,
             .session = facts_.session,
             .previous_turn = facts_.turn.has_value() ? facts_.turn->previous_turn : "",
             .host = facts_.host,
             .method = request.method,
             .target = request.target,
             .body = request.body});
    }
    return *fingerprint_;
}

suspects::suspect_status forwarded_request::suspect_status() {
    if (context_.suspects == nullptr || context_.suspects->table().is_empty()) {
        return {};
    }
    const suspects::suspect_table& table = context_.suspects->table();
    // A digest is computed only for requests of a tenant and program that has a suspect.
    if (!fingerprint_.has_value() &&
        !table.may_contain(suspects::scope_of(facts_.tenant, facts_.program))) {
        return {};
    }
    return table.status_of(fingerprint().digest, context_.clock.now());
}

bool forwarded_request::reject_if_blocked() {
    const suspects::suspect_status status = suspect_status();
    suspected_ends_ = status.ends;
    if (!status.is_blocked) {
        return false;
    }
    const auto known = context_.suspects->table().find(fingerprint().digest, context_.clock.now());
    context_.log.notable("suspect_refused", {{"request", facts_.request_id},
                                             {"fingerprint", fingerprint().digest},
                                             {"program", facts_.program},
                                             {"tenant", facts_.tenant},
                                             {"route", route_.name},
                                             {"reason", blocked_reason},
                                             {"blocked_for_ms", status.blocked_for.count()},
                                             {"ends", suspects::to_json(*known)}});
    context_.log.count_blocked(facts_.tenant);
    constexpr std::string_view detail = "back ends have ended under earlier tries of this request";
    if (may_have_run_) {
        respond_with_problem(502, blocked_reason, detail, std::nullopt);
    } else {
        respond_with_problem(503, blocked_reason, detail, status.blocked_for);
    }
    return true;
}

void forwarded_request::excuse_if_suspect() {
    if (suspect_status().ends > 0) {
        context_.suspects->on_completed(fingerprint());
    }
}

void forwarded_request::isolate(choice_request& request) const {
    if (context_.isolation == nullptr || context_.suspects->table().is_empty()) {
        return;
    }
    const suspects::isolation_plan& plan = context_.isolation->of(request.service);
    if (suspected_ends_ == 0) {
        request.avoided = plan.reserved;
        return;
    }
    for (const auto& [digest, backend] : plan.trials) {
        if (digest == fingerprint_->digest) {
            request.assigned_backend = backend;
        } else {
            request.avoided.insert(backend);
        }
    }
}

void forwarded_request::begin_trial() {
    context_.suspects->on_trial(fingerprint(), target_.id);
    context_.log.notable("suspect_tried", {{"request", facts_.request_id},
                                           {"fingerprint", fingerprint().digest},
                                           {"backend", target_.id},
                                           {"ends", suspected_ends_},
                                           {"placement", to_string(placed_->reason)}});
}

/// The line of an attempt that began moments ago tells nothing.
void forwarded_request::log_abandoned_attempt() {
    constexpr base::milliseconds min_logged_silence{100};
    const base::microseconds silence = silence_of_attempt();
    if (context_.suspects == nullptr || silence < min_logged_silence) {
        return;
    }
    context_.log.notable("attempt_abandoned", {{"request", facts_.request_id},
                                               {"fingerprint", fingerprint().digest},
                                               {"backend", target_.id},
                                               {"events", event_count_},
                                               {"silent_ms", silence.count() / 1000}});
}

base::microseconds forwarded_request::silence_of_attempt() const {
    base::instant last_sign = attempt_started_at_;
    if (head_received_) {
        last_sign = std::max(last_sign, head_at_);
    }
    if (event_count_ > 0) {
        last_sign = std::max(last_sign, last_event_);
    }
    return context_.clock.now() - last_sign;
}

bool forwarded_request::may_have_ended_backend(const base::error_details& details) const {
    if (context_.suspects == nullptr || details.was_executed == base::executed::no) {
        return false;
    }
    const bool is_closed =
        has_response_ended_ && response_end_.connection == net::connection_end::closed;
    const bool is_lost = details.reason == "connection_lost" || details.reason == "connect_failed";
    return (is_closed || is_lost) && !context_.pool.is_leaving(target_.incarnation());
}

void forwarded_request::examine_end(const base::error_details& details) {
    examination_ = context_.suspects->examine(
        {.target = target_,
         .fingerprint = fingerprint(),
         .request = facts_.request_id,
         .tenant = facts_.tenant,
         .route = route_.name},
        [this, reason = details.reason] { conclude_failed_attempt(true, reason); });
}

}  // namespace pearbarrow::forward
