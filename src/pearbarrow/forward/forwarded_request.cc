#include "pearbarrow/forward/forwarded_request.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::forward {
namespace {

constexpr base::milliseconds least_useful_time{5};
constexpr std::size_t max_buffered_answer_bytes = std::size_t{8} * 1024 * 1024;

bool is_success(int status) {
    return status >= 200 && status < 300;
}

std::string seconds_text(base::milliseconds time) {
    return fmt::format("{:.3f}", static_cast<double>(time.count()) / 1000.0);
}

}  // namespace

forwarded_request::forwarded_request(forward_context& context,
                                     std::shared_ptr<net::http_exchange> exchange,
                                     std::shared_ptr<const active_configuration> active,
                                     const directory::route& route, request_facts facts,
                                     std::function<void()> on_over)
    : context_(context),
      exchange_(std::move(exchange)),
      active_(std::move(active)),
      route_(route),
      facts_(std::move(facts)),
      on_over_(std::move(on_over)),
      arrived_(context.clock.now()),
      events_([this](const net::server_sent_event& event) {
          if (event_count_ == 0) {
              first_event_ = context_.clock.now();
          }
          ++event_count_;
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
    time_up_ = arrived_ + limit;
}

forwarded_request::~forwarded_request() {
    if (attempt_open_) {
        end_attempt(attempt_result::abandoned);
    }
}

void forwarded_request::start() {
    exchange_->on_closed([this] { on_caller_gone(); });
    limit_ = context_.loop.after(time_left(), [this] { on_time_up(); });
    if (facts_.turn.has_value()) {
        prepare_turn();
    } else {
        send();
    }
}

base::milliseconds forwarded_request::time_left() const {
    const auto left =
        std::chrono::duration_cast<base::milliseconds>(time_up_ - context_.clock.now());
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

/// The same request goes to the same part of a split route; over many requests the parts get their
/// weights' shares.
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

void forwarded_request::send() {
    patience_.reset();
    if (time_left() < least_useful_time) {
        on_time_up();
        return;
    }
    attempt_began_ = context_.clock.now();
    const auto chosen = context_.pool.choose({.service = choose_service(),
                                              .affinity_key = is_stream() ? facts_.program : "",
                                              .excluded = tried_},
                                             attempt_began_);
    if (!chosen.has_value()) {
        answer_problem(503, "no_backend", "no back end can take the request now", true);
        return;
    }
    target_ = chosen->target;
    tried_.insert(target_.id);
    ++attempts_;
    attempt_open_ = true;
    status_ = 0;
    headers_ = {};
    body_.clear();
    head_seen_ = false;
    is_foreign_ = false;
    is_refusal_ = false;
    call_ = context_.client.start(
        make_call(target_),
        {.on_head = [this](int status,
                           const net::http_headers& headers) { on_head(status, headers); },
         .on_chunk = [this](std::string_view bytes) { on_chunk(bytes); },
         .on_done = [this](const absl::Status& status) { on_call_done(status); }});
    watch_silence();
}

net::http_call forwarded_request::make_call(const directory::backend& target) const {
    const header_names& names = context_.options.headers;
    const net::http_request& request = exchange_->request();
    net::http_call call{.server = target.address,
                        .method = request.method,
                        .target = request.target,
                        .headers = passed_on(request.headers, names),
                        .body = chain_text_ + request.body,
                        .head_timeout = base::milliseconds{0},
                        .idle_timeout = base::milliseconds{0}};
    call.connect_timeout = context_.options.connect_timeout;
    call.resend_when_stale = is_repeatable();
    const auto caller_left =
        facts_.deadline_ms.has_value()
            ? arrived_ + base::milliseconds{*facts_.deadline_ms} - context_.clock.now()
            : time_up_ - context_.clock.now();
    const auto left = std::chrono::duration_cast<base::milliseconds>(caller_left);
    call.headers.add(names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    call.headers.add(names.target_backend, target.id);
    return call;
}

void forwarded_request::watch_silence() {
    if (!is_repeatable() || route_.objective_ms == 0 || !may_try_again(true)) {
        return;
    }
    const auto patience =
        context_.pool.patience(target_.id, base::milliseconds{route_.objective_ms});
    patience_ = context_.loop.after(patience, [this] { on_silence(); });
}

void forwarded_request::on_silence() {
    if (head_seen_ || !attempt_open_ || !may_try_again(true)) {
        return;
    }
    call_.reset();
    take_failure(base::make_error(absl::StatusCode::kDeadlineExceeded, "no answer for long",
                                  {.step = "read",
                                   .peer = target_.id,
                                   .reason = "silent",
                                   .was_executed = base::executed::unknown}));
}

void forwarded_request::on_head(int status, const net::http_headers& headers) {
    const header_names& names = context_.options.headers;
    status_ = status;
    headers_ = headers;
    head_seen_ = true;
    context_.pool.answered(target_.id, attempt_began_);
    const auto echoed = headers.find(names.request_id);
    // The late answer to an earlier request of the same connection.
    is_foreign_ = echoed.has_value() && *echoed != facts_.request_id;
    is_refusal_ = status == 421 || headers.find(names.not_executed).has_value();
    const bool is_unsigned = is_success(status) && !headers.find(names.signature).has_value();
    if (is_foreign_ || (is_unsigned && !is_refusal_)) {
        call_.reset();
        take_failure(base::make_error(absl::StatusCode::kUnavailable,
                                      "the answer is not this request's own",
                                      {.step = "read",
                                       .peer = target_.id,
                                       .reason = is_foreign_ ? "foreign_answer" : "unsigned_answer",
                                       .was_executed = base::executed::unknown}));
        return;
    }
    if (is_stream() && is_success(status) && stage_ == answer_stage::none) {
        stage_ = answer_stage::streaming;
        exchange_->start_stream(status, passed_back(headers));
    }
}

void forwarded_request::on_chunk(std::string_view bytes) {
    if (stage_ == answer_stage::streaming) {
        events_.feed(bytes);
        exchange_->write(std::string(bytes));
        return;
    }
    if (body_.size() + bytes.size() <= max_buffered_answer_bytes) {
        body_.append(bytes);
    }
}

void forwarded_request::on_call_done(const absl::Status& status) {
    if (!status.ok()) {
        take_failure(status);
        return;
    }
    if (is_refusal_) {
        take_refusal();
        return;
    }
    take_whole_answer();
}

void forwarded_request::end_attempt(attempt_result result) {
    attempt_open_ = false;
    const base::instant now = context_.clock.now();
    if (!head_seen_) {
        context_.pool.answered(target_.id, attempt_began_);
    }
    const auto took =
        is_stream() && event_count_ > 0 ? first_event_ - attempt_began_ : now - attempt_began_;
    context_.pool.ended(target_.id, result, took, now);
    context_.log.count_attempt(to_string(result));
}

bool forwarded_request::may_try_again(bool ran) const {
    const std::uint32_t allowed = std::max(1U, route_.attempts);
    return (!ran || is_repeatable()) && stage_ == answer_stage::none && attempts_ < allowed &&
           time_left() > least_useful_time;
}

void forwarded_request::take_whole_answer() {
    if (status_ >= 500 && may_try_again(true)) {
        end_attempt(attempt_result::failed);
        context_.log.notable("attempt_failed", {{"request", facts_.request_id},
                                                {"backend", target_.id},
                                                {"status", status_},
                                                {"attempt", attempts_}});
        send();
        return;
    }
    end_attempt(status_ >= 500 ? attempt_result::failed : attempt_result::served);
    pass_answer();
}

void forwarded_request::pass_answer() {
    if (stage_ == answer_stage::none) {
        settle(0);
        net::http_response response{
            .status = status_, .headers = passed_back(headers_), .body = std::move(body_)};
        stage_ = answer_stage::done;
        exchange_->respond(std::move(response));
        finish(status_, is_success(status_) ? "served" : "backend_status");
        return;
    }
    if (facts_.turn.has_value() && route_.keeps_history) {
        store_turn();
        return;
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    exchange_->finish();
    finish(status_, "served");
}

void forwarded_request::take_refusal() {
    end_attempt(attempt_result::refused);
    context_.log.notable("attempt_refused", {{"request", facts_.request_id},
                                             {"backend", target_.id},
                                             {"status", status_},
                                             {"attempt", attempts_},
                                             {"backends_revision", context_.pool.revision()}});
    if (may_try_again(false)) {
        send();
        return;
    }
    answer_problem(503, "backend_refused", "the back end did not take the request", true);
}

void forwarded_request::take_failure(const absl::Status& status) {
    const base::error_details details = base::details_of(status);
    const bool ran = details.was_executed != base::executed::no;
    end_attempt(ran ? attempt_result::broken : attempt_result::unreachable);
    if (!ran) {
        // Nothing was sent: the back end does not count as one that the request was sent to.
        --attempts_;
    }
    context_.log.notable("attempt_broken", {{"request", facts_.request_id},
                                            {"backend", target_.id},
                                            {"address", net::to_string(target_.address)},
                                            {"reason", details.reason},
                                            {"sent", ran},
                                            {"events", event_count_},
                                            {"attempt", attempts_}});
    if (stage_ == answer_stage::streaming) {
        break_off(details.reason);
        return;
    }
    if (may_try_again(ran)) {
        send();
        return;
    }
    if (ran) {
        answer_problem(502, details.reason, "the back end's answer was lost", false);
    } else {
        answer_problem(503, details.reason, "the back end could not be reached", true);
    }
}

void forwarded_request::answer_problem(int status, std::string_view reason, std::string_view detail,
                                       bool come_back) {
    if (stage_ != answer_stage::none) {
        break_off(reason);
        return;
    }
    stage_ = answer_stage::done;
    const bool may_have_run = status == 502 || status == 504;
    settle(may_have_run && facts_.turn.has_value() ? facts_.turn->most_tokens : 0);
    const nlohmann::json body = {{"title", reason},
                                 {"status", status},
                                 {"reason", reason},
                                 {"detail", detail},
                                 {"request", facts_.request_id},
                                 {"executed", may_have_run ? "unknown" : "no"}};
    net::http_response response{
        .status = status,
        .headers = {{"Content-Type", "application/problem+json"}},
        .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
    if (come_back) {
        response.headers.add("Retry-After", seconds_text(context_.options.retry_after));
    }
    exchange_->respond(std::move(response));
    finish(status, reason);
}

void forwarded_request::break_off(std::string_view reason) {
    stage_ = answer_stage::done;
    call_.reset();
    if (attempt_open_) {
        end_attempt(attempt_result::abandoned);
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    exchange_->abort();
    finish(0, reason);
}

void forwarded_request::on_caller_gone() {
    if (over_) {
        return;
    }
    stage_ = answer_stage::done;
    call_.reset();
    if (attempt_open_) {
        end_attempt(attempt_result::abandoned);
    }
    if (facts_.turn.has_value()) {
        settle(spent_tokens());
    }
    finish(0, "caller_gone");
}

void forwarded_request::on_time_up() {
    if (over_ || storing_) {
        return;
    }
    const bool was_sent = attempt_open_;
    call_.reset();
    turn_step_.reset();
    patience_.reset();
    if (attempt_open_) {
        end_attempt(attempt_result::broken);
    }
    if (was_sent) {
        answer_problem(504, "time_up", "the back end did not answer in time", false);
    } else {
        answer_problem(503, "time_up", "the request could not be placed in time", true);
    }
}

void forwarded_request::finish(int status, std::string_view reason) {
    if (std::exchange(over_, true)) {
        return;
    }
    limit_.reset();
    patience_.reset();
    log_end(status, reason);
    on_over_();
}

void forwarded_request::log_end(int status, std::string_view reason) {
    const auto took = context_.clock.now() - arrived_;
    context_.log.count_answer(kind_name(), status, reason, took);
    const nlohmann::json fields = {{"request", facts_.request_id},
                                   {"program", facts_.program},
                                   {"route", route_.name},
                                   {"config", active_->config.version},
                                   {"backend", target_.id},
                                   {"attempts", attempts_},
                                   {"status", status},
                                   {"reason", reason},
                                   {"events", event_count_},
                                   {"milliseconds", took.count() / 1000}};
    const bool is_slow =
        route_.objective_ms > 0 && !is_stream() && took > base::milliseconds{route_.objective_ms};
    if (reason == "served" && !is_slow) {
        context_.log.routine("request_ended", fields);
    } else {
        context_.log.notable("request_ended", fields);
    }
}

}  // namespace pearbarrow::forward
