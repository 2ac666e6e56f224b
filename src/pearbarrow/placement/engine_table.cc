#include "pearbarrow/placement/engine_table.h"

#include <algorithm>
#include <utility>

namespace pearbarrow::placement {
namespace {

/// Weight of the newest call in the moving averages of slowdown and service time.
constexpr double moving_average_weight = 0.1;
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 50;
/// A call is overdue when its execution takes this many times longer than expected.
constexpr double overdue_factor = 3;
/// Fraction of an engine's calls that must be overdue before the engine counts as slow.
constexpr double min_overdue_fraction = 0.5;

}  // namespace

void engine_table::set(std::vector<cell_engine> engines) {
    ++version_;
    std::vector<entry> next(engines.size());
    std::vector<std::optional<std::size_t>> moved(engines_.size());
    std::map<base::backend_id, std::size_t> names;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto before = find(engines[index].backend);
        if (before) {
            next[index] = engines_[*before];
            moved[*before] = index;
        }
        names.emplace(engines[index].backend, index);
        next[index].configured = std::move(engines[index]);
    }
    engines_ = std::move(next);
    by_name_ = std::move(names);
    for (auto& [attempt, call] : calls_) {
        if (call.engine) {
            call.engine = moved[*call.engine];
        } else if (const auto returned = find(call.offer.last_engine)) {
            // The engine was removed and is configured again; the call counts on it again.
            call.engine = returned;
            count(call, 1);
        }
    }
}

std::optional<std::size_t> engine_table::find(const base::backend_id& backend) const {
    const auto found = by_name_.find(backend);
    return found == by_name_.end() ? std::nullopt : std::optional(found->second);
}

engine_mask engine_table::usable() const {
    engine_mask mask = 0;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const cell_engine& engine = engines_[index].configured;
        if (!engine.draining && !engine.unreachable) {
            mask |= engine_mask{1} << index;
        }
    }
    return mask;
}

engine_mask engine_table::open() const {
    engine_mask mask = usable();
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        const entry& engine = engines_[index];
        if (engine.in_flight >= engine.configured.in_flight_limit) {
            mask &= ~(engine_mask{1} << index);
        }
    }
    return mask;
}

void engine_table::count(const running_call& call, int sign) {
    ++version_;
    if (!call.engine) {
        return;
    }
    entry& engine = engines_[*call.engine];
    if (sign > 0) {
        engine.in_flight += 1;
        engine.tokens += call.held_tokens;
    } else {
        engine.in_flight -= 1;
        engine.tokens -= call.held_tokens;
    }
}

void engine_table::add(running_call call, base::instant now) {
    ++version_;
    if (runs(call.offer.attempt)) {
        return;
    }
    count(call, 1);
    if (call.engine) {
        entry& engine = engines_[*call.engine];
        const double prefill_us =
            call.uncached_tokens * engine.configured.prefill_us_per_token * engine.slowdown;
        engine.prefill_done = std::max(engine.prefill_done, now) +
                              base::microseconds(static_cast<std::int64_t>(prefill_us));
        // Allows `set` to find the engine if it is removed and configured again.
        call.offer.last_engine = engine.configured.backend;
    }
    const base::attempt_id attempt = call.offer.attempt;
    calls_.emplace(attempt, std::move(call));
}

std::optional<running_call> engine_table::remove(const base::attempt_id& attempt) {
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    running_call call = std::move(found->second);
    calls_.erase(found);
    count(call, -1);
    return call;
}

void engine_table::learn(const running_call& call, double actual_us) {
    ++version_;
    if (!call.engine || call.nominal_us <= 0) {
        return;
    }
    entry& engine = engines_[*call.engine];
    const double ratio = std::clamp(actual_us / call.nominal_us, min_slowdown, max_slowdown);
    engine.slowdown += moving_average_weight * (ratio - engine.slowdown);
    if (engine.mean_service_us <= 0) {
        engine.mean_service_us = actual_us;
    }
    engine.mean_service_us += moving_average_weight * (actual_us - engine.mean_service_us);
}

void engine_table::check_overdue(base::instant now) {
    ++version_;
    struct lateness {
        std::uint32_t late = 0;
        double ratio = 0;
    };
    std::vector<lateness> seen(engines_.size());
    for (const auto& [attempt, call] : calls_) {
        if (!call.engine || call.nominal_us <= 0) {
            continue;
        }
        const double expected = call.nominal_us * engines_[*call.engine].slowdown;
        const double ratio = static_cast<double>((now - call.granted_at).count()) / expected;
        if (ratio > overdue_factor) {
            seen[*call.engine].late += 1;
            seen[*call.engine].ratio = std::max(seen[*call.engine].ratio, ratio);
        }
    }
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        entry& engine = engines_[index];
        const bool slow =
            engine.in_flight > 0 && seen[index].late >= min_overdue_fraction * engine.in_flight;
        engine.overdue = slow ? std::min(seen[index].ratio, max_slowdown) : 1;
    }
}

bool engine_table::restarted(const engine_report_event& event) const {
    const auto index = find(event.backend);
    if (!index) {
        return false;
    }
    const auto& last = engines_[*index].last_report;
    return last && last->incarnation != event.incarnation;
}

void engine_table::report(const engine_report_event& event, base::instant now) {
    ++version_;
    const auto index = find(event.backend);
    if (!index) {
        return;
    }
    entry& engine = engines_[*index];
    const base::instant taken_at = now - event.age;
    if (engine.last_report && taken_at < engine.reported_at) {
        return;  // reordered: a newer report has arrived already
    }
    engine.last_report = event;
    engine.reported_at = taken_at;
}

void engine_table::set_state(std::size_t index, bool draining, bool unreachable) {
    ++version_;
    engines_[index].configured.draining = draining;
    engines_[index].configured.unreachable = unreachable;
}

void engine_table::fill(std::size_t index, base::instant now, base::milliseconds report_horizon,
                        bool count_reported, candidate_input& candidate) const {
    const entry& engine = engines_[index];
    const cell_engine& configured = engine.configured;
    candidate.in_flight = engine.in_flight;
    candidate.in_flight_limit = configured.in_flight_limit;
    candidate.tokens_in_flight = engine.tokens;
    candidate.token_limit = configured.token_limit;
    candidate.prefill_us_per_token = configured.prefill_us_per_token;
    candidate.decode_us_per_token = configured.decode_us_per_token;
    candidate.decode_us_per_sequence = configured.decode_us_per_sequence;
    candidate.slowdown = std::max(engine.slowdown, engine.overdue);
    // An engine without calls has no prefill backlog, regardless of the estimate.
    const double backlog_us =
        engine.in_flight == 0
            ? 0
            : static_cast<double>(std::max<std::int64_t>(0, (engine.prefill_done - now).count()));
    const double token_us = configured.prefill_us_per_token * engine.slowdown;
    candidate.prefill_backlog =
        token_us > 0 ? static_cast<std::uint64_t>(backlog_us / token_us) : 0;
    candidate.expected_wait_us = engine.in_flight < configured.in_flight_limit
                                     ? 0
                                     : engine.mean_service_us / std::max(1U, engine.in_flight);
    candidate.report_known = engine.last_report && now - engine.reported_at <= report_horizon;
    candidate.report_age_ms =
        candidate.report_known
            ? static_cast<std::uint64_t>(
                  std::chrono::duration_cast<base::milliseconds>(now - engine.reported_at).count())
            : 0;
    if (count_reported && candidate.report_known) {
        candidate.in_flight =
            std::max(engine.in_flight, engine.last_report->running + engine.last_report->waiting);
    }
}

}  // namespace pearbarrow::placement
