#include "pearbarrow/forward/backend_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::forward {
namespace {

/// Weight of the newest answer in the mean time.
constexpr double newest_weight = 0.2;
/// Counts of results travel as whole hundredths.
constexpr double hundredths = 100;

bool counts_against(attempt_result result) {
    return result == attempt_result::refused || result == attempt_result::unreachable ||
           result == attempt_result::broken;
}

std::unique_ptr<choice_policy> make_policy(const pool_options& options,
                                           base::random_source& random) {
    auto by_load = make_load_policy({.zone = options.zone,
                                     .least_in_zone = options.least_in_zone,
                                     .beyond_load = options.beyond_load,
                                     .affinity_bound = options.affinity_bound,
                                     .affinity_factor = options.affinity_factor,
                                     .affinity_slack = options.affinity_slack},
                                    random);
    if (options.choice == choice_kind::load) {
        return by_load;
    }
    const auto region = options.regions.find(options.zone);
    return make_cost_policy(
        {.zone = options.zone, .region = region == options.regions.end() ? "" : region->second},
        std::move(by_load));
}

}  // namespace

std::string_view to_string(attempt_result result) {
    switch (result) {
        case attempt_result::served:
            return "served";
        case attempt_result::refused:
            return "refused";
        case attempt_result::unreachable:
            return "unreachable";
        case attempt_result::broken:
            return "broken";
        case attempt_result::failed:
            return "failed";
        case attempt_result::abandoned:
            return "abandoned";
    }
    return "unknown";
}

backend_pool::backend_pool(pool_options options, base::random_source& random)
    : options_(std::move(options)),
      random_(random),
      policy_(make_policy(options_, random)),
      ways_(options_.regions) {}

void backend_pool::set_backends(const directory::backend_list& list, base::instant now) {
    revision_ = list.revision;
    for (auto& [id, one] : entries_) {
        if (one.listed) {
            one.vanished_at = now;
        }
        one.listed = false;
    }
    for (const auto& [id, backend] : list.backends) {
        entry& one = entries_[id];
        if (!(one.backend.run() == backend.run())) {
            // The process has started again, or is new: it holds none of the requests of before,
            // and neither rests nor is slow since another one did. What is still under way there
            // ends as an attempt at the run before, and counts for nobody.
            one = entry{};
        }
        one.backend = backend;
        one.key = dispatch::key_of(id, backend.started_at);
        // By id alone: a place in an order is nothing that a process knows, and connections and
        // prompts spread as before.
        one.order = base::stable_hash(options_.node, base::stable_hash(id));
        one.listed = true;
    }
    std::erase_if(entries_, [&](const auto& item) {
        const entry& one = item.second;
        return !one.listed && one.in_flight == 0 && !has_just_vanished(one, now);
    });
}

std::size_t backend_pool::lapsed_count(base::instant now) const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
            const entry& one = item.second;
            return has_just_vanished(one, now) && has_lapsed(one.backend.service, now);
        }));
}

bool backend_pool::has_just_vanished(const entry& one, base::instant now) const {
    return !one.listed && !one.backend.draining && now - one.vanished_at < options_.lapse_grace;
}

bool backend_pool::has_lapsed(std::string_view service, base::instant now) const {
    std::size_t vanished = 0;
    std::size_t known = 0;
    for (const auto& [id, one] : entries_) {
        if (one.backend.service != service || one.backend.draining) {
            continue;
        }
        const bool just_vanished = has_just_vanished(one, now);
        vanished += just_vanished ? 1 : 0;
        known += just_vanished || one.listed ? 1 : 0;
    }
    return vanished >= options_.least_lapsed &&
           static_cast<double>(vanished) >= options_.lapse_share * static_cast<double>(known);
}

std::vector<backend_pool::entry*> backend_pool::candidates(const choice_request& request,
                                                           base::instant now) {
    std::vector<entry*> fit;
    std::vector<entry*> resting;
    std::vector<entry*> cold;
    const bool lapsed = has_lapsed(request.service, now);
    for (auto& [id, one] : entries_) {
        const bool is_known = one.listed || (lapsed && has_just_vanished(one, now));
        if (!is_known || one.backend.draining || one.backend.service != request.service ||
            request.excluded.count(id) > 0 || request.without_permit.count(id) > 0 ||
            judge(one, request.place) != places::place_verdict::permitted) {
            continue;
        }
        const bool passed_over =
            is_resting(one, now) ||
            (is_failing(one, now) && random_.below(options_.trial_interval) != 0);
        if (!passed_over && !request.without_permit.empty() && is_cold(one, now)) {
            cold.push_back(&one);
            continue;
        }
        (passed_over ? resting : fit).push_back(&one);
    }
    if (fit.empty() && !cold.empty()) {
        return cold;
    }
    // A resting back end may have recovered: better than none.
    return fit.empty() ? resting : fit;
}

void backend_pool::mark_near(const std::vector<entry*>& fit, std::size_t count) {
    std::vector<entry*> ordered = fit;
    const auto end = ordered.begin() + static_cast<std::ptrdiff_t>(std::min(count, fit.size()));
    std::partial_sort(
        ordered.begin(), end, ordered.end(), [this](const entry* left, const entry* right) {
            const bool left_is_far = left->backend.zone != options_.zone;
            const bool right_is_far = right->backend.zone != options_.zone;
            return std::tie(left_is_far, left->order) < std::tie(right_is_far, right->order);
        });
    for (auto at = ordered.begin(); at != ordered.end(); ++at) {
        (*at)->is_near = at < end;
    }
}

std::size_t backend_pool::near_count(const std::string& service, base::instant now) {
    request_rate& rate = rates_[service];
    rate.note(now);
    const double wanted =
        rate.per_second(now) * std::chrono::duration<double>(options_.reuse_interval).count();
    return std::max(options_.least_near, static_cast<std::size_t>(std::ceil(wanted)));
}

bool backend_pool::is_cold(const entry& one, base::instant now) const {
    return cold_ != nullptr && cold_->is_cold(one.backend.id, now);
}

bool backend_pool::is_failing(const entry& one, base::instant now) const {
    const dispatch::backend_load others = elsewhere(one, now);
    const double failed = one.results.failed(now) + others.failed / hundredths;
    const double served = one.results.served(now) + others.served / hundredths;
    return failed >= options_.least_failures &&
           failed >= options_.failing_share * (failed + served);
}

std::size_t backend_pool::failing_count(base::instant now) const {
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [&](const auto& item) { return item.second.listed && is_failing(item.second, now); }));
}

bool backend_pool::is_resting(const entry& one, base::instant now) const {
    if (one.rests_until > now) {
        return true;
    }
    // One that has just started is slow, which is no failure.
    if (one.unanswered.empty() || is_cold(one, now)) {
        return false;
    }
    const auto by_mean =
        base::microseconds(static_cast<std::int64_t>(options_.silence_factor * one.mean_time));
    return now - *one.unanswered.begin() >
           std::max<base::microseconds>(options_.least_silence, by_mean);
}

dispatch::backend_load backend_pool::elsewhere(const entry& one, base::instant now) const {
    return elsewhere_ == nullptr ? dispatch::backend_load{} : elsewhere_->at(one.key, now);
}

double backend_pool::fullness(const entry& one, base::instant now) const {
    return static_cast<double>(one.in_flight + elsewhere(one, now).requests + 1) /
           std::max(1U, one.backend.slots);
}

double backend_pool::pace_of(const entry& one, base::instant now) const {
    const double own = one.mean_gap > 0 ? one.mean_gap : one.mean_time;
    const dispatch::backend_load others = elsewhere(one, now);
    if (own == 0 || others.pace_us == 0) {
        return std::max<double>(own, others.pace_us);
    }
    const double requests = one.in_flight + others.requests;
    return requests == 0
               ? (own + others.pace_us) / 2
               : (own * one.in_flight + static_cast<double>(others.pace_us) * others.requests) /
                     requests;
}

std::vector<choice_candidate> backend_pool::with_load(const std::vector<entry*>& fit,
                                                      base::instant now) const {
    const double typical = typical_pace({fit.begin(), fit.end()}, now);
    std::vector<choice_candidate> loaded;
    loaded.reserve(fit.size());
    for (const entry* one : fit) {
        loaded.push_back({.id = one->backend.id,
                          .zone = one->backend.zone,
                          .slots = std::max(1U, one->backend.slots),
                          .in_flight = one->in_flight,
                          .load = fullness(*one, now) * slowness_of(*one, typical, now),
                          .is_near = one->is_near});
    }
    return loaded;
}

bool backend_pool::knows_others(base::instant now) const {
    return elsewhere_ != nullptr && elsewhere_->is_known(now);
}

std::optional<choice> backend_pool::choose(const choice_request& request, base::instant now) {
    const std::vector<entry*> fit = candidates(request, now);
    if (fit.empty()) {
        return std::nullopt;
    }
    const std::size_t near = std::min(near_count(request.service, now), fit.size());
    mark_near(fit, near);
    std::vector<choice_candidate> loaded = with_load(fit, now);
    add_work(loaded, fit, request, now);
    const ranked_choice ranked = policy_->choose(loaded, {.affinity_key = request.affinity_key,
                                                          .knows_others = knows_others(now),
                                                          .prompt_tokens = request.prompt_tokens,
                                                          .begins = request.begins,
                                                          .read_us = read_us(request.service)});
    entry* chosen = fit[ranked.index];
    ++chosen->in_flight;
    chosen->unanswered.insert(now);
    choice made{.target = chosen->backend,
                .in_flight = chosen->in_flight,
                .elsewhere = elsewhere(*chosen, now).requests,
                .elsewhere_known = knows_others(now),
                .reason = ranked.reason,
                .candidates = fit.size(),
                .near = near,
                .cold = cold_ == nullptr ? std::nullopt : cold_->find(chosen->backend.id, now),
                .cost = ranked.cost,
                .prompt = {}};
    made.prompt.before = loaded[ranked.index].unread_tokens;
    made.prompt.to_read = ranked.unread_tokens;
    made.prompt.is_open = request.prompt_tokens > 0;
    chosen->unread_tokens += made.prompt.to_read;
    return made;
}

std::vector<dispatch::backend_load> backend_pool::own_loads(base::instant now) const {
    std::vector<dispatch::backend_load> loads;
    for (const auto& [id, one] : entries_) {
        const auto failed = static_cast<std::uint32_t>(one.results.failed(now) * hundredths);
        const auto served = static_cast<std::uint32_t>(one.results.served(now) * hundredths);
        if (one.in_flight > 0 || failed > 0) {
            loads.push_back({.backend = one.key,
                             .requests = one.in_flight,
                             .served = failed > 0 ? served : 0,
                             .failed = failed,
                             .pace_us = static_cast<std::uint32_t>(
                                 one.mean_gap > 0 ? one.mean_gap : one.mean_time),
                             .unread_tokens = static_cast<std::uint32_t>(one.unread_tokens)});
        }
    }
    return loads;
}

/// Of an attempt at an earlier run of the process nothing is to be noted.
std::map<std::string, backend_pool::entry>::iterator backend_pool::find(
    const directory::backend_run& run) {
    const auto found = entries_.find(run.id);
    const bool is_present = found != entries_.end() && found->second.backend.run() == run;
    return is_present ? found : entries_.end();
}

void backend_pool::withdraw(choice& chosen, base::instant began, base::instant now) {
    answered(chosen.target.run(), began);
    prompt_dropped(chosen);
    ended(chosen.target.run(), attempt_result::abandoned, base::microseconds{0}, now);
}

void backend_pool::answered(const directory::backend_run& run, base::instant began) {
    const auto found = find(run);
    if (found == entries_.end()) {
        return;
    }
    auto& unanswered = found->second.unanswered;
    if (const auto at = unanswered.find(began); at != unanswered.end()) {
        unanswered.erase(at);
    }
}

void backend_pool::note_stay(const directory::backend_run& run, base::microseconds stay) {
    const auto found = find(run);
    if (found == entries_.end()) {
        return;
    }
    const double seconds = std::chrono::duration<double>(stay).count();
    double& mean = stays_.emplace(found->second.backend.service, seconds).first->second;
    mean += newest_weight * (seconds - mean);
}

void backend_pool::ended(const directory::backend_run& run, attempt_result result,
                         base::microseconds took, base::instant now) {
    const auto found = find(run);
    if (found == entries_.end()) {
        return;
    }
    entry& one = found->second;
    --one.in_flight;
    if (cold_ != nullptr && result == attempt_result::unreachable) {
        cold_->note_unreachable(run.id);
    } else if (cold_ != nullptr && result != attempt_result::abandoned) {
        cold_->note_reached(run.id, now);
    }
    if (result == attempt_result::served) {
        one.last_connected = now;
    }
    if (result != attempt_result::abandoned && result != attempt_result::refused) {
        one.results.add(result != attempt_result::served, now);
    }
    if (counts_against(result)) {
        const auto doubled = options_.least_rest * (1 << std::min(one.failures_in_row, 5U));
        one.rests_until = now + std::min<base::milliseconds>(doubled, options_.most_rest);
        ++one.failures_in_row;
    } else if (result == attempt_result::served) {
        one.failures_in_row = 0;
        const auto time = static_cast<double>(took.count());
        one.mean_time =
            one.mean_time == 0 ? time : one.mean_time + newest_weight * (time - one.mean_time);
    }
    if (!one.listed && one.in_flight == 0 && !has_just_vanished(one, now)) {
        entries_.erase(found);
    }
}

base::microseconds backend_pool::patience(const directory::backend_run& run,
                                          base::microseconds objective) const {
    const auto found = entries_.find(run.id);
    const bool is_known = found != entries_.end() && found->second.backend.run() == run;
    const double mean_time = is_known ? found->second.mean_time : 0;
    const double least = options_.objective_factor * static_cast<double>(objective.count());
    return base::microseconds(
        static_cast<std::int64_t>(std::max(least, options_.silence_factor * mean_time)));
}

std::size_t backend_pool::backend_count(std::string_view service) const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
            return item.second.listed && item.second.backend.service == service;
        }));
}

}  // namespace pearbarrow::forward
