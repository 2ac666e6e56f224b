// Attempts at back ends and the handling of their results.
#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forwarded_request.h"
#include "pearbarrow/tenants/caller_identity.h"

namespace pearbarrow::forward {
namespace {

constexpr base::milliseconds min_useful_time{5};

}  // namespace

/// Selects a part of a split route at random, with a probability proportional to its weight.
std::string forwarded_request::choose_service() const {
    std::uint64_t total = 0;
    for (const directory::weighted_service& part : route_.services) {
        total += part.weight;
    }
    if (total == 0) {
        return {};
    }
    std::uint64_t position = context_.random.below(total);
    for (const directory::weighted_service& part : route_.services) {
        if (position < part.weight) {
            return part.service;
        }
        position -= part.weight;
    }
    return {};
}

/// The request may have waited since its key was checked: for storage members, for a quota or for a
/// failed attempt.
bool forwarded_request::is_still_allowed() const {
    if (context_.active == active_) {
        return true;
    }
    const tenants::identity now = tenants::identify(
        context_.active->tenants, route_, {.key_count = facts_.key_count, .key = facts_.key});
    const std::string_view holder = now.tenant == nullptr ? "" : now.tenant->name;
    return now.verdict == tenants::identity_verdict::accepted && holder == facts_.tenant;
}

std::string forwarded_request::scoped(std::string_view id) const {
    return tenants::scoped_id(facts_.tenant, id);
}

void forwarded_request::send() {
    silence_timer_.reset();
    if (time_left() < min_useful_time) {
        on_timeout();
        return;
    }
    if (!is_still_allowed()) {
        respond_with_problem(401, "key_taken_away",
                             "the key does not belong to its tenant any more", std::nullopt);
        return;
    }
    if (stop_if_suspected()) {
        return;
    }
    if (!holds_grant()) {
        request_quota();
        return;
    }
    select_backend();
}

void forwarded_request::select_backend() {
    attempt_started_at_ = context_.clock.now();
    if (is_resumable_stream() && !software_.has_value()) {
        if (!choose_other_software()) {
            reject_placement();
        }
        return;
    }
    service_ = software_.has_value() ? software_->service : choose_service();
    if (suspected_ends_ > 0 && are_trials_paused()) {
        suspects::suspect_status status = suspect_status();
        status.retry_after = context_.options.paused_trial_retry;
        status.resolves_soon = true;
        hold(status);
        return;
    }
    placed_ = context_.pool.choose(placement_request(), attempt_started_at_);
    if (!placed_.has_value()) {
        on_no_backend();
        return;
    }
    target_ = placed_->target;
    context_.log.count_choice(service_, placed_->candidates);
    if (placed_->cold.has_value() && context_.permits != nullptr) {
        select_cold_backend();
        return;
    }
    begin_attempt();
}

choice_request forwarded_request::placement_request() const {
    choice_request request{.service = service_,
                           .version = required_version(),
                           .affinity_key = is_stream() ? scoped(facts_.program) : "",
                           .avoids_failures = is_resumed(),
                           .requires_proof = is_resumed(),
                           .accepts_unstated = is_resumed() && has_sole_version(),
                           .excluded = tried_backends_,
                           .region_limits = placement_bounds(),
                           .without_permit = without_permit_,
                           .prompt_tokens = is_stream() ? facts_.prompt_tokens : 0,
                           .is_first = begins_program(),
                           .previous_backend = previous_backend_};
    request.excluded.insert(unproven_backends_.begin(), unproven_backends_.end());
    request.assigned_backend = provisional_backend_;
    isolate(request);
    return request;
}

void forwarded_request::on_no_backend() {
    if (choose_other_software()) {
        return;
    }
    if (!without_permit_.empty()) {
        wait_for_permit();
    } else if (is_resumed() && software_.has_value()) {
        if (!await_process()) {
            reject_resumed_placement();
        }
    } else {
        reject_placement();
    }
}

void forwarded_request::begin_attempt() {
    if (!may_go_to_target()) {
        conclude_trial();
        withdraw_choice();
        select_backend();
        return;
    }
    if (suspected_ends_ > 0 && !is_trial_) {
        announce_trial();
        return;
    }
    if (is_resumed()) {
        log_resumed();
    } else {
        correct_reservation();
        ask_provisional_process();
    }
    held_since_.reset();
    tried_backends_.insert(target_.id);
    ++attempts_;
    attempt_open_ = true;
    status_ = 0;
    headers_ = {};
    body_.clear();
    buffered_bytes_.set(0);
    is_reading_paused_ = false;
    head_received_ = false;
    carries_events_ = false;
    response_end_ = {};
    has_response_ended_ = false;
    is_foreign_ = false;
    is_rejection_ = false;
    is_verifying_ = false;
    unverified_bytes_.clear();
    net::http_call call = make_call(target_);
    context_.traffic.sent(target_.zone, call.body.size());
    call_ = context_.client.start(
        std::move(call),
        {.on_head = [this](int status,
                           const net::http_headers& headers) { on_head(status, headers); },
         .on_chunk = [this](std::string_view bytes) { on_chunk(bytes); },
         .on_done = [this](const absl::Status& status) { on_call_done(status); },
         .on_connected =
             [this](base::microseconds took) {
                 context_.log.count_connection(target_.service);
                 context_.pool.record_connection(target_.incarnation(), took, context_.clock.now());
             },
         .on_end = [this](const net::response_end& end) { on_response_end(end); }});
    start_silence_timer();
}

net::http_call forwarded_request::make_call(const directory::backend& target) {
    const header_names& names = context_.options.headers;
    const net::http_request& request = exchange_->request();
    net::http_call call{.server = target.address,
                        .method = request.method,
                        .target = request.target,
                        .headers = forwarded_headers(request.headers, names),
                        .body = chain_text_ + request.body,
                        .head_timeout = base::milliseconds{0},
                        .idle_timeout = base::milliseconds{0}};
    // During a network partition a process can end without closing its connections. A request on
    // such a connection would be lost, and may have been executed.
    call.server_incarnation = target.started_at;
    call.connect_timeout = context_.options.connect_timeout;
    call.resend_when_stale = is_repeatable();
    call.is_inside_event = [this] { return carries_events_ && events_.is_inside_event(); };
    call.may_send = [this] { return may_go_to_target() && holds_permit(); };
    call.may_use_connection = [this](base::microseconds heard_for) {
        return may_use_connection(heard_for);
    };
    call.on_idle_lost = [&pool = context_.pool, &clock = context_.clock,
                         incarnation = target.incarnation()] {
        pool.on_process_doubted(incarnation, clock.now());
    };
    const auto caller_left =
        facts_.deadline_ms.has_value()
            ? arrived_ + base::milliseconds{*facts_.deadline_ms} - context_.clock.now()
            : deadline_ - context_.clock.now();
    const auto left = std::chrono::duration_cast<base::milliseconds>(caller_left);
    call.headers.add(names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    call.headers.add(names.target_backend, target.id);
    if (!facts_.tenant.empty()) {
        call.headers.add(names.tenant, facts_.tenant);
    }
    if (facts_.turn.has_value() && facts_.turn->has_budget && context_.options.sends_priority) {
        call.headers.add(names.engine_priority, std::to_string(priority_at_engine()));
    }
    return call;
}

void forwarded_request::on_head(int status, const net::http_headers& headers) {
    const header_names& names = context_.options.headers;
    status_ = status;
    headers_ = headers;
    head_received_ = true;
    carries_events_ = carries_events(headers);
    response_end_.framing = call_->framing();
    head_at_ = context_.clock.now();
    steps_.to_head = head_at_ - attempt_started_at_;
    context_.pool.on_response_head(target_.incarnation(), attempt_started_at_);
    context_.pool.on_heard(target_.incarnation(), head_at_);
    const bool is_proven = is_head_proven();
    record_process();
    const auto echoed = headers.find(names.request_id);
    // This is a late response to an earlier request on the same connection.
    is_foreign_ = echoed.has_value() && *echoed != facts_.request_id;
    is_rejection_ = status == 421 || headers.find(names.not_executed).has_value();
    const bool is_unsigned = is_success(status) && !headers.find(names.signature).has_value();
    if (is_foreign_ || (is_unsigned && !is_rejection_)) {
        call_.reset();
        on_attempt_failed(
            base::make_error(absl::StatusCode::kUnavailable,
                             "the response is unsigned or belongs to another request",
                             {.step = "read",
                              .peer = target_.id,
                              .reason = is_foreign_ ? "foreign_answer" : "unsigned_answer",
                              .was_executed = base::executed::unknown}));
        return;
    }
    if (!is_proven && is_success(status)) {
        verify_process();
    }
    if (is_stream() && is_success(status) && stage_ == response_stage::none) {
        stage_ = response_stage::streaming;
        exchange_->start_stream(status, returned_headers(headers));
    }
}

bool forwarded_request::carries_events(const net::http_headers& headers) const {
    if (!is_stream() || !is_success(status_) || headers.find("Content-Encoding").has_value()) {
        return false;
    }
    const auto type = headers.find("Content-Type");
    return !type.has_value() || net::is_event_stream(*type);
}

void forwarded_request::on_response_end(const net::response_end& end) {
    response_end_ = end;
    has_response_ended_ = true;
}

void forwarded_request::on_call_done(const absl::Status& status) {
    if (!status.ok()) {
        on_attempt_failed(status);
        return;
    }
    if (is_verifying_) {
        break_off("the back end may have been replaced", "process_unproven");
        return;
    }
    if (is_rejection_) {
        on_rejected();
        return;
    }
    on_response_complete();
}

void forwarded_request::end_attempt(attempt_result result) {
    attempt_open_ = false;
    const bool has_not_run = result == attempt_result::refused ||
                             result == attempt_result::unreachable ||
                             result == attempt_result::not_there;
    if (!has_not_run) {
        may_have_run_ = true;
        granted_at_.reset();
    }
    if (head_received_ && !has_response_ended_) {
        response_end_.connection = net::connection_end::canceled;
        response_end_.is_inside_event = carries_events_ && events_.is_inside_event();
    }
    if (head_received_) {
        context_.log.count_response_end(response_end_);
    }
    const base::instant now = context_.clock.now();
    if (!head_received_) {
        context_.pool.on_response_head(target_.incarnation(), attempt_started_at_);
    }
    // The end of the attempt may be a sign that the process has ended.
    was_process_proven_ =
        context_.pool.was_process_proven(target_, first_heard_at_.value_or(now), now);
    const bool has_response = result == attempt_result::served || result == attempt_result::failed;
    const auto took = has_response && is_stream() && event_count_ > 0
                          ? first_event_ - attempt_started_at_
                          : now - attempt_started_at_;
    if (result == attempt_result::served) {
        context_.pool.record_service_time(target_.incarnation(), now - attempt_started_at_);
    }
    if (placed_.has_value()) {
        context_.pool.on_prompt_dropped(*placed_);
    }
    context_.pool.on_attempt_ended(target_.incarnation(), result, took, now);
    if (result == attempt_result::abandoned &&
        silence_of_attempt() > context_.pool.options().evidence.max_head_time) {
        context_.pool.on_process_doubted(target_.incarnation(), now);
    }
    context_.log.count_attempt(to_string(result));
}

attempt_result forwarded_request::result_if_caller_leaves() const {
    const base::microseconds silence = context_.clock.now() - attempt_started_at_;
    return !head_received_ && context_.pool.is_long_silence(target_.incarnation(), silence)
               ? attempt_result::silent
               : attempt_result::abandoned;
}

bool forwarded_request::may_retry(bool ran) const {
    const std::uint32_t allowed = std::max(1U, route_.attempts);
    return (!ran || is_repeatable()) && stage_ == response_stage::none && attempts_ < allowed &&
           time_left() > min_useful_time;
}

void forwarded_request::on_response_complete() {
    judge_completion();
    is_trial_ = false;
    if (status_ >= 500 && may_retry(true)) {
        end_attempt(attempt_result::failed);
        context_.log.notable("attempt_failed", {{"request", facts_.request_id},
                                                {"backend", target_.id},
                                                {"status", status_},
                                                {"attempt", attempts_}});
        send();
        return;
    }
    end_attempt(status_ >= 500 ? attempt_result::failed : attempt_result::served);
    forward_response();
}

void forwarded_request::on_rejected() {
    end_attempt(status_ == 421 ? attempt_result::not_there : attempt_result::refused);
    conclude_trial();
    context_.log.notable("attempt_refused", {{"request", facts_.request_id},
                                             {"backend", target_.id},
                                             {"status", status_},
                                             {"attempt", attempts_},
                                             {"backends_revision", context_.pool.revision()}});
    if (status_ == 421 && context_.suspects != nullptr) {
        context_.suspects->on_replaced(target_.incarnation());
    }
    if (may_retry(false)) {
        send();
        return;
    }
    respond_with_problem(503, "backend_refused", "the back end did not take the request",
                         context_.options.retry_after);
}

void forwarded_request::on_attempt_failed(const absl::Status& status) {
    const base::error_details details = base::details_of(status);
    const bool ran = details.was_executed != base::executed::no;
    if (!ran && details.reason == net::withdrawn_reason) {
        on_withdrawn();
        return;
    }
    end_attempt(ran ? attempt_result::broken : attempt_result::unreachable);
    if (!ran) {
        // Nothing was sent, so this does not count as an attempt. The back end stays excluded.
        --attempts_;
    }
    nlohmann::json fields = {{"request", facts_.request_id},
                             {"backend", target_.id},
                             {"version", target_.version.name},
                             {"address", net::to_string(target_.address)},
                             {"reason", details.reason},
                             {"sent", ran},
                             {"events", event_count_},
                             {"attempt", attempts_},
                             {"fingerprint", fingerprint().digest},
                             {"leaving", context_.pool.is_leaving(target_.incarnation())}};
    add_response_end(fields);
    context_.log.notable("attempt_broken", std::move(fields));
    if (may_have_ended_backend(details)) {
        examine_end(details);
        return;
    }
    conclude_trial();
    conclude_failed_attempt(ran, details.reason);
}

void forwarded_request::conclude_failed_attempt(bool ran, const std::string& reason) {
    if (stage_ == response_stage::streaming) {
        abort_response(reason);
        return;
    }
    if (may_retry(ran)) {
        send();
        return;
    }
    if (ran) {
        respond_with_problem(502, reason, "the back end's answer was lost", std::nullopt);
    } else {
        respond_with_problem(503, reason, "the back end could not be reached",
                             context_.options.retry_after);
    }
}

}  // namespace pearbarrow::forward
