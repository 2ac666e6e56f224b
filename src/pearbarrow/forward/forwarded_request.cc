#include "pearbarrow/forward/forwarded_request.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::forward {
namespace {

/// A caller with more queued bytes reads slowly and is cut off when its response is broken off.
constexpr std::size_t max_pending_bytes_at_abort = std::size_t{64} * 1024;

std::string seconds_text(base::milliseconds time) {
    return fmt::format("{:.3f}", static_cast<double>(time.count()) / 1000.0);
}

}  // namespace

forwarded_request::forwarded_request(forward_context& context,
                                     std::shared_ptr<net::http_exchange> exchange,
                                     std::shared_ptr<const active_configuration> active,
                                     const directory::route& route, request_facts facts,
                                     std::function<void()> on_finished)
    : context_(context),
      exchange_(std::move(exchange)),
      active_(std::move(active)),
      route_(route),
      facts_(std::move(facts)),
      on_finished_(std::move(on_finished)),
      arrived_(context.clock.now()),
      buffered_bytes_(context.buffered, net::buffer_kind::responses),
      events_([this](const net::server_sent_event& event) {
          record_event();
          if (route_.keeps_history) {
              output_ += event.data;
              output_.push_back('\n');
          }
      }) {
    base::milliseconds limit = context_.options.default_timeout;
    if (facts_.deadline_ms.has_value()) {
        limit = base::milliseconds{*facts_.deadline_ms};
    }
    if (route_.timeout_ms > 0) {
        limit = std::min(limit, base::milliseconds{route_.timeout_ms});
    }
    deadline_ = arrived_ + limit;
    ensure_reservation();
}

forwarded_request::~forwarded_request() {
    if (attempt_open_) {
        end_attempt(attempt_result::abandoned);
    }
    release_slot();
}

void forwarded_request::start() {
    exchange_->on_closed([this] { on_caller_gone(); });
    timeout_timer_ = context_.loop.after(time_left(), [this] { on_timeout(); });
    advance();
}

/// Executes the next step before an attempt. The quota follows the preparation: a turn that exceeds
/// the budget of its program is never executed and must not use up the quota of its tenant. Under
/// normal load, this is 2,566 of 52,000 attempted turns, mostly of programs that loop forever.
void forwarded_request::advance() {
    if (stop_if_suspected() || reject_program_if_full()) {
        return;
    }
    if (facts_.turn.has_value() && !prepared_) {
        prepare_turn();
    } else if (!holds_grant()) {
        request_quota();
    } else {
        send();
    }
}

base::milliseconds forwarded_request::time_left() const {
    const auto left =
        std::chrono::duration_cast<base::milliseconds>(deadline_ - context_.clock.now());
    return std::max(left, base::milliseconds{0});
}

bool forwarded_request::is_repeatable() const {
    return route_.kind == directory::request_kind::idempotent;
}

std::string_view forwarded_request::kind_name() const {
    switch (route_.kind) {
        case directory::request_kind::idempotent:
            return "idempotent";
        case directory::request_kind::non_idempotent:
            return "non_idempotent";
        case directory::request_kind::stream:
            return "stream";
    }
    return "unknown";
}

void forwarded_request::forward_response() {
    if (stage_ == response_stage::none) {
        settle(0);
        net::http_response response{
            .status = status_, .headers = returned_headers(headers_), .body = std::move(body_)};
        stage_ = response_stage::done;
        exchange_->respond(std::move(response));
        buffered_bytes_.set(0);
        finish(status_, is_success(status_) ? "served" : "backend_status");
        return;
    }
    if (facts_.turn.has_value() && facts_.turn->has_budget && route_.keeps_history) {
        store_turn();
        return;
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    exchange_->finish();
    finish(status_, is_success(status_) ? "served" : "backend_status");
}

void forwarded_request::respond_with_problem(int status, std::string_view reason,
                                             std::string_view detail,
                                             std::optional<base::milliseconds> retry_after) {
    if (stage_ != response_stage::none) {
        abort_response(reason);
        return;
    }
    stage_ = response_stage::done;
    const bool may_have_run = may_have_run_ || status == 502 || status == 504;
    settle(may_have_run && facts_.turn.has_value() ? facts_.turn->max_tokens : 0);
    const nlohmann::json body = {{"title", reason},
                                 {"status", status},
                                 {"reason", reason},
                                 {"detail", detail},
                                 {"request", facts_.request_id},
                                 {"executed", may_have_run ? "unknown" : "no"},
                                 {"start_anew", must_start_anew_}};
    net::http_response response{
        .status = status,
        .headers = {{"Content-Type", "application/problem+json"}},
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
    if (retry_after.has_value()) {
        response.headers.add("Retry-After", seconds_text(*retry_after));
    }
    exchange_->respond(std::move(response));
    finish(status, reason);
}

void forwarded_request::abort_response(std::string_view reason) {
    stage_ = response_stage::done;
    call_.reset();
    if (attempt_open_) {
        end_attempt(attempt_result::abandoned);
        examine_silence();
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    if (exchange_->pending_bytes() > max_pending_bytes_at_abort) {
        exchange_->abort();
    } else {
        exchange_->abort_after_writes();
    }
    finish(0, reason);
}

void forwarded_request::on_caller_gone() {
    if (is_finished_) {
        return;
    }
    stage_ = response_stage::done;
    call_.reset();
    quota_step_.reset();
    permit_step_.reset();
    permit_retry_timer_.reset();
    process_timer_.reset();
    release_slot();
    if (attempt_open_) {
        log_abandoned_attempt();
        end_attempt(result_if_caller_leaves());
        examine_silence();
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    finish(0, caller_gone_reason());
}

void forwarded_request::on_timeout() {
    if (is_finished_ || is_storing_) {
        return;
    }
    if (attempt_open_) {
        record_turn(event_count_ > 0);
    }
    if (cancel_steps(attempt_result::broken)) {
        respond_with_problem(504, "time_up", "the back end did not answer in time", std::nullopt);
    } else {
        respond_with_problem(503, "time_up", "the request could not be placed in time",
                             context_.options.retry_after);
    }
}

void forwarded_request::give_up() {
    if (is_finished_) {
        return;
    }
    if (is_storing_) {
        abort_response(stopping_reason);
        return;
    }
    if (cancel_steps(attempt_result::abandoned)) {
        respond_with_problem(502, stopping_reason, "the node stopped before the back end responded",
                             std::nullopt);
    } else {
        respond_with_problem(503, stopping_reason,
                             "the node stopped before the request was sent to a back end",
                             context_.options.retry_after);
    }
}

bool forwarded_request::cancel_steps(attempt_result result) {
    const bool was_sent = attempt_open_ || may_have_run_;
    call_.reset();
    reserved_ = reserved_ && may_be_reserved();
    turn_step_.reset();
    quota_step_.reset();
    permit_step_.reset();
    permit_retry_timer_.reset();
    process_timer_.reset();
    release_slot();
    silence_timer_.reset();
    if (attempt_open_) {
        end_attempt(result);
        examine_silence();
    }
    return was_sent;
}

void forwarded_request::finish(int status, std::string_view reason) {
    if (std::exchange(is_finished_, true)) {
        return;
    }
    timeout_timer_.reset();
    silence_timer_.reset();
    hold_timer_.reset();
    process_timer_.reset();
    inquiries_.clear();
    conclude_trial();
    examination_.reset();
    log_end(status, reason);
    on_finished_();
}

void forwarded_request::log_end(int status, std::string_view reason) {
    const base::instant now = context_.clock.now();
    const auto took = now - arrived_;
    context_.log.count_response(kind_name(), status, reason, took);
    nlohmann::json fields = {{"request", facts_.request_id},
                             {"program", facts_.program},
                             {"tenant", facts_.tenant},
                             {"route", route_.name},
                             {"config", active_->config.version},
                             {"backend", target_.id},
                             {"attempts", attempts_},
                             {"status", status},
                             {"reason", reason},
                             {"events", event_count_},
                             {"milliseconds", took.count() / 1000}};
    if (is_stream()) {
        fields["version"] = target_.version.name;
    }
    if (fingerprint_.has_value()) {
        fields["fingerprint"] = fingerprint_->digest;
    }
    add_response_end(fields);
    const bool is_resumed = !facts_.resumed_stream.empty();
    if (is_resumed) {
        fields["resumes"] = facts_.resumed_stream;
    }
    if (reason == "served" && !is_late(now) && !is_resumed) {
        if (response_end_.framing == net::body_framing::until_close) {
            context_.log.unannounced("request_ended", std::move(fields));
        } else {
            context_.log.routine("request_ended", std::move(fields));
        }
        return;
    }
    fields["steps"] = to_json(steps_);
    if (placed_.has_value()) {
        fields["placement"] = to_json(*placed_);
    }
    if (is_stream()) {
        fields["program_left_ms"] = facts_.program_left_ms.value_or(0);
    }
    context_.log.notable("request_ended", std::move(fields));
}

void forwarded_request::add_response_end(nlohmann::json& fields) const {
    if (!head_received_) {
        return;
    }
    fields["framing"] = net::to_string(response_end_.framing);
    fields["connection"] = net::to_string(response_end_.connection);
    fields["inside_event"] = response_end_.is_inside_event;
    fields["verdict"] = net::to_string(net::verdict_of(response_end_));
    fields["caller_framing"] = net::to_string(exchange_->framing());
}

void forwarded_request::record_event() {
    const base::instant now = context_.clock.now();
    if (event_count_ == 0) {
        first_event_ = now;
        steps_.to_first_event = now - head_at_;
        context_.pool.on_heard(target_.incarnation(), now);
        if (placed_.has_value()) {
            context_.pool.on_prompt_read(*placed_, now - attempt_started_at_, now);
        }
        record_turn(now - attempt_started_at_ <= base::milliseconds{route_.objective_ms});
    } else {
        steps_.longest_gap = std::max<base::microseconds>(steps_.longest_gap, now - last_event_);
        if (!std::exchange(was_reading_paused_, false)) {
            context_.pool.record_event(target_.incarnation(), now - last_event_, now);
        }
        steps_.generating = now - first_event_;
    }
    last_event_ = now;
    ++event_count_;
}

/// Late: after the objective (of a stream: its first event), or after the program's deadline.
bool forwarded_request::is_late(base::instant now) const {
    if (facts_.program_left_ms.has_value() &&
        now - arrived_ > base::milliseconds{*facts_.program_left_ms}) {
        return true;
    }
    const base::instant judged = is_stream() && event_count_ > 0 ? first_event_ : now;
    return route_.objective_ms > 0 && judged - arrived_ > base::milliseconds{route_.objective_ms};
}

}  // namespace pearbarrow::forward
