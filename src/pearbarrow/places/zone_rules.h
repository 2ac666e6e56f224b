/// Decides whether a request may go to a zone: to its back ends or to a machine in it.
///
/// The rules are pure and the only implementation of this decision. Code that selects a back end or
/// sends a request to one checks them at that moment.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::places {

/// Region by zone.
using region_table = std::map<std::string, std::string, std::less<>>;

enum class zone_verdict {
    permitted,
    /// An operator wants the zone's back ends to receive no new requests.
    zone_emptied,
    /// The route or the tenant does not permit the zone's region.
    region_not_permitted,
    /// The route or the tenant permits only some regions, and the zone's region is unknown.
    region_unknown,
};

std::string_view to_string(zone_verdict verdict);

/// Region limits of a request. Empty: every region is permitted. If both have regions, both limits
/// apply.
struct region_limits {
    std::span<const std::string> route_regions;
    std::span<const std::string> tenant_regions;

    bool permits_all() const { return this->route_regions.empty() && this->tenant_regions.empty(); }
};

/// The request of an operator to empty a zone, as known to a node.
struct emptied_zone_record {
    /// Revision of the directory service at which the operator requested it.
    std::uint64_t since = 0;
    /// Time at which this node received it.
    base::instant received_at{};
};

class zone_rules {
  public:
    using emptied_zones = std::map<std::string, emptied_zone_record, std::less<>>;

    explicit zone_rules(region_table regions) : regions(std::move(regions)) {}

    void set_emptied(const directory::emptied_zone_list& list, base::instant now = {});
    /// Whether the list of emptied zones has been received. Until then no request may be sent.
    bool is_emptied_list_known() const { return this->has_emptied_list; }
    /// Whether the request may be sent to a back end in the zone now.
    zone_verdict check(const region_limits& request, std::string_view zone) const;
    /// Whether a machine in the zone may store the request's texts, independent of emptied zones.
    zone_verdict check_region(const region_limits& request, std::string_view zone) const;
    bool is_emptied(std::string_view zone) const { return this->emptied.contains(zone); }
    const emptied_zones& emptied_zones_by_name() const { return this->emptied; }
    /// Returns the region of the zone, or an empty string if it is unknown.
    std::string_view region_of(std::string_view zone) const;

  private:
    region_table regions;
    emptied_zones emptied;
    bool has_emptied_list = false;
};

}  // namespace pearbarrow::places
