/// Keeps a write from being confirmed by voters of a replica group that have been replaced since.
///
/// Pure: what was heard is given. A group's voters change one at a time, so majorities of two views
/// that follow each other meet; those of a view and the next but one need not. Three rules close
/// the gap (proof in docs/invariants.md):
///
/// 1. Every request names the voters that its sender counts on. A member that knows newer ones
///    refuses it, and says which.
/// 2. A voter leaves only once the present voters are settled: a majority of them refuses whoever
///    counts on earlier ones, and all that was confirmed to such is on a majority of the present.
/// 3. A voter that comes, or comes back, counts as complete only once it has copied from members
///    that know it as a voter.
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

/// Of a view of one group.
view_stamp stamp_of(const directory::storage_view& group);

/// Whether `asked` counts on voters that `known` has replaced.
bool is_outdated(const view_stamp& asked, const view_stamp& known);

/// Complete voters that one which is not complete has to copy from, of `voters` with itself: no
/// confirmed write is on none of them.
std::size_t sources_needed(std::size_t voters);
/// Whether who answers with `known` refuses whoever doesn't know voters since `revision`.
bool knows_since(const view_stamp& known, std::uint64_t revision);

/// What one listing has shown of the member that answered it.
struct listed_state {
    /// Newest voters that it knows for good.
    view_stamp view;
    bool is_complete = false;
    /// Everything that it had is stored here.
    bool is_level = false;
};

/// Whether the present voters of a group are settled, as one of them knows it. Two steps: all that
/// a majority of complete voters holds is copied here, each listed since it knew the present
/// voters; then a majority has stored all that is here.
class view_settlement {
  public:
    /// Begins anew where the voters are others than before. `self` is one of them.
    void set_voters(const directory::storage_view& group, const base::node_id& self);
    /// Nothing is known any more of what others hold, or this member is no voter.
    void forget();

    /// Everything of the listing is stored here.
    void note_listed(const base::node_id& other, const listed_state& state);
    /// `other` has stored this member's changes through that one.
    void note_held(const base::node_id& other, change_number through);
    /// Takes the steps that can be taken. `last`: this member's newest change.
    void advance(bool self_is_complete, change_number last);

    bool is_settled() const { return this->settled; }
    /// Since which revision the present voters are known; 0: none are.
    std::uint64_t since() const { return this->present.revision; }

  private:
    std::size_t majority() const { return this->voters.size() / 2 + 1; }

    view_stamp present;
    /// Without this member.
    std::set<base::node_id> others;
    std::set<base::node_id> voters;
    /// Complete ones that refuse whoever counts on earlier voters, and are copied here.
    std::set<base::node_id> copied;
    std::map<base::node_id, change_number> held;
    /// This member's newest change when a majority was copied.
    std::optional<change_number> copied_by;
    bool settled = false;
};

}  // namespace pearbarrow::turns
