#include "pearbarrow/turns/view_stamps.h"

#include <algorithm>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::turns {

/// A sum, since views of the same members may name them in another order.
view_stamp stamp_of(const directory::storage_view& group) {
    view_stamp stamp{.revision = group.revision};
    for (const directory::storage_member& voter : voters_of(group)) {
        stamp.voters += base::stable_hash(voter.node.value());
    }
    return stamp;
}

// A stamp of revision 0 is an older node's. To refuse it would refuse every turn of that node for
// as long as a fleet is upgraded.
bool is_outdated(const view_stamp& asked, const view_stamp& known) {
    return asked.revision != 0 && asked.revision < known.revision && asked.voters != known.voters;
}

/// A write is on a majority, and one of its copies may have been on the asker's lost disk.
std::size_t sources_needed(std::size_t voters) {
    return voters - (voters / 2 + 1) + 1;
}

// Older nodes tell nothing, and are taken at their word as before.
bool knows_since(const view_stamp& known, std::uint64_t revision) {
    return known.revision == 0 || known.revision >= revision;
}

void view_settlement::set_voters(const directory::storage_view& group, const base::node_id& self) {
    const view_stamp stamp = stamp_of(group);
    if (this->present.revision != 0 && stamp.voters == this->present.voters) {
        return;
    }
    this->forget();
    this->present = stamp;
    for (const directory::storage_member& voter : voters_of(group)) {
        this->voters.insert(voter.node);
    }
    this->others = this->voters;
    this->others.erase(self);
}

void view_settlement::forget() {
    *this = view_settlement();
}

void view_settlement::note_listed(const base::node_id& other, const listed_state& state) {
    if (this->others.count(other) != 0 && knows_since(state.view, this->present.revision) &&
        state.is_complete && state.is_level) {
        this->copied.insert(other);
    }
}

void view_settlement::note_held(const base::node_id& other, change_number through) {
    if (this->others.count(other) != 0) {
        change_number& known = this->held[other];
        known = std::max(known, through);
    }
}

void view_settlement::advance(bool self_is_complete, change_number last) {
    if (this->settled || this->voters.empty() || !self_is_complete) {
        return;
    }
    if (!this->copied_by.has_value()) {
        if (this->copied.size() + 1 < this->majority()) {
            return;
        }
        this->copied_by = last;
    }
    const auto holding = static_cast<std::size_t>(
        std::count_if(this->held.begin(), this->held.end(),
                      [this](const auto& entry) { return entry.second >= *this->copied_by; }));
    this->settled = holding + 1 >= this->majority();
}

}  // namespace pearbarrow::turns
