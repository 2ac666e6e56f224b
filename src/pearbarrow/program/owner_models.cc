// Attempts at model engines.
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

namespace {

/// Consecutive broken streams after which the attempt is cancelled.
constexpr std::uint32_t max_resumes = 3;

std::uint64_t cost_of(const wire::token_usage& usage) {
    return usage.prompt_tokens + usage.generated_tokens;
}

std::optional<std::uint64_t> cost_of(const std::optional<wire::token_usage>& usage) {
    return usage ? std::optional<std::uint64_t>(cost_of(*usage)) : std::nullopt;
}

bool is_invalid_request(const absl::Status& status) {
    return status.code() == absl::StatusCode::kInvalidArgument;
}

}  // namespace

void owner_state::on(const event::model_part& event) {
    const auto at = find(event.attempt);
    if (!at || at->active.stage != call_stage::running) {
        return;
    }
    if (event.index <= at->active.last_index && !options_.disabled.event_id_check) {
        return;
    }
    at->active.last_index = event.index;
    at->active.tries = 0;
    at->active.next_try.reset();
    at->active.text += event.text;
    if (at->active.text.size() > options_.max_output_bytes) {
        stop(*at, absl::StatusCode::kResourceExhausted, "the answer is too large",
             "output_too_large");
        return;
    }
    deliver(*at);
}

void owner_state::on(const event::model_finished& event) {
    const auto at = find(event.attempt);
    if (!at) {
        return;
    }
    if (at->active.stage == call_stage::cancelling) {
        finish_stop(*at, event.usage);
        return;
    }
    if (at->active.stage != call_stage::running) {
        return;
    }
    if (event.finish_reason == "cancelled") {
        retry(*at,
              base::make_error(absl::StatusCode::kAborted, "the engine's stream was cancelled",
                               {.step = "generate", .reason = "stream_cancelled"}),
              cost_of(event.usage));
        return;
    }
    const bool parts_are_missing = event.usage.generated_tokens > at->active.last_index;
    if (parts_are_missing && at->active.tries < max_resumes) {
        ++at->active.tries;
        resume_model(*at);
        return;
    }
    if (parts_are_missing) {
        retry(*at,
              base::make_error(absl::StatusCode::kDataLoss, "parts of the answer are missing",
                               {.step = "generate", .reason = "parts_missing"}),
              cost_of(event.usage));
        return;
    }
    result_record result;
    result.output = at->active.text;
    result.usage = event.usage;
    result.finish_reason = event.finish_reason;
    result.decision = at->call.attempt->decision;
    result.spent_tokens = cost_of(event.usage);
    finish(*at, std::move(result));
}

void owner_state::on(const event::model_failed& event) {
    const auto at = find(event.attempt);
    if (!at) {
        return;
    }
    if (at->active.stage == call_stage::cancelling) {
        finish_stop(*at, event.usage);
        return;
    }
    if (at->active.stage != call_stage::running) {
        return;
    }
    const base::error_details details = base::details_of(event.status);
    const bool refused =
        details.was_executed == base::executed::no && details.reason != "stream_unknown";
    const bool never_started =
        refused && at->active.started_here && at->active.last_index == 0 && at->active.tries == 0;
    std::optional<std::uint64_t> spent = cost_of(event.usage);
    if (!spent && never_started) {
        spent = 0;
    }
    if (is_invalid_request(event.status)) {
        finish_placement(*at, wire::attempt_outcome::failed, event.usage);
        fail(*at, event.status, spent);
        return;
    }
    if (spent) {
        retry(*at, event.status, spent);
        return;
    }
    if (refused) {
        // The engine rejected the request to resume; the attempt itself may still run.
        handle_lost_stream(*at);
        return;
    }
    // The engine may still run the attempt or receive it late, so it is cancelled first.
    set_stage(at->active, call_stage::cancelling);
    stop_model(*at);
}

void owner_state::on(const event::model_lost& event) {
    const auto at = find(event.attempt);
    if (!at) {
        return;
    }
    if (at->active.stage == call_stage::cancelling) {
        at->active.next_try = now_ + backoff(at->active.tries, at->program.id);
        wake_at(at->program.id, *at->active.next_try);
        return;
    }
    if (at->active.stage == call_stage::running) {
        handle_lost_stream(*at);
    }
}

void owner_state::handle_lost_stream(call_context at) {
    if (at.active.next_try) {
        return;
    }
    if (at.active.tries >= max_resumes) {
        set_stage(at.active, call_stage::cancelling);
        stop_model(at);
        return;
    }
    at.active.next_try = now_ + backoff(at.active.tries, at.program.id);
    ++at.active.tries;
    wake_at(at.program.id, *at.active.next_try);
}

void owner_state::resume_model(call_context at) {
    if (at.call.body->tool) {
        return;
    }
    emit(action::resume_model_attempt{
        attempt_name(at.program.id, at.call.number, at.call.attempt->number),
        at.call.attempt->backend, at.active.last_index + 1});
}

void owner_state::stop_model(call_context at) {
    if (now_ >= at.active.stage_since + options_.cancel_wait) {
        finish_stop(at, std::nullopt);
        return;
    }
    ++at.active.tries;
    emit(action::cancel_model_attempt{
        attempt_name(at.program.id, at.call.number, at.call.attempt->number),
        at.call.attempt->backend});
    at.active.next_try = now_ + options_.cancel_wait;
    wake_at(at.program.id, *at.active.next_try);
}

void owner_state::finish_stop(call_context at, std::optional<wire::token_usage> usage) {
    if (!usage) {
        at.runtime.unconfirmed_stops[attempt_name(
            at.program.id, at.call.number, at.call.attempt->number)] = at.call.attempt->backend;
    }
    if (at.active.stop_status) {
        finish_placement(at, wire::attempt_outcome::cancelled, usage);
        fail(at, *at.active.stop_status, cost_of(usage));
        return;
    }
    retry(at,
          base::make_error(absl::StatusCode::kUnavailable, "the engine lost the attempt",
                           {.step = "generate",
                            .peer = at.call.attempt->backend.value(),
                            .reason = "engine_lost"}),
          cost_of(usage));
}

}  // namespace pearbarrow::program
