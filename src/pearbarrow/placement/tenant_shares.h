/// Weighted sharing between tenants: how much engine time each has had of late.
#pragma once

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::placement {

/// Use fades with a time constant of 30 s. A tenant is over its share when it has had more than
/// one and a half times its weighted part of what the tenants with calls in the cell have had, and
/// more than a twentieth of all.
class tenant_shares {
  public:
    /// Calls of the tenant that wait or run changed by `change`.
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
