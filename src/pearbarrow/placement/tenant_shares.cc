#include "pearbarrow/placement/tenant_shares.h"

#include <cmath>

namespace pearbarrow::placement {
namespace {

constexpr double time_constant_us = 30e6;
constexpr double tolerated_factor = 1.5;
constexpr double min_use_fraction = 0.05;
/// Entries of tenants without calls and with less use than this are removed.
constexpr double min_retained_use_us = 1'000;

double decayed(double use, base::instant since, base::instant now) {
    return use * std::exp(-static_cast<double>((now - since).count()) / time_constant_us);
}

}  // namespace

void tenant_shares::add_active(const base::tenant_id& tenant, double weight, int change) {
    entry& found = tenants_[tenant];
    if (found.active > 0) {
        active_weight_ -= found.weight;
    }
    found.weight = weight;
    found.active += change;
    if (found.active > 0) {
        active_weight_ += weight;
    } else if (found.use < min_retained_use_us) {
        tenants_.erase(tenant);
    }
}

void tenant_shares::add_use(const base::tenant_id& tenant, double work_us, base::instant now) {
    total_use_ = decayed(total_use_, total_at_, now) + work_us;
    total_at_ = now;
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return;
    }
    found->second.use = decayed(found->second.use, found->second.used_at, now) + work_us;
    found->second.used_at = now;
}

bool tenant_shares::over_share(const base::tenant_id& tenant, base::instant now) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end() || active_weight_ <= 0) {
        return false;
    }
    const double total = decayed(total_use_, total_at_, now);
    const double use = decayed(found->second.use, found->second.used_at, now);
    const double share = total * found->second.weight / active_weight_;
    return use > min_use_fraction * total && use > tolerated_factor * share;
}

}  // namespace pearbarrow::placement
