#include "pearbarrow/emulator/runner.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::emulator {
namespace {

constexpr char request_id_header[] = "Pearbarrow-Request-Id";
constexpr char target_header[] = "Pearbarrow-Target-Instance";
constexpr char deadline_header[] = "Pearbarrow-Deadline-Ms";
constexpr char signature_header[] = "Pearbarrow-Response-Signature";
constexpr char not_executed_header[] = "Pearbarrow-Not-Executed";
constexpr char usage_header[] = "Pearbarrow-Token-Usage";
constexpr char last_event_header[] = "Last-Event-Id";
constexpr char id_header[] = "Pearbarrow-Instance-Id";

/// Time in which an event reaches the caller before the connection breaks.
constexpr base::milliseconds time_before_cut{20};

}  // namespace

runner::runner(net::event_loop& loop, runner_options options)
    : loop_(loop), options_(std::move(options)), server_(make_server({"127.0.0.1", 0})) {}

runner::~runner() = default;

std::unique_ptr<net::http_server> runner::make_server(const net::endpoint& listen) {
    return net::make_http_server(loop_, {.listen = listen},
                                 [this](const exchange_pointer& exchange) { handle(exchange); });
}

absl::Status runner::start_again(std::uint64_t born) {
    crash();
    options_.born = born;
    server_ = make_server(address_);
    return server_->start();
}

void runner::crash() {
    crash_timer_.reset();
    end_streams();
    server_.reset();
}

void runner::end_streams() {
    for (auto& [number, stream] : streams_) {
        stream.exchange->abort();
    }
    streams_.clear();
    for (const exchange_pointer& exchange : held_) {
        exchange->abort();
    }
    held_.clear();
}

std::size_t runner::held_requests() const {
    return static_cast<std::size_t>(std::count_if(
        held_.begin(), held_.end(),
        [](const exchange_pointer& exchange) { return !exchange->request().body.empty(); }));
}

bool runner::is_lethal(const net::http_request& request) const {
    return lethal_.has_value() && (request.body.find(lethal_->marker) != std::string::npos ||
                                   request.target.find(lethal_->marker) != std::string::npos);
}

/// The server cannot be destroyed inside one of its callbacks.
void runner::crash_soon(std::size_t run) {
    if (crash_timer_ == nullptr) {
        runs_[run].ended_process = true;
        crash_timer_ = loop_.after(time_before_cut, [this] {
            ++lethal_crashes_;
            crash();
        });
    }
}

absl::Status runner::start() {
    absl::Status status = server_->start();
    address_ = server_->local_endpoint();
    return status;
}

std::string runner::list_entry(const std::string& service, const std::string& state) const {
    nlohmann::json entry{{"service", service},
                         {"address", net::to_string(address())},
                         {"zone", options_.zone},
                         {"version", options_.version},
                         {"slots", 8},
                         {"state", state},
                         {"cold_left_ms", 0},
                         {"seq", 1}};
    if (options_.born > 0) {
        entry["born"] = options_.born;
    }
    return entry.dump();
}

net::http_headers runner::answer_headers(const net::http_request& request) const {
    const bool foreign = fault_ == runner_fault::foreign_answer;
    net::http_headers headers;
    headers.add(request_id_header,
                foreign ? "another" : request.headers.find(request_id_header).value_or(""));
    if (fault_ != runner_fault::unsigned_answer) {
        headers.add(signature_header, "signature of " + options_.id);
    }
    return headers;
}

void runner::handle(const exchange_pointer& exchange) {
    const net::http_request& request = exchange->request();
    const auto target = request.headers.find(target_header);
    if (target.has_value() && *target != options_.id) {
        exchange->respond({.status = 421, .headers = {}, .body = {}});
        return;
    }
    if (fault_ == runner_fault::unresponsive) {
        held_.push_back(exchange);
        return;
    }
    if (request.target == runner::health_path) {
        exchange->respond({.status = 200, .headers = {{id_header, options_.id}}, .body = {}});
        return;
    }
    if (request.target == runner::report_path) {
        nlohmann::json report{{"phase", "both"}, {"seq", 1}};
        if (options_.born > 0) {
            report["born"] = options_.born;
        }
        exchange->respond({.status = 200,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = report.dump()});
        return;
    }
    if (fault_ == runner_fault::refuse) {
        exchange->respond({.status = 503, .headers = {{not_executed_header, "1"}}, .body = {}});
        return;
    }
    runs_.push_back({.request_id = request.headers.find(request_id_header).value_or(""),
                     .target = request.target,
                     .body = request.body,
                     .deadline = request.headers.find(deadline_header).value_or(""),
                     .version = options_.version,
                     .headers = request.headers});
    exchange->on_closed([this, index = runs_.size() - 1] { runs_[index].cancelled = true; });
    const bool is_plain = !request.headers.find(usage_header).has_value();
    if (is_lethal(request) && (is_plain || lethal_->moment == crash_moment::queued)) {
        held_.push_back(exchange);
        crash_soon(runs_.size() - 1);
    } else if (fault_ == runner_fault::lose_answer) {
        exchange->abort();
    } else if (fault_ == runner_fault::hang) {
        held_.push_back(exchange);
    } else if (request.headers.find(usage_header).has_value()) {
        start_stream(exchange);
    } else {
        answer_plain(*exchange);
    }
}

void runner::answer_plain(net::http_exchange& exchange) const {
    const std::string body = "answer of " + options_.id;
    if (options_.framing != net::body_framing::until_close) {
        exchange.respond(
            {.status = 200, .headers = answer_headers(exchange.request()), .body = body});
        return;
    }
    exchange.start_until_close(200, answer_headers(exchange.request()));
    exchange.write(body.substr(0, cut_.has_value() ? cut_->bytes : body.size()));
    if (cut_.has_value() && cut_->end == stream_end::reset) {
        exchange.abort();
    } else {
        exchange.finish();
    }
}

std::string runner::event_text(std::uint32_t sent) const {
    const std::string& end = options_.line_end;
    const std::string first = options_.first_line.empty() ? "" : options_.first_line + end;
    return first + fmt::format("id: {1}{0}data: {2}-{1}{0}{0}", end, sent, options_.id);
}

std::string runner::stream_text() const {
    std::string text;
    for (std::uint32_t number = 1; number <= options_.events; ++number) {
        text += event_text(number);
    }
    return text;
}

void runner::respond_with_length(net::http_exchange& exchange, net::http_headers headers) {
    std::string body;
    for (std::uint32_t number = first_event(exchange.request()); number <= options_.events;
         ++number) {
        if (cut_.has_value() && cut_->bytes == body.size()) {
            runs_.back().was_cut_between_events = true;
        }
        body += event_text(number);
    }
    if (cut_.has_value()) {
        body.resize(std::min(body.size(), cut_->bytes));
    }
    exchange.respond({.status = 200, .headers = std::move(headers), .body = std::move(body)});
}

std::uint32_t runner::first_event(const net::http_request& request) {
    const auto last = request.headers.find(last_event_header);
    return last.has_value() ? static_cast<std::uint32_t>(std::stoul(*last)) + 1 : 1;
}

void runner::start_stream(const exchange_pointer& exchange) {
    net::http_headers headers = answer_headers(exchange->request());
    headers.add("Content-Type", "text/event-stream");
    if (options_.framing == net::body_framing::length) {
        respond_with_length(*exchange, std::move(headers));
        return;
    }
    if (options_.framing == net::body_framing::until_close) {
        exchange->start_until_close(200, std::move(headers));
    } else {
        exchange->start_stream(200, std::move(headers));
    }
    const std::uint64_t number = ++last_stream_;
    streams_[number].exchange = exchange;
    streams_[number].run = runs_.size() - 1;
    streams_[number].sent = first_event(exchange->request()) - 1;
    if (streams_[number].sent >= options_.events) {
        exchange->finish();
        streams_.erase(number);
        return;
    }
    if (has_reached_crash(streams_[number])) {
        crash_soon(streams_[number].run);
        return;
    }
    streams_[number].next =
        loop_.after(options_.event_interval, [this, number] { send_event(number); });
}

bool runner::has_reached_crash(const open_stream& stream) const {
    if (!is_lethal(stream.exchange->request())) {
        return false;
    }
    switch (lethal_->moment) {
        case crash_moment::queued:
        case crash_moment::after_head:
            return true;
        case crash_moment::after_first_event:
            return stream.sent >= 1;
        case crash_moment::after_last_event:
            return stream.sent >= options_.events;
    }
    return true;
}

bool runner::cut_event(std::uint64_t number, const std::string& event) {
    open_stream& stream = streams_.at(number);
    const bool is_cut_here = cut_.has_value() && cut_->bytes > stream.sent_bytes &&
                             cut_->bytes <= stream.sent_bytes + event.size();
    if (!is_cut_here) {
        return false;
    }
    const std::size_t part = cut_->bytes - stream.sent_bytes;
    stream.exchange->write(event.substr(0, part));
    const stream_end end = cut_->end;
    runs_[stream.run].was_cut_between_events = part == event.size() && end == stream_end::finish;
    if (end == stream_end::hang) {
        held_.push_back(stream.exchange);
        streams_.erase(number);
        return true;
    }
    // The written bytes reach the caller before a reset.
    stream.next = loop_.after(end == stream_end::reset ? time_before_cut : base::milliseconds{0},
                              [this, number, end] {
                                  net::http_exchange& exchange = *streams_.at(number).exchange;
                                  if (end == stream_end::reset) {
                                      exchange.abort();
                                  } else {
                                      exchange.finish();
                                  }
                                  streams_.erase(number);
                              });
    return true;
}

void runner::send_event(std::uint64_t number) {
    open_stream& stream = streams_.at(number);
    ++stream.sent;
    const std::string event = event_text(stream.sent);
    if (cut_event(number, event)) {
        return;
    }
    stream.sent_bytes += event.size();
    stream.exchange->write(event);
    if (fault_ == runner_fault::cut_stream) {
        stream.exchange->abort();
        streams_.erase(number);
        return;
    }
    if (fault_ == runner_fault::cut_after_event) {
        stream.next = loop_.after(time_before_cut, [this, number] {
            streams_.at(number).exchange->abort();
            streams_.erase(number);
        });
        return;
    }
    if (has_reached_crash(stream)) {
        crash_soon(stream.run);
        return;
    }
    if (stream.sent == options_.events) {
        stream.exchange->finish();
        streams_.erase(number);
        return;
    }
    stream.next = loop_.after(options_.event_interval, [this, number] { send_event(number); });
}

}  // namespace pearbarrow::emulator
