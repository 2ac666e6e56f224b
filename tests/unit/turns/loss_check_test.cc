// Checks all small layouts of members over zones exhaustively.
#include "pearbarrow/turns/loss_check.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>

#include "pearbarrow/turns/replica_groups.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;

namespace {

/// Number of members in each zone.
using layout = std::vector<std::size_t>;

constexpr std::size_t most_members = 12;

directory::storage_member member_in(std::size_t zone, std::size_t number) {
    const std::string name(1, static_cast<char>('a' + zone));
    return {.node = base::node_id("store-" + std::to_string(number) + "-" + name),
            .address = {},
            .zone = name};
}

std::vector<directory::storage_member> members_of_layout(const layout& counts) {
    std::vector<directory::storage_member> members;
    for (std::size_t zone = 0; zone < counts.size(); ++zone) {
        for (std::size_t number = 0; number < counts[zone]; ++number) {
            members.push_back(member_in(zone, number));
        }
    }
    return members;
}

std::size_t size_of(const layout& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

/// Visits every layout of up to twelve members over two to four zones with at least one member
/// each.
void for_each_layout(const std::function<void(const layout&)>& visit) {
    const std::function<void(layout&, std::size_t)> extend = [&](layout& counts,
                                                                 std::size_t zones) {
        if (counts.size() == zones) {
            visit(counts);
            return;
        }
        const std::size_t room = most_members - size_of(counts) - (zones - counts.size() - 1);
        for (std::size_t count = 1; count <= room; ++count) {
            counts.push_back(count);
            extend(counts, zones);
            counts.pop_back();
        }
    };
    for (std::size_t zones = 2; zones <= 4; ++zones) {
        layout counts;
        extend(counts, zones);
    }
}

/// Returns whether each group keeps a majority through the loss of any `zones` zones. Enumerates
/// the zone sets independently of the code under test.
bool survives_every_loss(const directory::storage_view& view, std::size_t zone_count,
                         std::size_t zones) {
    for (std::uint32_t lost = 0; lost < (1U << zone_count); ++lost) {
        if (static_cast<std::size_t>(__builtin_popcount(lost)) != std::min(zones, zone_count)) {
            continue;
        }
        for (std::uint32_t group = 0; group < view.groups; ++group) {
            std::size_t all = 0;
            std::size_t left = 0;
            for (const auto& member : view.members) {
                if (member.group != group) {
                    continue;
                }
                ++all;
                left += (lost & (1U << (member.zone[0] - 'a'))) == 0 ? 1 : 0;
            }
            if (2 * left <= all) {
                return false;
            }
        }
    }
    return true;
}

bool group_survives(const layout& counts, std::size_t zones) {
    directory::storage_view one{.revision = 0, .members = members_of_layout(counts), .groups = 1};
    return survives_every_loss(one, counts.size(), zones);
}

/// Returns whether some division of the members into groups survives the loss of zones. It checks
/// one group of all members and every division into two. Three or more groups need no check: any
/// two groups that survive also survive as one.
bool can_survive(const layout& counts, std::size_t zones) {
    if (group_survives(counts, zones)) {
        return true;
    }
    const std::function<bool(layout&)> some_two = [&](layout& first) {
        if (first.size() < counts.size()) {
            for (std::size_t count = 0; count <= counts[first.size()]; ++count) {
                first.push_back(count);
                if (some_two(first)) {
                    return true;
                }
                first.pop_back();
            }
            return false;
        }
        layout second;
        for (std::size_t zone = 0; zone < counts.size(); ++zone) {
            second.push_back(counts[zone] - first[zone]);
        }
        return size_of(first) > 0 && size_of(second) > 0 && group_survives(first, zones) &&
               group_survives(second, zones);
    };
    layout first;
    return some_two(first);
}

}  // namespace

Test(loss_check, groups_survive_tolerated_zone_loss_if_any_layout_does) {
    std::size_t checked_layouts = 0;
    std::size_t survivable = 0;
    for_each_layout([&](const layout& counts) {
        for (std::size_t zones = 1; zones <= 2; ++zones) {
            const bool is_possible = can_survive(counts, zones);
            for (std::size_t losses = 0; losses <= 2; ++losses) {
                const group_options options{.tolerated_losses = losses, .tolerated_zones = zones};
                const auto view = form_groups(members_of_layout(counts), options);
                ++checked_layouts;
                survivable += is_possible ? 1 : 0;
                cr_assert(view.members.size() == size_of(counts));
                cr_assert(survives_every_loss(view, counts.size(), zones) == is_possible);
                cr_assert(survives_zone_loss(view, zones) == is_possible);
                cr_assert(
                    find_groups_at_risk(view, {.disks = 0, .zones = zones}).by_zones.empty() ==
                    is_possible);
            }
        }
    });
    cr_assert(checked_layouts > 4'000 && survivable > 300, "%zu layouts, %zu survivable",
              checked_layouts, survivable);
}

Test(loss_check, equal_zones_keep_the_number_of_groups) {
    const layout even = {3, 3, 3, 3};
    const auto plain = form_groups(members_of_layout(even), {.tolerated_losses = 1});
    const auto spread =
        form_groups(members_of_layout(even), {.tolerated_losses = 1, .tolerated_zones = 1});
    cr_assert(plain.groups == 2 && spread.groups == 2);
    cr_assert(plain.members == spread.members);
}

Test(loss_check, uneven_zones_get_fewer_groups_that_survive_zone_loss) {
    const layout uneven = {5, 4, 3};
    const auto plain = form_groups(members_of_layout(uneven), {.tolerated_losses = 1});
    cr_assert(plain.groups == 2);
    cr_assert(!survives_zone_loss(plain, 1));
    const auto spread =
        form_groups(members_of_layout(uneven), {.tolerated_losses = 1, .tolerated_zones = 1});
    cr_assert(spread.groups == 1);
    cr_assert(survives_zone_loss(spread, 1));
}

Test(loss_check, entering_members_never_break_zone_tolerance) {
    for_each_layout([](const layout& counts) {
        const group_options options{.tolerated_losses = 1, .tolerated_zones = 1};
        auto view = form_groups(members_of_layout(counts), options);
        for (std::size_t number = 0; number < 4; ++number) {
            const bool held = survives_zone_loss(view, 1);
            // Two newcomers in the first zone, two in the second.
            directory::storage_member newcomer = member_in(number / 2, most_members + number);
            const auto group = group_to_enter(view, newcomer, std::nullopt, options);
            cr_assert(group.has_value() || held,
                      "a newcomer waits only if it would break the tolerance");
            if (group.has_value()) {
                newcomer.group = *group;
                view.members.push_back(newcomer);
            }
            cr_assert(!held || survives_zone_loss(view, 1));
        }
    });
}

Test(loss_check, without_tolerated_zones_every_member_enters) {
    const auto view = form_groups(members_of_layout({1, 1, 1}), {.tolerated_losses = 1});
    const auto newcomer = member_in(0, 9);
    const group_options one_zone{.tolerated_losses = 1, .tolerated_zones = 1};
    cr_assert(group_to_enter(view, newcomer, std::nullopt, {.tolerated_losses = 1}) == 0U);
    cr_assert(!group_to_enter(view, newcomer, std::nullopt, one_zone).has_value());
    cr_assert(group_to_enter(view, member_in(3, 9), std::nullopt, one_zone) == 0U);
}

Test(loss_check, retiring_members_and_lost_disks_count) {
    auto view = form_groups(members_of_layout({2, 2, 1}), {.tolerated_losses = 2});
    cr_assert(find_groups_at_risk(view, {.disks = 2, .zones = 1}) == groups_at_risk{});
    view.members.front().retiring = true;
    const groups_at_risk found = find_groups_at_risk(view, {.disks = 2, .zones = 1});
    cr_assert(found.by_disks == std::vector<std::uint32_t>{0});
    cr_assert(found.by_zones == std::vector<std::uint32_t>{0});
    cr_assert(find_groups_at_risk(directory::storage_view{}, {.disks = 2, .zones = 1}) ==
              groups_at_risk{});
}
