/// Prevents writes from being confirmed by voters of a replica group that have since been replaced.
///
/// Performs no I/O: received information is passed in. The voters of a group change one at a time,
/// so the majorities of two consecutive views intersect; those of views further apart may not.
/// Three rules close the gap (proof in docs/invariants.md):
///
/// 1. Every request identifies the voters that its sender relies on. A member that knows newer
///    voters rejects it and returns them.
/// 2. A voter leaves only once the current voters are settled: a majority of them rejects senders
///    that rely on earlier voters, and everything confirmed to such senders is stored on a majority
///    of the current voters. It stays in the view, without a vote, until the remaining voters are
///    settled too.
/// 3. A voter that joins or rejoins counts as complete only once it has copied from members that
///    know it as a voter.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/turns/turn_types.h"

namespace pearbarrow::turns {

/// Returns the stamp of the view of one group.
view_stamp stamp_of(const directory::storage_view& group);

/// Returns whether `sender` relies on voters that `known` has replaced.
bool is_outdated(const view_stamp& sender, const view_stamp& known);

/// Returns whether a member that reports `known` rejects senders that do not know the voters since
/// `revision`.
bool knows_since(const view_stamp& known, std::uint64_t revision);

/// State of another member as shown by its reply to a listing.
struct listed_state {
    /// Newest voters that the member has persisted.
    view_stamp view;
    bool is_complete = false;
    /// Everything that the member had is stored here.
    bool is_caught_up = false;
};

/// Tracks whether the current voters of a group are settled, from the perspective of one of them.
/// This takes two steps: first, everything that a majority of complete voters holds is copied here,
/// each listed after it learned the current voters; then, a majority has stored everything that is
/// here.
class view_settlement {
  public:
    /// Starts over if the voters differ from the earlier ones. `self` is one of them.
    void set_voters(const directory::storage_view& group, const base::node_id& self);
    /// Discards all state: the state of the others is no longer known, or this member is not a
    /// voter.
    void reset();

    /// Records a listing of `other` whose entries are all stored here.
    void record_listing(const base::node_id& other, const listed_state& state);
    /// Records that `other` has stored this member's changes up to `through`.
    void record_stored(const base::node_id& other, change_number through);
    /// Performs the steps that have become possible. `last` is this member's newest change.
    void advance(bool self_is_complete, change_number last);

    bool is_settled() const { return this->settled; }
    /// Returns the revision since which the current voters are known; 0 if there are none.
    std::uint64_t since() const { return this->current.revision; }

  private:
    std::size_t majority() const { return this->voters.size() / 2 + 1; }

    view_stamp current;
    /// The voters except this member.
    std::set<base::node_id> others;
    std::set<base::node_id> voters;
    /// Complete voters that reject senders relying on earlier voters and whose changes are all
    /// stored here.
    std::set<base::node_id> copied_from;
    std::map<base::node_id, change_number> stored_through;
    /// This member's newest change at the time when a majority had been copied.
    std::optional<change_number> copied_through;
    bool settled = false;
};

}  // namespace pearbarrow::turns
