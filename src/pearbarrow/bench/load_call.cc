#include "pearbarrow/bench/load_call.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/history.h"

namespace pearbarrow::bench {
namespace {

using nlohmann::json;

constexpr base::milliseconds shortest_pause{20};
constexpr base::milliseconds longest_pause{5'000};
/// A stream on which nothing comes for this long is taken for lost.
constexpr base::milliseconds silent_stream{15'000};
constexpr base::milliseconds head_timeout{20'000};

base::executed executed_of(const json& problem) {
    const std::string text = problem.value("executed", "unknown");
    if (text == "no") {
        return base::executed::no;
    }
    return text == "yes" ? base::executed::yes : base::executed::unknown;
}

/// Steps whose refusals are the journaled answer of the call's number (docs/design/programs.md).
bool settles_number(const json& problem) {
    static const std::set<std::string> steps{"place", "reserve", "run", "generate", "invoke"};
    return steps.contains(problem.value("step", ""));
}

}  // namespace

load_call::load_call(load_context& context, load_request request, done_handler done)
    : context_(context), request_(std::move(request)), done_(std::move(done)) {}

void load_call::start() {
    started_at_ = context_.clock.now();
    node_ = context_.random.below(context_.nodes.size());
    send();
}

void load_call::send() {
    parser_.emplace([this](const net::server_sent_event& event) { take_event(event); });
    result_.reset();
    problem_.reset();
    problem_body_.clear();
    status_ = 0;
    net::http_call call;
    call.server = context_.nodes[node_ % context_.nodes.size()];
    call.method = "POST";
    call.target = fmt::format("/v1/programs/{}/calls", request_.program.value());
    call.headers.add("Authorization", "Bearer " + request_.api_key);
    call.headers.add("Content-Type", "application/json");
    if (!last_event_id_.empty()) {
        call.headers.add("Last-Event-ID", last_event_id_);
    }
    call.body = request_.body.dump();
    call.head_timeout = head_timeout;
    call.idle_timeout = silent_stream;
    handle_ = context_.client.start(
        std::move(call),
        {.on_head = [this](int status, const net::http_headers&) { take_head(status); },
         .on_chunk =
             [this](std::string_view chunk) {
                 if (status_ == 200) {
                     parser_->feed(chunk);
                 } else {
                     problem_body_ += chunk;
                 }
             },
         .on_done = [this](absl::Status status) { take_end(status); }});
}

void load_call::take_head(int status) {
    status_ = status;
}

void load_call::take_event(const net::server_sent_event& event) {
    const json data = json::parse(event.data, nullptr, false);
    if (data.is_discarded()) {
        return;
    }
    if (event.event == "restart") {
        streamed_.clear();
    } else if (event.event == "part") {
        if (outcome_.first_part.count() == 0) {
            outcome_.first_part = context_.clock.now() - started_at_;
        }
        streamed_ += data.value("text", "");
        last_event_id_ = event.id;
    } else if (event.event == "result") {
        result_ = data;
    } else if (event.event == "error") {
        problem_ = data;
    }
}

void load_call::take_end(const absl::Status& status) {
    if (result_.has_value()) {
        outcome_.answered = true;
        outcome_.status = status_;
        outcome_.output = result_->value("output", "");
        context_.history.write(to_json(call_answered{.program = request_.program,
                                                     .call = request_.call,
                                                     .at = context_.clock.unix_microseconds(),
                                                     .output = outcome_.output,
                                                     .streamed = streamed_}));
        finish();
        return;
    }
    if (!problem_.has_value() && status_ >= 400 && status.ok()) {
        problem_ = json::parse(problem_body_, nullptr, false);
    }
    if (problem_.has_value() && problem_->is_object()) {
        take_problem(*problem_);
        return;
    }
    interrupted(status.ok() ? "the answer ended without a result" : status.ToString());
}

void load_call::take_problem(const json& problem) {
    outcome_.status = status_;
    outcome_.reason = problem.value("reason", "");
    outcome_.executed = executed_of(problem);
    const base::milliseconds wait =
        std::clamp(base::milliseconds(problem.value("retry_after_ms", std::int64_t{0})),
                   shortest_pause, longest_pause);
    const bool helps_to_repeat = problem.contains("retry_after_ms") && !out_of_patience();
    const bool is_settled = settles_number(problem);
    const bool may_come_back = helps_to_repeat && !is_settled;
    outcome_.may_use_next_number = helps_to_repeat && is_settled;
    outcome_.next_call_after = wait;
    context_.history.write(to_json(call_refused{.program = request_.program,
                                                .call = request_.call,
                                                .at = context_.clock.unix_microseconds(),
                                                .status = status_,
                                                .reason = outcome_.reason,
                                                .executed = outcome_.executed,
                                                .sent_again = may_come_back}));
    if (!may_come_back) {
        finish();
        return;
    }
    ++outcome_.refusals;
    send_again_after(wait);
}

void load_call::interrupted(const std::string& detail) {
    ++outcome_.interruptions;
    // A connection that could not be opened cut nothing off.
    if (status_ != 0) {
        context_.history.write(to_json(request_cut{.program = request_.program,
                                                   .call = request_.call,
                                                   .at = context_.clock.unix_microseconds(),
                                                   .detail = detail}));
    }
    if (out_of_patience()) {
        outcome_.reason = "out_of_patience: " + detail;
        finish();
        return;
    }
    send_again_after(shortest_pause + base::milliseconds(context_.random.below(80)));
}

void load_call::send_again_after(base::milliseconds delay) {
    ++node_;
    timer_ = context_.loop.after(delay, [this] { send(); });
}

void load_call::finish() {
    outcome_.total = context_.clock.now() - started_at_;
    // The handler may destroy this object.
    const auto done = std::move(done_);
    done(std::move(outcome_));
}

bool load_call::out_of_patience() const {
    return context_.clock.now() - started_at_ > context_.patience;
}

}  // namespace pearbarrow::bench
