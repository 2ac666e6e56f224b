#include "pearbarrow/program/program_state.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/tokens.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::program {

base::call_number program_state::next_call() const {
    return base::call_number(calls.empty() ? 1 : calls.rbegin()->first.value() + 1);
}

call_state* program_state::find_call(base::call_number number) {
    const auto found = calls.find(number);
    return found == calls.end() ? nullptr : &found->second;
}

call_state* program_state::find_key(const std::string& idempotency_key) {
    if (idempotency_key.empty()) {
        return nullptr;
    }
    for (auto& [number, call] : calls) {
        if (call.idempotency_key == idempotency_key) {
            return &call;
        }
    }
    return nullptr;
}

call_state* program_state::first_unfinished() {
    const auto found = std::find_if(calls.begin(), calls.end(),
                                    [](const auto& entry) { return !entry.second.done(); });
    return found == calls.end() ? nullptr : &found->second;
}

std::uint64_t program_state::unfinished_count() const {
    return static_cast<std::uint64_t>(std::count_if(
        calls.begin(), calls.end(), [](const auto& entry) { return !entry.second.done(); }));
}

bool program_state::has_unsettled_transfer() const {
    return std::any_of(children.begin(), children.end(), [](const auto& entry) {
        return !entry.second.confirmed && !entry.second.returned;
    });
}

std::uint64_t hash_of(const wire::call_body& body) {
    return base::stable_hash(wire::encode(body));
}

std::uint64_t prompt_tokens(const wire::call_body& body, std::uint64_t history_tokens) {
    if (!body.model) {
        return 0;
    }
    std::uint64_t tokens = history_tokens + base::response_header_tokens;
    for (const wire::chat_message& message : body.model->new_messages) {
        tokens += message_tokens(message);
    }
    return tokens;
}

std::uint64_t max_cost(const wire::call_body& body, std::uint64_t history_tokens) {
    if (body.tool) {
        return body.tool->declared_cost;
    }
    return prompt_tokens(body, history_tokens) + body.model->max_output_tokens;
}

std::vector<wire::chat_message> turn_messages(const wire::call_body& body,
                                              const std::string& output) {
    if (body.tool) {
        return {{.role = "tool", .content = output, .name = body.tool->tool.value()}};
    }
    std::vector<wire::chat_message> messages = body.model->new_messages;
    messages.push_back({.role = "assistant", .content = output, .name = {}});
    return messages;
}

namespace {

absl::Status inconsistent(const program_record& record, std::string_view what) {
    return base::make_error(absl::StatusCode::kDataLoss,
                            fmt::format("program {}: {}", record.program.value(), what),
                            {.step = "apply_record", .reason = "inconsistent_record"});
}

absl::Status apply_opened(program_map& programs, const program_record& record) {
    program_state state;
    state.id = record.program;
    state.tenant = record.opened->tenant;
    state.request = record.opened->request;
    state.budget = token_budget(record.opened->request.token_budget);
    if (!programs.emplace(record.program, std::move(state)).second) {
        return inconsistent(record, "opened twice");
    }
    return absl::OkStatus();
}

absl::Status apply_accepted(program_state& program, const program_record& record) {
    const accepted_record& accepted = *record.accepted;
    call_state call;
    call.number = accepted.number;
    call.body_hash = hash_of(accepted.body);
    call.idempotency_key = accepted.idempotency_key;
    call.body = accepted.body;
    // The hash is that of the original body, because a repeated call carries the caller's claims.
    if (call.body->tool && accepted.tool_terms) {
        call.body->tool->repeatable = accepted.tool_terms->repeatable;
        call.body->tool->declared_cost = accepted.tool_terms->cost;
    }
    call.deadline_ms = accepted.deadline_ms;
    call.priority_class = accepted.priority_class;
    if (!program.calls.emplace(accepted.number, std::move(call)).second) {
        return inconsistent(record, "call accepted twice");
    }
    return absl::OkStatus();
}

absl::Status apply_intent(program_state& program, const program_record& record) {
    const intent_record& intent = *record.intent;
    call_state* call = program.find_call(intent.number);
    if (call == nullptr || call->done() || call->attempt ||
        intent.attempt != call->last_attempt + 1) {
        return inconsistent(record, "intent out of order");
    }
    call->phase = call_phase::running;
    call->last_attempt = intent.attempt;
    call->attempt = attempt_state{.number = intent.attempt,
                                  .backend = intent.backend,
                                  .reserved_tokens = intent.reserved_tokens,
                                  .decision = intent.decision};
    program.budget.reserve(intent.reserved_tokens);
    if (call->body && call->body->model) {
        program.engines.insert(intent.backend);
        program.last_engine = intent.backend;
    }
    return absl::OkStatus();
}

absl::Status apply_attempt_closed(program_state& program, const program_record& record) {
    const attempt_closed_record& closed = *record.attempt_closed;
    call_state* call = program.find_call(closed.number);
    if (call == nullptr || !call->attempt || call->attempt->number != closed.attempt) {
        return inconsistent(record, "closes an attempt that is not open");
    }
    program.budget.settle(call->attempt->reserved_tokens, closed.spent_tokens);
    call->failed_backends.push_back(call->attempt->backend);
    call->attempt.reset();
    call->phase = call_phase::accepted;
    return absl::OkStatus();
}

absl::Status apply_result(program_state& program, const program_record& record) {
    const result_record& result = *record.result;
    call_state* call = program.find_call(result.number);
    if (call == nullptr || call->done()) {
        return inconsistent(record, "result without an unfinished call");
    }
    if (call->attempt) {
        program.budget.settle(call->attempt->reserved_tokens, result.spent_tokens);
    }
    call->failed = result.failed;
    if (!result.failed && call->body) {
        for (const wire::chat_message& message : turn_messages(*call->body, result.output)) {
            program.history.add(message);
        }
        program.history.mark_end();
    }
    call->phase = call_phase::done;
    call->attempt.reset();
    call->body.reset();
    call->failed_backends.clear();
    return absl::OkStatus();
}

absl::Status apply_transfer_out(program_state& program, const program_record& record) {
    const transfer_out_record& transfer = *record.transfer_out;
    const child_state child{.open = transfer.open, .confirmed = false, .returned = false};
    if (!program.children.emplace(transfer.child, child).second) {
        return inconsistent(record, "transfer to the same child twice");
    }
    program.budget.transfer_out(transfer.open.token_budget);
    return absl::OkStatus();
}

absl::Status apply_transfer_returned(program_state& program, const program_record& record) {
    const transfer_returned_record& returned = *record.transfer_returned;
    const auto child = program.children.find(returned.child);
    if (child == program.children.end()) {
        return inconsistent(record, "budget returned by an unknown child");
    }
    child->second.returned = true;
    program.budget.transfer_back(returned.tokens);
    return absl::OkStatus();
}

absl::Status apply_transfer_confirmed(program_state& program, const program_record& record) {
    const auto child = program.children.find(record.transfer_confirmed->child);
    if (child == program.children.end()) {
        return inconsistent(record, "confirms an unknown child");
    }
    child->second.confirmed = true;
    return absl::OkStatus();
}

absl::Status apply_to_program(program_state& program, const program_record& record) {
    program.age_ms = std::max(program.age_ms, record.age_ms);
    if (record.accepted) {
        return apply_accepted(program, record);
    }
    if (record.intent) {
        return apply_intent(program, record);
    }
    if (record.attempt_closed) {
        return apply_attempt_closed(program, record);
    }
    if (record.result) {
        return apply_result(program, record);
    }
    if (record.transfer_out) {
        return apply_transfer_out(program, record);
    }
    if (record.transfer_confirmed) {
        return apply_transfer_confirmed(program, record);
    }
    if (record.transfer_returned) {
        return apply_transfer_returned(program, record);
    }
    if (record.ended) {
        program.phase = program_phase::ended;
        program.end_reason = record.ended->reason;
    } else if (record.released) {
        program.phase = program_phase::released;
    } else if (record.budget_returned) {
        program.budget_returned = true;
    } else {
        return inconsistent(record, "record of no known kind");
    }
    return absl::OkStatus();
}

}  // namespace

absl::Status apply_record(program_map& programs, const program_record& record) {
    if (record.opened) {
        return apply_opened(programs, record);
    }
    const auto program = programs.find(record.program);
    if (program == programs.end()) {
        return inconsistent(record, "record of a program that is not open");
    }
    if (record.forgotten) {
        programs.erase(program);
        return absl::OkStatus();
    }
    return apply_to_program(program->second, record);
}

}  // namespace pearbarrow::program
