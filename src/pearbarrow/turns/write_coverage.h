/// Decides which members of a replica group together hold every confirmed write.
///
/// A member is *complete* if it has everything that it has ever confirmed and everything that was
/// confirmed before it became a voter. A write is confirmed by a majority of the voters, so only a
/// minority of them can be complete and lack it. More complete members than that minority therefore
/// include one that has the write. Members that are not complete hold what they have stored, but
/// their number says nothing about what they lack.
///
/// Pure functions of one group's view and of what a member knows about the others. Every decision
/// about the voters and the contents of a group uses them (docs/design/group-voters.md).
#pragma once

#include <cstddef>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::turns {

/// With fewer voters than this, turns do not survive the loss of one disk.
inline constexpr std::size_t min_voters = 2;

/// Returns how many complete members of `members` include one with each write that a majority of
/// them has confirmed.
std::size_t covering_count(std::size_t members);

/// Returns whether `complete` complete members hold every write that a majority of `members`
/// members has confirmed.
bool covers_confirmed_writes(std::size_t complete, std::size_t members);

/// Members of a group whose changes are all stored at the member that decides.
struct read_members {
    /// Complete ones.
    std::size_t complete = 0;
    /// All of them: complete or not, voters or not.
    std::size_t all = 0;
    /// Incomplete ones that may have confirmed writes which an earlier disk held.
    std::size_t lost_disks = 0;
};

/// Returns whether an incomplete voter has read every confirmed write: from enough complete
/// members, or from all members but fewer than the copies that each confirmed write has. A member
/// that has lost its disk counts as not read, the deciding one included. Members that are leaving
/// count, since they may hold writes that the voters have not copied yet.
bool has_read_confirmed_writes(const directory::storage_view& group, bool replaces_lost_disk,
                               const read_members& read);

/// Returns whether a complete voter may remove an unresponsive one. `read` counts the responsive
/// voters, and includes the deciding one. A member that is partitioned from the majority removes
/// nobody, and everything that the removed voter has confirmed must be stored at the deciding one.
bool may_remove_voter(const directory::storage_view& group, const read_members& read);

/// Returns whether a voter may begin to retire. `read` counts as for `may_remove_voter`. The voters
/// that remain must be able to confirm writes without it, on enough disks.
bool may_retire_voter(const directory::storage_view& group, const read_members& read);

}  // namespace pearbarrow::turns
