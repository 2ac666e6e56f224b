#include "pearbarrow/turns/write_coverage.h"

#include <algorithm>

#include "pearbarrow/turns/loss_check.h"

namespace pearbarrow::turns {

std::size_t covering_count(std::size_t members) {
    return members - members / 2;
}

bool covers_confirmed_writes(std::size_t complete, std::size_t members) {
    return complete >= covering_count(members);
}

bool has_read_confirmed_writes(const directory::storage_view& group, bool replaces_lost_disk,
                               const read_members& read) {
    if (covers_confirmed_writes(read.complete, group.members.size())) {
        return true;
    }
    if (read.all == 0) {
        return false;
    }
    // Each view since the voters were last settled had at least this many of them. The deciding
    // member may not have been one.
    const std::size_t fewest_voters = std::min(min_voters, group.members.size() - 1);
    const std::size_t copies = fewest_voters / 2 + 1;
    const std::size_t read_and_self = std::min(read.all + 1, group.members.size());
    const std::size_t lost = read.lost_disks + (replaces_lost_disk ? 1 : 0);
    return group.members.size() - read_and_self + lost < copies;
}

bool may_remove_voter(const directory::storage_view& group, const read_members& read) {
    const std::size_t voters = voter_count(group);
    return voters > min_voters && read.all >= voters / 2 + 1 &&
           covers_confirmed_writes(read.complete, voters);
}

bool may_retire_voter(const directory::storage_view& group, const read_members& read) {
    const std::size_t remaining_voters = voter_count(group) - 1;
    const std::size_t majority = remaining_voters / 2 + 1;
    return read.complete > std::max(min_voters, majority);
}

}  // namespace pearbarrow::turns
