// Results of attempts, which decide the backoff and the timeouts at their back ends.
#include <algorithm>
#include <chrono>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {
namespace {

/// Weight of the newest response in the mean time.
constexpr double newest_weight = 0.2;
constexpr std::size_t max_early_ends = 256;

bool counts_as_failure(attempt_result result) {
    return result == attempt_result::refused || result == attempt_result::unreachable ||
           result == attempt_result::broken || result == attempt_result::silent ||
           result == attempt_result::not_there;
}

bool shows_liveness(attempt_result result) {
    return result != attempt_result::abandoned && result != attempt_result::silent &&
           result != attempt_result::not_there;
}

}  // namespace

void backend_pool::withdraw(choice& chosen, base::instant started_at, base::instant now) {
    on_response_head(chosen.target.incarnation(), started_at);
    on_prompt_dropped(chosen);
    on_attempt_ended(chosen.target.incarnation(), attempt_result::abandoned, base::microseconds{0},
                     now);
}

void backend_pool::on_response_head(const directory::backend_incarnation& incarnation,
                                    base::instant started_at) {
    const auto found = find(incarnation);
    if (found == entries_.end()) {
        return;
    }
    auto& unanswered = found->second.unanswered;
    if (const auto at = unanswered.find(started_at); at != unanswered.end()) {
        unanswered.erase(at);
    }
}

void backend_pool::on_heard(const directory::backend_incarnation& incarnation, base::instant now) {
    if (const auto found = find(incarnation); found != entries_.end()) {
        found->second.last_heard = now;
    }
}

bool backend_pool::was_heard_since(const directory::backend_incarnation& incarnation,
                                   base::instant since) const {
    const auto found = entries_.find(incarnation.id);
    return found != entries_.end() && found->second.backend.incarnation() == incarnation &&
           found->second.last_heard >= since;
}

void backend_pool::record_service_time(const directory::backend_incarnation& incarnation,
                                       base::microseconds service_time) {
    const auto found = find(incarnation);
    if (found == entries_.end()) {
        return;
    }
    const double seconds = std::chrono::duration<double>(service_time).count();
    double& mean =
        mean_service_times_.emplace(found->second.backend.service, seconds).first->second;
    mean += newest_weight * (seconds - mean);
}

void backend_pool::on_attempt_ended(const directory::backend_incarnation& incarnation,
                                    attempt_result result, base::microseconds took,
                                    base::instant now) {
    const auto found = find(incarnation);
    if (found == entries_.end()) {
        return;
    }
    pool_entry& entry = found->second;
    --entry.in_flight;
    if (cold_ != nullptr && result == attempt_result::unreachable) {
        cold_->on_unreachable(incarnation.id);
    } else if (cold_ != nullptr && shows_liveness(result)) {
        cold_->on_response(incarnation.id, now);
    }
    if (result == attempt_result::served) {
        entry.last_connected = now;
    }
    record_result(entry, result, now);
    if (result == attempt_result::abandoned || result == attempt_result::broken) {
        record_early_end(entry, took, now);
    }
    if (counts_as_failure(result) && result != attempt_result::refused) {
        entry.process.on_doubt(now);
    }
    if (counts_as_failure(result)) {
        entry.backoff_until = now + backoff_after(entry, result);
        ++entry.failures_in_row;
    } else if (result == attempt_result::served) {
        entry.failures_in_row = 0;
        const auto time = static_cast<double>(took.count());
        entry.mean_time = entry.mean_time == 0
                              ? time
                              : entry.mean_time + newest_weight * (time - entry.mean_time);
    }
    if (!entry.listed && entry.in_flight == 0 && !has_just_vanished(entry, now)) {
        erase(found, now);
    }
}

void backend_pool::record_early_end(pool_entry& entry, base::microseconds took,
                                    base::instant now) const {
    const auto mean = mean_service_times_.find(entry.backend.service);
    if (mean == mean_service_times_.end()) {
        return;
    }
    entry.ended_early.erase(entry.ended_early.begin(), entry.ended_early.upper_bound(now));
    const base::microseconds expected(static_cast<std::int64_t>(mean->second * 1e6));
    if (took < expected && entry.ended_early.size() < max_early_ends) {
        entry.ended_early.insert(now + (expected - took));
    }
}

void backend_pool::record_result(pool_entry& entry, attempt_result result,
                                 base::instant now) const {
    switch (result) {
        case attempt_result::abandoned:
        case attempt_result::refused:
            return;
        case attempt_result::silent:
            entry.results.add(true, now, options_.silence_weight);
            return;
        case attempt_result::not_there:
            entry.results.add(true, now, options_.not_there_weight);
            return;
        case attempt_result::served:
        case attempt_result::unreachable:
        case attempt_result::broken:
        case attempt_result::failed:
            entry.results.add(result != attempt_result::served, now);
    }
}

base::milliseconds backend_pool::backoff_after(const pool_entry& entry,
                                               attempt_result result) const {
    if (result == attempt_result::not_there) {
        return options_.backoff_when_not_there;
    }
    const auto doubled = options_.min_backoff * (1 << std::min(entry.failures_in_row, 5U));
    return std::min<base::milliseconds>(doubled, options_.max_backoff);
}

base::microseconds backend_pool::patience(const directory::backend_incarnation& incarnation,
                                          base::microseconds objective) const {
    const auto found = entries_.find(incarnation.id);
    const bool is_known =
        found != entries_.end() && found->second.backend.incarnation() == incarnation;
    const double mean_time = is_known ? found->second.mean_time : 0;
    const double least = options_.objective_factor * static_cast<double>(objective.count());
    return base::microseconds(
        static_cast<std::int64_t>(std::max(least, options_.silence_factor * mean_time)));
}

}  // namespace pearbarrow::forward
