#include "pearbarrow/membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <string>

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
namespace membership = pearbarrow::membership;

namespace {

constexpr std::uint32_t shard_count = 2'000;
const base::region_name west("west");

membership::member node(int index, int zone = 0, bool has_disk = true) {
    membership::member value;
    value.id = base::node_id("n" + std::to_string(index));
    value.metadata.region = west;
    value.metadata.zone = base::zone_name("z" + std::to_string(zone));
    value.metadata.has_disk = has_disk;
    return value;
}

std::vector<membership::member> fleet(int count) {
    std::vector<membership::member> members;
    for (int index = 0; index < count; ++index) {
        members.push_back(node(index, index % 4));
    }
    return members;
}

std::map<std::uint32_t, base::node_id> owners(const std::vector<membership::member>& members) {
    std::map<std::uint32_t, base::node_id> result;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        result[shard] = *membership::preferred_owner(base::shard_id(shard), west, members);
    }
    return result;
}

}  // namespace

Test(rendezvous, draining_node_loses_only_its_own_shards) {
    auto members = fleet(10);
    const auto before = owners(members);
    members[3].metadata.draining = true;
    const auto after = owners(members);
    int moved = 0;
    for (const auto& [shard, owner] : before) {
        const bool was_owned_by_leaving = owner == members[3].id;
        cr_assert_eq(owner != after.at(shard), was_owned_by_leaving);
        moved += was_owned_by_leaving ? 1 : 0;
    }
    cr_assert(moved > 120 && moved < 280, "%d of %u", moved, shard_count);
}

Test(rendezvous, shards_are_proportional_to_weights) {
    auto members = fleet(4);
    members[0].metadata.weight = 300;
    members[1].metadata.weight = 0;
    std::map<base::node_id, int> counts;
    for (const auto& [shard, owner] : owners(members)) {
        ++counts[owner];
    }
    cr_assert_eq(counts[members[1].id], 0);
    const int heavy = counts[members[0].id];
    cr_assert(heavy > 1'100 && heavy < 1'300, "%d, 1200 expected", heavy);
}

Test(rendezvous, only_live_nodes_of_the_region_are_owners) {
    auto members = fleet(3);
    members[0].state = membership::member_state::dead;
    members[1].metadata.region = base::region_name("east");
    for (std::uint32_t shard = 0; shard < 50; ++shard) {
        cr_assert(membership::preferred_owner(base::shard_id(shard), west, members) ==
                  members[2].id);
    }
    cr_assert_not(
        membership::preferred_owner(base::shard_id(1), base::region_name("north"), members));
    cr_assert(membership::preferred_dispatcher(base::pool_id("p"), 0, base::region_name("north"),
                                               members));
}

Test(rendezvous, each_zone_has_two_followers) {
    const auto members = fleet(20);
    const auto followers = membership::platform_followers(members);
    cr_assert_eq(followers.size(), 8);
    cr_assert(std::is_sorted(followers.begin(), followers.end()));
    cr_assert_eq(membership::platform_followers({node(1)}).size(), 1);
}

Test(rendezvous, replicas_have_disks_and_different_zones) {
    auto members = fleet(12);
    members.push_back(node(50, 9, false));
    for (std::uint32_t shard = 0; shard < 100; ++shard) {
        const auto replicas = membership::choose_replicas(base::shard_id(shard), west, members);
        cr_assert_eq(replicas.size(), 3);
        std::map<base::zone_name, int> zones;
        for (const auto& replica : replicas) {
            const auto found =
                std::find_if(members.begin(), members.end(),
                             [&](const membership::member& each) { return each.id == replica; });
            cr_assert(found->metadata.has_disk);
            ++zones[found->metadata.zone];
        }
        cr_assert_eq(zones.size(), 3);
    }
    cr_assert_eq(membership::choose_replicas(base::shard_id(1), west, {node(1)}).size(), 1);
}
