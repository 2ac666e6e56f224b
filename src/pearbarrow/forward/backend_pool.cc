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
           result == attempt_result::broken || result == attempt_result::silent ||
           result == attempt_result::not_there;
}

bool shows_life(attempt_result result) {
    return result != attempt_result::abandoned && result != attempt_result::silent &&
           result != attempt_result::not_there;
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
        case attempt_result::silent:
            return "silent";
        case attempt_result::not_there:
            return "not_there";
    }
    return "unknown";
}

backend_pool::backend_pool(pool_options options, base::random_source& random)
    : options_(std::move(options)),
      random_(random),
      policy_(make_policy(options_, random)),
      ways_(options_.regions) {}

service_backends& backend_pool::service_of(const std::string& name) {
    return services_.try_emplace(name, options_.zone).first->second;
}

void backend_pool::set_backends(const directory::backend_list& list, base::instant now) {
    directory::backend_changes step{.revision = list.revision};
    for (const auto& [id, backend] : list.backends) {
        step.present.push_back(backend);
    }
    for (const auto& [id, one] : entries_) {
        if (one.listed && list.backends.count(id) == 0) {
            step.gone.push_back(id);
        }
    }
    apply(step, now);
}

void backend_pool::apply(const directory::backend_changes& step, base::instant now) {
    revision_ = step.revision;
    for (const directory::backend& backend : step.present) {
        take_present(backend);
    }
    for (const std::string& id : step.gone) {
        take_gone(id, now);
    }
    forget_departed(now);
}

void backend_pool::take_present(const directory::backend& backend) {
    const auto [at, is_new] = entries_.try_emplace(backend.id);
    pool_entry& one = at->second;
    if (!is_new) {
        service_of(one.backend.service).remove(one);
        by_key_.erase(one.key);
    }
    if (!(one.backend.run() == backend.run())) {
        // The process has started again, or is new: it holds none of the requests of before, and
        // neither rests nor is slow since another one did. What is still under way there ends as an
        // attempt at the run before, and counts for nobody.
        one = pool_entry{};
        used_.erase(&one);
    }
    one.backend = backend;
    one.key = dispatch::key_of(backend.id, backend.started_at);
    // By id alone: a place in an order is nothing that a process knows, and connections and prompts
    // spread as before.
    one.point = base::stable_hash(backend.id);
    one.order = base::stable_hash(options_.node, one.point);
    one.listed = true;
    by_key_[one.key] = &one;
    service_of(backend.service).add(one);
}

void backend_pool::take_gone(const std::string& id, base::instant now) {
    const auto at = entries_.find(id);
    if (at == entries_.end() || !at->second.listed) {
        return;
    }
    pool_entry& one = at->second;
    service_backends& service = service_of(one.backend.service);
    service.remove(one);
    one.listed = false;
    one.vanished_at = now;
    service.add(one);
    if (!one.backend.draining) {
        service.note_vanished(one);
    }
    departed_.emplace_back(now, id);
}

void backend_pool::erase(entry_map::iterator at) {
    pool_entry& one = at->second;
    service_of(one.backend.service).remove(one);
    used_.erase(&one);
    if (const auto key = by_key_.find(one.key); key != by_key_.end() && key->second == &one) {
        by_key_.erase(key);
    }
    entries_.erase(at);
}

void backend_pool::forget_departed(base::instant now) {
    while (!departed_.empty() && now - departed_.front().first >= options_.lapse_grace) {
        const auto at = entries_.find(departed_.front().second);
        departed_.pop_front();
        if (at != entries_.end() && !at->second.listed && at->second.in_flight == 0 &&
            !has_just_vanished(at->second, now)) {
            erase(at);
        }
    }
}

std::size_t backend_pool::lapsed_count(base::instant now) const {
    std::size_t lapsed = 0;
    for (const auto& [name, service] : services_) {
        lapsed += has_lapsed(service, now) ? service.vanished_since(now - options_.lapse_grace) : 0;
    }
    return lapsed;
}

bool backend_pool::has_just_vanished(const pool_entry& one, base::instant now) const {
    return !one.listed && !one.backend.draining && now - one.vanished_at < options_.lapse_grace;
}

bool backend_pool::has_lapsed(const service_backends& service, base::instant now) const {
    const std::size_t vanished = service.vanished_since(now - options_.lapse_grace);
    const std::size_t known = service.usable_count() + vanished;
    return vanished >= options_.least_lapsed &&
           static_cast<double>(vanished) >= options_.lapse_share * static_cast<double>(known);
}

std::size_t backend_pool::near_count(const std::string& service, base::instant now) {
    request_rate& rate = rates_[service];
    rate.note(now);
    const double wanted =
        rate.per_second(now) * std::chrono::duration<double>(options_.reuse_interval).count();
    return std::max(options_.least_near, static_cast<std::size_t>(std::ceil(wanted)));
}

bool backend_pool::is_cold(const pool_entry& one, base::instant now) const {
    return cold_ != nullptr && cold_->is_needed() && cold_->is_cold(one.backend.id, now);
}

bool backend_pool::is_failing(const weighed_entry& item, base::instant now) const {
    const double failed = item.one->results.failed(now) + item.others.failed / hundredths;
    const double served = item.one->results.served(now) + item.others.served / hundredths;
    return failed >= options_.least_failures &&
           failed >= options_.failing_share * (failed + served);
}

std::size_t backend_pool::failing_count(base::instant now) const {
    std::size_t failing = 0;
    for (const auto& [name, service] : services_) {
        for (const weighed_entry& item : known_of(name, now)) {
            failing += item.one->listed && is_failing(item, now) ? 1 : 0;
        }
    }
    return failing;
}

bool backend_pool::is_resting(const pool_entry& one, base::instant now) const {
    if (one.rests_until > now) {
        return true;
    }
    // One that has just started is slow, which is no failure.
    if (one.unanswered.empty() || is_cold(one, now)) {
        return false;
    }
    return now - *one.unanswered.begin() > longest_silence(one);
}

base::microseconds backend_pool::longest_silence(const pool_entry& one) const {
    const auto by_mean =
        base::microseconds(static_cast<std::int64_t>(options_.silence_factor * one.mean_time));
    return std::max<base::microseconds>(options_.least_silence, by_mean);
}

bool backend_pool::is_long_silence(const directory::backend_run& run,
                                   base::microseconds silence) const {
    const auto found = entries_.find(run.id);
    return found != entries_.end() && found->second.backend.run() == run &&
           silence > longest_silence(found->second);
}

backend_pool::weighed_entry backend_pool::with_others(const pool_entry& one,
                                                      base::instant now) const {
    return {&one, elsewhere_ == nullptr ? dispatch::backend_load{} : elsewhere_->at(one.key, now)};
}

std::vector<choice_candidate> backend_pool::with_load(const weighed_entries& fit,
                                                      base::instant now) const {
    const double typical = typical_pace(fit);
    std::vector<choice_candidate> loaded;
    loaded.reserve(fit.size());
    for (const weighed_entry& item : fit) {
        loaded.push_back({.id = item.one->backend.id,
                          .zone = item.one->backend.zone,
                          .slots = std::max(1U, item.one->backend.slots),
                          .in_flight = item.one->in_flight,
                          .load = fullness(item) * slowness_of(item, typical, now),
                          .is_near = item.is_near,
                          .is_connected = is_connected(*item.one, now),
                          .is_reused = item.is_reused});
    }
    return loaded;
}

bool backend_pool::knows_others(base::instant now) const {
    return elsewhere_ != nullptr && elsewhere_->is_known(now);
}

std::optional<choice> backend_pool::choose(const choice_request& request, base::instant now) {
    const std::size_t wanted_near = near_count(request.service, now);
    weighed_entries fit = candidates(request, wanted_near, now);
    if (fit.empty()) {
        return std::nullopt;
    }
    const std::size_t near = std::min(wanted_near, fit.size());
    mark_near(fit, near);
    std::vector<choice_candidate> loaded = with_load(fit, now);
    add_work(loaded, fit, request, now);
    const ranked_choice ranked = policy_->choose(
        loaded, {.affinity_key = request.affinity_key,
                 .knows_others = knows_others(now),
                 .prefers_connected = has_many(services_.find(request.service)->second),
                 .prompt_tokens = request.prompt_tokens,
                 .begins = request.begins,
                 .read_us = read_us(request.service)});
    pool_entry* chosen = &entries_.find(fit[ranked.index].one->backend.id)->second;
    used_.insert(chosen);
    ++chosen->in_flight;
    chosen->unanswered.insert(now);
    choice made{.target = chosen->backend,
                .in_flight = chosen->in_flight,
                .elsewhere = fit[ranked.index].others.requests,
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
    for (const pool_entry* used : used_) {
        const pool_entry& one = *used;
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
    std::sort(loads.begin(), loads.end(),
              [](const auto& left, const auto& right) { return left.backend < right.backend; });
    return loads;
}

/// Of an attempt at an earlier run of the process nothing is to be noted.
backend_pool::entry_map::iterator backend_pool::find(const directory::backend_run& run) {
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
    pool_entry& one = found->second;
    --one.in_flight;
    if (cold_ != nullptr && result == attempt_result::unreachable) {
        cold_->note_unreachable(run.id);
    } else if (cold_ != nullptr && shows_life(result)) {
        cold_->note_reached(run.id, now);
    }
    if (result == attempt_result::served) {
        one.last_connected = now;
    }
    note_result(one, result, now);
    if (counts_against(result)) {
        one.rests_until = now + rest_after(one, result);
        ++one.failures_in_row;
    } else if (result == attempt_result::served) {
        one.failures_in_row = 0;
        const auto time = static_cast<double>(took.count());
        one.mean_time =
            one.mean_time == 0 ? time : one.mean_time + newest_weight * (time - one.mean_time);
    }
    if (!one.listed && one.in_flight == 0 && !has_just_vanished(one, now)) {
        erase(found);
    }
}

void backend_pool::note_result(pool_entry& one, attempt_result result, base::instant now) const {
    switch (result) {
        case attempt_result::abandoned:
        case attempt_result::refused:
            return;
        case attempt_result::silent:
            one.results.add(true, now, options_.silence_weight);
            return;
        case attempt_result::not_there:
            one.results.add(true, now, options_.not_there_weight);
            return;
        case attempt_result::served:
        case attempt_result::unreachable:
        case attempt_result::broken:
        case attempt_result::failed:
            one.results.add(result != attempt_result::served, now);
    }
}

base::milliseconds backend_pool::rest_after(const pool_entry& one, attempt_result result) const {
    if (result == attempt_result::not_there) {
        return options_.rest_when_not_there;
    }
    const auto doubled = options_.least_rest * (1 << std::min(one.failures_in_row, 5U));
    return std::min<base::milliseconds>(doubled, options_.most_rest);
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
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.listed_count();
}

}  // namespace pearbarrow::forward
