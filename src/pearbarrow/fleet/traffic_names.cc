#include "pearbarrow/fleet/traffic_names.h"

#include <map>
#include <string>
#include <utility>

namespace pearbarrow::fleet {
namespace {

using region_map = std::map<std::string, std::string, std::less<>>;

std::string_view region_of(const region_map& regions, std::string_view zone) {
    const auto found = regions.find(zone);
    return found == regions.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace

std::function<net::peer_distance(std::string_view zone)> distances_from(
    const settings::fleet_settings& settings) {
    return [own = settings.zone, regions = settings.regions](std::string_view zone) {
        if (zone.empty()) {
            return net::peer_distance::unknown;
        }
        if (zone == own) {
            return net::peer_distance::own_zone;
        }
        return region_of(regions, zone) == region_of(regions, own)
                   ? net::peer_distance::other_zone
                   : net::peer_distance::other_region;
    };
}

std::string_view distance_name(net::peer_distance distance) {
    switch (distance) {
        case net::peer_distance::unknown:
            return "unknown";
        case net::peer_distance::own_zone:
            return "own_zone";
        case net::peer_distance::other_zone:
            return "other_zone";
        case net::peer_distance::other_region:
            return "other_region";
    }
    return "unknown";
}

std::string_view name_of_call(wire::method_number method) {
    static const std::map<wire::method_number, std::string_view> names = {
        {0, "link"},
        {wire::directory_watch, "directory_watch"},
        {wire::directory_parts, "directory_parts"},
        {wire::directory_poll, "directory_look"},
        {wire::turn_reserve, "turn_reserve"},
        {wire::turn_read, "turn_read"},
        {wire::turn_finish, "turn_finish"},
        {wire::turn_list, "turn_list"},
        {wire::turn_fetch, "turn_fetch"},
        {wire::turn_usage, "turn_usage"},
        {wire::turn_relay, "turn_relay"},
        {wire::load_pull, "load_pull"},
        {wire::tenant_quota, "tenant_quota"},
    };
    const auto found = names.find(method);
    return found == names.end() ? "other" : found->second;
}

}  // namespace pearbarrow::fleet
