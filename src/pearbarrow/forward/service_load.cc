// How full all back ends of a service are together.
#include <vector>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

service_load backend_pool::load_of(std::string_view service, base::instant now) const {
    service_load load{.service = std::string(service),
                      .is_known = elsewhere_ != nullptr && elsewhere_->is_known(now)};
    std::vector<const entry*> fit;
    for (const auto& [id, one] : entries_) {
        const bool counts = one.listed && !one.backend.draining && one.backend.service == service;
        if (counts && !is_failing(one, now)) {
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
