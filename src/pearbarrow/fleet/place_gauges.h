/// What an edge tells operators of emptied zones.
#pragma once

#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/places/place_rules.h"

namespace pearbarrow::fleet {

void collect_places(base::metrics_registry& registry, const places::place_rules& rules,
                    const forward::backend_pool& pool);
/// One line for each change of the zones.
void log_emptied(const directory::emptied_zone_list& list);

/// One line for each route whose turns no replica group, or not every one, may keep.
void log_closed_storage(const places::place_rules& rules, const directory::configuration& config,
                        const directory::storage_view& view);

}  // namespace pearbarrow::fleet
