/// Decides whether storage members may store the texts of a request.
#pragma once

#include <span>

#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/places/place_rules.h"

namespace pearbarrow::places {

/// Returns `permitted` if all members may store them, because a turn is replicated to each member
/// of its group. Emptied zones are ignored.
place_verdict judge_storage(const place_rules& rules, const place_request& request,
                            std::span<const directory::storage_member> members);

/// Whether some route or tenant of the configuration is limited to some regions.
bool binds_regions(const directory::configuration& config);

}  // namespace pearbarrow::places
