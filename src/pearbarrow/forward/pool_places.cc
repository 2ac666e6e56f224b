// Which back ends of the pool lie where a request may go.
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

places::place_verdict backend_pool::judge(const entry& one,
                                          const places::place_request& request) const {
    return places_ == nullptr ? places::place_verdict::permitted
                              : places_->judge(request, one.backend.zone);
}

bool backend_pool::is_in_emptied(const entry& one) const {
    return places_ != nullptr && places_->is_emptied(one.backend.zone);
}

/// An emptied zone is named before a region: it passes by itself, and is what an operator looks
/// for.
places::place_verdict backend_pool::closed_by(std::string_view service,
                                              const places::place_request& request) const {
    places::place_verdict why = places::place_verdict::permitted;
    for (const auto& [id, one] : entries_) {
        if (!one.listed || one.backend.draining || one.backend.service != service) {
            continue;
        }
        const places::place_verdict verdict = judge(one, request);
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
    for (const auto& [id, one] : entries_) {
        requests += is_in_emptied(one) ? one.in_flight : 0;
    }
    return requests;
}

}  // namespace pearbarrow::forward
