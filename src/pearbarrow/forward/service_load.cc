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
    for (const entry* one : fit) {
        load.places += one->backend.slots / slowness_of(*one, typical, now);
        load.requests += one->in_flight + elsewhere(*one, now).requests;
    }
    return load;
}

}  // namespace pearbarrow::forward
