/// Whether a request may go to a place: a zone's back ends, or a machine in it.
///
/// Pure, and the only place where this is decided: whoever chooses a back end or sends to one asks
/// here, with what is known at that moment.
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

enum class place_verdict {
    permitted,
    /// An operator wants the zone's back ends to get nothing new.
    zone_emptied,
    /// The route or the tenant does not permit the zone's region.
    region_not_permitted,
    /// The route or the tenant permits some regions, and the zone's own is not known.
    region_unknown,
};

std::string_view to_string(place_verdict verdict);

/// What binds a request. Empty: every region is permitted; where both have regions, both bind.
struct place_request {
    std::span<const std::string> route_regions;
    std::span<const std::string> tenant_regions;

    bool permits_all() const { return this->route_regions.empty() && this->tenant_regions.empty(); }
};

/// What a node knows of an order to empty a zone.
struct emptied_note {
    /// Revision of the outside service at which the operator asked for it.
    std::uint64_t since = 0;
    /// When this node heard of it.
    base::instant heard_at{};
};

class place_rules {
  public:
    using emptied_zones = std::map<std::string, emptied_note, std::less<>>;

    explicit place_rules(region_table regions) : regions(std::move(regions)) {}

    void set_emptied(const directory::emptied_zone_list& list, base::instant now = {});
    /// Whether somebody has told which zones are emptied, if any: until then nobody may send.
    bool knows_emptied() const { return this->is_known; }
    /// Whether a back end in the zone may be sent the request now.
    place_verdict judge(const place_request& request, std::string_view zone) const;
    /// Whether a machine in the zone may hold the request's texts; emptied zones don't matter.
    place_verdict judge_region(const place_request& request, std::string_view zone) const;
    bool is_emptied(std::string_view zone) const { return this->emptied.contains(zone); }
    const emptied_zones& all_emptied() const { return this->emptied; }
    /// Empty: not known.
    std::string_view region_of(std::string_view zone) const;

  private:
    region_table regions;
    emptied_zones emptied;
    bool is_known = false;
};

}  // namespace pearbarrow::places
