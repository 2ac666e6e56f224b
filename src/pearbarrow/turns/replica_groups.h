/// Divides the storage members into replica groups and assigns programs to groups.
///
/// A turn, its reservation and its settlement involve only the members of one group, so adding
/// members adds capacity. Pure functions: every node that knows a view computes the same result.
/// The view of a group is a small storage view and follows the same rules: one member changes at a
/// time, and the majorities of two consecutive views intersect.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

struct group_options {
    /// Number of disks that may be lost at once.
    std::size_t tolerated_losses = 1;
    /// Number of whole zones that may be lost at once.
    std::size_t tolerated_zones = 0;

    /// Returns the minimum number of members of a newly formed group, if the fleet has that many.
    std::size_t min_size() const;
};

/// Returns the group that stores a program's turns and enforces its budget.
std::uint32_t group_of(const directory::storage_view& view, const base::program_id& program);

/// Returns the view of one group: only its members, with the revision of the whole view.
directory::storage_view members_of(const directory::storage_view& view, std::uint32_t group);

/// Returns the first view of a fleet, with revision 0. Each group is spread over as many zones as
/// possible, and group sizes differ by at most one. If any layout of the candidates survives the
/// loss of the tolerated zones, the returned one does, with fewer groups if necessary. Requires at
/// least one candidate.
directory::storage_view form_groups(std::vector<directory::storage_member> candidates,
                                    const group_options& options);

/// Returns the group for a member that is not in the view. `former` is the group whose data its
/// disk holds.
std::uint32_t group_for_newcomer(const directory::storage_view& view,
                                 const directory::storage_member& newcomer,
                                 std::optional<std::uint32_t> former);

/// Like `group_for_newcomer`, but chooses a group whose zone tolerance the newcomer does not break.
/// Returns nothing if every group survives the loss of the tolerated zones and none would still do
/// so with the newcomer, which then waits for a member of another zone to join.
std::optional<std::uint32_t> group_to_enter(const directory::storage_view& view,
                                            const directory::storage_member& newcomer,
                                            std::optional<std::uint32_t> former,
                                            const group_options& options);

}  // namespace pearbarrow::turns
