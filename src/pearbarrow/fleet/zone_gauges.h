/// Metrics and log lines of an edge about emptied zones and permitted regions.
#pragma once

#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/places/zone_rules.h"

namespace pearbarrow::fleet {

void collect_zone_rules(base::metrics_registry& registry, const places::zone_rules& rules,
                        const forward::backend_pool& pool);
/// Logs one line for each change of the emptied zones.
void log_emptied_zones(const directory::emptied_zone_list& list);

/// Logs one line for each route whose turns some or all replica groups are not permitted to store.
void log_unpermitted_storage(const places::zone_rules& rules,
                             const directory::configuration& config,
                             const directory::storage_view& view);

}  // namespace pearbarrow::fleet
