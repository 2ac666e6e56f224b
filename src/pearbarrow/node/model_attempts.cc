#include "pearbarrow/node/model_attempts.h"

#include <utility>
#include <vector>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::node {

namespace {

wire::token_usage to_wire(const backend::token_usage& usage) {
    return {usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens};
}

std::string to_text(backend::finish_reason reason) {
    switch (reason) {
        case backend::finish_reason::stop:
            return "stop";
        case backend::finish_reason::length:
            return "length";
        case backend::finish_reason::cancelled:
            return "cancelled";
    }
    return "stop";
}

backend::generate_request to_request(const program::action::start_model_attempt& action) {
    backend::generate_request request;
    request.attempt = action.attempt;
    request.program = action.program;
    request.call = action.call;
    request.model = action.model;
    request.messages.reserve(action.messages.size());
    for (const wire::chat_message& message : action.messages) {
        request.messages.push_back({message.role, message.content});
    }
    request.max_tokens = static_cast<std::uint32_t>(action.max_output_tokens);
    request.priority = action.engine_priority;
    request.pin_lease = action.pin_lease;
    return request;
}

absl::Status engine_gone(const base::backend_id& engine) {
    return base::make_error(absl::StatusCode::kUnavailable,
                            "the configuration no longer names this engine",
                            {.step = "generate",
                             .peer = engine.value(),
                             .reason = "engine_unreachable",
                             .was_executed = base::executed::no});
}

}  // namespace

model_attempts::model_attempts(node_context& context, backend_service& backends,
                               shard_event_sink sink)
    : context_(context), backends_(backends), sink_(std::move(sink)) {}

model_attempts::~model_attempts() = default;

void model_attempts::start(const program::action::start_model_attempt& action) {
    backend::engine_client* client = backends_.engine(action.engine);
    if (client == nullptr) {
        fail_later(action.attempt, engine_gone(action.engine));
        return;
    }
    stream& item = streams_[action.attempt];
    item.serial = ++last_serial_;
    item.handle = client->generate(to_request(action), callbacks_for(action.attempt, item.serial));
}

void model_attempts::resume(const program::action::resume_model_attempt& action) {
    backend::engine_client* client = backends_.engine(action.engine);
    if (client == nullptr) {
        report_lost(action.attempt);
        return;
    }
    stream& item = streams_[action.attempt];
    item.handle.reset();
    item.serial = ++last_serial_;
    item.handle = client->resume(action.attempt, action.from_index,
                                 callbacks_for(action.attempt, item.serial));
}

backend::generate_callbacks model_attempts::callbacks_for(const base::attempt_id& attempt,
                                                          std::uint64_t serial) {
    backend::generate_callbacks callbacks;
    callbacks.on_part = [this, attempt, serial](const backend::generate_part& part) {
        const auto found = streams_.find(attempt);
        if (found != streams_.end() && found->second.serial == serial) {
            sink_(program::event::model_part{attempt, part.index, part.text});
        }
    };
    callbacks.on_done = [this, attempt, serial, alive = std::weak_ptr<int>(alive_)](
                            absl::StatusOr<backend::generate_result> result) {
        if (!alive.expired()) {
            take_end(attempt, serial, result);
        }
    };
    return callbacks;
}

void model_attempts::take_end(const base::attempt_id& attempt, std::uint64_t serial,
                              const absl::StatusOr<backend::generate_result>& result) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end() || found->second.serial != serial) {
        return;
    }
    const std::unique_ptr<backend::stream_handle> handle = std::move(found->second.handle);
    streams_.erase(found);
    if (result.ok()) {
        sink_(program::event::model_finished{attempt, to_wire(result->usage),
                                             to_text(result->reason)});
        return;
    }
    base::log(base::log_level::warning, "model_attempt_failed",
              {{"attempt", attempt.value()}, {"error", base::log_fields(result.status())}});
    const base::error_details details = base::details_of(result.status());
    const bool is_over =
        details.reason == "stream_unknown" || details.was_executed == base::executed::no;
    if (is_over) {
        sink_(program::event::model_failed{attempt, result.status(), std::nullopt});
    } else {
        sink_(program::event::model_lost{attempt});
    }
}

void model_attempts::cancel(const program::action::cancel_model_attempt& action) {
    backend::engine_client* client = backends_.engine(action.engine);
    if (client == nullptr) {
        report_lost(action.attempt);
        return;
    }
    client->cancel(action.attempt,
                   [this, attempt = action.attempt, alive = std::weak_ptr<int>(alive_)](
                       absl::StatusOr<backend::cancel_result> result) {
                       if (!alive.expired()) {
                           take_cancel(attempt, result);
                       }
                   });
}

void model_attempts::take_cancel(const base::attempt_id& attempt,
                                 const absl::StatusOr<backend::cancel_result>& result) {
    if (!result.ok()) {
        sink_(program::event::model_lost{attempt});
        return;
    }
    streams_.erase(attempt);
    switch (result->outcome) {
        case backend::cancel_outcome::cancelled:
            sink_(program::event::model_finished{attempt, to_wire(result->usage), "cancelled"});
            return;
        case backend::cancel_outcome::finished:
            sink_(program::event::model_failed{
                attempt,
                base::make_error(absl::StatusCode::kCancelled, "the attempt had ended before",
                                 {.step = "cancel",
                                  .reason = "attempt_finished",
                                  .was_executed = base::executed::yes}),
                to_wire(result->usage)});
            return;
        case backend::cancel_outcome::unknown:
            sink_(program::event::model_failed{
                attempt,
                base::make_error(absl::StatusCode::kNotFound, "the engine never saw the attempt",
                                 {.step = "cancel", .reason = "stream_unknown"}),
                std::nullopt});
            return;
    }
}

void model_attempts::report_lost(const base::attempt_id& attempt) {
    emit_later(program::event::model_lost{attempt});
}

void model_attempts::fail_later(const base::attempt_id& attempt, absl::Status status) {
    emit_later(program::event::model_failed{attempt, std::move(status), std::nullopt});
}

void model_attempts::emit_later(program::shard_event event) {
    context_.loop.post([this, event = std::move(event), alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            sink_(event);
        }
    });
}

void model_attempts::release_cache(const program::action::release_cache& action) {
    backend::engine_client* client = backends_.engine(action.backend);
    if (client == nullptr) {
        emit_later(program::event::cache_released{action.program, action.backend});
        return;
    }
    client->release(action.program, [this, action, alive = std::weak_ptr<int>(alive_)](
                                        const absl::StatusOr<std::uint64_t>& freed) {
        if (!alive.expired() && freed.ok()) {
            sink_(program::event::cache_released{action.program, action.backend});
        }
    });
}

}  // namespace pearbarrow::node
