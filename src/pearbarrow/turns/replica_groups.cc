#include "pearbarrow/turns/replica_groups.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"

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
    const std::size_t groups = std::max<std::size_t>(1, candidates.size() / options.least_size());
    directory::storage_view view{.revision = 0,
                                 .members = by_turns_of_zones(std::move(candidates)),
                                 .groups = static_cast<std::uint32_t>(groups)};
    for (std::size_t index = 0; index < view.members.size(); ++index) {
        view.members[index].group =
            static_cast<std::uint32_t>(index * groups / view.members.size());
    }
    return view;
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

}  // namespace pearbarrow::turns
