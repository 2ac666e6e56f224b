#include "pearbarrow/program/limits.h"

#include <algorithm>
#include <optional>

namespace pearbarrow::program {

namespace {

std::uint64_t effective_limit(std::uint64_t own, std::optional<std::uint64_t> configured,
                              std::uint64_t fallback) {
    if (!configured.has_value()) {
        return own == 0 ? fallback : own;
    }
    return own == 0 ? *configured : std::min(own, *configured);
}

std::optional<std::uint64_t> to_milliseconds(const std::optional<base::milliseconds>& span) {
    if (!span.has_value()) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(span->count());
}

}  // namespace

wire::program_limits limits_of(const program_state& program, const config::limits& configured,
                               const wire::program_limits& defaults) {
    const wire::program_limits& own = program.request.limits;
    wire::program_limits limits;
    limits.idle_ms =
        effective_limit(own.idle_ms, to_milliseconds(configured.idle_time), defaults.idle_ms);
    limits.run_time_ms = effective_limit(own.run_time_ms, to_milliseconds(configured.run_time),
                                         defaults.run_time_ms);
    limits.turns = effective_limit(own.turns, configured.turns, defaults.turns);
    limits.equal_calls =
        effective_limit(own.equal_calls, configured.repeated_calls, defaults.equal_calls);
    return limits;
}

absl::Status check_budget(std::uint64_t token_budget, const config::limits& configured) {
    if (!configured.budget.has_value() || token_budget <= *configured.budget) {
        return absl::OkStatus();
    }
    return refusal(absl::StatusCode::kInvalidArgument,
                   "the budget is above the " + std::to_string(*configured.budget) +
                       " that the configuration allows",
                   "budget_above_limit");
}

absl::Status refusal(absl::StatusCode code, std::string_view message, std::string_view reason,
                     base::milliseconds retry_after) {
    base::error_details details{.step = "admit", .reason = std::string(reason)};
    details.was_executed = base::executed::no;
    if (retry_after.count() > 0) {
        details.retry_after = retry_after;
    }
    return base::make_error(code, message, details);
}

namespace {

bool repeats_last_calls(const program_state& program, std::uint64_t body_hash,
                        std::uint64_t times) {
    if (times == 0 || program.calls.size() < times) {
        return false;
    }
    auto call = program.calls.rbegin();
    for (std::uint64_t i = 0; i < times; ++i, ++call) {
        if (call->second.body_hash != body_hash) {
            return false;
        }
    }
    return true;
}

}  // namespace

absl::Status check_program_limits(const program_state& program, std::uint64_t body_hash,
                                  const wire::program_limits& limits) {
    if (limits.turns > 0 && program.calls.size() >= limits.turns) {
        return refusal(absl::StatusCode::kResourceExhausted,
                       "the program has made all the calls it may", "turn_limit");
    }
    if (repeats_last_calls(program, body_hash, limits.equal_calls)) {
        return refusal(absl::StatusCode::kResourceExhausted,
                       "the program repeats the same call over and over", "loop_detected");
    }
    return absl::OkStatus();
}

const event::concurrency_limit* concurrency::tenant_limit(const base::tenant_id& tenant) const {
    const event::concurrency_limit* fallback = nullptr;
    for (const event::concurrency_limit& limit : limits_) {
        if (!limit.program_class.empty()) {
            continue;
        }
        if (limit.tenant == tenant) {
            return &limit;
        }
        fallback = limit.tenant.value().empty() ? &limit : fallback;
    }
    return fallback;
}

const event::concurrency_limit* concurrency::class_limit(const std::string& program_class) const {
    const auto found = std::find_if(limits_.begin(), limits_.end(), [&](const auto& limit) {
        return !limit.program_class.empty() && limit.program_class == program_class;
    });
    return found == limits_.end() ? nullptr : &*found;
}

concurrency::usage concurrency::usage_of(const base::tenant_id& tenant) const {
    const auto found = by_tenant_.find(tenant);
    return found == by_tenant_.end() ? usage{} : found->second;
}

concurrency::usage concurrency::usage_of_class(const std::string& program_class) const {
    const auto found = by_class_.find(program_class);
    return found == by_class_.end() ? usage{} : found->second;
}

namespace {

absl::Status concurrency_refusal(std::string_view what, std::string_view reason,
                                 base::milliseconds retry_after) {
    return refusal(absl::StatusCode::kResourceExhausted, what, reason, retry_after);
}

bool limit_reached(std::uint64_t count, std::uint64_t limit) {
    return limit > 0 && count >= limit;
}

}  // namespace

absl::Status concurrency::check_open(const base::tenant_id& tenant,
                                     const std::string& program_class,
                                     base::milliseconds retry_after) const {
    const auto* of_tenant = tenant_limit(tenant);
    if (of_tenant != nullptr && limit_reached(usage_of(tenant).programs, of_tenant->programs)) {
        return concurrency_refusal("the tenant has too many programs open", "tenant_concurrency",
                                   retry_after);
    }
    const auto* of_class = class_limit(program_class);
    if (of_class != nullptr &&
        limit_reached(usage_of_class(program_class).programs, of_class->programs)) {
        return concurrency_refusal("too many programs of the class are open", "class_concurrency",
                                   retry_after);
    }
    return absl::OkStatus();
}

absl::Status concurrency::check_call(const program_state& program,
                                     base::milliseconds retry_after) const {
    const auto* of_tenant = tenant_limit(program.tenant);
    if (of_tenant != nullptr &&
        limit_reached(usage_of(program.tenant).calls, of_tenant->running_calls)) {
        return concurrency_refusal("the tenant has too many calls running", "tenant_concurrency",
                                   retry_after);
    }
    const std::string& program_class = program.request.program_class;
    const auto* of_class = class_limit(program_class);
    if (of_class != nullptr &&
        limit_reached(usage_of_class(program_class).calls, of_class->running_calls)) {
        return concurrency_refusal("too many calls of the class are running", "class_concurrency",
                                   retry_after);
    }
    return absl::OkStatus();
}

template <typename Change>
void concurrency::change(const program_state& program, Change apply) {
    const auto update = [&](auto& counts, const auto& key) {
        usage& entry = counts[key];
        apply(entry);
        if (entry.programs == 0 && entry.calls == 0) {
            counts.erase(key);
        }
    };
    update(by_tenant_, program.tenant);
    update(by_class_, program.request.program_class);
}

void concurrency::add_program(const program_state& program) {
    change(program, [](usage& entry) { ++entry.programs; });
}

void concurrency::remove_program(const program_state& program) {
    change(program, [](usage& entry) { entry.programs -= entry.programs > 0 ? 1 : 0; });
}

void concurrency::add_call(const program_state& program) {
    change(program, [](usage& entry) { ++entry.calls; });
}

void concurrency::remove_call(const program_state& program) {
    change(program, [](usage& entry) { entry.calls -= entry.calls > 0 ? 1 : 0; });
}

}  // namespace pearbarrow::program
