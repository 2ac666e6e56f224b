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

/// This seed differs from the one used to choose engines for a program; otherwise all programs of a
/// group would prefer the same engines.
constexpr std::uint64_t program_seed = 0x7475'726e'6772'6f75;

/// Members of a group beyond the 2t + 1 whose majorities preserve every turn through the loss of t
/// disks. With t disks lost, one more member may restart while the rest still form a majority.
constexpr std::size_t spare_members = 2;

/// Interleaves the zones: first one member of each zone, then a second one of each, and so on. Any
/// contiguous range is spread over as many zones as possible.
std::vector<directory::storage_member> interleave_zones(
    std::vector<directory::storage_member> members) {
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    std::map<std::string, std::size_t> seen;
    std::vector<std::pair<std::size_t, directory::storage_member>> ranked;
    for (directory::storage_member& member : members) {
        const std::size_t rank = seen[member.zone]++;
        ranked.emplace_back(rank, std::move(member));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second.zone) < std::tie(right.first, right.second.zone);
    });
    members.clear();
    for (auto& entry : ranked) {
        members.push_back(std::move(entry.second));
    }
    return members;
}

/// Splits the ordered members into contiguous groups.
directory::storage_view split_contiguously(std::vector<directory::storage_member> ordered,
                                           std::size_t groups) {
    directory::storage_view view{
        .revision = 0, .members = std::move(ordered), .groups = static_cast<std::uint32_t>(groups)};
    for (std::size_t index = 0; index < view.members.size(); ++index) {
        view.members[index].group =
            static_cast<std::uint32_t>(index * groups / view.members.size());
    }
    return view;
}

/// Distributes each zone's members round-robin over the groups. Two groups differ by at most one
/// member per zone, even if zones differ in size.
directory::storage_view distribute_by_zone(std::vector<directory::storage_member> members,
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

std::size_t group_options::min_size() const {
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
    const std::size_t max_groups = std::max<std::size_t>(1, candidates.size() / options.min_size());
    const auto ordered = interleave_zones(std::move(candidates));
    directory::storage_view first = split_contiguously(ordered, max_groups);
    if (options.tolerated_zones == 0) {
        return first;
    }
    // If any number of groups survives the loss of zones, a single group does too: a group of s
    // members may lose (s - 1) / 2 of them, and the sum of this over several groups never exceeds
    // the value for one group of all members.
    for (std::size_t groups = max_groups; groups > 0; --groups) {
        directory::storage_view contiguous = split_contiguously(ordered, groups);
        if (survives_zone_loss(contiguous, options.tolerated_zones)) {
            return contiguous;
        }
        directory::storage_view distributed = distribute_by_zone(ordered, groups);
        if (survives_zone_loss(distributed, options.tolerated_zones)) {
            return distributed;
        }
    }
    return first;
}

// A returning member prefers its former group, where it copies only the changes that it missed; in
// another group it starts empty. Otherwise the smallest group is chosen, since it has lost the most
// members.
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
    const auto can_enter = [&](std::uint32_t group) {
        directory::storage_view part = members_of(view, group);
        const bool is_tolerant =
            leaves_majority(voter_count(part), max_lost_with_zones(part, options.tolerated_zones));
        part.members.push_back(newcomer);
        return !is_tolerant || leaves_majority(voter_count(part),
                                               max_lost_with_zones(part, options.tolerated_zones));
    };
    if (options.tolerated_zones == 0 || can_enter(preferred)) {
        return preferred;
    }
    for (std::uint32_t group = 0; group < view.groups; ++group) {
        if (can_enter(group)) {
            return group;
        }
    }
    return std::nullopt;
}

}  // namespace pearbarrow::turns
