#include "pearbarrow/forward/backend_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"

namespace pearbarrow::forward {
namespace {

/// Result counts are transferred as integer hundredths.
constexpr double hundredths = 100;

std::unique_ptr<choice_policy> make_policy(const pool_options& options,
                                           base::random_source& random) {
    auto by_load = make_load_policy({.zone = options.zone,
                                     .min_in_zone = options.min_in_zone,
                                     .non_preferred_load = options.non_preferred_load,
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
      round_trips_(options_.regions) {}

service_backends& backend_pool::service_of(const std::string& name) {
    return services_.try_emplace(name, options_.zone).first->second;
}

void backend_pool::set_backends(const directory::backend_list& list, base::instant now) {
    directory::backend_changes step{.revision = list.revision};
    for (const auto& [id, backend] : list.backends) {
        step.present.push_back(backend);
    }
    for (const auto& [id, entry] : entries_) {
        if (entry.listed && list.backends.count(id) == 0) {
            step.gone.push_back(id);
        }
    }
    apply(step, now);
}

void backend_pool::apply(const directory::backend_changes& step, base::instant now) {
    revision_ = step.revision;
    if (!watched_since_.has_value()) {
        watched_since_ = now;
    }
    for (const directory::backend& backend : step.present) {
        apply_present(backend, now);
    }
    for (const std::string& id : step.gone) {
        apply_gone(id, now);
    }
    remove_departed(now);
    remove_departed_versions(now);
}

void backend_pool::add_to_orders(pool_entry& entry) {
    service_of(entry.backend.service).add(entry);
    version_map& versions = versions_[entry.backend.service];
    versions.try_emplace(entry.backend.version, options_.zone).first->second.backends.add(entry);
}

void backend_pool::remove_from_orders(pool_entry& entry, base::instant now) {
    service_of(entry.backend.service).remove(entry);
    version_backends& version = versions_.at(entry.backend.service).at(entry.backend.version);
    version.backends.remove(entry);
    version.left_at = now;
}

void backend_pool::apply_present(const directory::backend& backend, base::instant now) {
    const auto [at, is_new] = entries_.try_emplace(backend.id);
    pool_entry& entry = at->second;
    if (!is_new) {
        remove_from_orders(entry, now);
        by_key_.erase(entry.key);
    }
    const bool is_restarted = !(entry.backend.incarnation() == backend.incarnation());
    std::optional<pool_entry::replaced_process> replaced = std::move(entry.replaced);
    if (!is_new && (is_restarted || entry.backend.version != backend.version)) {
        replaced = {.backend = entry.backend, .process = entry.process, .at = now};
        // An entry without a start time shows only by its version that the process is another one.
        entry.process = {};
    }
    if (is_restarted) {
        // The process is new or has restarted. It has none of the earlier requests, and backoff and
        // slowness of the previous incarnation do not apply to it. Attempts that are still in
        // flight belong to the previous incarnation and are not counted.
        entry = pool_entry{};
        used_.erase(&entry);
    }
    entry.replaced = std::move(replaced);
    entry.backend = backend;
    entry.key = dispatch::key_of(backend.id, backend.started_at);
    // The hash uses only the id, so that a restart does not change the position in either order,
    // nor the distribution of connections and prompts.
    entry.point = base::stable_hash(backend.id);
    entry.order = base::stable_hash(options_.node, entry.point);
    entry.listed = true;
    by_key_[entry.key] = &entry;
    add_to_orders(entry);
}

void backend_pool::apply_gone(const std::string& id, base::instant now) {
    const auto at = entries_.find(id);
    if (at == entries_.end() || !at->second.listed) {
        return;
    }
    pool_entry& entry = at->second;
    remove_from_orders(entry, now);
    entry.listed = false;
    entry.vanished_at = now;
    add_to_orders(entry);
    if (!entry.backend.draining) {
        service_of(entry.backend.service).record_vanished(entry);
        versions_.at(entry.backend.service)
            .at(entry.backend.version)
            .backends.record_vanished(entry);
    }
    departed_.emplace_back(now, id);
}

void backend_pool::erase(entry_map::iterator at, base::instant now) {
    pool_entry& entry = at->second;
    remove_from_orders(entry, now);
    used_.erase(&entry);
    if (const auto key = by_key_.find(entry.key); key != by_key_.end() && key->second == &entry) {
        by_key_.erase(key);
    }
    entries_.erase(at);
}

void backend_pool::remove_departed(base::instant now) {
    while (!departed_.empty() && now - departed_.front().first >= options_.lapse_grace) {
        const auto at = entries_.find(departed_.front().second);
        departed_.pop_front();
        if (at != entries_.end() && !at->second.listed && at->second.in_flight == 0 &&
            !has_just_vanished(at->second, now)) {
            erase(at, now);
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

bool backend_pool::has_just_vanished(const pool_entry& entry, base::instant now) const {
    return !entry.listed && !entry.backend.draining &&
           now - entry.vanished_at < options_.lapse_grace;
}

bool backend_pool::has_lapsed(const service_backends& service, base::instant now) const {
    const std::size_t vanished = service.vanished_since(now - options_.lapse_grace);
    const std::size_t known = service.usable_count() + vanished;
    return vanished >= options_.min_lapsed &&
           static_cast<double>(vanished) >= options_.lapse_share * static_cast<double>(known);
}

std::size_t backend_pool::preferred_count(const std::string& service, base::instant now) const {
    const auto rate = rates_.find(service);
    const double per_second = rate == rates_.end() ? 0 : rate->second.per_second(now);
    const double wanted =
        per_second * std::chrono::duration<double>(options_.reuse_interval).count();
    return std::max(options_.min_preferred, static_cast<std::size_t>(std::ceil(wanted)));
}

bool backend_pool::is_cold(const pool_entry& entry, base::instant now) const {
    return cold_ != nullptr && cold_->has_cold_rates() && cold_->is_cold(entry.backend.id, now);
}

bool backend_pool::is_failing(const candidate_entry& item, base::instant now) const {
    const double failed = item.entry->results.failed(now) + item.others.failed / hundredths;
    const double served = item.entry->results.served(now) + item.others.served / hundredths;
    return failed >= options_.min_failures && failed >= options_.failing_share * (failed + served);
}

bool backend_pool::has_recent_failure(const candidate_entry& item, base::instant now) const {
    return item.entry->results.failed(now) + item.others.failed / hundredths >=
           options_.recent_failures;
}

std::size_t backend_pool::failing_count(base::instant now) const {
    std::size_t failing = 0;
    for (const auto& [name, service] : services_) {
        for (const candidate_entry& item : known_entries(name, now)) {
            failing += item.entry->listed && is_failing(item, now) ? 1 : 0;
        }
    }
    return failing;
}

bool backend_pool::is_backing_off(const pool_entry& entry, base::instant now) const {
    if (entry.backoff_until > now) {
        return true;
    }
    // A back end that has just started is slow, which is not a failure.
    if (entry.unanswered.empty() || is_cold(entry, now)) {
        return false;
    }
    return now - *entry.unanswered.begin() > max_silence(entry);
}

base::microseconds backend_pool::max_silence(const pool_entry& entry) const {
    const auto by_mean =
        base::microseconds(static_cast<std::int64_t>(options_.silence_factor * entry.mean_time));
    return std::max<base::microseconds>(options_.min_silence, by_mean);
}

bool backend_pool::is_long_silence(const directory::backend_incarnation& incarnation,
                                   base::microseconds silence) const {
    const auto found = entries_.find(incarnation.id);
    return found != entries_.end() && found->second.backend.incarnation() == incarnation &&
           silence > max_silence(found->second);
}

backend_pool::candidate_entry backend_pool::with_remote_load(const pool_entry& entry,
                                                             base::instant now) const {
    return {.entry = &entry,
            .others = remote_load_ == nullptr ? dispatch::backend_load{}
                                              : remote_load_->at(entry.key, now),
            .ended_early = entry.early_load(now)};
}

std::vector<choice_candidate> backend_pool::with_load(const candidate_entries& fit,
                                                      base::instant now) const {
    const double typical = typical_pace(fit);
    std::vector<choice_candidate> loaded;
    loaded.reserve(fit.size());
    for (const candidate_entry& item : fit) {
        loaded.push_back({.id = item.entry->backend.id,
                          .zone = item.entry->backend.zone,
                          .slots = std::max(1U, item.entry->backend.slots),
                          .in_flight = item.entry->in_flight,
                          .load = fullness(item) * slowness_of(item, typical, now),
                          .is_preferred = item.is_preferred,
                          .is_connected = is_connected(*item.entry, now),
                          .is_reused = item.is_reused});
    }
    return loaded;
}

bool backend_pool::is_remote_load_known(base::instant now) const {
    return remote_load_ != nullptr && remote_load_->is_known(now);
}

std::optional<choice> backend_pool::choose(const choice_request& request, base::instant now) {
    rates_[request.service].record(now);
    const auto ranked = rank(request, now);
    if (!ranked.has_value()) {
        return std::nullopt;
    }
    const candidate_entry& selected = ranked->fit[ranked->selected.index];
    pool_entry* chosen = &entries_.find(selected.entry->backend.id)->second;
    used_.insert(chosen);
    ++chosen->in_flight;
    chosen->unanswered.insert(now);
    choice made{.target = chosen->backend,
                .in_flight = chosen->in_flight,
                .remote_requests = selected.others.requests,
                .is_remote_load_known = is_remote_load_known(now),
                .reason = ranked->selected.reason,
                .candidates = ranked->fit.size(),
                .preferred = ranked->preferred,
                .cold = cold_ == nullptr ? std::nullopt : cold_->find(chosen->backend.id, now),
                .cost = ranked->selected.cost,
                .prompt = {}};
    made.prompt.queued_tokens = ranked->loaded[ranked->selected.index].unread_tokens;
    made.prompt.own_tokens = ranked->selected.unread_tokens;
    made.prompt.is_open = request.prompt_tokens > 0;
    chosen->unread_tokens += made.prompt.own_tokens;
    return made;
}

std::vector<dispatch::backend_load> backend_pool::own_loads(base::instant now) const {
    std::vector<dispatch::backend_load> loads;
    for (const pool_entry* used : used_) {
        const pool_entry& entry = *used;
        const auto failed = static_cast<std::uint32_t>(entry.results.failed(now) * hundredths);
        const auto served = static_cast<std::uint32_t>(entry.results.served(now) * hundredths);
        if (entry.in_flight > 0 || failed > 0) {
            loads.push_back({.backend = entry.key,
                             .requests = entry.in_flight,
                             .served = failed > 0 ? served : 0,
                             .failed = failed,
                             .event_interval_us = static_cast<std::uint32_t>(
                                 entry.mean_gap > 0 ? entry.mean_gap : entry.mean_time),
                             .unread_tokens = static_cast<std::uint32_t>(entry.unread_tokens)});
        }
    }
    std::sort(loads.begin(), loads.end(),
              [](const auto& left, const auto& right) { return left.backend < right.backend; });
    return loads;
}

/// Results of an attempt at an earlier incarnation are ignored.
backend_pool::entry_map::iterator backend_pool::find(
    const directory::backend_incarnation& incarnation) {
    const auto found = entries_.find(incarnation.id);
    const bool is_present =
        found != entries_.end() && found->second.backend.incarnation() == incarnation;
    return is_present ? found : entries_.end();
}

std::size_t backend_pool::backend_count(std::string_view service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.listed_count();
}

std::vector<std::string> backend_pool::open_backends(const std::string& service) const {
    std::vector<std::string> ids;
    for (const auto& [id, entry] : entries_) {
        if (entry.backend.service == service && entry.listed && !entry.backend.draining) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<directory::backend> backend_pool::find_listed(dispatch::backend_key backend) const {
    const auto found = by_key_.find(backend);
    const bool is_listed = found != by_key_.end() && found->second->listed;
    return is_listed ? std::optional(found->second->backend) : std::nullopt;
}

std::optional<directory::backend> backend_pool::find_listed(const std::string& id) const {
    const auto found = entries_.find(id);
    const bool is_listed = found != entries_.end() && found->second.listed;
    return is_listed ? std::optional(found->second.backend) : std::nullopt;
}

bool backend_pool::is_leaving(const directory::backend_incarnation& incarnation) const {
    const auto found = entries_.find(incarnation.id);
    return found == entries_.end() || !found->second.listed || found->second.backend.draining;
}

}  // namespace pearbarrow::forward
