#include "pearbarrow/bench/simulate_loop.h"

#include <algorithm>
#include <cmath>

namespace pearbarrow::bench {
namespace {

constexpr sim_time tick_us = 50'000;
/// Time until the owner of a call learns that its engine has started anew.
constexpr sim_time loss_detection_us = 1'000'000;
/// Names of shared prefixes lie above those of programs.
constexpr std::uint64_t system_key = 1ULL << 40;
constexpr std::uint64_t document_key = 1ULL << 41;
/// Where a class doesn't bound its answers, callers ask for at most so many times the mean.
constexpr double usual_output_margin = 4;

sim_time to_us(double seconds) {
    return std::llround(seconds * us_per_second);
}
sim_time ms_to_us(double milliseconds) {
    return std::llround(milliseconds * 1000);
}

std::uint64_t program_key(std::uint32_t program) {
    return program + 1ULL;
}

std::uint32_t output_limit(const class_spec& spec) {
    return static_cast<std::uint32_t>(
        std::min(spec.output.high, usual_output_margin * spec.output.mean));
}

}  // namespace

simulation_loop::simulation_loop(const experiment& setup, const workload& programs,
                                 placement_policy& policy, std::uint64_t seed)
    : setup_(setup),
      workload_(programs),
      policy_(policy),
      random_(seed),
      client_us_(ms_to_us(setup.client_network_ms)),
      engine_versions_(setup.engines.size()),
      incarnations_(setup.engines.size(), 1),
      snapshots_(setup.engines.size()),
      states_(programs.programs.size()),
      traces_(programs.programs.size()),
      programs_left_(programs.roots.size()) {
    for (const engine_spec& spec : setup.engines) {
        engines_.emplace_back(spec);
    }
    for (const std::uint32_t root : programs.roots) {
        post(to_us(programs.programs[root].arrival_seconds), event_kind::arrival, root);
    }
    for (std::uint32_t index = 0; index < setup.faults.size(); ++index) {
        post(to_us(setup.faults[index].at_seconds), event_kind::fault, index);
    }
    post(to_us(setup.warm_up_seconds), event_kind::snapshot, 0);
    post(to_us(setup.duration_seconds), event_kind::snapshot, 1);
    post(tick_us, event_kind::tick);
    post(to_us(setup.report_interval_seconds), event_kind::report);
}

void simulation_loop::post(sim_time time, event_kind kind, std::uint32_t first,
                           std::uint64_t second, std::uint32_t third) {
    events_.push({time, next_order_++, kind, first, second, third});
}

void simulation_loop::run(sim_time until) {
    while (programs_left_ > 0 && !events_.empty() && events_.top().time <= until) {
        const event item = events_.top();
        events_.pop();
        now_ = item.time;
        handle(item);
    }
}

void simulation_loop::handle(const event& item) {
    switch (item.kind) {
        case event_kind::arrival:
            start_program(item.first);
            break;
        case event_kind::call_ready:
            offer_next_call(item.first);
            break;
        case event_kind::engine_submit:
            submit(item.first, static_cast<std::uint32_t>(item.second));
            break;
        case event_kind::engine_due:
            if (engine_versions_[item.first] == item.second) {
                engines_[item.first].advance(now_);
                drain_engine(item.first);
            }
            break;
        case event_kind::call_done:
            call_done(item.first);
            break;
        case event_kind::program_gone:
            program_gone(item.first);
            break;
        case event_kind::tick: {
            policy_output output;
            policy_.tick(now_, output);
            carry_out(output);
            post(now_ + tick_us, event_kind::tick);
            break;
        }
        case event_kind::report:
            report_loads();
            break;
        case event_kind::eviction:
            policy_.evicted(item.first, static_cast<std::uint32_t>(item.second), item.third, now_);
            break;
        case event_kind::fault:
            apply_fault(setup_.faults[item.first]);
            break;
        case event_kind::snapshot:
            (item.first == 0 ? at_warm_up_ : at_end_) = totals();
            break;
    }
}

void simulation_loop::start_program(std::uint32_t program) {
    traces_[program].started = now_;
    const planned_program& plan = workload_.programs[program];
    const class_spec& spec = setup_.classes[plan.class_index];
    // A sub-program is opened by its parent's owner, not over the client's network.
    const sim_time delay = plan.parent < 0 ? client_us_ : 0;
    if (!spec.without_model) {
        post(now_ + delay, event_kind::call_ready, program);
        return;
    }
    sim_time tools = delay;
    for (const planned_call& call : plan.calls) {
        tools += to_us(call.pause_seconds);
    }
    states_[program].next_call = static_cast<std::uint32_t>(plan.calls.size());
    traces_[program].finished = now_ + tools + delay;
    programs_left_ -= plan.parent < 0 ? 1 : 0;
}

void simulation_loop::offer_next_call(std::uint32_t program) {
    const planned_program& plan = workload_.programs[program];
    program_state& state = states_[program];
    const planned_call& planned = plan.calls[state.next_call];
    state.own_tokens += planned.input_tokens;
    call_trace trace;
    trace.program = program;
    trace.number = state.next_call;
    trace.prompt_tokens = shared_tokens(setup_.classes[plan.class_index]) + state.own_tokens;
    trace.ready = now_;
    calls_.push_back(trace);
    requests_.emplace_back();
    offer_call(static_cast<std::uint32_t>(calls_.size() - 1));
}

void simulation_loop::offer_call(std::uint32_t call) {
    policy_output output;
    policy_.offer(view_of(call), now_, output);
    carry_out(output);
}

std::uint32_t simulation_loop::shared_tokens(const class_spec& spec) const {
    return spec.system_tokens + spec.document_tokens;
}

call_view simulation_loop::view_of(std::uint32_t call) const {
    const call_trace& trace = calls_[call];
    const planned_program& plan = workload_.programs[trace.program];
    const class_spec& spec = setup_.classes[plan.class_index];
    call_view view;
    view.call = call;
    view.program = trace.program;
    view.class_index = plan.class_index;
    view.tenant = plan.tenant;
    view.number = trace.number;
    view.prompt_tokens = trace.prompt_tokens;
    view.max_output_tokens = output_limit(spec);
    view.history_tokens =
        trace.number == 0 ? 0 : trace.prompt_tokens - plan.calls[trace.number].input_tokens;
    view.attained_tokens = states_[trace.program].attained_tokens;
    view.depth = plan.parent < 0 ? 0 : 1;
    const std::uint32_t root =
        plan.parent < 0 ? trace.program : static_cast<std::uint32_t>(plan.parent);
    view.program_started = traces_[root].started;
    if (spec.system_tokens > 0) {
        view.marks.push_back({system_key + plan.class_index, spec.system_tokens});
    }
    if (spec.document_tokens > 0) {
        view.marks.push_back({document_key + (std::uint64_t{plan.class_index} << 20) + plan.tenant,
                              shared_tokens(spec)});
    }
    return view;
}

sequence_request simulation_loop::request_of(const placed_call& placed) const {
    const call_trace& trace = calls_[placed.call];
    const planned_program& plan = workload_.programs[trace.program];
    const planned_call& planned = plan.calls[trace.number];
    const call_view view = view_of(placed.call);
    sequence_request request;
    request.call = placed.call;
    request.priority = placed.priority;
    request.prompt_tokens = trace.prompt_tokens;
    request.output_tokens = planned.output_tokens;
    request.pin_us = placed.pin_us;
    std::uint32_t before = 0;
    for (const wire::prefix_mark& mark : view.marks) {
        request.parts.push_back({mark.key, mark.tokens - before});
        before = mark.tokens;
    }
    request.parts.push_back(
        {program_key(trace.program), trace.prompt_tokens + planned.output_tokens - before});
    return request;
}

sim_time simulation_loop::network_us(std::uint32_t program, std::uint32_t engine) const {
    const bool same_zone = workload_.programs[program].zone == engine % std::max(1U, setup_.zones);
    return ms_to_us(same_zone ? setup_.network_ms : setup_.zone_network_ms);
}

void simulation_loop::carry_out(policy_output& output) {
    for (const placed_call& placed : output.placed) {
        call_trace& trace = calls_[placed.call];
        trace.placed = now_;
        trace.engine = placed.engine;
        requests_[placed.call] = request_of(placed);
        program_state& state = states_[trace.program];
        for (const std::uint32_t holder : placed.release_on) {
            engines_[holder].cache().abandon(program_key(trace.program), now_);
            std::erase(state.holders, holder);
        }
        if (std::count(state.holders.begin(), state.holders.end(), placed.engine) == 0) {
            state.holders.push_back(placed.engine);
        }
        post(now_ + network_us(trace.program, placed.engine), event_kind::engine_submit,
             placed.engine, placed.call);
    }
    for (const auto& [call, reason] : output.refused) {
        refusals_.emplace_back(call, reason);
        const std::uint32_t program = calls_[call].program;
        traces_[program].refused = true;
        states_[program].next_call =
            static_cast<std::uint32_t>(workload_.programs[program].calls.size());
        end_program(program);
    }
}

void simulation_loop::submit(std::uint32_t engine, std::uint32_t call) {
    engines_[engine].submit(std::move(requests_[call]), now_);
    drain_engine(engine);
}

void simulation_loop::drain_engine(std::uint32_t engine) {
    simulated_engine& machine = engines_[engine];
    for (const engine_event& item : machine.take_events()) {
        call_trace& trace = calls_[item.call];
        if (item.kind == engine_event_kind::started) {
            trace.started = now_;
            trace.cached_tokens = item.cached_tokens;
        } else if (item.kind == engine_event_kind::first_token) {
            trace.first_token = trace.first_token.value_or(now_);
        } else {
            post(now_ + network_us(trace.program, engine), event_kind::call_done, item.call);
        }
    }
    for (const prefix_part& evicted : machine.cache().take_evictions()) {
        if (evicted.key < system_key && !random_.chance(setup_.cache_event_loss)) {
            post(now_ + to_us(setup_.cache_event_lag_seconds), event_kind::eviction, engine,
                 evicted.key - 1, evicted.tokens);
        }
    }
    if (const auto due = machine.next_event()) {
        post(*due, event_kind::engine_due, engine, ++engine_versions_[engine]);
    }
}

void simulation_loop::call_done(std::uint32_t call) {
    call_trace& trace = calls_[call];
    trace.finished = now_;
    const planned_program& plan = workload_.programs[trace.program];
    const planned_call& planned = plan.calls[trace.number];
    program_state& state = states_[trace.program];
    program_trace& program = traces_[trace.program];
    program.model_us += now_ - trace.ready;
    program.longest_wait = std::max(program.longest_wait, *trace.started - trace.ready);
    state.own_tokens += planned.output_tokens;
    state.attained_tokens += trace.prompt_tokens - trace.cached_tokens + planned.output_tokens;
    call_result result;
    result.call = call;
    result.program = trace.program;
    result.engine = trace.engine;
    result.prompt_tokens = trace.prompt_tokens;
    result.cached_tokens = trace.cached_tokens;
    result.output_tokens = planned.output_tokens;
    result.service_us = now_ - trace.placed;
    policy_output output;
    policy_.finished(result, now_, output);
    carry_out(output);
    after_call(result.program);
}

void simulation_loop::after_call(std::uint32_t program) {
    const planned_program& plan = workload_.programs[program];
    program_state& state = states_[program];
    const planned_call& done = plan.calls[state.next_call];
    state.next_call += 1;
    if (state.next_call >= plan.calls.size()) {
        end_program(program);
        return;
    }
    if (!done.children.empty()) {
        state.children_left = static_cast<std::uint32_t>(done.children.size());
        for (const std::uint32_t child : done.children) {
            start_program(child);
        }
        return;
    }
    const sim_time client = done.pause == pause_kind::think ? 2 * client_us_ : 0;
    post(now_ + to_us(done.pause_seconds) + client, event_kind::call_ready, program);
}

void simulation_loop::end_program(std::uint32_t program) {
    const planned_program& plan = workload_.programs[program];
    const bool root = plan.parent < 0;
    traces_[program].finished = now_ + (root ? client_us_ : 0);
    // The caller ends the program once it has the last answer.
    post(now_ + (root ? 2 * client_us_ : 0), event_kind::program_gone, program);
    if (root) {
        programs_left_ -= 1;
        return;
    }
    const auto parent = static_cast<std::uint32_t>(plan.parent);
    if (--states_[parent].children_left == 0) {
        post(now_, event_kind::call_ready, parent);
    }
}

void simulation_loop::program_gone(std::uint32_t program) {
    policy_output output;
    policy_.program_ended(program, now_, output);
    carry_out(output);
    if (!policy_.releases()) {
        return;
    }
    for (const std::uint32_t engine : states_[program].holders) {
        engines_[engine].cache().abandon(program_key(program), now_);
    }
}

void simulation_loop::report_loads() {
    const sim_time interval = to_us(setup_.report_interval_seconds);
    const sim_time lag = to_us(setup_.report_lag_seconds);
    for (std::uint32_t engine = 0; engine < engines_.size(); ++engine) {
        const load_snapshot& seen = snapshots_[engine];
        policy_.report(engine, seen.running, seen.waiting, incarnations_[engine],
                       std::max(lag, interval), now_);
        snapshots_[engine] = {engines_[engine].running(), engines_[engine].waiting()};
    }
    post(now_ + interval, event_kind::report);
}

void simulation_loop::apply_fault(const fault_spec& fault) {
    simulated_engine& machine = engines_.at(fault.engine);
    machine.set_slowness(setup_.engines[fault.engine].slowness * fault.slowness);
    if (!fault.restart) {
        return;
    }
    incarnations_[fault.engine] += 1;
    engine_versions_[fault.engine] += 1;
    for (const std::uint32_t call : machine.restart(now_)) {
        call_result result;
        result.call = call;
        result.program = calls_[call].program;
        result.engine = fault.engine;
        result.lost = true;
        policy_output output;
        policy_.finished(result, now_ + loss_detection_us, output);
        carry_out(output);
        offer_call(call);
    }
}

engine_totals simulation_loop::totals() const {
    engine_totals sum;
    for (const simulated_engine& engine : engines_) {
        const idle_accounting& idle = engine.cache().idle();
        sum.idle.reused += idle.reused;
        sum.idle.evicted += idle.evicted;
        sum.idle.abandoned += idle.abandoned;
        sum.busy_seconds += engine.busy_seconds();
        sum.preemptions += engine.preemptions();
    }
    return sum;
}

std::uint64_t simulation_loop::under_way_at(sim_time time) const {
    std::uint64_t count = 0;
    for (const std::uint32_t root : workload_.roots) {
        const program_trace& trace = traces_[root];
        const bool begun = to_us(workload_.programs[root].arrival_seconds) <= time;
        count += begun && (!trace.finished || *trace.finished > time) ? 1 : 0;
    }
    return count;
}

}  // namespace pearbarrow::bench
