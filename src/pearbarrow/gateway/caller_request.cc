#include "pearbarrow/gateway/caller_request.h"

#include <string>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/problem.h"

namespace pearbarrow::gateway {
namespace {

constexpr int first_server_error = 500;
constexpr int stream_status = 200;
/// Status under which logs and metrics count requests whose caller went away or was cut off.
constexpr int client_closed_request = 499;

double seconds_between(base::instant from, base::instant to) {
    return std::chrono::duration<double>(to - from).count();
}

}  // namespace

caller_request::caller_request(std::shared_ptr<gateway_context> context,
                               std::shared_ptr<net::http_exchange> exchange)
    : context_(std::move(context)),
      exchange_(std::move(exchange)),
      started_(context_->clock.now()) {
    ++context_->open_requests;
    if (context_->options.draw_request_id) {
        id_ = context_->options.draw_request_id();
    }
}

caller_request::~caller_request() {
    if (!complete_) {
        --context_->open_requests;
    }
}

void caller_request::start() {
    exchange_->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->take_gone();
        }
    });
}

void caller_request::route(wire::program_request request, base::milliseconds timeout,
                           part_handler on_part, reply_handler on_done) {
    const auto self = shared_from_this();
    program_route_callbacks callbacks;
    callbacks.on_part = [self, handler = std::move(on_part)](const wire::reply_part& part) {
        if (!self->complete_ && handler) {
            handler(part);
        }
    };
    callbacks.on_done = [self,
                         handler = std::move(on_done)](absl::StatusOr<wire::program_reply> reply) {
        if (self->complete_) {
            return;
        }
        // The handler may start the next request, whose route takes this one's place.
        const auto finished = std::move(self->route_);
        handler(std::move(reply));
    };
    route_ = context_->router.start(std::move(request), timeout, std::move(callbacks));
}

net::http_headers caller_request::common_headers(const net::http_headers& more) const {
    net::http_headers headers;
    headers.add("X-Request-Id", id_.value());
    for (const auto& header : more.all()) {
        headers.add(header.name, header.value);
    }
    return headers;
}

void caller_request::respond(net::http_response response) {
    if (complete_) {
        return;
    }
    response.headers.add("X-Request-Id", id_.value());
    const int status = response.status;
    exchange_->respond(std::move(response));
    complete(status);
}

void caller_request::respond_json(int status, const nlohmann::json& body,
                                  const net::http_headers& more) {
    auto response = json_response(status, body);
    for (const auto& header : more.all()) {
        response.headers.add(header.name, header.value);
    }
    respond(std::move(response));
}

nlohmann::json caller_request::error_body(const absl::Status& status) const {
    auto body = problem_json(status, context_->options.node);
    if (error_style_ == error_style::openai) {
        body["error"] = {{"message", body["detail"]},
                         {"type", body["title"]},
                         {"code", body["reason"]},
                         {"param", nullptr}};
    }
    return body;
}

void caller_request::fail(const absl::Status& status) {
    auto response = problem_response(status, context_->options.node);
    response.body = dump_json(error_body(status));
    if (response.status >= first_server_error) {
        auto fields = base::log_fields(status);
        fields["request"] = id_.value();
        fields["tenant"] = tenant_.value();
        fields["program"] = program_.value();
        base::log(base::log_level::warning, "request_failed", std::move(fields));
    }
    respond(std::move(response));
}

void caller_request::start_events(const net::http_headers& more) {
    if (complete_ || streaming_) {
        return;
    }
    streaming_ = true;
    auto headers = common_headers(more);
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-store");
    exchange_->start_stream(stream_status, std::move(headers));
    context_->time_to_first_part.observe(seconds_between(started_, context_->clock.now()));
}

void caller_request::send_event(const net::server_sent_event& event) {
    if (complete_) {
        return;
    }
    exchange_->write(net::format_event(event));
    if (exchange_->pending_bytes() > context_->options.max_pending_bytes) {
        context_->slow_readers_cut.increment();
        cut_off("slow_reader");
    }
}

void caller_request::finish_events() {
    if (complete_) {
        return;
    }
    exchange_->finish();
    complete(stream_status);
}

void caller_request::cut_off(std::string_view why) {
    if (complete_) {
        return;
    }
    base::log(base::log_level::warning, "caller_cut_off",
              {{"request", id_.value()},
               {"tenant", tenant_.value()},
               {"program", program_.value()},
               {"caller", http().peer},
               {"reason", why}});
    exchange_->abort();
    take_gone();
}

void caller_request::take_gone() {
    if (complete_) {
        return;
    }
    const auto keep_alive = shared_from_this();
    const auto callback = std::move(on_gone_);
    complete(client_closed_request);
    if (callback) {
        callback();
    }
}

void caller_request::complete(int status) {
    const auto keep_alive = shared_from_this();
    complete_ = true;
    --context_->open_requests;
    on_gone_ = nullptr;
    const auto finished = std::move(route_);
    const double taken = seconds_between(started_, context_->clock.now());
    if (context_->options.metrics != nullptr) {
        const base::metric_labels labels{{"resource", resource_},
                                         {"status", std::to_string(status)}};
        context_->options.metrics
            ->add_counter("pearbarrow_gateway_requests_total", "Requests of callers answered.",
                          labels)
            .increment();
        context_->options.metrics
            ->add_histogram("pearbarrow_gateway_request_duration_seconds",
                            "Time from a caller's request to the end of its answer.",
                            {{"resource", resource_}})
            .observe(taken);
    }
    base::log(base::log_level::debug, "request_finished",
              {{"request", id_.value()},
               {"tenant", tenant_.value()},
               {"program", program_.value()},
               {"resource", resource_},
               {"status", status},
               {"seconds", taken}});
}

}  // namespace pearbarrow::gateway
