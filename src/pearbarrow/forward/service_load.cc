// Slowness of a back end relative to others, and aggregate load of a service.
#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

double backend_pool::fullness(const candidate_entry& item) {
    return static_cast<double>(item.entry->in_flight + item.ended_early + item.others.requests +
                               1) /
           std::max(1U, item.entry->backend.slots);
}

double backend_pool::mean_pace(const candidate_entry& item) {
    const pool_entry& entry = *item.entry;
    const dispatch::backend_load& others = item.others;
    const double own = entry.mean_gap > 0 ? entry.mean_gap : entry.mean_time;
    if (own == 0 || others.event_interval_us == 0) {
        return std::max<double>(own, others.event_interval_us);
    }
    const double requests = entry.in_flight + others.requests;
    return requests == 0 ? (own + others.event_interval_us) / 2
                         : (own * entry.in_flight +
                            static_cast<double>(others.event_interval_us) * others.requests) /
                               requests;
}

double backend_pool::typical_pace(const candidate_entries& entries) {
    std::vector<double> paces;
    for (const candidate_entry& item : entries) {
        if (const double pace = mean_pace(item); pace > 0) {
            paces.push_back(pace);
        }
    }
    if (paces.empty()) {
        return 0;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

double backend_pool::slowness_of(const candidate_entry& item, double typical,
                                 base::instant now) const {
    if (is_cold(*item.entry, now)) {
        return 1.0;
    }
    const double slowness = typical > 0 ? mean_pace(item) / typical : 1.0;
    return slowness > options_.tolerated_slowness ? std::min(slowness, options_.max_slowness) : 1.0;
}

/// The concurrency of a cold back end is limited to the requests that it may accept during the time
/// of one request. If only a few back ends are cold, their requests go to the others, and all slots
/// count.
double backend_pool::effective_slots(const candidate_entry& item, double typical, bool counts_cold,
                                     base::instant now) const {
    const double slots = std::max(1U, item.entry->backend.slots) / slowness_of(item, typical, now);
    const auto stay = mean_service_times_.find(item.entry->backend.service);
    if (!counts_cold || cold_ == nullptr || stay == mean_service_times_.end()) {
        return slots;
    }
    const auto cold = cold_->find(item.entry->backend.id, now);
    return cold.has_value() ? std::min(slots, cold->rate * stay->second) : slots;
}

backend_pool::candidate_entries backend_pool::known_entries(std::string_view service,
                                                            base::instant now) const {
    std::unordered_set<const pool_entry*> found(used_.begin(), used_.end());
    const auto of_service = services_.find(service);
    const bool tells_cold = cold_ != nullptr && cold_->has_cold_rates();
    if (tells_cold && of_service != services_.end()) {
        for (const auto& [is_far, order, entry] : of_service->second.in_own_order()) {
            found.insert(entry);
        }
    }
    if (is_remote_load_known(now)) {
        for (const auto& [key, load] : remote_load_->all()) {
            if (const auto at = by_key_.find(key); at != by_key_.end()) {
                found.insert(at->second);
            }
        }
    }
    candidate_entries known;
    for (const pool_entry* entry : found) {
        if (entry->backend.service == service) {
            known.push_back(with_remote_load(*entry, now));
        }
    }
    return known;
}

/// Back ends of which only the directory entry is known count with all their slots. The effective
/// slots of the others are computed.
service_load backend_pool::load_of(std::string_view service, base::instant now) const {
    service_load load{.service = std::string(service), .is_known = is_remote_load_known(now)};
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return load;
    }
    for (const auto& [name, zone] : found->second.zones()) {
        load.slots += is_in_emptied_zone(name) ? 0 : static_cast<double>(zone.slots);
    }
    candidate_entries fit;
    for (const candidate_entry& item : known_entries(service, now)) {
        if (!item.entry->is_usable() || is_in_emptied_zone(item.entry->backend.zone)) {
            continue;
        }
        load.slots -= std::max(1U, item.entry->backend.slots);
        if (!is_failing(item, now)) {
            fit.push_back(item);
        }
    }
    const double typical = typical_pace(fit);
    const auto cold = std::count_if(fit.begin(), fit.end(), [&](const candidate_entry& item) {
        return is_cold(*item.entry, now);
    });
    const bool most_are_cold = 2 * static_cast<std::size_t>(cold) > fit.size();
    for (const candidate_entry& item : fit) {
        load.slots += effective_slots(item, typical, most_are_cold, now);
        load.requests += item.entry->in_flight + item.others.requests;
    }
    return load;
}

}  // namespace pearbarrow::forward
