/// Checks whether every replica group keeps a majority when the tolerated disks or zones are lost.
///
/// Pure functions of a storage view: every node that knows the view computes the same result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

/// Losses that the operator wants the storage to survive; each limit applies on its own.
struct loss_tolerance {
    /// Number of storage disks that may be lost, in any zones.
    std::size_t disks = 1;
    /// Number of whole zones that may be lost; 0 for none.
    std::size_t zones = 0;
};

/// Returns the number of members that are not retiring, in the view of one group or of all.
std::size_t voter_count(const directory::storage_view& view);
/// Returns how many non-retiring members are lost with the `zones` zones that contain the most of
/// them.
std::size_t max_lost_with_zones(const directory::storage_view& view, std::size_t zones);
/// Returns whether a majority of `voters` members remains when `lost` of them are lost.
bool leaves_majority(std::size_t voters, std::size_t lost);

/// Returns whether every group keeps its majority when any `zones` zones are lost.
bool survives_zone_loss(const directory::storage_view& view, std::size_t zones);

/// Groups that could lose their majority to a tolerated loss.
struct groups_at_risk {
    std::vector<std::uint32_t> by_disks;
    std::vector<std::uint32_t> by_zones;

    bool operator==(const groups_at_risk&) const = default;
};

groups_at_risk find_groups_at_risk(const directory::storage_view& view,
                                   const loss_tolerance& tolerance);

}  // namespace pearbarrow::turns
