#include "pearbarrow/gateway/native_api.h"

#include <algorithm>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/api_key.h"
#include "pearbarrow/gateway/event_text.h"
#include "pearbarrow/gateway/problem.h"
#include "pearbarrow/gateway/request_json.h"

namespace pearbarrow::gateway {
namespace {

/// Added to a call's own deadline, so that the owner's answer about it still arrives.
constexpr base::milliseconds deadline_slack{5'000};
/// Ids derived from one key before the last is taken wherever it hashes to.
constexpr int max_derived_ids = 4'096;
constexpr std::size_t program_id_digits = 32;

absl::Status invalid_header(std::string_view message) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "parse_headers", .reason = "invalid_header"});
}

absl::Status missing_part(std::string_view part) {
    return base::make_error(absl::StatusCode::kInternal,
                            fmt::format("the program's owner answered without its {}", part),
                            {.step = "read_reply",
                             .reason = "malformed_reply",
                             .was_executed = base::executed::unknown});
}

wire::program_request request_for(const caller_request_ptr& request,
                                  const base::program_id& program) {
    request->set_program(program);
    wire::program_request result;
    result.tenant = request->tenant();
    result.program = program;
    return result;
}

/// Routes a request that is answered by the view of a program.
void route_for_view(const caller_request_ptr& request, wire::program_request message, int status) {
    request->route(std::move(message), request->context().options.request_timeout, nullptr,
                   [request, status](absl::StatusOr<wire::program_reply> reply) {
                       if (!reply.ok()) {
                           request->fail(reply.status());
                           return;
                       }
                       if (!reply->program.has_value()) {
                           request->fail(missing_part("program"));
                           return;
                       }
                       net::http_headers headers;
                       if (status == 201) {
                           headers.add("Location",
                                       "/v1/programs/" + reply->program->program.value());
                       }
                       request->respond_json(status, to_json(*reply->program), headers);
                   });
}

/// Turns the parts of a call into events.
class native_event_stream {
  public:
    explicit native_event_stream(caller_request_ptr request) : request_(std::move(request)) {}

    void add(const wire::reply_part& part) {
        request_->start_events();
        if (part.restart) {
            request_->send_event({.id = {}, .event = "restart", .data = "{}"});
        }
        const auto text = text_.add(part);
        if (text.has_value() && !text->empty()) {
            request_->send_event(
                {.id = part.event_id, .event = "part", .data = dump_json({{"text", *text}})});
        }
    }

    void finish(const absl::StatusOr<wire::program_reply>& reply) {
        if (!reply.ok()) {
            fail(reply.status());
        } else if (!reply->call.has_value()) {
            fail(missing_part("result"));
        } else {
            request_->start_events();
            request_->send_event({.id = reply->call->last_event_id,
                                  .event = "result",
                                  .data = dump_json(to_json(request_->program(), *reply->call))});
            request_->finish_events();
        }
    }

  private:
    void fail(const absl::Status& status) {
        if (!request_->streaming()) {
            request_->fail(status);
            return;
        }
        request_->send_event(
            {.id = {}, .event = "error", .data = dump_json(request_->error_body(status))});
        request_->finish_events();
    }

    caller_request_ptr request_;
    event_text text_;
};

void route_streamed_call(const caller_request_ptr& request, wire::program_request message,
                         base::milliseconds timeout) {
    const auto stream = std::make_shared<native_event_stream>(request);
    request->route(
        std::move(message), timeout, [stream](const wire::reply_part& part) { stream->add(part); },
        [stream](const absl::StatusOr<wire::program_reply>& reply) { stream->finish(reply); });
}

void route_plain_call(const caller_request_ptr& request, wire::program_request message,
                      base::milliseconds timeout) {
    request->route(std::move(message), timeout, nullptr,
                   [request](absl::StatusOr<wire::program_reply> reply) {
                       if (!reply.ok()) {
                           request->fail(reply.status());
                       } else if (!reply->call.has_value()) {
                           request->fail(missing_part("result"));
                       } else {
                           request->respond_json(200, to_json(request->program(), *reply->call));
                       }
                   });
}

void route_call(const caller_request_ptr& request, wire::program_request message, bool stream,
                std::uint64_t deadline_ms) {
    const auto timeout = deadline_ms == 0 ? request->context().options.call_timeout
                                          : base::milliseconds(deadline_ms) + deadline_slack;
    if (stream) {
        route_streamed_call(request, std::move(message), timeout);
    } else {
        route_plain_call(request, std::move(message), timeout);
    }
}

bool wants_events(const net::http_request& request) {
    const auto accept = request.headers.find("Accept");
    return request.query("stream") == "true" ||
           (accept.has_value() && accept->find("text/event-stream") != std::string::npos);
}

absl::StatusOr<std::string> last_event_id(const net::http_request& request) {
    const auto value = request.headers.find("Last-Event-ID").value_or("");
    if (!is_event_id(value)) {
        return invalid_header("Last-Event-ID must be the id of an event of this call");
    }
    return value;
}

}  // namespace

absl::StatusOr<std::string> idempotency_key(const net::http_request& request) {
    const auto value = request.headers.find("Idempotency-Key").value_or("");
    const bool printable = std::all_of(value.begin(), value.end(), [](char character) {
        return character >= ' ' && character <= '~';
    });
    if (value.size() > max_idempotency_key_bytes || !printable) {
        return invalid_header(fmt::format("Idempotency-Key must be at most {} printable characters",
                                          max_idempotency_key_bytes));
    }
    return value;
}

base::program_id program_id_for(gateway_context& context, const base::tenant_id& tenant,
                                const std::string& key) {
    if (key.empty()) {
        return context.options.draw_program_id();
    }
    base::program_id id;
    for (int attempt = 0; attempt < max_derived_ids; ++attempt) {
        const auto text = fmt::format("{}\n{}\n{}", tenant.value(), key, attempt);
        id = base::program_id(sha256_hex(text).substr(0, program_id_digits));
        if (!context.options.in_own_region || context.options.in_own_region(id)) {
            break;
        }
    }
    return id;
}

void open_program(const caller_request_ptr& request, const base::program_id* parent) {
    auto open = parse_open_program(request->http().body, parent);
    auto key = idempotency_key(request->http());
    if (!open.ok() || !key.ok()) {
        request->fail(open.ok() ? key.status() : open.status());
        return;
    }
    if (parent != nullptr && !key->empty()) {
        // The same key under another parent is another request.
        *key = parent->value() + "/" + *key;
    }
    auto message =
        request_for(request, program_id_for(request->context(), request->tenant(), *key));
    message.open = std::move(*open);
    route_for_view(request, std::move(message), 201);
}

void get_program(const caller_request_ptr& request, const base::program_id& program) {
    auto message = request_for(request, program);
    message.get.emplace();
    route_for_view(request, std::move(message), 200);
}

void end_program(const caller_request_ptr& request, const base::program_id& program) {
    auto message = request_for(request, program);
    message.end.emplace();
    route_for_view(request, std::move(message), 200);
}

void get_history(const caller_request_ptr& request, const base::program_id& program) {
    auto message = request_for(request, program);
    message.history.emplace();
    request->route(std::move(message), request->context().options.request_timeout, nullptr,
                   [request](absl::StatusOr<wire::program_reply> reply) {
                       if (!reply.ok()) {
                           request->fail(reply.status());
                       } else if (!reply->history.has_value()) {
                           request->fail(missing_part("history"));
                       } else {
                           request->respond_json(200, to_json(*reply->history));
                       }
                   });
}

void submit_call(const caller_request_ptr& request, const base::program_id& program) {
    auto submit = parse_submit_call(request->http().body);
    const auto key = idempotency_key(request->http());
    const auto last_seen = last_event_id(request->http());
    for (const auto& status : {submit.status(), key.status(), last_seen.status()}) {
        if (!status.ok()) {
            request->fail(status);
            return;
        }
    }
    submit->idempotency_key = *key;
    submit->last_event_id = *last_seen;
    const bool stream = submit->stream;
    const auto deadline_ms = submit->deadline_ms;
    auto message = request_for(request, program);
    message.submit = std::move(*submit);
    route_call(request, std::move(message), stream, deadline_ms);
}

void attach_call(const caller_request_ptr& request, const base::program_id& program,
                 base::call_number number) {
    auto last_seen = last_event_id(request->http());
    if (!last_seen.ok()) {
        request->fail(last_seen.status());
        return;
    }
    const bool stream = wants_events(request->http());
    auto message = request_for(request, program);
    message.attach = wire::attach_call_request{number, stream, std::move(*last_seen)};
    route_call(request, std::move(message), stream, 0);
}

void cancel_call(const caller_request_ptr& request, const base::program_id& program,
                 base::call_number number) {
    auto message = request_for(request, program);
    message.cancel = wire::cancel_call_request{number};
    route_for_view(request, std::move(message), 200);
}

}  // namespace pearbarrow::gateway
