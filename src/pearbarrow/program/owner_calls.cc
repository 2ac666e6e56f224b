// Processing of a call from acceptance to result.
#include <algorithm>
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

namespace {

/// An older grant is not used, since its back end may have been marked as leaving in the meantime.
constexpr base::milliseconds grant_lifetime{1'500};

absl::Status grant_expired(const base::backend_id& backend) {
    return base::make_error(absl::StatusCode::kUnavailable,
                            "the journal took longer than the grant holds",
                            {.step = "run", .peer = backend.value(), .reason = "grant_expired"});
}

base::milliseconds time_left(base::instant deadline, base::instant now) {
    const auto left = std::chrono::duration_cast<base::milliseconds>(deadline - now);
    return std::max(left, base::milliseconds(0));
}

}  // namespace

void owner_state::set_stage(call_runtime& active, call_stage stage) {
    active.stage = stage;
    active.stage_since = now_;
    active.next_try.reset();
    active.tries = 0;
}

void owner_state::advance(program_context at) {
    if (!at.program.open()) {
        return;
    }
    const base::program_id id = at.program.id;
    if (options_.disabled.call_order) {
        std::vector<base::call_number> numbers;
        for (const auto& [number, active] : at.runtime.calls) {
            numbers.push_back(number);
        }
        for (const base::call_number number : numbers) {
            const auto call = find(id, number);
            if (call && call->active.stage == call_stage::queued) {
                begin(*call);
            }
        }
        return;
    }
    const call_state* first = at.program.first_unfinished();
    if (first == nullptr) {
        return;
    }
    const auto call = find(id, first->number);
    if (call && call->active.stage == call_stage::queued) {
        begin(*call);
    }
}

void owner_state::begin(call_context at) {
    if (now_ >= at.active.deadline) {
        stop(at, absl::StatusCode::kDeadlineExceeded, "the call's deadline has passed",
             "deadline_exceeded");
        return;
    }
    const bool needs_history = at.call.body && at.call.body->model;
    if (needs_history && history({at.program, at.runtime}) == nullptr) {
        set_stage(at.active, call_stage::reading_history);
        request_history({at.program, at.runtime});
        return;
    }
    const std::uint64_t cost = max_cost(*at.call.body, at.program.history.tokens());
    if (!at.program.budget.covers(cost) && !options_.disabled.budget_reservation) {
        base::error_details details{.step = "reserve", .reason = "budget_exhausted"};
        details.was_executed = executed_so_far(at);
        fail(at,
             base::make_error(absl::StatusCode::kResourceExhausted,
                              "the call may cost more than the budget has left", details),
             0);
        return;
    }
    offer(at);
}

void owner_state::offer(call_context at) {
    const offer_id id(next_offer_++);
    at.active.offer = id;
    offers_[id] = {at.program.id, at.call.number};
    set_stage(at.active, call_stage::offered);
    emit(action::offer_call{id, describe(at, at.call.last_attempt + 1)});
}

action::call_description owner_state::describe(call_context at, attempt_number attempt) const {
    action::call_description description;
    const wire::call_body& body = *at.call.body;
    description.attempt = attempt_name(at.program.id, at.call.number, attempt);
    description.program = at.program.id;
    description.tenant = at.program.tenant;
    description.program_class = at.program.request.program_class;
    description.labels = at.program.request.labels;
    description.number = at.call.number;
    description.priority_class = at.call.priority_class;
    description.attained_tokens = at.program.budget.spent();
    description.program_age =
        std::chrono::duration_cast<base::milliseconds>(now_ - at.runtime.opened_at);
    description.waited =
        std::chrono::duration_cast<base::milliseconds>(now_ - at.active.accepted_at);
    description.time_left = time_left(at.active.deadline, now_);
    description.calls_done = static_cast<std::uint32_t>(at.call.number.value() - 1);
    description.sub_program = at.program.request.parent.has_value();
    description.avoid = at.call.failed_backends;
    if (body.tool) {
        description.tool = body.tool->tool;
        return description;
    }
    prefix_chain chain = at.program.history;
    for (const wire::chat_message& message : body.model->new_messages) {
        chain.add(message);
    }
    description.model = body.model->model;
    description.prompt_tokens = prompt_tokens(body, at.program.history.tokens());
    description.max_output_tokens = body.model->max_output_tokens;
    description.last_engine = at.program.last_engine;
    description.prefixes = chain.marks();
    return description;
}

void owner_state::on(const event::placement_granted& event) {
    const auto at = find(event.offer);
    if (!at || at->active.stage != call_stage::offered) {
        emit(action::finish_placement{.offer = event.offer,
                                      .attempt = {},
                                      .program = {},
                                      .backend = event.backend,
                                      .outcome = wire::attempt_outcome::cancelled,
                                      .usage = {},
                                      .history = {},
                                      .next_tool = {}});
        return;
    }
    at->active.granted_backend = event.backend;
    at->active.granted_at = now_;
    at->active.engine_priority = event.engine_priority;
    at->active.pin_lease = event.pin_lease;
    const std::uint64_t cost = max_cost(*at->call.body, at->program.history.tokens());
    if (!at->program.budget.covers(cost) && !options_.disabled.budget_reservation) {
        finish_placement(*at, wire::attempt_outcome::cancelled, {});
        begin(*at);
        return;
    }
    const attempt_number attempt = at->call.last_attempt + 1;
    program_record record;
    record.intent = intent_record{.number = at->call.number,
                                  .attempt = attempt,
                                  .backend = event.backend,
                                  .reserved_tokens = cost,
                                  .decision = event.decision};
    append(at->program, std::move(record));
    attempts_[attempt_name(at->program.id, at->call.number, attempt)] = {at->program.id,
                                                                         at->call.number};
    set_stage(at->active, call_stage::intended);
    at->active.text.clear();
    at->active.last_index = 0;
    at->active.started_here = false;
    at->active.intent_committed = options_.disabled.journal_before_act;
    if (options_.disabled.journal_before_act) {
        send_attempt(*at);
        return;
    }
    when_committed([this, id = at->program.id, number = at->call.number, attempt] {
        const auto call = find(id, number);
        if (call && call->call.attempt && call->call.attempt->number == attempt) {
            call->active.intent_committed = true;
            send_attempt(*call);
        }
    });
}

void owner_state::on(const event::placement_refused& event) {
    const auto at = find(event.offer);
    if (!at || at->active.stage != call_stage::offered) {
        return;
    }
    offers_.erase(event.offer);
    at->active.offer.reset();
    base::error_details details = base::details_of(event.status);
    details.was_executed = executed_so_far(*at);
    at->active.result.decision = event.decision;
    fail(*at, base::make_error(event.status.code(), std::string(event.status.message()), details),
         0);
}

void owner_state::on(const event::placement_lost& event) {
    const auto at = find(event.offer);
    if (!at || at->active.stage != call_stage::offered) {
        return;
    }
    offers_.erase(event.offer);
    at->active.offer.reset();
    set_stage(at->active, call_stage::backing_off);
    at->active.next_try = now_ + options_.retry_backoff;
    wake_at(at->program.id, *at->active.next_try);
}

void owner_state::send_attempt(call_context at) {
    if (at.active.stage != call_stage::intended || !at.active.intent_committed) {
        return;
    }
    if (now_ >= at.active.deadline && !at.active.stop_status) {
        stop(at, absl::StatusCode::kDeadlineExceeded, "the call's deadline has passed",
             "deadline_exceeded");
        return;
    }
    if (at.active.stop_status) {
        finish_placement(at, wire::attempt_outcome::cancelled, {});
        fail(at, *at.active.stop_status, 0);
        return;
    }
    if (now_ - at.active.granted_at > grant_lifetime) {
        retry(at, grant_expired(at.call.attempt->backend), 0);
        return;
    }
    if (at.call.body->tool) {
        start_tool(at);
        return;
    }
    const program_history* known = history({at.program, at.runtime});
    if (known == nullptr) {
        request_history({at.program, at.runtime});
        return;
    }
    start_model(at, *known);
}

void owner_state::start_model(call_context at, const program_history& history) {
    const wire::model_call& model = *at.call.body->model;
    action::start_model_attempt start;
    start.attempt = attempt_name(at.program.id, at.call.number, at.call.attempt->number);
    start.engine = at.call.attempt->backend;
    start.program = at.program.id;
    start.tenant = at.program.tenant;
    start.model = model.model;
    start.messages = history.messages();
    start.messages.insert(start.messages.end(), model.new_messages.begin(),
                          model.new_messages.end());
    start.max_output_tokens = model.max_output_tokens;
    start.parameters_json = model.parameters_json;
    start.priority_class = at.call.priority_class;
    start.engine_priority = at.active.engine_priority;
    start.pin_lease = at.active.pin_lease;
    start.time_left = time_left(at.active.deadline, now_);
    start.call = at.call.number;
    start.confirm = leadership();
    start.start_by = at.active.granted_at + grant_lifetime;
    set_stage(at.active, call_stage::running);
    at.active.started_here = true;
    emit(std::move(start));
}

void owner_state::start_tool(call_context at) {
    const wire::tool_call& tool = *at.call.body->tool;
    action::start_tool_attempt start;
    start.attempt = attempt_name(at.program.id, at.call.number, at.call.attempt->number);
    start.backend = at.call.attempt->backend;
    start.program = at.program.id;
    start.tenant = at.program.tenant;
    start.tool = tool.tool;
    start.idempotency_key = retention_key(at.program.id, at.call.number);
    start.arguments_json = tool.arguments_json;
    start.time_left = time_left(at.active.deadline, now_);
    start.call = at.call.number;
    start.confirm = leadership();
    start.start_by = at.active.granted_at + grant_lifetime;
    set_stage(at.active, call_stage::running);
    at.active.started_here = true;
    emit(std::move(start));
}

void owner_state::on(const event::start_expired& event) {
    const auto at = find(event.attempt);
    if (!at || at->active.stage != call_stage::running || !at->active.started_here) {
        return;
    }
    retry(*at, grant_expired(at->call.attempt->backend), 0);
}

void owner_state::finish_placement(call_context at, wire::attempt_outcome outcome,
                                   std::optional<wire::token_usage> usage) {
    if (!at.active.offer) {
        return;
    }
    action::finish_placement finished;
    finished.offer = *at.active.offer;
    finished.attempt =
        attempt_name(at.program.id, at.call.number, std::max(at.call.last_attempt, 1U));
    finished.program = at.program.id;
    finished.backend = at.call.attempt ? at.call.attempt->backend : at.active.granted_backend;
    finished.outcome = outcome;
    finished.usage = usage;
    finished.history = at.program.history.end();
    const call_state* next = at.program.find_call(base::call_number(at.call.number.value() + 1));
    if (next != nullptr && next->body && next->body->tool) {
        finished.next_tool = next->body->tool->tool;
    }
    offers_.erase(*at.active.offer);
    at.active.offer.reset();
    emit(std::move(finished));
}

base::executed owner_state::executed_so_far(const call_context& at) const {
    return at.call.last_attempt == 0 ? base::executed::no : base::executed::unknown;
}

void owner_state::fail(call_context at, const absl::Status& status,
                       std::optional<std::uint64_t> spent) {
    result_record result;
    result.decision = at.call.attempt ? at.call.attempt->decision : at.active.result.decision;
    result.failed = to_failure(status);
    result.spent_tokens = spent;
    finish(at, std::move(result));
}

void owner_state::finish(call_context at, result_record result) {
    result.number = at.call.number;
    result.attempt = at.call.last_attempt;
    if (at.call.attempt) {
        result.backend = at.call.attempt->backend;
        attempts_.erase(attempt_name(at.program.id, at.call.number, at.call.attempt->number));
    }
    const wire::call_body body = *at.call.body;
    at.active.result = result;
    program_record record;
    record.result = std::move(result);
    append(at.program, std::move(record));
    set_stage(at.active, call_stage::finishing);
    const bool succeeded = !at.active.result.failed;
    finish_placement(at,
                     succeeded ? wire::attempt_outcome::completed : wire::attempt_outcome::failed,
                     at.active.result.usage);
    concurrency_.remove_call(at.program);
    uncount_call(at);
    if (options_.disabled.journal_before_act) {
        for (const call_reader& reader : std::exchange(at.active.readers, {})) {
            send_result(reader, at.program, at.active.result);
        }
    }
    when_committed([this, id = at.program.id, number = at.call.number, body] {
        if (const auto call = find(id, number)) {
            histories_.add(id, number, {body, call->active.result});
        }
        complete(id, number);
    });
}

void owner_state::complete(const base::program_id& program, base::call_number number) {
    const auto at = find(program, number);
    if (!at) {
        return;
    }
    const result_record result = at->active.result;
    for (const call_reader& reader : std::exchange(at->active.readers, {})) {
        send_result(reader, at->program, result);
    }
    program_context of{at->program, at->runtime};
    of.runtime.calls.erase(number);
    of.runtime.last_used = now_;
    advance(of);
    finish_end_if_no_calls(of);
    check_limits(of);
}

void owner_state::retry(call_context at, const absl::Status& why,
                        std::optional<std::uint64_t> spent) {
    finish_placement(at, wire::attempt_outcome::failed, {});
    if (at.call.last_attempt >= options_.max_attempts) {
        base::error_details details = base::details_of(why);
        details.reason = "attempts_exhausted";
        details.retry_after.reset();
        details.was_executed = base::executed::unknown;
        fail(at,
             base::make_error(absl::StatusCode::kUnavailable, std::string(why.message()), details),
             spent);
        return;
    }
    const base::attempt_id name =
        attempt_name(at.program.id, at.call.number, at.call.attempt->number);
    if (!options_.disabled.event_id_check) {
        attempts_.erase(name);
    }
    program_record record;
    record.attempt_closed = attempt_closed_record{
        .number = at.call.number, .attempt = at.call.attempt->number, .spent_tokens = spent};
    append(at.program, std::move(record));
    at.active.text.clear();
    at.active.last_index = 0;
    set_stage(at.active, call_stage::backing_off);
    at.active.next_try = now_ + backoff(at.call.last_attempt - 1, at.program.id);
    wake_at(at.program.id, *at.active.next_try);
}

void owner_state::stop(call_context at, absl::StatusCode code, std::string_view message,
                       std::string_view reason) {
    base::error_details details{.step = "run", .reason = std::string(reason)};
    details.was_executed = executed_so_far(at);
    switch (at.active.stage) {
        case call_stage::offered:
            emit(action::withdraw_offer{*at.active.offer});
            offers_.erase(*at.active.offer);
            at.active.offer.reset();
            [[fallthrough]];
        case call_stage::queued:
        case call_stage::reading_history:
        case call_stage::backing_off:
            fail(at, base::make_error(code, message, details), 0);
            return;
        case call_stage::intended:
            // This attempt was not sent; only earlier attempts can have been executed.
            if (at.call.last_attempt == 1) {
                details.was_executed = base::executed::no;
            }
            at.active.stop_status = base::make_error(code, message, details);
            send_attempt(at);
            return;
        case call_stage::running:
        case call_stage::querying:
        case call_stage::cancelling:
            break;
        case call_stage::finishing:
            return;
    }
    details.was_executed = at.active.text.empty() ? base::executed::unknown : base::executed::yes;
    at.active.stop_status = base::make_error(code, message, details);
    if (at.call.body->model) {
        if (at.active.stage != call_stage::cancelling) {
            set_stage(at.active, call_stage::cancelling);
            stop_model(at);
        }
        return;
    }
    emit(action::cancel_tool_attempt{
        attempt_name(at.program.id, at.call.number, at.call.attempt->number),
        at.call.attempt->backend});
    finish_placement(at, wire::attempt_outcome::lost, {});
    fail(at, *at.active.stop_status, std::nullopt);
}

}  // namespace pearbarrow::program
