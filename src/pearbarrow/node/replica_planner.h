/// The next step of a shard's repair, from the configuration and what the shard's owner sees.
///
/// One member changes at a time, in the order of docs/design/journal.md: a newcomer is marked as
/// joining and copies the journal, becomes the fourth replica, and then the replica that it stands
/// in for leaves. Nothing else is remembered, so whoever owns the shard next goes on from the
/// configuration alone. Pure: no clock, no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/objects.h"
#include "pearbarrow/wire/journal_messages.h"

namespace pearbarrow::node {

/// A node of the shard's region, alive or not.
struct repair_node {
    base::node_id node;
    base::zone_name zone;
    /// Lives, has a disk and takes work.
    bool usable = false;
    /// Has not been usable for so long that its replicas are replaced.
    bool gone = false;
};

/// What the owner of a shard knows. Established, lost and caught up are as the journal's leader
/// reports them (`journal/leader.h`).
struct shard_repair_view {
    config::shard_assignment assignment;
    /// The leader works with the assignment's epoch, and a majority has committed under it.
    bool established = false;
    std::set<wire::journal_member> lost;
    std::set<wire::journal_member> caught_up;
    std::vector<repair_node> nodes;
    /// Identity of this shard's replica on nodes that were asked.
    std::map<base::node_id, wire::journal_member> identities;
};

struct replica_planner_options {
    std::size_t replicas = 3;

    /// Mechanisms that tests switch off to see their check fail. Never set elsewhere.
    struct test_faults {
        bool ignore_established = false;
        bool ignore_catch_up = false;
    } faults;
};

/// Nothing to do now: the set is whole, no node can step in, or a step has not ended.
struct repair_nothing {
    auto operator<=>(const repair_nothing&) const = default;
};
/// Ask `node` for the identity of its replica of the shard.
struct repair_ask {
    base::node_id node;
    auto operator<=>(const repair_ask&) const = default;
};
/// Have the member's node give up the shard's corrupt data; it becomes another member by that.
struct repair_reset {
    wire::journal_member member;
    auto operator<=>(const repair_reset&) const = default;
};
/// Propose `assignment` in place of the one in force. Reasons: `replica_joins`, `replica_added`,
/// `replica_removed`, `joining_given_up`.
struct repair_propose {
    config::shard_assignment assignment;
    std::string reason;
    auto operator<=>(const repair_propose&) const = default;
};

using repair_step = std::variant<repair_nothing, repair_ask, repair_reset, repair_propose>;

/// The one step to take now.
repair_step next_repair_step(const shard_repair_view& view,
                             const replica_planner_options& options = {});

}  // namespace pearbarrow::node
