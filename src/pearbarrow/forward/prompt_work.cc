// What the choice by cost knows of the back ends: prompts to be read, paces, ways.
#include <algorithm>
#include <cmath>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {
namespace {

/// Weight of the newest event in the mean gap: a stream has ten to thirty of them.
constexpr double newest_gap_weight = 0.1;
/// Requests at a back end that speak as much for its own pace as all others do for the typical one.
constexpr double typical_weight = 3;
/// Beyond so many answers the older ones count for half.
constexpr double counted_answers = 512;

}  // namespace

double backend_pool::read_us(const std::string& service) const {
    const auto found = streams_.find(service);
    return found == streams_.end() ? reading_pace::assumed_us : found->second.pace.us_per_token();
}

double backend_pool::recent_pace(const weighed_entry& item, base::instant now) const {
    const pool_entry& one = *item.one;
    const bool is_recent = one.mean_gap > 0 && now - one.last_event < options_.pace_lifetime;
    const dispatch::backend_load& others = item.others;
    const double own = is_recent ? one.mean_gap : 0;
    if (own == 0 || others.pace_us == 0) {
        return std::max<double>(own, others.pace_us);
    }
    const double own_weight = one.in_flight + 1;
    return (own * own_weight + static_cast<double>(others.pace_us) * others.requests) /
           (own_weight + others.requests);
}

double backend_pool::event_time(const weighed_entry& item, double typical,
                                base::instant now) const {
    const double pace = recent_pace(item, now);
    if (pace == 0) {
        return typical;
    }
    const double requests = item.one->in_flight + item.others.requests;
    return typical + (pace - typical) * requests / (requests + typical_weight);
}

void backend_pool::add_work(std::vector<choice_candidate>& loaded, const weighed_entries& fit,
                            const choice_request& request, base::instant now) const {
    if (request.prompt_tokens == 0) {
        return;
    }
    std::vector<double> paces;
    for (const weighed_entry& item : fit) {
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
        const pool_entry& one = *fit[index].one;
        const dispatch::backend_load& others = fit[index].others;
        choice_candidate& item = loaded[index];
        item.region = ways_.region_of(one.backend.zone);
        item.unread_tokens = one.unread_tokens + others.unread_tokens;
        item.ran_earlier = request.earlier != 0 && request.earlier == one.key;
        item.requests = one.in_flight + others.requests;
        item.generating_us = events * event_time(fit[index], typical, now);
        const double busy = one.in_flight + others.requests + 1.0;
        item.queue_us =
            std::max(0.0, busy - item.slots) / item.slots * (item.generating_us + one.mean_time);
        item.round_trip_us = ways_.round_trip_us(one.backend.zone);
    }
}

void backend_pool::prompt_dropped(choice& chosen) {
    if (!std::exchange(chosen.prompt.is_open, false)) {
        return;
    }
    if (const auto found = find(chosen.target.run()); found != entries_.end()) {
        double& unread = found->second.unread_tokens;
        unread = std::max(0.0, unread - chosen.prompt.to_read);
    }
}

void backend_pool::prompt_read(choice& chosen, base::microseconds took, base::instant now) {
    if (!chosen.prompt.is_open) {
        return;
    }
    prompt_dropped(chosen);
    stream_work& streams = streams_[chosen.target.service];
    const double way = ways_.round_trip_us(chosen.target.zone);
    streams.pace.add(chosen.prompt.before + chosen.prompt.to_read,
                     std::max(0.0, static_cast<double>(took.count()) - way));
    ++streams.answers;
    ++streams.events;
    if (streams.answers > counted_answers) {
        streams.answers /= 2;
        streams.events /= 2;
    }
}

void backend_pool::note_event(const directory::backend_run& run, base::microseconds gap,
                              base::instant now) {
    const auto found = find(run);
    if (found == entries_.end()) {
        return;
    }
    pool_entry& one = found->second;
    used_.insert(&one);
    const auto time = static_cast<double>(gap.count());
    one.mean_gap =
        one.mean_gap == 0 ? time : one.mean_gap + newest_gap_weight * (time - one.mean_gap);
    one.last_event = now;
    if (const auto streams = streams_.find(one.backend.service); streams != streams_.end()) {
        ++streams->second.events;
    }
}

void backend_pool::note_connection(const directory::backend_run& run, base::microseconds took,
                                   base::instant now) {
    if (const auto found = find(run); found != entries_.end()) {
        ways_.add(found->second.backend.zone, took, now);
        found->second.last_connected = now;
    }
}

}  // namespace pearbarrow::forward
