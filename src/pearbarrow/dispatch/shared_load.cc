#include "pearbarrow/dispatch/shared_load.h"

namespace pearbarrow::dispatch {

void shared_load::apply_totals(const load_totals& totals, base::instant now) {
    if (!totals.is_present ||
        base::milliseconds{totals.collection_time_ms} < this->options.min_collection_time) {
        return;
    }
    this->loads.clear();
    for (const backend_load& load : totals.loads) {
        this->loads[load.backend] = load;
    }
    this->has_totals = true;
    this->received_at = now;
}

bool shared_load::is_known(base::instant now) const {
    return this->has_totals && now - this->received_at <= this->options.max_age;
}

backend_load shared_load::at(backend_key backend, base::instant now) const {
    if (!this->is_known(now)) {
        return {};
    }
    const auto found = this->loads.find(backend);
    return found == this->loads.end() ? backend_load{} : found->second;
}

base::milliseconds shared_load::age(base::instant now) const {
    return std::chrono::duration_cast<base::milliseconds>(now - this->received_at);
}

}  // namespace pearbarrow::dispatch
