// Inputs of the selection by cost: prefill work, event intervals and round trips.
#include <algorithm>
#include <cmath>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {
namespace {

/// Weight of the newest event in the mean gap. A stream has ten to thirty events.
constexpr double newest_gap_weight = 0.1;
/// Number of requests at which the event interval of a back end and the typical one weigh equally.
constexpr double typical_weight = 3;
/// Number of responses above which the older ones are halved.
constexpr double counted_answers = 512;

}  // namespace

double backend_pool::prefill_us_per_token(const std::string& service) const {
    const auto found = streams_.find(service);
    return found == streams_.end() ? prefill_rate_estimate::assumed_us
                                   : found->second.prefill_rate.us_per_token();
}

double backend_pool::recent_pace(const candidate_entry& item, base::instant now) const {
    const pool_entry& entry = *item.entry;
    const bool is_recent = entry.mean_gap > 0 && now - entry.last_event < options_.pace_lifetime;
    const dispatch::backend_load& others = item.others;
    const double own = is_recent ? entry.mean_gap : 0;
    if (own == 0 || others.event_interval_us == 0) {
        return std::max<double>(own, others.event_interval_us);
    }
    const double own_weight = entry.in_flight + 1;
    return (own * own_weight + static_cast<double>(others.event_interval_us) * others.requests) /
           (own_weight + others.requests);
}

double backend_pool::event_time(const candidate_entry& item, double typical,
                                base::instant now) const {
    const double pace = recent_pace(item, now);
    if (pace == 0) {
        return typical;
    }
    const double requests = item.entry->in_flight + item.others.requests;
    return typical + (pace - typical) * requests / (requests + typical_weight);
}

void backend_pool::add_work(std::vector<choice_candidate>& loaded, const candidate_entries& fit,
                            const choice_request& request, base::instant now) const {
    if (request.prompt_tokens == 0) {
        return;
    }
    std::vector<double> paces;
    for (const candidate_entry& item : fit) {
        if (const double pace = recent_pace(item, now); pace > 0) {
            paces.push_back(pace);
        }
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    const double typical = paces.empty() ? 0 : *middle;
    const auto streams = streams_.find(request.service);
    const double events = streams == streams_.end() ? 0 : streams->second.events_per_answer();
    for (std::size_t index = 0; index < fit.size(); ++index) {
        const pool_entry& entry = *fit[index].entry;
        const dispatch::backend_load& others = fit[index].others;
        choice_candidate& item = loaded[index];
        item.region = round_trips_.region_of(entry.backend.zone);
        item.unread_tokens = entry.unread_tokens + others.unread_tokens;
        item.ran_previous = request.previous_backend != 0 && request.previous_backend == entry.key;
        const std::size_t own = entry.in_flight + fit[index].ended_early;
        item.requests = own + others.requests;
        item.generating_us = events * event_time(fit[index], typical, now);
        const double busy = static_cast<double>(own + others.requests) + 1.0;
        item.queue_us =
            std::max(0.0, busy - item.slots) / item.slots * (item.generating_us + entry.mean_time);
        item.round_trip_us = round_trips_.round_trip_us(entry.backend.zone);
    }
}

void backend_pool::on_prompt_dropped(choice& chosen) {
    if (!std::exchange(chosen.prompt.is_open, false)) {
        return;
    }
    if (const auto found = find(chosen.target.incarnation()); found != entries_.end()) {
        double& unread = found->second.unread_tokens;
        unread = std::max(0.0, unread - chosen.prompt.own_tokens);
    }
}

void backend_pool::on_prompt_read(choice& chosen, base::microseconds took, base::instant now) {
    if (!chosen.prompt.is_open) {
        return;
    }
    on_prompt_dropped(chosen);
    stream_work& stats = streams_[chosen.target.service];
    const double round_trip = round_trips_.round_trip_us(chosen.target.zone);
    stats.prefill_rate.add(chosen.prompt.queued_tokens + chosen.prompt.own_tokens,
                           std::max(0.0, static_cast<double>(took.count()) - round_trip));
    ++stats.answers;
    ++stats.events;
    if (stats.answers > counted_answers) {
        stats.answers /= 2;
        stats.events /= 2;
    }
}

void backend_pool::record_event(const directory::backend_incarnation& incarnation,
                                base::microseconds gap, base::instant now) {
    const auto found = find(incarnation);
    if (found == entries_.end()) {
        return;
    }
    pool_entry& entry = found->second;
    used_.insert(&entry);
    const auto time = static_cast<double>(gap.count());
    entry.mean_gap =
        entry.mean_gap == 0 ? time : entry.mean_gap + newest_gap_weight * (time - entry.mean_gap);
    entry.last_event = now;
    entry.last_heard = now;
    if (const auto streams = streams_.find(entry.backend.service); streams != streams_.end()) {
        ++streams->second.events;
    }
}

void backend_pool::record_connection(const directory::backend_incarnation& incarnation,
                                     base::microseconds took, base::instant now) {
    if (const auto found = find(incarnation); found != entries_.end()) {
        round_trips_.add(found->second.backend.zone, took, now);
        found->second.last_connected = now;
    }
}

}  // namespace pearbarrow::forward
