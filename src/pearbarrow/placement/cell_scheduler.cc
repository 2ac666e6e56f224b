#include "pearbarrow/placement/cell_scheduler.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/placement/scheduler_state.h"

namespace pearbarrow::placement {
namespace {

constexpr base::milliseconds housekeeping_interval{1'000};
/// A program that has paused for longer than this is no longer tracked.
constexpr base::seconds longest_pause{900};
constexpr std::size_t max_paused_programs = 65'536;

}  // namespace

std::vector<cell_action> cell_scheduler::state::apply(const cell_event& event, base::instant now) {
    if (!first_event_) {
        first_event_ = now;
    }
    rate_.advance(now, queue_.size() > 0);
    std::visit([&](const auto& typed) { handle(typed, now); }, event);
    return std::exchange(actions_, {});
}

bool cell_scheduler::state::in_take_over(base::instant now) const {
    return now - *first_event_ < options_.take_over_time;
}

void cell_scheduler::state::handle(const engines_changed_event& event, base::instant now) {
    std::vector<config::label_set> labels;
    std::vector<std::uint64_t> limits;
    for (const cell_engine& engine : event.engines) {
        labels.push_back(engine.pool_labels);
        limits.push_back(engine.token_limit);
    }
    engines_.set(event.engines);
    rules_.set(event.configuration, event.region, std::move(labels));
    directory_.set_engines(limits);
    working_set_.set_engines(limits.size());
    for (const base::attempt_id& attempt : queue_.attempts()) {
        const waiting_call* call = queue_.find(attempt);
        const program_rules& rules = rules_.find(call->offer);
        queue_.change_rules(attempt, rules);
        queue_.change_permitted(attempt, permitted_engines(call->offer, rules));
        if (call->key.band != 0) {
            queue_.change_key(attempt, key_for(call->offer, rules, call->waiting_since));
        }
    }
    for (auto& [tenant, state] : tenants_) {
        state.throttled.clear();
    }
    dispatch(now);
}

void cell_scheduler::state::handle(const offer_event& event, base::instant now) {
    const wire::placement_offer& offer = event.offer;
    if (queue_.find(offer.attempt) != nullptr || engines_.runs(offer.attempt)) {
        return;
    }
    record_pause(offer, now);
    const program_rules& rules = rules_.find(offer);
    waiting_call call;
    call.offer = offer;
    call.waiting_since = now - base::milliseconds(offer.waited_ms);
    if (offer.deadline_ms > 0) {
        call.deadline = now + base::milliseconds(offer.deadline_ms);
    }
    call.permitted = permitted_engines(offer, rules);
    call.opens_program = offer.calls_done == 0 && offer.depth == 0;
    call.rules = rules;
    call.statistics = &classes_[offer.program_class];
    shares_.add_active(offer.tenant, rules.tenant_weight, 1);
    call.key = key_for(offer, rules, now);
    gather_numbers(call, true, now);
    const quick_outcome outcome = decide_quickly(inputs_);
    if (outcome.kind == decision_kind::refused) {
        complete(call);
        refuse(offer, decide(inputs_));
        shares_.add_active(offer.tenant, rules.tenant_weight, -1);
        return;
    }
    enqueue(std::move(call));
    if (outcome.kind == decision_kind::granted) {
        dispatch(now);
    }
}

void cell_scheduler::state::handle(const withdraw_event& event, base::instant now) {
    const auto call = dequeue(event.attempt);
    if (!call) {
        return;
    }
    gather(*call, false, now);
    decision_outcome outcome;
    outcome.kind = decision_kind::refused;
    outcome.reason = std::string(reason::withdrawn);
    refuse(call->offer, outcome);
    shares_.add_active(call->offer.tenant, rules_.find(call->offer).tenant_weight, -1);
    remove_idle_tenant(call->offer.tenant);
}

void cell_scheduler::state::handle(const finished_event& event, base::instant now) {
    const wire::placement_finished& finished = event.finished;
    if (const auto call = engines_.remove(finished.attempt)) {
        add_tenant_tokens(call->offer.tenant, -static_cast<std::int64_t>(call->held_tokens));
        shares_.add_active(call->offer.tenant, rules_.find(call->offer).tenant_weight, -1);
        record_finished_call(*call, finished, now);
        resume_throttled(call->offer.tenant, now);
        remove_idle_tenant(call->offer.tenant);
    }
    if (finished.program_ended) {
        handle(program_ended_event{finished.program}, now);
        return;
    }
    dispatch(now);
}

void cell_scheduler::state::record_finished_call(const running_call& call,
                                                 const wire::placement_finished& finished,
                                                 base::instant now) {
    const double taken_us = finished.service_us > 0
                                ? static_cast<double>(finished.service_us)
                                : static_cast<double>((now - call.granted_at).count());
    if (finished.outcome != wire::attempt_outcome::completed || !call.engine) {
        return;
    }
    engines_.learn(call, taken_us);
    classes_[call.offer.program_class].add_call(taken_us, finished.output_tokens);
    if (call.offer.model.value().empty()) {
        return;
    }
    const std::uint32_t shared = directory_.shared_tokens(call.offer.prefixes, *call.engine);
    directory_.record_program(finished.program, *call.engine, finished.history_tokens, shared,
                              now + call.pin_lease);
    working_set_.put(finished.program, *call.engine,
                     finished.history_tokens - std::min(shared, finished.history_tokens), now);
    if (paused_.size() < max_paused_programs) {
        paused_[finished.program] = {now, call.offer.program_class, finished.next_tool};
    }
}

void cell_scheduler::state::handle(const in_flight_registered_event& event, base::instant now) {
    const wire::placement_registration& registration = event.registration;
    const wire::placement_offer& offer = registration.offer;
    if (engines_.runs(offer.attempt)) {
        return;
    }
    if (dequeue(offer.attempt)) {
        shares_.add_active(offer.tenant, rules_.find(offer).tenant_weight, -1);
    }
    running_call call;
    call.offer = offer;
    call.engine = engines_.find(registration.backend);
    call.offer.last_engine = registration.backend;
    call.granted_at = now - base::milliseconds(registration.running_ms);
    call.held_tokens = offer.prompt_tokens + offer.max_output_tokens;
    if (call.engine) {
        record_prefixes(offer, *call.engine, now);
    }
    add_tenant_tokens(offer.tenant, static_cast<std::int64_t>(call.held_tokens));
    shares_.add_active(offer.tenant, rules_.find(offer).tenant_weight, 1);
    engines_.add(std::move(call), now);
}

void cell_scheduler::state::handle(const engine_report_event& event, base::instant now) {
    if (engines_.restarted(event)) {
        directory_.clear_engine(*engines_.find(event.backend));
    }
    engines_.report(event, now);
}

void cell_scheduler::state::handle(const cache_event& event, base::instant now) {
    if (const auto engine = engines_.find(event.backend)) {
        directory_.set_tokens_left(event.program, *engine, event.tokens_left);
    }
}

void cell_scheduler::state::handle(const engine_state_event& event, base::instant now) {
    const auto engine = engines_.find(event.backend);
    if (!engine) {
        return;
    }
    engines_.set_state(*engine, event.draining, event.unreachable);
    dispatch(now);
}

void cell_scheduler::state::handle(const program_ended_event& event, base::instant now) {
    directory_.forget_program(event.program);
    working_set_.remove(event.program);
    record_program_end(event.program);
    // The freed memory may allow another program to open.
    dispatch(now);
}

void cell_scheduler::state::record_program_end(const base::program_id& program) {
    const auto found = paused_.find(program);
    if (found == paused_.end()) {
        return;
    }
    class_statistics& statistics = classes_[found->second.program_class];
    statistics.all_pauses().add_end();
    statistics.pauses(found->second.next_tool).add_end();
    paused_.erase(found);
}

void cell_scheduler::state::handle(const tick_event& event, base::instant now) {
    refuse_expired_calls(now);
    if (now - last_housekeeping_ >= housekeeping_interval) {
        last_housekeeping_ = now;
        engines_.check_overdue(now);
        working_set_.expire(now - options_.working_set_pause);
        absl::erase_if(paused_,
                       [&](const auto& entry) { return now - entry.second.since > longest_pause; });
    }
    dispatch(now);
}

void cell_scheduler::state::record_pause(const wire::placement_offer& offer, base::instant now) {
    class_statistics& statistics = classes_[offer.program_class];
    statistics.add_offer(offer.calls_done);
    const auto found = paused_.find(offer.program);
    if (found == paused_.end()) {
        return;
    }
    const base::microseconds pause = now - found->second.since;
    statistics.all_pauses().add_return(pause);
    statistics.pauses(found->second.next_tool).add_return(pause);
    paused_.erase(found);
}

void cell_scheduler::state::refuse_expired_calls(base::instant now) {
    for (const base::attempt_id& attempt : queue_.expired_calls(now)) {
        const auto call = dequeue(attempt);
        gather(*call, false, now);
        refuse(call->offer, decide(inputs_));
        shares_.add_active(call->offer.tenant, rules_.find(call->offer).tenant_weight, -1);
        remove_idle_tenant(call->offer.tenant);
    }
}

void cell_scheduler::state::dispatch(base::instant now) {
    if (queue_.size() == 0) {
        return;
    }
    queue_.promote_starved(now - options_.starvation_bound);
    engine_mask open = engines_.open();
    call_queue::cursor cursor(queue_, open);
    std::uint32_t passed_over = 0;
    while (open != 0 && passed_over < options_.scan_limit) {
        const waiting_call* call = cursor.next(open);
        if (call == nullptr) {
            return;
        }
        const bool starved = call->key.band == 0;
        const engine_mask permitted = call->permitted;
        const attempt_result result = try_call(*call, now);
        if (result == attempt_result::moved) {
            open = engines_.open();
            continue;
        }
        if (result == attempt_result::waits_for_memory) {
            // Active programs must continue, otherwise the memory is never freed. No other program
            // may open before this one.
            cursor.skip_openers();
            continue;
        }
        ++passed_over;
        if (starved) {
            // Reserves the capacity that a starved call waits for.
            open &= ~permitted;
        }
    }
}

cell_scheduler::state::attempt_result cell_scheduler::state::try_call(const waiting_call& call,
                                                                      base::instant now) {
    const bool over = options_.tenant_fairness && call.key.band != 0 &&
                      shares_.over_share(call.offer.tenant, now);
    if (over && call.key.over_share == 0) {
        queue_key key = call.key;
        key.over_share = 1;
        queue_.change_key(call.offer.attempt, key);
        return attempt_result::moved;
    }
    gather_numbers(call, false, now);
    const quick_outcome outcome = decide_quickly(inputs_);
    if (outcome.kind == decision_kind::waiting) {
        if (outcome.reason == reason::waiting_for_tenant_limit) {
            throttle(call);
            return attempt_result::moved;
        }
        return outcome.reason == reason::waiting_for_memory ? attempt_result::waits_for_memory
                                                            : attempt_result::waits;
    }
    complete(call);
    const base::attempt_id attempt = call.offer.attempt;
    const double weight = call.rules.tenant_weight;
    waiting_call taken = *dequeue(attempt);
    if (outcome.kind == decision_kind::granted) {
        grant(std::move(taken), *outcome.chosen, now);
        return attempt_result::moved;
    }
    refuse(taken.offer, decide(inputs_));
    shares_.add_active(taken.offer.tenant, weight, -1);
    return attempt_result::moved;
}

cell_load cell_scheduler::state::load() const {
    cell_load result;
    result.waiting = static_cast<std::uint32_t>(queue_.size());
    result.in_flight = static_cast<std::uint32_t>(engines_.running());
    result.engines = static_cast<std::uint32_t>(engines_.size());
    result.engines_open = static_cast<std::uint32_t>(__builtin_popcountll(engines_.open()));
    result.grants_per_second = rate_.per_second();
    return result;
}

std::optional<decision_record> cell_scheduler::state::explain(const base::attempt_id& attempt,
                                                              base::instant now) {
    const waiting_call* call = queue_.find(attempt);
    if (call == nullptr) {
        return records_.find(attempt);
    }
    gather(*call, false, now);
    return decision_record{1, inputs_, decide(inputs_)};
}

cell_scheduler::cell_scheduler(cell_options options) : state_(std::make_unique<state>(options)) {}
cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler& cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

std::vector<cell_action> cell_scheduler::apply(const cell_event& event, base::instant now) {
    return state_->apply(event, now);
}

cell_load cell_scheduler::load() const {
    return state_->load();
}

std::optional<decision_record> cell_scheduler::explain(const base::attempt_id& attempt,
                                                       base::instant now) const {
    return state_->explain(attempt, now);
}

}  // namespace pearbarrow::placement
