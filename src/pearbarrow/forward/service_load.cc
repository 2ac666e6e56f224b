// How slow a back end is beside the others, and how full all of a service are together.
#include <algorithm>
#include <vector>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

double backend_pool::typical_pace(const std::vector<const entry*>& entries,
                                  base::instant now) const {
    std::vector<double> paces;
    for (const entry* one : entries) {
        if (const double pace = pace_of(*one, now); pace > 0) {
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

double backend_pool::slowness_of(const entry& one, double typical, base::instant now) const {
    if (is_cold(one, now)) {
        return 1.0;
    }
    const double slowness = typical > 0 ? pace_of(one, now) / typical : 1.0;
    return slowness > options_.tolerated_slowness ? std::min(slowness, options_.most_slowness)
                                                  : 1.0;
}

/// A cold back end takes no more at once than come to it while one request is under way. Where only
/// a few are cold their requests go to the others, and places of all count.
double backend_pool::places_of(const entry& one, double typical, bool counts_cold,
                               base::instant now) const {
    const double places = one.backend.slots / slowness_of(one, typical, now);
    const auto stay = stays_.find(one.backend.service);
    if (!counts_cold || cold_ == nullptr || stay == stays_.end()) {
        return places;
    }
    const auto cold = cold_->find(one.backend.id, now);
    return cold.has_value() ? std::min(places, cold->rate * stay->second) : places;
}

service_load backend_pool::load_of(std::string_view service, base::instant now) const {
    service_load load{.service = std::string(service),
                      .is_known = elsewhere_ != nullptr && elsewhere_->is_known(now)};
    std::vector<const entry*> fit;
    for (const auto& [id, one] : entries_) {
        const bool counts = one.listed && !one.backend.draining && one.backend.service == service;
        if (counts && !is_in_emptied(one) && !is_failing(one, now)) {
            fit.push_back(&one);
        }
    }
    const double typical = typical_pace(fit, now);
    const auto cold =
        std::count_if(fit.begin(), fit.end(), [&](const entry* one) { return is_cold(*one, now); });
    const bool most_are_cold = 2 * static_cast<std::size_t>(cold) > fit.size();
    for (const entry* one : fit) {
        load.places += places_of(*one, typical, most_are_cold, now);
        load.requests += one->in_flight + elsewhere(*one, now).requests;
    }
    return load;
}

}  // namespace pearbarrow::forward
