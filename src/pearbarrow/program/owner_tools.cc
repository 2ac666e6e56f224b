// Attempts at tool services.
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {
namespace {

/// Delay after which a caller may submit the call again, under the next number, when the tool
/// service was unreachable.
constexpr base::milliseconds resubmit_delay{1'000};

}  // namespace

void owner_state::on(const event::tool_finished& event) {
    const auto at = find(event.attempt);
    const bool awaited =
        at && (at->active.stage == call_stage::running || at->active.stage == call_stage::querying);
    if (awaited) {
        finish_tool_call(*at, event.output);
    }
}

void owner_state::on(const event::tool_failed& event) {
    const auto at = find(event.attempt);
    const bool awaited =
        at && (at->active.stage == call_stage::running || at->active.stage == call_stage::querying);
    if (!awaited) {
        return;
    }
    const base::executed ran = base::details_of(event.status).was_executed;
    if (ran == base::executed::unknown) {
        handle_tool_in_doubt(*at);
        return;
    }
    const std::uint64_t cost = ran == base::executed::yes ? at->call.body->tool->declared_cost : 0;
    const bool may_retry = ran == base::executed::no && at->call.body->tool->repeatable &&
                           event.status.code() != absl::StatusCode::kInvalidArgument;
    if (may_retry) {
        retry(*at, event.status, cost);
        return;
    }
    fail(*at, event.status, cost);
}

void owner_state::on(const event::tool_lost& event) {
    const auto at = find(event.attempt);
    if (at && at->active.stage == call_stage::running) {
        handle_tool_in_doubt(*at);
    }
}

void owner_state::handle_tool_in_doubt(call_context at) {
    if (options_.disabled.in_doubt_query) {
        start_tool(at);
        return;
    }
    set_stage(at.active, call_stage::querying);
    query_tool(at);
}

void owner_state::query_tool(call_context at) {
    at.active.next_try.reset();
    emit(action::query_tool_attempt{
        attempt_name(at.program.id, at.call.number, at.call.attempt->number),
        at.call.attempt->backend, at.call.body->tool->tool,
        retention_key(at.program.id, at.call.number)});
}

void owner_state::on(const event::tool_status& event) {
    const auto at = find(event.attempt);
    if (!at || at->active.stage != call_stage::querying) {
        return;
    }
    const bool query_again = event.state == event::tool_state::running ||
                             (event.state == event::tool_state::unreachable &&
                              now_ < at->active.stage_since + options_.tool_query_wait);
    if (query_again) {
        at->active.next_try = now_ + backoff(at->active.tries, at->program.id);
        ++at->active.tries;
        wake_at(at->program.id, *at->active.next_try);
        return;
    }
    if (event.state == event::tool_state::ran && event.error.ok()) {
        finish_tool_call(*at, event.output);
    } else if (event.state == event::tool_state::ran) {
        base::error_details details = base::details_of(event.error);
        details.was_executed = base::executed::yes;
        fail(*at, base::make_error(event.error.code(), std::string(event.error.message()), details),
             at->call.body->tool->declared_cost);
    } else if (at->call.body->tool->repeatable) {
        retry(*at,
              base::make_error(absl::StatusCode::kUnavailable, "the tool's answer was lost",
                               {.step = "invoke", .reason = "answer_lost"}),
              std::nullopt);
    } else if (event.state == event::tool_state::never_seen_and_fenced) {
        fail_not_delivered(*at);
    } else {
        fail_outcome_unknown(*at);
    }
}

void owner_state::finish_tool_call(call_context at, const std::string& output) {
    const std::uint64_t cost = at.call.body->tool->declared_cost;
    if (output.size() > options_.max_output_bytes) {
        fail(
            at,
            base::make_error(absl::StatusCode::kResourceExhausted, "the tool's output is too large",
                             {.step = "invoke",
                              .reason = "output_too_large",
                              .was_executed = base::executed::yes}),
            cost);
        return;
    }
    result_record result;
    result.output = output;
    result.finish_reason = "tool";
    result.decision = at.call.attempt->decision;
    result.spent_tokens = cost;
    at.active.text = output;
    finish(at, std::move(result));
}

void owner_state::fail_outcome_unknown(call_context at) {
    fail(at,
         base::make_error(absl::StatusCode::kUnknown,
                          "the tool's answer was lost, and it can't tell whether the call ran",
                          {.step = "invoke",
                           .peer = at.call.attempt->backend.value(),
                           .reason = "outcome_unknown",
                           .was_executed = base::executed::unknown}),
         std::nullopt);
}

void owner_state::fail_not_delivered(call_context at) {
    fail(at,
         base::make_error(absl::StatusCode::kUnavailable,
                          "the call never reached the tool, which refuses it from now on",
                          {.step = "invoke",
                           .peer = at.call.attempt->backend.value(),
                           .reason = "not_delivered",
                           .was_executed = base::executed::no,
                           .retry_after = resubmit_delay}),
         0);
}

}  // namespace pearbarrow::program
