/// Whether what may be lost at once leaves a majority of each replica group.
///
/// Pure functions of a storage view: every node that knows the view comes to the same.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

/// What an operator wants to be borne, each for itself.
struct loss_tolerance {
    /// Disks of storage members, anywhere.
    std::size_t disks = 1;
    /// Whole zones; 0: none.
    std::size_t zones = 0;
};

/// Members that stay, of one group or of all.
std::size_t voter_count(const directory::storage_view& view);
/// Members that stay and are lost with the `zones` zones that hold the most of them.
std::size_t most_lost_with_zones(const directory::storage_view& view, std::size_t zones);
/// Whether `lost` of `voters` members leave a majority of all.
bool leaves_majority(std::size_t voters, std::size_t lost);

/// Whether every group keeps a majority through the loss of any `zones` zones.
bool bears_zones(const directory::storage_view& view, std::size_t zones);

/// Groups that a tolerated loss takes the majority of.
struct groups_at_risk {
    std::vector<std::uint32_t> by_disks;
    std::vector<std::uint32_t> by_zones;

    bool operator==(const groups_at_risk&) const = default;
};

groups_at_risk find_groups_at_risk(const directory::storage_view& view,
                                   const loss_tolerance& tolerance);

}  // namespace pearbarrow::turns
