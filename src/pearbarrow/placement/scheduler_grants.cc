/// Part of the scheduler that gathers the inputs of a decision and applies its outcome.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/placement/scheduler_state.h"

namespace pearbarrow::placement {
namespace {

/// Engine priorities count in steps of 10 ms of queue order, modulo about four months.
constexpr double engine_priority_step_us = 10'000;
constexpr double engine_priority_range = 1e9;
/// One level of rule priority equals this many steps of queue order on the engine (2.7 hours).
constexpr std::int32_t engine_priority_level = 1'000'000;
constexpr std::int32_t max_rule_priority = 100;

absl::StatusCode status_code(const std::string& code) {
    if (code == reason::deadline_passed || code == reason::deadline_unreachable) {
        return absl::StatusCode::kDeadlineExceeded;
    }
    if (code == reason::queue_full || code == reason::tenant_queue_full) {
        return absl::StatusCode::kResourceExhausted;
    }
    if (code == reason::denied_by_rule) {
        return absl::StatusCode::kPermissionDenied;
    }
    if (code == reason::prompt_too_long) {
        return absl::StatusCode::kInvalidArgument;
    }
    if (code == reason::withdrawn) {
        return absl::StatusCode::kCancelled;
    }
    return absl::StatusCode::kUnavailable;
}

std::int32_t engine_priority(const queue_key& key) {
    const double step = std::fmod(key.order / engine_priority_step_us, engine_priority_range);
    const std::int32_t rule = std::clamp(key.priority, -max_rule_priority, max_rule_priority);
    return static_cast<std::int32_t>(step) + rule * engine_priority_level;
}

}  // namespace

engine_mask cell_scheduler::state::permitted_engines(const wire::placement_offer& offer,
                                                     const program_rules& rules) {
    engine_mask mask = 0;
    engine_mask failed_before = 0;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const cell_engine& engine = engines_.at(index);
        const engine_mask bit = engine_mask{1} << index;
        const bool serves =
            offer.model.value().empty()
                ? std::count(engine.tools.begin(), engine.tools.end(), offer.tool) > 0
                : std::count(engine.models.begin(), engine.models.end(), offer.model) > 0;
        const std::uint64_t context = std::uint64_t{offer.prompt_tokens} + offer.max_output_tokens;
        if (!serves || (rules.permitted & bit) == 0 || context > engine.context_limit) {
            continue;
        }
        mask |= bit;
        if (std::count(offer.excluded_engines.begin(), offer.excluded_engines.end(),
                       engine.backend) > 0) {
            failed_before |= bit;
        }
    }
    // If every engine has failed the call once, all of them are permitted again.
    return (mask & ~failed_before) != 0 ? mask & ~failed_before : mask;
}

queue_key cell_scheduler::state::key_for(const wire::placement_offer& offer,
                                         const program_rules& rules, base::instant now) {
    const class_statistics& statistics = classes_[offer.program_class];
    const auto now_us = static_cast<double>(now.time_since_epoch().count());
    const double start_us = now_us - static_cast<double>(offer.program_age_ms) * 1000;
    queue_key key;
    key.sequence = next_sequence_++;
    key.priority = -rules.priority;
    key.over_share = options_.tenant_fairness && shares_.over_share(offer.tenant, now) ? 1 : 0;
    switch (options_.order) {
        case queue_order::arrival:
            key.order = now_us;
            break;
        case queue_order::program_start:
            key.order = start_us;
            break;
        case queue_order::least_attained:
            key.order = static_cast<double>(offer.attained_tokens);
            break;
        case queue_order::shortest_remaining:
            key.order = statistics.expected_remaining_us(offer.calls_done);
            break;
        case queue_order::stretch:
            key.order = start_us + options_.stretch_factor *
                                       statistics.expected_remaining_us(offer.calls_done);
            break;
    }
    return key;
}

std::string_view cell_scheduler::state::exclusion(const waiting_call& call,
                                                  std::size_t index) const {
    const cell_engine& engine = engines_.at(index);
    const wire::placement_offer& offer = call.offer;
    if (offer.model.value().empty()) {
        if (std::count(engine.tools.begin(), engine.tools.end(), offer.tool) == 0) {
            return "wrong_tool";
        }
    } else if (std::count(engine.models.begin(), engine.models.end(), offer.model) == 0) {
        return "wrong_model";
    }
    if (std::uint64_t{offer.prompt_tokens} + offer.max_output_tokens > engine.context_limit) {
        return "context_too_long";
    }
    if (std::count(offer.excluded_engines.begin(), offer.excluded_engines.end(), engine.backend) >
        0) {
        return "avoided";
    }
    return "denied_by_rule";
}

void cell_scheduler::state::gather(const waiting_call& call, bool on_arrival, base::instant now) {
    gather_numbers(call, on_arrival, now);
    complete(call);
}

void cell_scheduler::state::gather_numbers(const waiting_call& call, bool on_arrival,
                                           base::instant now) {
    const wire::placement_offer& offer = call.offer;
    decision_inputs& inputs = inputs_;
    inputs.prompt_tokens = offer.prompt_tokens;
    inputs.max_output_tokens = offer.max_output_tokens;
    inputs.expected_output_tokens =
        call.statistics->expected_output_tokens(offer.max_output_tokens);
    inputs.opens_program = call.opens_program;
    inputs.has_deadline = call.deadline.has_value();
    inputs.deadline_left_ms = 0;
    if (call.deadline && *call.deadline > now) {
        inputs.deadline_left_ms = static_cast<std::uint64_t>(
            std::chrono::ceil<base::milliseconds>(*call.deadline - now).count());
    }
    inputs.waited_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(now - call.waiting_since).count());
    inputs.starved = call.key.band == 0;
    // Without a deadline, the queue position affects only the reason for waiting.
    inputs.ahead =
        call.deadline ? static_cast<std::uint32_t>(queue_.ahead_of(call.key)) : inputs.ahead;
    inputs.grants_per_second = rate_.per_second();
    inputs.affinity_wait_ms =
        options_.prefix_affinity ? static_cast<std::uint64_t>(options_.affinity_wait.count()) : 0;
    inputs.latency_weight = call.rules.latency_weight;
    inputs.cache_weight = call.rules.cache_weight;
    inputs.early_refusal = options_.early_refusal;
    gather_limits(call, on_arrival);
    gather_candidates(call, now);
}

void cell_scheduler::state::gather_limits(const waiting_call& call, bool on_arrival) {
    decision_inputs& inputs = inputs_;
    inputs.on_arrival = on_arrival;
    inputs.queue_length = static_cast<std::uint32_t>(queue_.size());
    inputs.queue_limit = options_.queue_limit;
    inputs.tenant_token_limit = call.rules.token_limit;
    inputs.tenant_queue_limit = call.rules.queue_limit;
    inputs.tenant_tokens_in_flight = 0;
    inputs.tenant_queued = 0;
    const auto tenant = tenants_.find(call.offer.tenant);
    if (tenant != tenants_.end()) {
        inputs.tenant_tokens_in_flight = tenant->second.tokens_in_flight;
        inputs.tenant_queued = tenant->second.queued;
    }
}

void cell_scheduler::state::complete(const waiting_call& call) {
    const wire::placement_offer& offer = call.offer;
    decision_inputs& inputs = inputs_;
    inputs.configuration = rules_.version();
    inputs.attempt = offer.attempt;
    inputs.program = offer.program;
    inputs.tenant = offer.tenant;
    inputs.program_class = offer.program_class;
    inputs.matched_rules = call.rules.matched;
    inputs.priority = call.rules.priority;
    inputs.attained_tokens = offer.attained_tokens;
    inputs.expected_remaining_us = call.statistics->expected_remaining_us(offer.calls_done);
    inputs.order_key = call.key.order;
    inputs.ahead = static_cast<std::uint32_t>(queue_.ahead_of(call.key));
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        inputs.candidates[index].backend = engines_.at(index).backend;
    }
    set_exclusion_reasons(call);
}

void cell_scheduler::state::set_exclusion_reasons(const waiting_call& call) {
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const cell_engine& engine = engines_.at(index);
        candidate_input& candidate = inputs_.candidates[index];
        if ((call.permitted >> index & 1) == 0) {
            candidate.exclusion = exclusion(call, index);
        } else if (!candidate.eligible) {
            candidate.exclusion = engine.draining ? "draining" : "unreachable";
        } else {
            candidate.exclusion.clear();
        }
    }
}

void cell_scheduler::state::fill_engines(base::instant now) {
    const std::pair<base::instant, std::uint64_t> wanted{now, engines_.version()};
    if (filled_for_ == wanted) {
        return;
    }
    filled_for_ = wanted;
    inputs_.candidates.resize(engines_.size());
    const bool take_over = in_take_over(now);
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        engines_.fill(index, now, options_.report_horizon, take_over, inputs_.candidates[index]);
    }
}

void cell_scheduler::state::gather_candidates(const waiting_call& call, base::instant now) {
    const wire::placement_offer& offer = call.offer;
    held_.assign(engines_.size(), {});
    if (options_.prefix_affinity) {
        directory_.fill(offer.program, offer.prefixes, held_);
    }
    fill_engines(now);
    const bool take_over = in_take_over(now);
    const engine_mask usable = engines_.usable() & call.permitted;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const cell_engine& engine = engines_.at(index);
        candidate_input& candidate = inputs_.candidates[index];
        candidate.eligible = (usable >> index & 1) != 0;
        candidate.working_set = working_set_.tokens(index);
        candidate.working_set_limit =
            options_.working_set_limit && !offer.model.value().empty()
                ? static_cast<std::uint64_t>(options_.working_set_part *
                                             static_cast<double>(engine.token_limit))
                : 0;
        candidate.cached_tokens = std::min(held_[index].cached, offer.prompt_tokens);
        if (take_over && candidate.cached_tokens == 0 && engine.backend == offer.last_engine &&
            options_.prefix_affinity) {
            candidate.cached_tokens = std::min(offer.history_tokens, offer.prompt_tokens);
        }
        // Memory is shared only with calls in flight on the engine.
        candidate.shared_tokens = candidate.eligible && candidate.in_flight > 0
                                      ? std::min(held_[index].shared, offer.prompt_tokens)
                                      : 0;
    }
    if (usable == 0) {
        // The exclusion reasons determine whether the call is refused or waits.
        set_exclusion_reasons(call);
    }
}

base::milliseconds cell_scheduler::state::pin_lease(const wire::placement_offer& offer) {
    if (!options_.retention || offer.model.value().empty()) {
        return base::milliseconds(0);
    }
    const class_statistics& statistics = classes_[offer.program_class];
    const base::microseconds wait =
        statistics.all_pauses().retention_time(options_.least_return_rate, options_.longest_pin);
    return std::chrono::duration_cast<base::milliseconds>(wait);
}

std::vector<base::backend_id> cell_scheduler::state::drop_stale_holders(
    const wire::placement_offer& offer, std::size_t chosen) {
    std::vector<base::backend_id> holders;
    for (const std::size_t engine : directory_.forget_elsewhere(offer.program, chosen)) {
        holders.push_back(engines_.at(engine).backend);
    }
    return holders;
}

void cell_scheduler::state::record_prefixes(const wire::placement_offer& offer, std::size_t engine,
                                            base::instant now) {
    std::uint32_t before = 0;
    for (const wire::prefix_mark& mark : offer.prefixes) {
        directory_.record_shared(mark, engine, mark.tokens - std::min(before, mark.tokens), now);
        before = mark.tokens;
    }
}

void cell_scheduler::state::grant(waiting_call taken, std::size_t engine, base::instant now) {
    const wire::placement_offer& offer = taken.offer;
    const candidate_input& candidate = inputs_.candidates[engine];
    grant_action action;
    action.attempt = offer.attempt;
    action.owner = offer.owner;
    action.backend = candidate.backend;
    action.grant = base::grant_id(next_grant_++);
    action.engine_priority = engine_priority(taken.key);
    action.pin_lease = pin_lease(offer);
    action.stale_holders = drop_stale_holders(offer, engine);
    action.decision =
        std::make_shared<const decision_record>(decision_record{1, inputs_, decide(inputs_)});

    running_call call;
    call.engine = engine;
    call.granted_at = now;
    call.pin_lease = action.pin_lease;
    call.uncached_tokens = offer.prompt_tokens - candidate.cached_tokens;
    const auto output = static_cast<std::uint64_t>(
        std::min<double>(offer.max_output_tokens, 2 * inputs_.expected_output_tokens));
    call.held_tokens = offer.prompt_tokens - candidate.shared_tokens + output;
    const double token_us =
        candidate.decode_us_per_token + candidate.decode_us_per_sequence * candidate.in_flight;
    const double prefill_us =
        (call.uncached_tokens + static_cast<double>(candidate.prefill_backlog)) *
        candidate.prefill_us_per_token;
    call.nominal_us = prefill_us + inputs_.expected_output_tokens * token_us;
    shares_.add_use(
        offer.tenant,
        call.uncached_tokens * candidate.prefill_us_per_token +
            inputs_.expected_output_tokens *
                (candidate.decode_us_per_sequence +
                 candidate.decode_us_per_token / std::max(1U, candidate.in_flight_limit)),
        now);
    add_tenant_tokens(offer.tenant, static_cast<std::int64_t>(call.held_tokens));
    record_prefixes(offer, engine, now);
    if (!offer.model.value().empty()) {
        const std::uint32_t shared = directory_.shared_tokens(offer.prefixes, engine);
        working_set_.put(offer.program, engine,
                         offer.prompt_tokens - std::min(shared, offer.prompt_tokens) + output,
                         std::nullopt);
    }
    rate_.add_grant();
    records_.add(action.decision);
    call.offer = std::move(taken.offer);
    engines_.add(std::move(call), now);
    actions_.emplace_back(std::move(action));
}

void cell_scheduler::state::refuse(const wire::placement_offer& offer,
                                   const decision_outcome& outcome) {
    refuse_action action;
    action.attempt = offer.attempt;
    action.owner = offer.owner;
    action.decision = std::make_shared<const decision_record>(decision_record{1, inputs_, outcome});
    base::error_details details{.step = "place", .peer = {}, .reason = outcome.reason};
    details.was_executed = base::executed::no;
    if (outcome.retry_after_ms > 0) {
        details.retry_after = base::milliseconds(outcome.retry_after_ms);
    }
    action.status =
        base::make_error(status_code(outcome.reason),
                         fmt::format("the call was not placed: {}", outcome.reason), details);
    records_.add(action.decision);
    actions_.emplace_back(std::move(action));
}

void cell_scheduler::state::enqueue(waiting_call call) {
    tenants_[call.offer.tenant].queued += 1;
    queue_.insert(std::move(call));
}

std::optional<waiting_call> cell_scheduler::state::dequeue(const base::attempt_id& attempt) {
    auto call = queue_.remove(attempt);
    if (call) {
        tenants_[call->offer.tenant].queued -= 1;
    }
    return call;
}

void cell_scheduler::state::throttle(const waiting_call& call) {
    tenants_[call.offer.tenant].throttled.push_back(call.offer.attempt);
    queue_.change_permitted(call.offer.attempt, 0);
}

void cell_scheduler::state::resume_throttled(const base::tenant_id& tenant, base::instant now) {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return;
    }
    for (const base::attempt_id& attempt : std::exchange(found->second.throttled, {})) {
        if (const waiting_call* call = queue_.find(attempt)) {
            queue_.change_permitted(attempt,
                                    permitted_engines(call->offer, rules_.find(call->offer)));
        }
    }
}

void cell_scheduler::state::add_tenant_tokens(const base::tenant_id& tenant, std::int64_t tokens) {
    tenants_[tenant].tokens_in_flight += static_cast<std::uint64_t>(tokens);
}

void cell_scheduler::state::remove_idle_tenant(const base::tenant_id& tenant) {
    const auto found = tenants_.find(tenant);
    if (found != tenants_.end() && found->second.queued == 0 &&
        found->second.tokens_in_flight == 0) {
        tenants_.erase(found);
    }
}

wire::placement_reply to_reply(const cell_action& action) {
    wire::placement_reply reply;
    if (const auto* granted = std::get_if<grant_action>(&action)) {
        reply.answer = wire::placement_outcome::granted;
        reply.attempt = granted->attempt;
        reply.backend = granted->backend;
        reply.grant = granted->grant;
        reply.engine_priority = granted->engine_priority;
        reply.pin_lease_ms = static_cast<std::uint64_t>(granted->pin_lease.count());
        reply.stale_holders = granted->stale_holders;
        reply.decision = encode_record(*granted->decision);
        return reply;
    }
    const auto& refused = std::get<refuse_action>(action);
    const base::error_details details = base::details_of(refused.status);
    reply.attempt = refused.attempt;
    reply.status_code = static_cast<std::int32_t>(refused.status.code());
    reply.reason = details.reason;
    reply.message = std::string(refused.status.message());
    if (details.retry_after) {
        reply.retry_after_ms = static_cast<std::uint64_t>(details.retry_after->count());
    }
    reply.decision = encode_record(*refused.decision);
    return reply;
}

}  // namespace pearbarrow::placement
