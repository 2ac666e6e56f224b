/// Whether storage members may keep a request's texts.
#pragma once

#include <span>

#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/places/place_rules.h"

namespace pearbarrow::places {

/// `permitted` when all of the members may: a turn goes to each of its group. Emptied zones don't
/// matter.
place_verdict judge_storage(const place_rules& rules, const place_request& request,
                            std::span<const directory::storage_member> members);

/// Whether a route or tenant of the configuration is permitted some regions only.
bool binds_regions(const directory::configuration& config);

}  // namespace pearbarrow::places
