// Recovery of the programs and calls that an earlier owner left unfinished.
#include <utility>

#include "pearbarrow/program/owner_state.h"
#include "pearbarrow/program/snapshot.h"

namespace pearbarrow::program {

void owner_state::on(const event::journal_recovered& event) {
    if (recovered_ || ownership_lost_) {
        return;
    }
    auto restored = restore(event.snapshot, event.payloads);
    if (!restored.ok()) {
        emit(action::journal_unusable{restored.status()});
        return;
    }
    recovered_ = true;
    leadership_known_at_ = now_;
    programs_ = std::move(*restored);
    std::vector<base::program_id> ids;
    for (const auto& [id, program] : programs_) {
        ids.push_back(id);
        program_runtime& runtime = runtimes_[id];
        runtime.opened_at = now_ - base::milliseconds(program.age_ms);
        runtime.last_used = now_;
    }
    for (const base::program_id& id : ids) {
        if (const auto at = find(id)) {
            recover(*at);
        }
    }
}

void owner_state::recover(program_context at) {
    if (at.program.open()) {
        concurrency_.add_program(at.program);
        count_program(at);
    }
    for (auto& [number, call] : at.program.calls) {
        if (call.done()) {
            continue;
        }
        call_runtime active;
        active.accepted_at = now_;
        active.stage_since = now_;
        active.deadline = now_ + base::milliseconds(call.deadline_ms);
        wake_at(at.program.id, active.deadline);
        at.runtime.calls.emplace(number, std::move(active));
        concurrency_.add_call(at.program);
        if (const auto context = find(at.program.id, number)) {
            count_call(*context);
        }
    }
    for (const auto& [number, call] : at.program.calls) {
        const auto context = find(at.program.id, number);
        if (context && context->call.attempt) {
            recover_attempt(*context);
        }
    }
    for (const auto& [child, state] : at.program.children) {
        if (!state.confirmed && !state.returned) {
            send_open_child(at, child);
        }
    }
    advance(at);
    if (!at.program.open()) {
        at.runtime.ended_at = now_;
        wake_at(at.program.id, now_ + options_.retention);
        if (at.program.phase == program_phase::ended) {
            start_releases(at);
        }
        check_budget_return(at);
    }
    check_limits(at);
}

void owner_state::recover_attempt(call_context at) {
    const attempt_state& attempt = *at.call.attempt;
    const base::attempt_id name = attempt_name(at.program.id, at.call.number, attempt.number);
    attempts_[name] = {at.program.id, at.call.number};
    const offer_id id(next_offer_++);
    at.active.offer = id;
    offers_[id] = {at.program.id, at.call.number};
    emit(action::register_in_flight{id, attempt.backend, describe(at, attempt.number)});
    set_stage(at.active, call_stage::running);
    if (at.call.body->model) {
        resume_model(at);
        return;
    }
    handle_tool_in_doubt(at);
}

}  // namespace pearbarrow::program
