#include "pearbarrow/turns/replica_groups.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/turns/loss_check.h"

namespace pearbarrow::turns {
namespace {

/// Not the seed of other hashes of a program, by which engines are chosen: the programs of a group
/// shall not all prefer the same engines.
constexpr std::uint64_t program_seed = 0x7475'726e'6772'6f75;

/// What a group has beyond the 2t + 1 members whose majorities keep every turn through the loss of
/// t disks: with t of them lost, one more may restart and the rest are still a majority.
constexpr std::size_t spare_members = 2;

/// First one member of each zone, then a second of each, and so on: any run of them spreads over
/// as many zones as there are.
std::vector<directory::storage_member> by_turns_of_zones(
    std::vector<directory::storage_member> members) {
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    std::map<std::string, std::size_t> seen;
    std::vector<std::pair<std::size_t, directory::storage_member>> placed;
    for (directory::storage_member& member : members) {
        const std::size_t place = seen[member.zone]++;
        placed.emplace_back(place, std::move(member));
    }
    std::stable_sort(placed.begin(), placed.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second.zone) < std::tie(right.first, right.second.zone);
    });
    members.clear();
    for (auto& entry : placed) {
        members.push_back(std::move(entry.second));
    }
    return members;
}

/// The members in this order, cut into groups.
directory::storage_view in_runs(std::vector<directory::storage_member> ordered,
                                std::size_t groups) {
    directory::storage_view view{
        .revision = 0, .members = std::move(ordered), .groups = static_cast<std::uint32_t>(groups)};
    for (std::size_t index = 0; index < view.members.size(); ++index) {
        view.members[index].group =
            static_cast<std::uint32_t>(index * groups / view.members.size());
    }
    return view;
}

/// Each zone's members dealt out to the groups in turn: no group has over one more of a zone than
/// another, also where zones differ in size.
directory::storage_view dealt_by_zone(std::vector<directory::storage_member> members,
                                      std::size_t groups) {
    std::sort(members.begin(), members.end(), [](const auto& left, const auto& right) {
        return std::tie(left.zone, left.node) < std::tie(right.zone, right.node);
    });
    directory::storage_view view{
        .revision = 0, .members = std::move(members), .groups = static_cast<std::uint32_t>(groups)};
    for (std::size_t index = 0; index < view.members.size(); ++index) {
        view.members[index].group = static_cast<std::uint32_t>(index % groups);
    }
    return view;
}

}  // namespace

std::size_t group_options::least_size() const {
    return 2 * this->tolerated_losses + 1 + spare_members;
}

std::uint32_t group_of(const directory::storage_view& view, const base::program_id& program) {
    if (view.groups <= 1) {
        return 0;
    }
    return static_cast<std::uint32_t>(base::stable_hash(program.value(), program_seed) %
                                      view.groups);
}

directory::storage_view members_of(const directory::storage_view& view, std::uint32_t group) {
    directory::storage_view part{.revision = view.revision, .members = {}, .groups = view.groups};
    std::copy_if(view.members.begin(), view.members.end(), std::back_inserter(part.members),
                 [group](const auto& member) { return member.group == group; });
    return part;
}

directory::storage_view form_groups(std::vector<directory::storage_member> candidates,
                                    const group_options& options) {
    const std::size_t most = std::max<std::size_t>(1, candidates.size() / options.least_size());
    const auto ordered = by_turns_of_zones(std::move(candidates));
    directory::storage_view first = in_runs(ordered, most);
    if (options.tolerated_zones == 0) {
        return first;
    }
    // One group bears the loss of zones wherever any number of groups does: of a group of s members
    // (s - 1) / 2 may be lost, and the sum of that over groups is never more than over one of all.
    for (std::size_t groups = most; groups > 0; --groups) {
        directory::storage_view runs = in_runs(ordered, groups);
        if (bears_zones(runs, options.tolerated_zones)) {
            return runs;
        }
        directory::storage_view dealt = dealt_by_zone(ordered, groups);
        if (bears_zones(dealt, options.tolerated_zones)) {
            return dealt;
        }
    }
    return first;
}

// A member that comes back prefers its former group, where it copies only what it missed; in
// another it begins with nothing. Otherwise the smallest group is the one that has lost most.
std::uint32_t group_for_newcomer(const directory::storage_view& view,
                                 const directory::storage_member& newcomer,
                                 std::optional<std::uint32_t> former) {
    struct group_count {
        std::size_t members = 0;
        std::size_t in_zone = 0;
    };
    std::vector<group_count> counts(view.groups);
    for (const directory::storage_member& member : view.members) {
        if (member.group >= counts.size() || member.retiring) {
            continue;
        }
        ++counts[member.group].members;
        counts[member.group].in_zone += member.zone == newcomer.zone ? 1 : 0;
    }
    const auto smallest =
        std::min_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) {
            return std::tie(left.members, left.in_zone) < std::tie(right.members, right.in_zone);
        });
    if (former.has_value() && *former < counts.size() &&
        counts[*former].members <= smallest->members + 1) {
        return *former;
    }
    return static_cast<std::uint32_t>(smallest - counts.begin());
}

std::optional<std::uint32_t> group_to_enter(const directory::storage_view& view,
                                            const directory::storage_member& newcomer,
                                            std::optional<std::uint32_t> former,
                                            const group_options& options) {
    const std::uint32_t preferred = group_for_newcomer(view, newcomer, former);
    const auto may_take = [&](std::uint32_t group) {
        directory::storage_view part = members_of(view, group);
        const bool bears =
            leaves_majority(voter_count(part), most_lost_with_zones(part, options.tolerated_zones));
        part.members.push_back(newcomer);
        return !bears || leaves_majority(voter_count(part),
                                         most_lost_with_zones(part, options.tolerated_zones));
    };
    if (options.tolerated_zones == 0 || may_take(preferred)) {
        return preferred;
    }
    for (std::uint32_t group = 0; group < view.groups; ++group) {
        if (may_take(group)) {
            return group;
        }
    }
    return std::nullopt;
}

}  // namespace pearbarrow::turns
