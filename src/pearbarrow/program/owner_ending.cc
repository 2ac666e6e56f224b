// End of a program, release of its caches, and removal of its state.
#include <algorithm>
#include <utility>

#include "pearbarrow/program/owner_state.h"

namespace pearbarrow::program {

void owner_state::begin_end(program_context at, const std::string& reason) {
    if (at.runtime.ending) {
        return;
    }
    at.runtime.ending = reason;
    for (const auto& [number, calls] : std::exchange(at.runtime.early_calls, {})) {
        for (const early_call& call : calls) {
            reply_error(call.token, refusal(absl::StatusCode::kFailedPrecondition,
                                            "the program has ended", "program_ended"));
        }
    }
    std::vector<base::call_number> numbers;
    for (const auto& [number, active] : at.runtime.calls) {
        numbers.push_back(number);
    }
    for (const base::call_number number : numbers) {
        const auto call = find(at.program.id, number);
        if (call && !call->active.stop_status) {
            stop(*call, absl::StatusCode::kCancelled, "the program was ended", reason);
        }
    }
    finish_end_if_no_calls(at);
}

void owner_state::finish_end_if_no_calls(program_context at) {
    if (!at.runtime.ending || at.runtime.end_appended || !at.runtime.calls.empty()) {
        return;
    }
    at.runtime.end_appended = true;
    concurrency_.remove_program(at.program);
    uncount_program(at);
    program_record record;
    record.ended = ended_record{*at.runtime.ending};
    append(at.program, std::move(record));
    when_committed([this, id = at.program.id] {
        if (const auto program = find(id)) {
            on_end_committed(*program);
        }
    });
}

void owner_state::on_end_committed(program_context at) {
    for (const reply_token token : std::exchange(at.runtime.end_waiters, {})) {
        reply_view(token, at.program.id);
    }
    emit(action::announce_program_end{at.program.id,
                                      {at.program.engines.begin(), at.program.engines.end()}});
    at.runtime.ended_at = now_;
    start_releases(at);
    check_budget_return(at);
    wake_at(at.program.id, now_ + options_.retention);
}

void owner_state::start_releases(program_context at) {
    for (const base::backend_id& engine : at.program.engines) {
        at.runtime.releases[engine] = {.next_try = now_, .tries = 0, .exchange = 0, .waiting = {}};
    }
    check_releases(at);
}

void owner_state::check_releases(program_context at) {
    if (at.program.phase != program_phase::ended || !at.runtime.ended_at) {
        return;
    }
    for (auto& [engine, release] : at.runtime.releases) {
        const bool given_up = options_.disabled.release_retry && release.tries > 0;
        if (release.next_try > now_ || given_up) {
            continue;
        }
        for (const auto& [attempt, backend] : at.runtime.unconfirmed_stops) {
            if (backend == engine) {
                emit(action::cancel_model_attempt{attempt, backend});
            }
        }
        emit(action::release_cache{at.program.id, engine});
        release.next_try = now_ + backoff(release.tries, at.program.id);
        ++release.tries;
        wake_at(at.program.id, release.next_try);
    }
    if (at.runtime.releases.empty()) {
        program_record record;
        record.released = released_record{};
        append(at.program, std::move(record));
    }
}

void owner_state::on(const event::cache_released& event) {
    const auto at = find(event.program);
    if (!at || at->runtime.releases.erase(event.backend) == 0) {
        return;
    }
    std::erase_if(at->runtime.unconfirmed_stops,
                  [&](const auto& stop) { return stop.second == event.backend; });
    check_releases(*at);
    check_forget(*at);
}

void owner_state::check_limits(program_context at) {
    if (!at.program.open() || at.runtime.ending) {
        return;
    }
    const wire::program_limits limits = limits_in_force(at.program);
    const base::instant run_time_end =
        at.runtime.opened_at + base::milliseconds(limits.run_time_ms);
    if (now_ >= run_time_end) {
        begin_end(at, "run_time_limit");
        return;
    }
    wake_at(at.program.id, run_time_end);
    const bool waits_for_child =
        std::any_of(at.program.children.begin(), at.program.children.end(),
                    [](const auto& child) { return !child.second.returned; });
    if (!at.runtime.calls.empty() || !at.runtime.early_calls.empty() || waits_for_child) {
        return;
    }
    const base::instant idle_end = at.runtime.last_used + base::milliseconds(limits.idle_ms);
    if (now_ >= idle_end) {
        begin_end(at, "idle_limit");
        return;
    }
    const bool wakes_earlier =
        at.runtime.idle_wake && *at.runtime.idle_wake > now_ && *at.runtime.idle_wake <= idle_end;
    if (!wakes_earlier) {
        at.runtime.idle_wake = idle_end;
        wake_at(at.program.id, idle_end);
    }
}

void owner_state::check_forget(program_context at) {
    const bool retention_passed = at.program.phase == program_phase::released &&
                                  at.runtime.ended_at &&
                                  now_ >= *at.runtime.ended_at + options_.retention;
    const bool returned = !at.program.request.parent || at.program.budget_returned;
    const bool children_returned =
        std::all_of(at.program.children.begin(), at.program.children.end(),
                    [](const auto& child) { return child.second.returned; });
    if (!retention_passed || !returned || !children_returned || !at.runtime.calls.empty() ||
        at.runtime.forget_appended) {
        return;
    }
    at.runtime.forget_appended = true;
    when_committed([this, id = at.program.id] {
        if (const auto program = find(id)) {
            forget(*program);
        }
    });
}

void owner_state::forget(program_context at) {
    const base::program_id id = at.program.id;
    for (const history_request& request : at.runtime.history_requests) {
        reply_error(request.reader.token,
                    refusal(absl::StatusCode::kNotFound, "no such program", "program_not_found"));
    }
    program_record record;
    record.forgotten = forgotten_record{};
    append(at.program, std::move(record));
    histories_.erase(id);
    runtimes_.erase(id);
    when_committed([this, id] { emit(action::drop_retained{retention_prefix(id)}); });
}

}  // namespace pearbarrow::program
