/// Decides whether storage members may store the texts of a request.
#pragma once

#include <span>

#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/places/zone_rules.h"

namespace pearbarrow::places {

/// Returns `permitted` if all members may store them, because a turn is replicated to each member
/// of its group. Emptied zones are ignored.
zone_verdict check_storage(const zone_rules& rules, const region_limits& request,
                           std::span<const directory::storage_member> members);

/// Whether some route or tenant of the configuration is limited to some regions.
bool has_region_limits(const directory::configuration& config);

}  // namespace pearbarrow::places
