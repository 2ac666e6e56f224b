// How slow a back end is beside the others, and how full all of a service are together.
#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

double backend_pool::fullness(const weighed_entry& item) {
    return static_cast<double>(item.one->in_flight + item.others.requests + 1) /
           std::max(1U, item.one->backend.slots);
}

double backend_pool::pace_of(const weighed_entry& item) {
    const pool_entry& one = *item.one;
    const dispatch::backend_load& others = item.others;
    const double own = one.mean_gap > 0 ? one.mean_gap : one.mean_time;
    if (own == 0 || others.pace_us == 0) {
        return std::max<double>(own, others.pace_us);
    }
    const double requests = one.in_flight + others.requests;
    return requests == 0
               ? (own + others.pace_us) / 2
               : (own * one.in_flight + static_cast<double>(others.pace_us) * others.requests) /
                     requests;
}

double backend_pool::typical_pace(const weighed_entries& entries) {
    std::vector<double> paces;
    for (const weighed_entry& item : entries) {
        if (const double pace = pace_of(item); pace > 0) {
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

double backend_pool::slowness_of(const weighed_entry& item, double typical,
                                 base::instant now) const {
    if (is_cold(*item.one, now)) {
        return 1.0;
    }
    const double slowness = typical > 0 ? pace_of(item) / typical : 1.0;
    return slowness > options_.tolerated_slowness ? std::min(slowness, options_.most_slowness)
                                                  : 1.0;
}

/// A cold back end takes no more at once than come to it while one request is under way. Where only
/// a few are cold their requests go to the others, and places of all count.
double backend_pool::places_of(const weighed_entry& item, double typical, bool counts_cold,
                               base::instant now) const {
    const double places = std::max(1U, item.one->backend.slots) / slowness_of(item, typical, now);
    const auto stay = stays_.find(item.one->backend.service);
    if (!counts_cold || cold_ == nullptr || stay == stays_.end()) {
        return places;
    }
    const auto cold = cold_->find(item.one->backend.id, now);
    return cold.has_value() ? std::min(places, cold->rate * stay->second) : places;
}

backend_pool::weighed_entries backend_pool::known_of(std::string_view service,
                                                     base::instant now) const {
    std::unordered_set<const pool_entry*> found(used_.begin(), used_.end());
    const auto of_service = services_.find(service);
    const bool tells_cold = cold_ != nullptr && cold_->is_needed();
    if (tells_cold && of_service != services_.end()) {
        for (const auto& [is_far, order, one] : of_service->second.in_own_order()) {
            found.insert(one);
        }
    }
    if (knows_others(now)) {
        for (const auto& [key, load] : elsewhere_->all()) {
            if (const auto at = by_key_.find(key); at != by_key_.end()) {
                found.insert(at->second);
            }
        }
    }
    weighed_entries known;
    for (const pool_entry* one : found) {
        if (one->backend.service == service) {
            known.push_back(with_others(*one, now));
        }
    }
    return known;
}

/// Those of which nothing more is known than their entries have all their places free; of the
/// others the places are counted anew.
service_load backend_pool::load_of(std::string_view service, base::instant now) const {
    service_load load{.service = std::string(service), .is_known = knows_others(now)};
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return load;
    }
    for (const auto& [name, zone] : found->second.zones()) {
        load.places += is_in_emptied(name) ? 0 : static_cast<double>(zone.slots);
    }
    weighed_entries fit;
    for (const weighed_entry& item : known_of(service, now)) {
        if (!item.one->is_usable() || is_in_emptied(item.one->backend.zone)) {
            continue;
        }
        load.places -= std::max(1U, item.one->backend.slots);
        if (!is_failing(item, now)) {
            fit.push_back(item);
        }
    }
    const double typical = typical_pace(fit);
    const auto cold = std::count_if(
        fit.begin(), fit.end(), [&](const weighed_entry& item) { return is_cold(*item.one, now); });
    const bool most_are_cold = 2 * static_cast<std::size_t>(cold) > fit.size();
    for (const weighed_entry& item : fit) {
        load.places += places_of(item, typical, most_are_cold, now);
        load.requests += item.one->in_flight + item.others.requests;
    }
    return load;
}

}  // namespace pearbarrow::forward
