#include "pearbarrow/node/tool_attempts.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::node {

namespace {

using program::event::tool_state;

tool_state to_state(const backend::tool_query_result& result) {
    switch (result.state) {
        case backend::tool_request_state::completed:
            return tool_state::ran;
        case backend::tool_request_state::running:
            return tool_state::running;
        case backend::tool_request_state::never_seen:
            return result.fenced ? tool_state::never_seen_and_fenced : tool_state::never_seen;
        case backend::tool_request_state::cannot_tell:
            return tool_state::cannot_tell;
    }
    return tool_state::cannot_tell;
}

}  // namespace

tool_attempts::tool_attempts(node_context& context, backend_service& backends,
                             shard_event_sink sink)
    : context_(context), backends_(backends), sink_(std::move(sink)) {}

tool_attempts::~tool_attempts() = default;

void tool_attempts::start(const program::action::start_tool_attempt& action) {
    backend::tool_client* client = backends_.tool(action.backend);
    if (client == nullptr) {
        emit_later(program::event::tool_failed{
            action.attempt, base::make_error(absl::StatusCode::kUnavailable,
                                             "the configuration no longer names this tool service",
                                             {.step = "invoke",
                                              .peer = action.backend.value(),
                                              .reason = "tool_unreachable",
                                              .was_executed = base::executed::no})});
        return;
    }
    backend::tool_invocation invocation;
    invocation.tool = action.tool;
    invocation.idempotency_key = action.idempotency_key;
    invocation.attempt = action.attempt;
    invocation.program = action.program;
    invocation.call = action.call;
    invocation.arguments = action.arguments_json;
    if (action.time_left.count() > 0) {
        invocation.deadline = action.time_left;
    }
    handles_[action.attempt] = client->invoke(
        std::move(invocation),
        [this, attempt = action.attempt](const absl::StatusOr<backend::tool_result>& result) {
            take_result(attempt, result);
        });
}

void tool_attempts::take_result(const base::attempt_id& attempt,
                                const absl::StatusOr<backend::tool_result>& result) {
    // Kept to the end of this function: the callback that runs belongs to it.
    const auto handle = std::move(handles_[attempt]);
    handles_.erase(attempt);
    if (result.ok()) {
        sink_(program::event::tool_finished{attempt, result->output});
        return;
    }
    base::log(base::log_level::warning, "tool_attempt_failed",
              {{"attempt", attempt.value()}, {"error", base::log_fields(result.status())}});
    if (base::details_of(result.status()).was_executed == base::executed::unknown) {
        sink_(program::event::tool_lost{attempt});
    } else {
        sink_(program::event::tool_failed{attempt, result.status()});
    }
}

void tool_attempts::cancel(const program::action::cancel_tool_attempt& action) {
    handles_.erase(action.attempt);
}

void tool_attempts::query(const program::action::query_tool_attempt& action) {
    backend::tool_client* client = backends_.tool(action.backend);
    if (client == nullptr) {
        emit_later(program::event::tool_status{action.attempt, tool_state::cannot_tell, {}, {}});
        return;
    }
    client->query(action.tool, action.idempotency_key, /*fence=*/true,
                  [this, attempt = action.attempt, alive = std::weak_ptr<int>(alive_)](
                      const absl::StatusOr<backend::tool_query_result>& result) {
                      if (!alive.expired()) {
                          take_status(attempt, result);
                      }
                  });
}

void tool_attempts::take_status(const base::attempt_id& attempt,
                                const absl::StatusOr<backend::tool_query_result>& result) {
    program::event::tool_status status;
    status.attempt = attempt;
    if (!result.ok()) {
        status.state = tool_state::unreachable;
    } else {
        status.state = to_state(*result);
        status.output = result->result.output;
        status.error = result->failure;
    }
    sink_(status);
}

void tool_attempts::report_lost(const base::attempt_id& attempt) {
    emit_later(program::event::tool_lost{attempt});
}

void tool_attempts::emit_later(program::shard_event event) {
    context_.loop.post([this, event = std::move(event), alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            sink_(event);
        }
    });
}

}  // namespace pearbarrow::node
