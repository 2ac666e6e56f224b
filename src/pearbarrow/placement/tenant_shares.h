/// Weighted fair sharing between tenants, based on recent engine time.
#pragma once

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::placement {

/// Use decays with a time constant of 30 s. A tenant is over its share when its use exceeds one and
/// a half times its weighted share among the tenants with calls in the cell, and also a twentieth
/// of the total.
class tenant_shares {
  public:
    /// Adds `change` to the number of the tenant's calls that wait or are in flight.
    void add_active(const base::tenant_id& tenant, double weight, int change);
    void add_use(const base::tenant_id& tenant, double work_us, base::instant now);
    bool over_share(const base::tenant_id& tenant, base::instant now) const;

  private:
    struct entry {
        double weight = 1;
        double use = 0;
        base::instant used_at;
        std::int64_t active = 0;
    };

    absl::flat_hash_map<base::tenant_id, entry> tenants_;
    double total_use_ = 0;
    base::instant total_at_;
    double active_weight_ = 0;
};

}  // namespace pearbarrow::placement
