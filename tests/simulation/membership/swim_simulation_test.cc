/// Whole fleets in virtual time: forming, failures, partitions, pauses, restarts.
#include "swim_simulation.h"

#include <string>

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
namespace membership = pearbarrow::membership;
using base::milliseconds;
using pearbarrow::simulation::swim_simulation;
using pearbarrow::simulation::swim_simulation_options;

namespace {

swim_simulation_options fleet_of(std::size_t nodes, std::uint64_t seed = 1) {
    swim_simulation_options options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
}

void form(swim_simulation& fleet, milliseconds limit = milliseconds(30'000)) {
    fleet.start_all();
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, limit), "the fleet must form");
    fleet.run_for(milliseconds(3'000));
}

bool all_know_gone(swim_simulation& fleet, std::size_t index, milliseconds limit) {
    return fleet.run_until([&] { return fleet.known_not_live(index) == fleet.running_count(); },
                           limit);
}

/// A fleet cut in two halves for 20 s; whether it is whole again 30 s later.
bool heals(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    form(fleet);
    fleet.set_links([](std::size_t from, std::size_t to) { return from % 2 == to % 2; });
    fleet.run_for(milliseconds(20'000));
    cr_assert_not(fleet.converged());
    fleet.set_links(nullptr);
    return fleet.run_until([&] { return fleet.converged(); }, milliseconds(30'000));
}

/// A node frozen for 10 s while its probes are under way; whom it accuses in the second after.
struct woken_node {
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
};
woken_node wake(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    form(fleet);
    const std::uint64_t probes = fleet.core(4).statistics().probes;
    while (fleet.core(4).statistics().probes == probes) {
        fleet.run_for(milliseconds(1));
    }
    const woken_node before{fleet.core(4).statistics().suspicions, fleet.deaths_declared_by(4)};
    fleet.pause(4, milliseconds(10'000));
    fleet.run_for(milliseconds(9'000));
    cr_assert_eq(fleet.known_not_live(4), 15);
    fleet.run_for(milliseconds(2'000));
    return {fleet.core(4).statistics().suspicions - before.suspicions,
            fleet.deaths_declared_by(4) - before.deaths};
}

/// Suspicions in 60 s while the way from node 1 to node 2 is cut in that direction.
std::uint64_t suspicions_with_one_way_cut(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    form(fleet);
    fleet.set_links([](std::size_t from, std::size_t to) { return !(from == 1 && to == 2); });
    fleet.run_for(milliseconds(60'000));
    return fleet.core(1).statistics().suspicions;
}

/// Random kills, restarts, pauses, cuts and losses for 60 s, then quiet.
bool settles_after_chaos(std::uint64_t seed) {
    swim_simulation_options options = fleet_of(12, seed);
    options.duplication = 0.05;
    swim_simulation fleet(options);
    form(fleet);
    for (int step = 0; step < 30; ++step) {
        const std::size_t index = fleet.random().below(fleet.size());
        const std::uint64_t kind = fleet.random().below(5);
        if (!fleet.running(index)) {
            fleet.restart(index);
        } else if (kind == 0) {
            fleet.kill(index);
        } else if (kind == 1) {
            fleet.pause(index, milliseconds(fleet.random().below(8'000)));
        } else if (kind == 2) {
            const std::size_t cut = 1 + fleet.random().below(fleet.size() - 1);
            fleet.set_links(
                [cut](std::size_t from, std::size_t to) { return (from < cut) == (to < cut); });
        } else if (kind == 3) {
            fleet.set_links(nullptr);
        } else {
            fleet.set_loss(0.2 * fleet.random().unit());
        }
        fleet.run_for(milliseconds(2'000));
    }
    fleet.set_links(nullptr);
    fleet.set_loss(0);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet.running(index)) {
            fleet.restart(index);
        }
    }
    return fleet.run_until([&] { return fleet.converged(); }, milliseconds(40'000));
}

}  // namespace

Test(swim_simulation, small_fleet_knows_of_a_death_within_two_and_a_half_seconds) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        swim_simulation fleet(fleet_of(8, seed));
        form(fleet);
        fleet.kill(seed % 8);
        cr_assert(all_know_gone(fleet, seed % 8, milliseconds(2'500)), "seed %lu", seed);
        cr_assert_eq(fleet.false_deaths(), 0, "seed %lu", seed);
    }
}

Test(swim_simulation, fleet_of_380_forms_and_knows_of_a_death_within_ten_seconds) {
    swim_simulation_options options = fleet_of(380);
    options.zones = 5;
    swim_simulation fleet(options);
    form(fleet);
    fleet.reset_traffic();
    fleet.kill(200);
    cr_assert(all_know_gone(fleet, 200, milliseconds(10'000)));
    cr_assert_eq(fleet.false_deaths(), 0);
    cr_assert_leq(fleet.largest_datagram(), 1400);
}

Test(swim_simulation, death_of_a_zone_is_known) {
    swim_simulation fleet(fleet_of(64));
    form(fleet);
    for (std::size_t index = 1; index < 64; index += 4) {
        fleet.kill(index);
    }
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, milliseconds(10'000)));
    cr_assert_eq(fleet.false_deaths(), 0);
}

Test(swim_simulation, loss_of_one_datagram_in_ten_kills_nobody) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        swim_simulation_options options = fleet_of(32, seed);
        options.loss = 0.1;
        swim_simulation fleet(options);
        form(fleet);
        fleet.run_for(milliseconds(120'000));
        cr_assert_eq(fleet.false_deaths(), 0, "seed %lu", seed);
    }
}

Test(swim_simulation, without_a_last_probe_a_lost_refutation_kills) {
    std::uint64_t deaths = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        swim_simulation_options options = fleet_of(32, seed);
        options.loss = 0.1;
        options.swim.faults.no_last_probe = true;
        swim_simulation fleet(options);
        form(fleet);
        fleet.run_for(milliseconds(120'000));
        deaths += fleet.false_deaths();
    }
    cr_assert_gt(deaths, 0, "the check must see the mechanism's absence");
}

Test(swim_simulation, without_refutation_loss_kills) {
    std::uint64_t deaths = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        swim_simulation_options options = fleet_of(32, seed);
        options.loss = 0.1;
        options.swim.faults.no_refutation = true;
        swim_simulation fleet(options);
        fleet.start_all();
        fleet.run_for(milliseconds(150'000));
        deaths += fleet.false_deaths();
    }
    cr_assert_gt(deaths, 0, "the check must see the mechanism's absence");
}

Test(swim_simulation, healed_partition_becomes_one_fleet_again) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        cr_assert(heals(fleet_of(16, seed)), "seed %lu", seed);
    }
    swim_simulation_options off = fleet_of(16);
    off.swim.faults.no_reconnect = true;
    cr_assert_not(heals(off), "the check must see the mechanism's absence");
}

Test(swim_simulation, woken_node_accuses_nobody_and_comes_back) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const woken_node woken = wake(fleet_of(16, seed));
        cr_assert_eq(woken.suspicions, 0, "seed %lu", seed);
        cr_assert_eq(woken.deaths, 0, "seed %lu", seed);
    }
    swim_simulation fleet(fleet_of(16));
    form(fleet);
    fleet.pause(4, milliseconds(10'000));
    fleet.run_for(milliseconds(10'000));
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, milliseconds(5'000)));
}

Test(swim_simulation, without_self_awareness_a_woken_node_accuses) {
    std::uint64_t suspicions = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        swim_simulation_options options = fleet_of(16, seed);
        options.swim.faults.no_self_awareness = true;
        suspicions += wake(options).suspicions;
    }
    cr_assert_gt(suspicions, 0, "the check must see the mechanism's absence");
}

Test(swim_simulation, one_way_cut_is_bridged_by_indirect_probes) {
    cr_assert_eq(suspicions_with_one_way_cut(fleet_of(8)), 0);
    swim_simulation_options off = fleet_of(8);
    off.swim.faults.no_indirect_probes = true;
    cr_assert_gt(suspicions_with_one_way_cut(off), 0, "the check must see the mechanism's absence");
}

Test(swim_simulation, leaving_node_is_known_to_have_left_not_died) {
    swim_simulation fleet(fleet_of(32));
    form(fleet);
    fleet.leave(9);
    cr_assert(fleet.run_until([&] { return fleet.leaves_finished() == 1; }, milliseconds(1'000)));
    cr_assert(all_know_gone(fleet, 9, milliseconds(1'500)));
    fleet.run_for(milliseconds(5'000));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.running(index)) {
            const auto seen = fleet.core(index).find(swim_simulation::name(9));
            cr_assert(seen && seen->state == membership::member_state::left);
        }
    }
}

Test(swim_simulation, configuration_versions_reach_all_and_restart_resets_them) {
    swim_simulation fleet(fleet_of(64));
    form(fleet);
    const auto everywhere = [&](std::uint64_t version) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.core(index).lowest_live_config_version().value() != version) {
                return false;
            }
        }
        return true;
    };
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.set_config_version(index, 7);
    }
    cr_assert(fleet.run_until([&] { return everywhere(7); }, milliseconds(20'000)));
    fleet.kill(5);
    fleet.restart(5);
    cr_assert(fleet.run_until([&] { return everywhere(0); }, milliseconds(20'000)),
              "a node that starts afresh must not be taken to hold its old version");
}

Test(swim_simulation, fleet_settles_after_random_failures) {
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        cr_assert(settles_after_chaos(seed), "seed %lu", seed);
    }
}
