#include "pearbarrow/placement/decision.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::placement {
namespace {

constexpr double us_per_ms = 1000;
/// Weight of the slowdown of other calls on the engine relative to the call's own time.
constexpr double interference_weight = 1.0;
/// Waiting for a full engine must be better than an immediate start by this factor.
constexpr double wait_advantage = 1.1;
/// The retry delay of a refusal for a full queue is the time in which this fraction of it drains.
constexpr double drained_fraction = 0.25;
constexpr std::uint64_t min_retry_ms = 100;
constexpr std::uint64_t max_retry_ms = 60'000;
/// Retry delay while the drain rate of the queue is unknown.
constexpr std::uint64_t unknown_rate_retry_ms = 1'000;

bool is_permanent(const std::string& exclusion) {
    return exclusion == "wrong_model" || exclusion == "wrong_tool" ||
           exclusion == "denied_by_rule" || exclusion == "context_too_long";
}

std::uint64_t bounded_retry(double milliseconds) {
    return static_cast<std::uint64_t>(std::clamp(milliseconds, static_cast<double>(min_retry_ms),
                                                 static_cast<double>(max_retry_ms)));
}

/// Time until `calls` calls have left the queue at the current rate.
std::uint64_t drain_time_ms(double calls, double grants_per_second) {
    if (grants_per_second <= 0) {
        return unknown_rate_retry_ms;
    }
    return bounded_retry(1000 * calls / grants_per_second);
}

std::uint64_t tokens_needed(const decision_inputs& inputs) {
    const double output =
        std::min(static_cast<double>(inputs.max_output_tokens), 2 * inputs.expected_output_tokens);
    return inputs.prompt_tokens + static_cast<std::uint64_t>(output);
}

bool fits(const decision_inputs& inputs, const candidate_input& candidate) {
    const std::uint64_t needed =
        tokens_needed(inputs) -
        std::min<std::uint64_t>(candidate.shared_tokens, inputs.prompt_tokens);
    // A call that needs the whole memory is executed alone.
    return candidate.in_flight == 0 || candidate.tokens_in_flight + needed <= candidate.token_limit;
}

/// Service time of the call on the engine, without queueing.
double service_us(const decision_inputs& inputs, const candidate_input& candidate) {
    const double uncached =
        inputs.prompt_tokens - std::min(candidate.cached_tokens, inputs.prompt_tokens);
    const double token_us =
        candidate.decode_us_per_token + candidate.decode_us_per_sequence * candidate.in_flight;
    return candidate.slowdown *
           (uncached * candidate.prefill_us_per_token + inputs.expected_output_tokens * token_us);
}

/// Total delay that the call causes to the calls already on the engine.
double interference_us(const decision_inputs& inputs, const candidate_input& candidate) {
    const double uncached =
        inputs.prompt_tokens - std::min(candidate.cached_tokens, inputs.prompt_tokens);
    const double each = uncached * candidate.prefill_us_per_token +
                        inputs.expected_output_tokens * candidate.decode_us_per_sequence;
    return candidate.slowdown * each * candidate.in_flight;
}

double expected_us(const decision_inputs& inputs, const candidate_input& candidate) {
    const double backlog = static_cast<double>(candidate.prefill_backlog) *
                           candidate.prefill_us_per_token * candidate.slowdown;
    const double cached = std::min(candidate.cached_tokens, inputs.prompt_tokens);
    const double recomputed = (inputs.prompt_tokens - cached) * candidate.prefill_us_per_token;
    return inputs.latency_weight *
               (candidate.expected_wait_us + backlog + service_us(inputs, candidate) +
                interference_weight * interference_us(inputs, candidate)) +
           inputs.cache_weight * recomputed * candidate.slowdown;
}

using evaluation = quick_outcome;

evaluation refused(std::string_view reason, std::uint64_t retry_after_ms) {
    return {decision_kind::refused, reason, std::nullopt, retry_after_ms};
}

evaluation waiting(std::string_view reason) {
    return {decision_kind::waiting, reason, {}, 0};
}

std::optional<evaluation> check_eligibility(const decision_inputs& inputs) {
    bool denied = false;
    bool too_long = false;
    for (const candidate_input& candidate : inputs.candidates) {
        if (candidate.eligible || !is_permanent(candidate.exclusion)) {
            return std::nullopt;
        }
        denied = denied || candidate.exclusion == "denied_by_rule";
        too_long = too_long || candidate.exclusion == "context_too_long";
    }
    if (too_long) {
        return refused(reason::prompt_too_long, 0);
    }
    return refused(denied ? reason::denied_by_rule : reason::no_eligible_engine, 0);
}

/// Checks the queue limits, which apply only on arrival.
std::optional<evaluation> check_queue(const decision_inputs& inputs) {
    if (!inputs.on_arrival) {
        return std::nullopt;
    }
    if (inputs.tenant_queue_limit > 0 && inputs.tenant_queued >= inputs.tenant_queue_limit) {
        return refused(
            reason::tenant_queue_full,
            drain_time_ms(drained_fraction * inputs.tenant_queued, inputs.grants_per_second));
    }
    if (inputs.queue_length >= inputs.queue_limit) {
        return refused(reason::queue_full, drain_time_ms(drained_fraction * inputs.queue_length,
                                                         inputs.grants_per_second));
    }
    return std::nullopt;
}

std::optional<evaluation> check_deadline(const decision_inputs& inputs) {
    if (!inputs.has_deadline) {
        return std::nullopt;
    }
    if (inputs.deadline_left_ms == 0) {
        return refused(reason::deadline_passed, 0);
    }
    if (!inputs.early_refusal) {
        return std::nullopt;
    }
    double shortest = std::numeric_limits<double>::infinity();
    for (const candidate_input& candidate : inputs.candidates) {
        if (candidate.eligible) {
            shortest = std::min(shortest, service_us(inputs, candidate));
        }
    }
    if (!std::isfinite(shortest)) {
        return std::nullopt;
    }
    const double queue_us = inputs.ahead > 0 && inputs.grants_per_second > 0
                                ? 1e6 * inputs.ahead / inputs.grants_per_second
                                : 0;
    const double left_us = static_cast<double>(inputs.deadline_left_ms) * us_per_ms;
    if (queue_us + shortest <= left_us) {
        return std::nullopt;
    }
    return refused(reason::deadline_unreachable,
                   queue_us > 0 ? bounded_retry(queue_us / us_per_ms) : 0);
}

/// Whether a program can open on the engine without evicting the prefixes of others.
bool has_memory(const decision_inputs& inputs, const candidate_input& candidate) {
    return !inputs.opens_program || candidate.working_set_limit == 0 ||
           candidate.working_set == 0 ||
           candidate.working_set + tokens_needed(inputs) -
                   std::min(candidate.cached_tokens, inputs.prompt_tokens) <=
               candidate.working_set_limit;
}

bool can_start(const decision_inputs& inputs, const candidate_input& candidate) {
    return candidate.in_flight < candidate.in_flight_limit && fits(inputs, candidate) &&
           has_memory(inputs, candidate);
}

evaluation choose(const decision_inputs& inputs) {
    bool lacks_memory = false;
    std::optional<std::size_t> best;
    std::optional<std::size_t> best_open;
    double best_us = std::numeric_limits<double>::infinity();
    double best_open_us = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < inputs.candidates.size(); ++index) {
        const candidate_input& candidate = inputs.candidates[index];
        if (!candidate.eligible) {
            continue;
        }
        const double expected = expected_us(inputs, candidate);
        if (expected < best_us) {
            best = index;
            best_us = expected;
        }
        const bool open = can_start(inputs, candidate);
        lacks_memory = lacks_memory || !has_memory(inputs, candidate);
        if (open && expected < best_open_us) {
            best_open = index;
            best_open_us = expected;
        }
    }
    if (!best_open && lacks_memory) {
        return waiting(reason::waiting_for_memory);
    }
    if (!best_open) {
        return waiting(inputs.ahead > 0 ? reason::waiting_behind_others
                                        : reason::waiting_for_capacity);
    }
    // A program's first call has no prefix of its own to wait for.
    const bool may_wait =
        !inputs.starved && !inputs.opens_program && inputs.waited_ms < inputs.affinity_wait_ms;
    if (may_wait && *best != *best_open && inputs.candidates[*best].cached_tokens > 0 &&
        best_us * wait_advantage < best_open_us) {
        return waiting(reason::waiting_for_cached_prefix);
    }
    const bool cached = inputs.candidates[*best_open].cached_tokens > 0;
    return {decision_kind::granted,
            cached ? reason::placed_on_cached_prefix : reason::placed_least_wait, best_open, 0};
}

evaluation evaluate(const decision_inputs& inputs) {
    if (const auto result = check_eligibility(inputs)) {
        return *result;
    }
    if (const auto result = check_deadline(inputs)) {
        return *result;
    }
    const bool over_limit =
        inputs.tenant_token_limit > 0 && inputs.tenant_tokens_in_flight > 0 &&
        inputs.tenant_tokens_in_flight + tokens_needed(inputs) > inputs.tenant_token_limit;
    const evaluation chosen =
        over_limit ? waiting(reason::waiting_for_tenant_limit) : choose(inputs);
    if (chosen.kind == decision_kind::waiting) {
        if (const auto result = check_queue(inputs)) {
            return *result;
        }
    }
    return chosen;
}

std::string first_difference(const decision_outcome& recorded, const decision_outcome& again) {
    if (recorded.kind != again.kind) {
        return fmt::format("kind: recorded {}, decided again {}", to_string(recorded.kind),
                           to_string(again.kind));
    }
    if (recorded.reason != again.reason) {
        return fmt::format("reason: recorded {}, decided again {}", recorded.reason, again.reason);
    }
    if (recorded.backend != again.backend) {
        return fmt::format("back end: recorded {}, decided again {}", recorded.backend.value(),
                           again.backend.value());
    }
    if (recorded.retry_after_ms != again.retry_after_ms) {
        return fmt::format("retry_after_ms: recorded {}, decided again {}", recorded.retry_after_ms,
                           again.retry_after_ms);
    }
    return {};
}

}  // namespace

std::string_view to_string(decision_kind kind) {
    switch (kind) {
        case decision_kind::granted:
            return "granted";
        case decision_kind::refused:
            return "refused";
        case decision_kind::waiting:
            return "waiting";
    }
    return "unknown";
}

quick_outcome decide_quickly(const decision_inputs& inputs) {
    return evaluate(inputs);
}

decision_outcome decide(const decision_inputs& inputs) {
    const evaluation result = evaluate(inputs);
    decision_outcome outcome;
    outcome.kind = result.kind;
    outcome.reason = std::string(result.reason);
    outcome.retry_after_ms = result.retry_after_ms;
    if (result.chosen) {
        outcome.backend = inputs.candidates[*result.chosen].backend;
    }
    outcome.scores.reserve(inputs.candidates.size());
    for (const candidate_input& candidate : inputs.candidates) {
        if (candidate.eligible) {
            outcome.scores.push_back(
                {candidate.backend, can_start(inputs, candidate), expected_us(inputs, candidate)});
        }
    }
    return outcome;
}

decision_outcome redecide(const decision_record& record) {
    return decide(record.inputs);
}

absl::Status verify(const decision_record& record) {
    if (record.outcome.reason == reason::withdrawn) {
        return absl::OkStatus();  // the owner withdrew the call; the scheduler did not decide
    }
    const std::string difference = first_difference(record.outcome, redecide(record));
    if (difference.empty()) {
        return absl::OkStatus();
    }
    return base::make_error(absl::StatusCode::kDataLoss, difference,
                            {.step = "verify", .reason = "decision_differs"});
}

std::string encode_record(const decision_record& record) {
    return wire::encode(record);
}

absl::StatusOr<decision_record> decode_record(std::string_view bytes) {
    return wire::decode<decision_record>(bytes);
}

}  // namespace pearbarrow::placement
