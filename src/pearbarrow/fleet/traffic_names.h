/// Distances from a node to other zones, and the names of calls and distances in metrics.
#pragma once

#include <functional>
#include <string_view>

#include "pearbarrow/net/peer_traffic.h"
#include "pearbarrow/settings/fleet_settings.h"

namespace pearbarrow::fleet {

/// Returns a function that classifies zones by distance. A zone without a region in the settings
/// counts as outside all named regions.
std::function<net::peer_distance(std::string_view zone)> distances_from(
    const settings::fleet_settings& settings);

std::string_view distance_name(net::peer_distance distance);
std::string_view name_of_call(wire::method_number method);

}  // namespace pearbarrow::fleet
