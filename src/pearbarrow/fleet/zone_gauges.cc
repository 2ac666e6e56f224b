#include "pearbarrow/fleet/zone_gauges.h"

#include "pearbarrow/base/log.h"
#include "pearbarrow/places/storage_zones.h"
#include "pearbarrow/turns/replica_groups.h"

namespace pearbarrow::fleet {

void collect_zone_rules(base::metrics_registry& registry, const places::zone_rules& rules,
                        const forward::backend_pool& pool) {
    registry
        .add_gauge("pearbarrow_places_known", "1 once the node has heard which zones are emptied")
        .set(rules.is_emptied_list_known() ? 1 : 0);
    registry.add_gauge("pearbarrow_places_zones_emptied", "Zones whose back ends take nothing new")
        .set(static_cast<double>(rules.emptied_zones_by_name().size()));
    registry
        .add_gauge("pearbarrow_places_requests_in_emptied_zones",
                   "This node's requests that still run in these zones")
        .set(pool.requests_in_emptied_zones());
}

void log_emptied_zones(const directory::emptied_zone_list& list) {
    nlohmann::json zones = nlohmann::json::object();
    for (const directory::emptied_zone& emptied : list.zones) {
        zones[emptied.zone] = emptied.since;
    }
    base::log(base::log_level::info, "emptied_zones_changed",
              {{"revision", list.revision}, {"since_by_zone", zones}});
}

void log_unpermitted_storage(const places::zone_rules& rules,
                             const directory::configuration& config,
                             const directory::storage_view& view) {
    for (const directory::route& route : config.routes) {
        if (!route.keeps_history || route.permitted_regions.empty()) {
            continue;
        }
        std::uint32_t unpermitted = 0;
        for (std::uint32_t group = 0; group < view.groups; ++group) {
            const directory::storage_view members = turns::members_of(view, group);
            const auto verdict = places::check_storage(
                rules, {.route_regions = route.permitted_regions, .tenant_regions = {}},
                members.members);
            unpermitted += verdict == places::zone_verdict::permitted ? 0 : 1;
        }
        if (unpermitted > 0) {
            base::log(
                base::log_level::warning, "storage_regions_missing",
                {{"route", route.name}, {"groups_closed", unpermitted}, {"groups", view.groups}});
        }
    }
}

}  // namespace pearbarrow::fleet
