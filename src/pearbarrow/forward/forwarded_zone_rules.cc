// Zone rules for a request, checked when a back end is selected and again when the request is sent.
#include <chrono>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/forward/forwarded_request.h"
#include "pearbarrow/places/storage_zones.h"

namespace pearbarrow::forward {
namespace {

nlohmann::json describe(const places::zone_rules::emptied_zones& zones, base::instant now) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [zone, note] : zones) {
        const auto known = std::chrono::duration<double>(now - note.received_at).count();
        list.push_back(fmt::format("zone {} emptied at revision {}, known for {:.1f} s", zone,
                                   note.since, known));
    }
    return list;
}

std::string_view detail_of(places::zone_verdict verdict) {
    switch (verdict) {
        case places::zone_verdict::permitted:
            return "no back end can take the request now";
        case places::zone_verdict::zone_emptied:
            return "the zones of the service's back ends are emptied";
        case places::zone_verdict::region_not_permitted:
            return "no back end of the service is in a permitted region";
        case places::zone_verdict::region_unknown:
            return "the regions of the service's back ends are not known";
    }
    return "unknown";
}

}  // namespace

/// Uses the newest configuration, because the request may have waited since its arrival.
places::region_limits forwarded_request::placement_bounds() const {
    const active_configuration& newest = *context_.active;
    const directory::route* route = &route_;
    if (context_.active != active_) {
        const directory::route* found =
            newest.routes.find(facts_.host, exchange_->request().path());
        route = found == nullptr ? route : found;
    }
    places::region_limits bounds{.route_regions = route->permitted_regions, .tenant_regions = {}};
    if (!facts_.tenant.empty()) {
        if (const auto* tenant = newest.tenants.find_by_name(facts_.tenant); tenant != nullptr) {
            bounds.tenant_regions = tenant->permitted_regions;
        }
    }
    return bounds;
}

bool forwarded_request::may_go_to_target() const {
    return context_.zone_rules == nullptr ||
           context_.zone_rules->check(placement_bounds(), target_.zone) ==
               places::zone_verdict::permitted;
}

/// Only stored texts are restricted, because a reservation contains just ids and token counts.
bool forwarded_request::is_storage_closed() const {
    const places::region_limits bounds = placement_bounds();
    if (context_.zone_rules == nullptr || !route_.keeps_history || bounds.permits_all()) {
        return false;
    }
    const directory::storage_view members =
        context_.turns.views().of(context_.turns.group_of(reserved().program));
    return places::check_storage(*context_.zone_rules, bounds, members.members) !=
           places::zone_verdict::permitted;
}

void forwarded_request::reject_storage() {
    context_.log.notable("turn_refused",
                         {{"request", facts_.request_id},
                          {"program", facts_.program},
                          {"tenant", facts_.tenant},
                          {"reason", "no_permitted_storage"},
                          {"config", context_.active->config.version},
                          {"storage_view", context_.turns.views().directory_view().revision},
                          {"group", context_.turns.group_of(reserved().program)}});
    respond_with_problem(503, "no_permitted_storage",
                         "a storage member of the program's group is outside the permitted regions",
                         spread(context_.options.retry_after));
}

void forwarded_request::reject_placement() {
    const places::zone_verdict verdict =
        context_.pool.placement_verdict_of(service_, required_version(), placement_bounds());
    if (verdict == places::zone_verdict::permitted) {
        respond_with_problem(503, "no_backend", detail_of(verdict), context_.options.retry_after);
        return;
    }
    const std::string_view reason = places::to_string(verdict);
    nlohmann::json fields = {{"request", facts_.request_id},
                             {"program", facts_.program},
                             {"tenant", facts_.tenant},
                             {"reason", reason},
                             {"service", service_},
                             {"config", context_.active->config.version},
                             {"backends_revision", context_.pool.revision()}};
    fields["emptied"] =
        describe(context_.zone_rules->emptied_zones_by_name(), context_.clock.now());
    context_.log.notable("place_refused", std::move(fields));
    respond_with_problem(503, reason, detail_of(verdict), spread(context_.options.retry_after));
}

void forwarded_request::withdraw_choice() {
    const base::instant now = context_.clock.now();
    context_.pool.withdraw(*placed_, attempt_started_at_, now);
    context_.log.count_attempt("withdrawn");
    nlohmann::json fields = {{"request", facts_.request_id},
                             {"backend", target_.id},
                             {"zone", target_.zone},
                             {"attempt", attempts_},
                             {"permit_held", holds_permit()}};
    if (context_.zone_rules != nullptr) {
        fields["emptied"] = describe(context_.zone_rules->emptied_zones_by_name(), now);
    }
    context_.log.notable("attempt_withdrawn", std::move(fields));
}

void forwarded_request::on_withdrawn() {
    attempt_open_ = false;
    --attempts_;
    tried_backends_.erase(target_.id);
    withdraw_choice();
    send();
}

}  // namespace pearbarrow::forward
