/// Divides the storage members into replica groups, and the programs among the groups.
///
/// A turn, its reservation and its settling cost only the members of one group, so members add
/// capacity. Pure functions: every node that knows a view computes the same. A group is a small
/// storage view of its own, and all rules of a view hold in it: one member changes at a time,
/// majorities of two views that follow each other meet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

struct group_options {
    /// Disks that may be lost at once.
    std::size_t tolerated_losses = 1;
    /// Whole zones that may be lost at once.
    std::size_t tolerated_zones = 0;

    /// Members of a group at its forming, at least, where the fleet has that many.
    std::size_t least_size() const;
};

/// The group that keeps a program's turns and judges its budget.
std::uint32_t group_of(const directory::storage_view& view, const base::program_id& program);

/// The view of one group: its members only, under the revision of the whole.
directory::storage_view members_of(const directory::storage_view& view, std::uint32_t group);

/// The first view of a fleet, revision 0. Each group spreads over as many zones as it can; the
/// sizes of two groups differ by one at most. Where any layout of all candidates bears the loss of
/// the tolerated zones, this one does, if need be with fewer groups. Needs a candidate at least.
directory::storage_view form_groups(std::vector<directory::storage_member> candidates,
                                    const group_options& options);

/// The group that a member enters which the view does not name. `former`: the group that its disk
/// holds data of.
std::uint32_t group_for_newcomer(const directory::storage_view& view,
                                 const directory::storage_member& newcomer,
                                 std::optional<std::uint32_t> former);

/// The same, but none where each group that bears the loss of the tolerated zones would bear it no
/// longer: the newcomer waits for one of another zone.
std::optional<std::uint32_t> group_to_enter(const directory::storage_view& view,
                                            const directory::storage_member& newcomer,
                                            std::optional<std::uint32_t> former,
                                            const group_options& options);

}  // namespace pearbarrow::turns
