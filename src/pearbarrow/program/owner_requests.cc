// Requests from gateways and other owners.
#include <algorithm>
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

namespace {

constexpr base::milliseconds not_owner_retry_after{200};

absl::Status not_found(std::string_view what, std::string_view reason) {
    return refusal(absl::StatusCode::kNotFound, what, reason);
}

absl::Status program_not_found() {
    return not_found("no such program", "program_not_found");
}

bool is_complete(const wire::call_body& body) {
    if (body.model.has_value() == body.tool.has_value()) {
        return false;
    }
    if (body.model) {
        return !body.model->model.value().empty() && body.model->max_output_tokens > 0;
    }
    return !body.tool->tool.value().empty();
}

/// Parses an event id of the form `attempt.offset`. Any other text means that the reader has
/// received nothing.
call_reader reader_at(reply_token token, bool stream, const std::string& last_event_id) {
    call_reader reader{.token = token, .stream = stream, .attempt = 0, .offset = 0};
    const std::size_t dot = last_event_id.find('.');
    const bool digits = last_event_id.find_first_not_of("0123456789.") == std::string::npos;
    constexpr std::size_t max_attempt_digits = 9;
    if (!digits || dot == std::string::npos || dot == 0 || dot > max_attempt_digits ||
        last_event_id.size() - dot - 1 > max_attempt_digits * 2 ||
        dot + 1 == last_event_id.size() || last_event_id.find('.', dot + 1) != std::string::npos) {
        return reader;
    }
    reader.attempt = static_cast<attempt_number>(std::stoul(last_event_id.substr(0, dot)));
    reader.offset = std::stoull(last_event_id.substr(dot + 1));
    return reader;
}

}  // namespace

void owner_state::refuse_not_owner(reply_token token) {
    base::error_details details{.step = "own", .peer = new_owner_.value(), .reason = "not_owner"};
    details.retry_after = not_owner_retry_after;
    reply_error(token, base::make_error(absl::StatusCode::kUnavailable,
                                        "this node does not serve the shard", details));
}

bool owner_state::refuse_without_quorum(reply_token token) {
    if (has_quorum_) {
        return false;
    }
    base::error_details details{.step = "append", .reason = "no_quorum"};
    details.retry_after = options_.max_backoff;
    reply_error(token, base::make_error(absl::StatusCode::kUnavailable,
                                        "no majority of the journal's replicas answers", details));
    return true;
}

void owner_state::handle(reply_token token, const wire::program_request& request) {
    if (request.open) {
        open(token, request);
        return;
    }
    if (request.open_child) {
        open_child(token, request);
        return;
    }
    if (request.operator_explain) {
        explain_to_operator(token, request);
        return;
    }
    const auto at = find(request.program);
    const bool same_tenant =
        at && (at->program.tenant == request.tenant || options_.disabled.tenant_check);
    if (!same_tenant) {
        when_committed([this, token] { reply_error(token, program_not_found(), true); });
        return;
    }
    handle(token, *at, request);
}

void owner_state::handle(reply_token token, program_context at,
                         const wire::program_request& request) {
    if (request.submit) {
        submit(token, at, *request.submit);
    } else if (request.attach) {
        attach(at, request.attach->number,
               reader_at(token, request.attach->stream, request.attach->last_event_id));
    } else if (request.cancel) {
        cancel(token, at, request.cancel->number);
    } else if (request.end) {
        if (!at.program.open()) {
            reply_view(token, at.program.id);
            return;
        }
        at.runtime.end_waiters.push_back(token);
        begin_end(at, request.end->reason.empty() ? "ended_by_caller" : request.end->reason);
    } else if (request.get) {
        reply_view(token, at.program.id, true);
    } else if (request.history) {
        need_history(at, {.use = history_use::show_history,
                          .number = {},
                          .reader = {.token = token, .stream = false}});
    } else if (request.return_budget) {
        handle_budget_return(token, at, *request.return_budget);
    } else if (request.explain) {
        explain(token, at, request.explain->number);
    } else {
        reply_error(token, refusal(absl::StatusCode::kUnimplemented,
                                   "a request that this node does not know", "unknown_request"));
    }
}

void owner_state::open(reply_token token, const wire::program_request& request) {
    if (request.open->parent) {
        open_sub_program(token, request);
        return;
    }
    const auto known = programs_.find(request.program);
    if (known != programs_.end()) {
        const bool same =
            known->second.tenant == request.tenant && known->second.request == *request.open;
        if (same) {
            reply_view(token, request.program);
            return;
        }
        reply_error(token, refusal(absl::StatusCode::kAlreadyExists, "the program id is taken",
                                   "program_conflict"));
        return;
    }
    if (refuse_without_quorum(token)) {
        return;
    }
    absl::Status allowed =
        check_budget(request.open->token_budget, configured_bounds(request.tenant, *request.open));
    if (allowed.ok()) {
        allowed = concurrency_.check_open(request.tenant, request.open->program_class,
                                          options_.max_backoff);
    }
    if (allowed.ok() && programs_.size() >= options_.max_programs) {
        allowed = refusal(absl::StatusCode::kResourceExhausted, "the shard holds too many programs",
                          "too_many_programs", options_.max_backoff);
    }
    if (!allowed.ok()) {
        reply_error(token, std::move(allowed));
        return;
    }
    open_program(request.program, request.tenant, *request.open);
    reply_view(token, request.program);
}

void owner_state::open_program(const base::program_id& id, const base::tenant_id& tenant,
                               const wire::open_program_request& request) {
    program_runtime runtime;
    runtime.opened_at = now_;
    runtime.last_used = now_;
    runtimes_.emplace(id, std::move(runtime));
    program_state named;
    named.id = id;
    program_record record;
    record.opened = opened_record{.tenant = tenant, .request = request};
    append(named, std::move(record));
    histories_.put(id, {});
    if (const auto at = find(id)) {
        concurrency_.add_program(at->program);
        count_program(*at);
        check_limits(*at);
    }
}

void owner_state::submit(reply_token token, program_context at,
                         const wire::submit_call_request& request) {
    if (!is_complete(request.body)) {
        reply_error(
            token, refusal(absl::StatusCode::kInvalidArgument,
                           "a call names one model with an output limit, or one tool", "bad_call"));
        return;
    }
    const call_state* keyed = at.program.find_key(request.idempotency_key);
    base::call_number number = request.number;
    if (number.value() == 0) {
        number = keyed != nullptr ? keyed->number : at.program.next_call();
    }
    const call_state* known = at.program.find_call(number);
    const bool key_of_other_call = keyed != nullptr && keyed->number != number;
    const bool body_differs = known != nullptr && known->body_hash != hash_of(request.body);
    if (key_of_other_call || body_differs) {
        reply_error(token,
                    refusal(absl::StatusCode::kAlreadyExists,
                            "the call number or key was used for another call", "call_conflict"));
        return;
    }
    if (known != nullptr) {
        attach(at, number, reader_at(token, request.stream, request.last_event_id));
        return;
    }
    submit_new(token, at, request, number);
}

void owner_state::submit_new(reply_token token, program_context at,
                             const wire::submit_call_request& request, base::call_number number) {
    if (refuse_without_quorum(token)) {
        return;
    }
    if (!at.program.open() || at.runtime.ending) {
        reply_error(token, refusal(absl::StatusCode::kFailedPrecondition, "the program has ended",
                                   "program_ended"));
        return;
    }
    if (number > at.program.next_call() && !options_.disabled.call_order) {
        queue_early_call(token, at, request, number);
        return;
    }
    absl::Status admitted = admit(at, request);
    if (!admitted.ok()) {
        reply_error(token, std::move(admitted));
        return;
    }
    accept(token, at, request, number);
    submit_early_calls(at);
}

absl::Status owner_state::admit(program_context at, const wire::submit_call_request& request) {
    const wire::program_limits limits = limits_in_force(at.program);
    absl::Status status = check_program_limits(at.program, hash_of(request.body), limits);
    if (!status.ok()) {
        return status;
    }
    const std::uint64_t unfinished = at.program.unfinished_count();
    if (unfinished >= options_.max_queued_calls) {
        return refusal(absl::StatusCode::kResourceExhausted,
                       "too many calls of the program are waiting", "program_queue_full",
                       options_.max_backoff);
    }
    return concurrency_.check_call(at.program, options_.retry_backoff);
}

void owner_state::queue_early_call(reply_token token, program_context at,
                                   const wire::submit_call_request& request,
                                   base::call_number number) {
    const std::uint64_t ahead = number.value() - at.program.next_call().value();
    std::size_t held = 0;
    for (const auto& [held_number, calls] : at.runtime.early_calls) {
        held += calls.size();
    }
    if (ahead > options_.max_queued_calls || held >= options_.max_queued_calls) {
        reply_error(token, refusal(absl::StatusCode::kFailedPrecondition,
                                   "earlier calls of the program are missing", "call_number_gap",
                                   options_.retry_backoff));
        return;
    }
    at.runtime.early_calls[number].push_back({.token = token, .request = request, .since = now_});
    wake_at(at.program.id, now_ + options_.gap_wait);
}

void owner_state::submit_early_calls(program_context at) {
    auto& early = at.runtime.early_calls;
    while (!early.empty() && early.begin()->first < at.program.next_call()) {
        const std::vector<early_call> calls = std::move(early.begin()->second);
        const base::call_number number = early.begin()->first;
        early.erase(early.begin());
        for (const early_call& call : calls) {
            wire::submit_call_request request = call.request;
            request.number = number;
            submit(call.token, at, request);
        }
    }
    if (!early.empty() && early.begin()->first == at.program.next_call()) {
        const early_call first = early.begin()->second.front();
        early.begin()->second.erase(early.begin()->second.begin());
        if (early.begin()->second.empty()) {
            early.erase(early.begin());
        }
        submit(first.token, at, first.request);
        return;
    }
    for (auto entry = early.begin(); entry != early.end();) {
        auto& calls = entry->second;
        const auto expired = [&](const early_call& call) {
            if (now_ < call.since + options_.gap_wait) {
                return false;
            }
            reply_error(call.token, refusal(absl::StatusCode::kFailedPrecondition,
                                            "earlier calls of the program are missing",
                                            "call_number_gap", options_.retry_backoff));
            return true;
        };
        calls.erase(std::remove_if(calls.begin(), calls.end(), expired), calls.end());
        entry = calls.empty() ? early.erase(entry) : std::next(entry);
    }
}

void owner_state::accept(reply_token token, program_context at,
                         const wire::submit_call_request& request, base::call_number number) {
    const auto deadline = request.deadline_ms == 0 ? options_.default_deadline
                                                   : base::milliseconds(request.deadline_ms);
    program_record record;
    record.accepted = accepted_record{.number = number,
                                      .body = request.body,
                                      .deadline_ms = static_cast<std::uint64_t>(deadline.count()),
                                      .priority_class = request.priority_class,
                                      .idempotency_key = request.idempotency_key};
    if (request.body.tool && configuration_ != nullptr) {
        // An unconfigured tool is never repeatable, whatever the caller claims.
        const config::tool_terms terms =
            config::terms_of(*configuration_, request.body.tool->tool)
                .value_or(config::tool_terms{.repeatable = false,
                                             .cost = request.body.tool->declared_cost});
        record.accepted->tool_terms = tool_terms_record{terms.repeatable, terms.cost};
    }
    append(at.program, std::move(record));
    call_runtime active;
    active.accepted_at = now_;
    active.stage_since = now_;
    active.deadline = now_ + deadline;
    active.readers.push_back(reader_at(token, request.stream, request.last_event_id));
    at.runtime.calls.emplace(number, std::move(active));
    at.runtime.last_used = now_;
    concurrency_.add_call(at.program);
    if (const auto call = find(at.program.id, number)) {
        count_call(*call);
    }
    wake_at(at.program.id, now_ + deadline);
    // Placement proceeds while the record is being committed. This is safe because an attempt
    // starts only after its intent is committed, and the intent follows this record in the journal.
    advance(at);
}

void owner_state::cancel(reply_token token, program_context at, base::call_number number) {
    if (at.program.find_call(number) == nullptr) {
        reply_error(token, not_found("no such call", "call_not_found"), true);
        return;
    }
    const auto call = find(at.program.id, number);
    if (call && !call->call.done() && !call->active.stop_status) {
        stop(*call, absl::StatusCode::kCancelled, "the call was cancelled", "cancelled");
    }
    reply_view(token, at.program.id);
}

void owner_state::explain_to_operator(reply_token token, const wire::program_request& request) {
    const bool more = request.submit || request.attach || request.cancel || request.end ||
                      request.get || request.history || request.return_budget || request.explain;
    if (more || !request.tenant.value().empty()) {
        reply_error(token, refusal(absl::StatusCode::kPermissionDenied,
                                   "an operator reads decision records and nothing else",
                                   "not_an_operator"));
        return;
    }
    const auto at = find(request.program);
    if (!at) {
        when_committed([this, token] { reply_error(token, program_not_found(), true); });
        return;
    }
    explain(token, *at, request.operator_explain->number);
}

void owner_state::explain(reply_token token, program_context at, base::call_number number) {
    const call_state* call = at.program.find_call(number);
    if (call == nullptr) {
        reply_error(token, not_found("no such call", "call_not_found"), true);
        return;
    }
    const bool finished = call->done() && !at.runtime.calls.contains(number);
    if (finished) {
        need_history(at, {.use = history_use::explain,
                          .number = number,
                          .reader = {.token = token, .stream = false}});
        return;
    }
    wire::explain_view view;
    if (call->attempt) {
        view.decision_records.push_back(call->attempt->decision);
        view.state = "running";
    } else {
        const bool first = at.program.first_unfinished() == call;
        view.state = first ? "waiting_for_placement" : "waiting_for_order";
    }
    when_committed([this, token, view] {
        reply(token, {.program = {}, .call = {}, .history = {}, .explain = view}, true);
    });
}

}  // namespace pearbarrow::program
