#include "pearbarrow/turns/replica_groups.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "pearbarrow/base/random.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;

namespace {

directory::storage_member member_in(const std::string& zone, std::size_t number) {
    return {.node = base::node_id("store-" + zone + "-" + std::to_string(number)),
            .address = {},
            .zone = zone};
}

std::vector<directory::storage_member> members_in(
    const std::vector<std::pair<std::string, std::size_t>>& zones) {
    std::vector<directory::storage_member> members;
    for (const auto& [zone, count] : zones) {
        for (std::size_t number = 0; number < count; ++number) {
            members.push_back(member_in(zone, number));
        }
    }
    return members;
}

struct group_shape {
    std::size_t members = 0;
    std::map<std::string, std::size_t> zones;

    std::size_t most_in_a_zone() const {
        std::size_t most = 0;
        for (const auto& [zone, count] : zones) {
            most = std::max(most, count);
        }
        return most;
    }
};

std::map<std::uint32_t, group_shape> shapes_of(const directory::storage_view& view) {
    std::map<std::uint32_t, group_shape> shapes;
    for (const auto& member : view.members) {
        ++shapes[member.group].members;
        ++shapes[member.group].zones[member.zone];
    }
    return shapes;
}

constexpr group_options two_losses{.tolerated_losses = 2};

}  // namespace

Test(replica_groups, few_members_form_one_group) {
    for (const std::size_t count : {1, 3, 4, 5, 9, 13}) {
        const auto view = form_groups(members_in({{"a", count}}), two_losses);
        cr_assert(view.groups == 1, "%zu members", count);
        cr_assert(members_of(view, 0).members.size() == count);
    }
}

Test(replica_groups, each_group_spreads_over_zones_and_keeps_majority_without_two_disks) {
    const auto view = form_groups(
        members_in({{"a", 6}, {"b", 6}, {"c", 6}, {"d", 6}, {"e", 6}, {"f", 6}}), two_losses);
    cr_assert(view.groups == 5, "%u groups", view.groups);
    for (const auto& [group, shape] : shapes_of(view)) {
        cr_assert(shape.members == 7 || shape.members == 8, "%zu members", shape.members);
        cr_assert(shape.zones.size() == 6, "group %u is in %zu zones", group, shape.zones.size());
        cr_assert(shape.most_in_a_zone() <= 2);
        cr_assert(shape.members - 2 > shape.members / 2, "two lost, the rest is a majority");
    }
}

Test(replica_groups, zones_of_any_size_give_groups_of_equal_size) {
    base::random_source random(7);
    for (int round = 0; round < 200; ++round) {
        std::vector<std::pair<std::string, std::size_t>> zones;
        const std::uint64_t zone_count = 1 + random.below(6);
        for (std::uint64_t zone = 0; zone < zone_count; ++zone) {
            zones.emplace_back(std::string(1, static_cast<char>('a' + zone)), 1 + random.below(12));
        }
        const auto candidates = members_in(zones);
        const auto view = form_groups(candidates, two_losses);
        std::size_t least = candidates.size();
        std::size_t most = 0;
        for (const auto& [group, shape] : shapes_of(view)) {
            cr_assert(group < view.groups);
            least = std::min(least, shape.members);
            most = std::max(most, shape.members);
        }
        cr_assert(view.members.size() == candidates.size(), "everybody is in a group");
        cr_assert(shapes_of(view).size() == view.groups, "no group is empty");
        cr_assert(most - least <= 1, "sizes %zu and %zu", least, most);
        cr_assert(view.groups == 1 || least >= two_losses.min_size());
    }
}

Test(replica_groups, every_node_forms_the_same_groups) {
    auto candidates = members_in({{"a", 5}, {"b", 9}, {"c", 7}});
    const auto view = form_groups(candidates, two_losses);
    std::reverse(candidates.begin(), candidates.end());
    cr_assert(form_groups(candidates, two_losses).members == view.members);
}

Test(replica_groups, programs_spread_evenly) {
    directory::storage_view view;
    view.groups = 5;
    std::map<std::uint32_t, int> programs;
    for (int index = 0; index < 5'000; ++index) {
        ++programs[group_of(view, base::program_id("program-" + std::to_string(index)))];
    }
    for (const auto& [group, count] : programs) {
        cr_assert(count > 880 && count < 1'120, "group %u keeps %d of 5000", group, count);
    }
}

Test(replica_groups, newcomer_enters_smallest_group_with_fewest_members_in_its_zone) {
    auto view = form_groups(members_in({{"a", 5}, {"b", 5}, {"c", 5}}),
                            group_options{.tolerated_losses = 1});
    cr_assert(view.groups == 3);
    std::erase_if(view.members,
                  [](const auto& member) { return member.group == 1 && member.zone == "b"; });
    cr_assert(group_for_newcomer(view, member_in("a", 9), std::nullopt) == 1);

    // All groups have the same size again: the newcomer enters the group with the fewest members in
    // its zone.
    view = form_groups(members_in({{"a", 5}, {"b", 5}, {"c", 5}}),
                       group_options{.tolerated_losses = 1});
    const auto shapes = shapes_of(view);
    const std::uint32_t chosen = group_for_newcomer(view, member_in("a", 9), std::nullopt);
    for (const auto& [group, shape] : shapes) {
        cr_assert(shapes.at(chosen).zones.at("a") <= shape.zones.at("a"));
    }
}

Test(replica_groups, member_returns_to_former_group_unless_another_needs_it) {
    auto view = form_groups(members_in({{"a", 5}, {"b", 5}, {"c", 5}}),
                            group_options{.tolerated_losses = 1});
    cr_assert(group_for_newcomer(view, member_in("a", 9), 2) == 2);
    std::size_t removed = 0;
    std::erase_if(view.members,
                  [&](const auto& member) { return member.group == 0 && removed++ < 2; });
    cr_assert(group_for_newcomer(view, member_in("a", 9), 2) == 0, "group 0 has lost two");
}

Test(replica_groups, retiring_members_do_not_count) {
    auto view = form_groups(members_in({{"a", 5}, {"b", 5}, {"c", 5}}),
                            group_options{.tolerated_losses = 1});
    for (auto& member : view.members) {
        member.retiring = member.group == 2 && member.zone == "c";
    }
    cr_assert(group_for_newcomer(view, member_in("a", 9), std::nullopt) == 2);
}
