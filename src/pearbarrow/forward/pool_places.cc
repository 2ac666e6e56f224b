// Which back ends of the pool lie where a request may go.
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

places::place_verdict backend_pool::judge(std::string_view zone,
                                          const places::place_request& request) const {
    return places_ == nullptr ? places::place_verdict::permitted : places_->judge(request, zone);
}

bool backend_pool::is_in_emptied(std::string_view zone) const {
    return places_ != nullptr && places_->is_emptied(zone);
}

/// An emptied zone is named before a region: it passes by itself, and is what an operator looks
/// for.
places::place_verdict backend_pool::closed_by(std::string_view service,
                                              const places::place_request& request) const {
    places::place_verdict why = places::place_verdict::permitted;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return why;
    }
    for (const auto& [name, zone] : found->second.zones()) {
        if (zone.usable == 0) {
            continue;
        }
        const places::place_verdict verdict = judge(name, request);
        if (verdict == places::place_verdict::permitted) {
            return verdict;
        }
        if (why == places::place_verdict::permitted ||
            verdict == places::place_verdict::zone_emptied) {
            why = verdict;
        }
    }
    return why;
}

std::uint32_t backend_pool::requests_in_emptied() const {
    std::uint32_t requests = 0;
    for (const pool_entry* one : used_) {
        requests += is_in_emptied(one->backend.zone) ? one->in_flight : 0;
    }
    return requests;
}

}  // namespace pearbarrow::forward
