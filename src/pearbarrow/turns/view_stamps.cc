#include "pearbarrow/turns/view_stamps.h"

#include <algorithm>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/turn_operation.h"
#include "pearbarrow/turns/write_coverage.h"

namespace pearbarrow::turns {

/// Uses a sum so that the digest does not depend on the order of members.
view_stamp stamp_of(const directory::storage_view& group) {
    view_stamp stamp{.revision = group.revision};
    for (const directory::storage_member& voter : voters_of(group)) {
        stamp.voters += base::stable_hash(voter.node.value());
    }
    return stamp;
}

// Older nodes send revision 0. Rejecting it would reject all turns of such nodes during a rolling
// upgrade.
bool is_outdated(const view_stamp& sender, const view_stamp& known) {
    return sender.revision != 0 && sender.revision < known.revision &&
           sender.voters != known.voters;
}

// Older nodes do not report their view and are trusted as before.
bool knows_since(const view_stamp& known, std::uint64_t revision) {
    return known.revision == 0 || known.revision >= revision;
}

void view_settlement::set_voters(const directory::storage_view& group, const base::node_id& self) {
    const view_stamp stamp = stamp_of(group);
    if (this->current.revision != 0 && stamp.voters == this->current.voters) {
        return;
    }
    this->reset();
    this->current = stamp;
    for (const directory::storage_member& voter : voters_of(group)) {
        this->voters.insert(voter.node);
    }
    this->others = this->voters;
    this->others.erase(self);
}

void view_settlement::reset() {
    *this = view_settlement();
}

void view_settlement::record_listing(const base::node_id& other, const listed_state& state) {
    if (this->others.count(other) != 0 && knows_since(state.view, this->current.revision) &&
        state.is_complete && state.is_caught_up) {
        this->copied_from.insert(other);
    }
}

void view_settlement::record_stored(const base::node_id& other, change_number through) {
    if (this->others.count(other) != 0) {
        change_number& known = this->stored_through[other];
        known = std::max(known, through);
    }
}

void view_settlement::advance(bool self_is_complete, change_number last) {
    if (this->settled || this->voters.empty() || !self_is_complete) {
        return;
    }
    if (!this->copied_through.has_value()) {
        // The earlier voters may have been one more.
        if (!covers_confirmed_writes(this->copied_from.size() + 1, this->voters.size() + 1)) {
            return;
        }
        this->copied_through = last;
    }
    const auto stored_count = static_cast<std::size_t>(
        std::count_if(this->stored_through.begin(), this->stored_through.end(),
                      [this](const auto& entry) { return entry.second >= *this->copied_through; }));
    this->settled = stored_count + 1 >= this->majority();
}

}  // namespace pearbarrow::turns
