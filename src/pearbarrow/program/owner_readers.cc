// Replies to readers, and reads of histories that are not cached.
#include <algorithm>
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

void owner_state::attach(program_context at, base::call_number number, call_reader reader) {
    const call_state* call = at.program.find_call(number);
    if (call == nullptr) {
        reply_error(reader.token,
                    refusal(absl::StatusCode::kNotFound, "no such call", "call_not_found"), true);
        return;
    }
    at.runtime.last_used = now_;
    const auto running = find(at.program.id, number);
    if (!running) {
        if (call->failed) {
            reply_error(reader.token, to_status(*call->failed));
            return;
        }
        need_history(at, {.use = history_use::show_result, .number = number, .reader = reader});
        return;
    }
    if (running->active.readers.size() >= options_.max_readers) {
        reply_error(reader.token, refusal(absl::StatusCode::kResourceExhausted,
                                          "too many requesters wait for the call",
                                          "too_many_readers", options_.retry_backoff));
        return;
    }
    running->active.readers.push_back(reader);
    deliver(*running);
}

void owner_state::deliver(call_context at) {
    if (at.active.stage == call_stage::finishing || !at.call.attempt) {
        return;
    }
    for (call_reader& reader : at.active.readers) {
        deliver(reader, at.call.number, at.call.attempt->number, at.active.text);
    }
}

void owner_state::deliver(call_reader& reader, base::call_number number, attempt_number attempt,
                          const std::string& text) {
    const bool gone = !waiting_requesters_.contains(reader.token);
    if (gone || !reader.stream || text.empty()) {
        return;
    }
    if (reader.attempt != attempt) {
        const bool has_text = reader.attempt != 0 && reader.offset > 0;
        reader.attempt = attempt;
        reader.offset = 0;
        if (has_text) {
            emit(action::reply_part{
                reader.token,
                {.event_id = event_id(attempt, 0), .text = {}, .restart = true, .call = number}});
        }
    }
    if (reader.offset >= text.size()) {
        return;
    }
    emit(action::reply_part{reader.token,
                            {.event_id = event_id(attempt, text.size()),
                             .text = text.substr(reader.offset),
                             .restart = false,
                             .call = number}});
    reader.offset = text.size();
}

void owner_state::send_result(call_reader reader, const program_state& program,
                              const result_record& result) {
    if (result.failed) {
        reply_error(reader.token, to_status(*result.failed));
        return;
    }
    const bool offset_past_end =
        reader.attempt == result.attempt && reader.offset > result.output.size();
    if (offset_past_end) {
        reader.attempt = 0;
    }
    deliver(reader, result.number, result.attempt, result.output);
    wire::call_result call;
    call.number = result.number;
    call.output = result.output;
    call.usage = result.usage;
    call.finish_reason = result.finish_reason;
    call.remaining_budget = program.budget.remaining();
    call.decision_record = result.decision;
    call.last_event_id = event_id(result.attempt, result.output.size());
    call.backend = result.backend;
    reply(reader.token, {.program = {}, .call = std::move(call), .history = {}, .explain = {}});
}

const program_history* owner_state::history(program_context at) {
    const program_history* known = histories_.find(at.program.id);
    if (known == nullptr) {
        return nullptr;
    }
    // The history must contain every call whose result is committed; an incomplete one is not used.
    const auto missing = [&](const auto& entry) {
        const bool committed = entry.second.done() && !at.runtime.calls.contains(entry.first);
        return committed && !known->calls.contains(entry.first);
    };
    const auto& calls = at.program.calls;
    if (std::any_of(calls.begin(), calls.end(), missing)) {
        histories_.erase(at.program.id);
        return nullptr;
    }
    return known;
}

void owner_state::need_history(program_context at, history_request request) {
    if (at.runtime.history_requests.size() >= options_.max_readers) {
        reply_error(request.reader.token, refusal(absl::StatusCode::kResourceExhausted,
                                                  "too many requesters wait for the history",
                                                  "too_many_readers", options_.retry_backoff));
        return;
    }
    at.runtime.history_requests.push_back(request);
    const program_history* known = history(at);
    if (known == nullptr) {
        request_history(at);
        return;
    }
    serve_history_requests(at, *known);
}

void owner_state::request_history(program_context at) {
    at.runtime.history_retry.reset();
    if (at.runtime.history_requested) {
        return;
    }
    at.runtime.history_requested = true;
    // The read must include every record appended so far.
    when_committed([this, id = at.program.id] {
        if (find(id)) {
            emit(action::read_retained{id, retention_prefix(id)});
        }
    });
}

void owner_state::on(const event::retained_read& event) {
    const auto at = find(event.program);
    if (!at || !at->runtime.history_requested) {
        return;
    }
    at->runtime.history_requested = false;
    const program_history* known = nullptr;
    if (event.payloads.ok()) {
        auto read = history_from(event.program, *event.payloads);
        if (read.ok()) {
            histories_.put(event.program, std::move(*read));
            known = history(*at);
        }
    }
    if (known == nullptr) {
        at->runtime.history_retry = now_ + backoff(at->runtime.history_tries, event.program);
        ++at->runtime.history_tries;
        wake_at(event.program, *at->runtime.history_retry);
        return;
    }
    at->runtime.history_tries = 0;
    serve_history_requests(*at, *known);
    for (auto& [number, active] : at->runtime.calls) {
        if (active.stage == call_stage::reading_history) {
            set_stage(active, call_stage::queued);
        }
    }
    advance(*at);
    if (const call_state* first = at->program.first_unfinished()) {
        if (const auto call = find(event.program, first->number)) {
            send_attempt(*call);
        }
    }
}

void owner_state::serve_history_requests(program_context at, const program_history& history) {
    for (const history_request& request : std::exchange(at.runtime.history_requests, {})) {
        const reply_token token = request.reader.token;
        if (request.use == history_use::show_history) {
            reply(token,
                  {.program = {},
                   .call = {},
                   .history = wire::history_view{history.messages()},
                   .explain = {}},
                  true);
            continue;
        }
        const auto call = history.calls.find(request.number);
        if (call == history.calls.end()) {
            reply_error(token,
                        refusal(absl::StatusCode::kNotFound, "no such call", "call_not_found"));
            continue;
        }
        const result_record& result = call->second.result;
        if (request.use == history_use::show_result) {
            send_result(request.reader, at.program, result);
            continue;
        }
        wire::explain_view view;
        if (!result.decision.empty()) {
            view.decision_records.push_back(result.decision);
        }
        view.state = result.failed ? "failed" : "done";
        view.reason = result.failed ? result.failed->reason : "";
        reply(token, {.program = {}, .call = {}, .history = {}, .explain = view});
    }
}

}  // namespace pearbarrow::program
