/// Simulations of whole fleets in virtual time: formation, failures, partitions, pauses and
/// restarts.
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

void start_and_converge(swim_simulation& fleet, milliseconds limit = milliseconds(30'000)) {
    fleet.start_all();
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, limit), "the fleet must converge");
    fleet.run_for(milliseconds(3'000));
}

bool death_is_known(swim_simulation& fleet, std::size_t index, milliseconds limit) {
    return fleet.run_until([&] { return fleet.count_not_live(index) == fleet.running_count(); },
                           limit);
}

/// Partitions a fleet into two halves for 20 s. Returns whether it converges within 30 s
/// afterwards.
bool converges_after_partition(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    start_and_converge(fleet);
    fleet.set_links([](std::size_t from, std::size_t to) { return from % 2 == to % 2; });
    fleet.run_for(milliseconds(20'000));
    cr_assert_not(fleet.converged());
    fleet.set_links(nullptr);
    return fleet.run_until([&] { return fleet.converged(); }, milliseconds(30'000));
}

/// Accusations by a node in the second after a pause of 10 s that interrupts its probes.
struct resumed_node {
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
};
resumed_node pause_and_resume(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    start_and_converge(fleet);
    const std::uint64_t probes = fleet.core(4).statistics().probes;
    while (fleet.core(4).statistics().probes == probes) {
        fleet.run_for(milliseconds(1));
    }
    const resumed_node before{fleet.core(4).statistics().suspicions, fleet.deaths_declared_by(4)};
    fleet.pause(4, milliseconds(10'000));
    fleet.run_for(milliseconds(9'000));
    cr_assert_eq(fleet.count_not_live(4), 15);
    fleet.run_for(milliseconds(2'000));
    return {fleet.core(4).statistics().suspicions - before.suspicions,
            fleet.deaths_declared_by(4) - before.deaths};
}

/// Returns the suspicions within 60 s while datagrams from node 1 to node 2 are lost.
std::uint64_t suspicions_with_one_way_cut(swim_simulation_options options) {
    swim_simulation fleet(std::move(options));
    start_and_converge(fleet);
    fleet.set_links([](std::size_t from, std::size_t to) { return !(from == 1 && to == 2); });
    fleet.run_for(milliseconds(60'000));
    return fleet.core(1).statistics().suspicions;
}

/// Injects random kills, restarts, pauses, partitions and losses for 60 s, then waits for the fleet
/// to converge.
bool converges_after_random_failures(std::uint64_t seed) {
    swim_simulation_options options = fleet_of(12, seed);
    options.duplication = 0.05;
    swim_simulation fleet(options);
    start_and_converge(fleet);
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

Test(swim_simulation, small_fleet_detects_death_within_2500_ms) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        swim_simulation fleet(fleet_of(8, seed));
        start_and_converge(fleet);
        fleet.kill(seed % 8);
        cr_assert(death_is_known(fleet, seed % 8, milliseconds(2'500)), "seed %lu", seed);
        cr_assert_eq(fleet.false_deaths(), 0, "seed %lu", seed);
    }
}

Test(swim_simulation, fleet_of_380_converges_and_detects_death_within_10_s) {
    swim_simulation_options options = fleet_of(380);
    options.zones = 5;
    swim_simulation fleet(options);
    start_and_converge(fleet);
    fleet.reset_traffic();
    fleet.kill(200);
    cr_assert(death_is_known(fleet, 200, milliseconds(10'000)));
    cr_assert_eq(fleet.false_deaths(), 0);
    cr_assert_leq(fleet.largest_datagram(), 1400);
}

Test(swim_simulation, death_of_a_zone_is_detected) {
    swim_simulation fleet(fleet_of(64));
    start_and_converge(fleet);
    for (std::size_t index = 1; index < 64; index += 4) {
        fleet.kill(index);
    }
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, milliseconds(10'000)));
    cr_assert_eq(fleet.false_deaths(), 0);
}

Test(swim_simulation, loss_of_10_percent_declares_no_node_dead) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        swim_simulation_options options = fleet_of(32, seed);
        options.loss = 0.1;
        swim_simulation fleet(options);
        start_and_converge(fleet);
        fleet.run_for(milliseconds(120'000));
        cr_assert_eq(fleet.false_deaths(), 0, "seed %lu", seed);
    }
}

Test(swim_simulation, lost_refutation_is_fatal_without_last_probe) {
    std::uint64_t deaths = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        swim_simulation_options options = fleet_of(32, seed);
        options.loss = 0.1;
        options.swim.faults.no_last_probe = true;
        swim_simulation fleet(options);
        start_and_converge(fleet);
        fleet.run_for(milliseconds(120'000));
        deaths += fleet.false_deaths();
    }
    cr_assert_gt(deaths, 0, "the check must detect the missing mechanism");
}

Test(swim_simulation, loss_is_fatal_without_refutation) {
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
    cr_assert_gt(deaths, 0, "the check must detect the missing mechanism");
}

Test(swim_simulation, healed_partition_converges) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        cr_assert(converges_after_partition(fleet_of(16, seed)), "seed %lu", seed);
    }
    swim_simulation_options without_mechanism = fleet_of(16);
    without_mechanism.swim.faults.no_reconnect = true;
    cr_assert_not(converges_after_partition(without_mechanism),
                  "the check must detect the missing mechanism");
}

Test(swim_simulation, resumed_node_accuses_no_node_and_converges) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const resumed_node resumed = pause_and_resume(fleet_of(16, seed));
        cr_assert_eq(resumed.suspicions, 0, "seed %lu", seed);
        cr_assert_eq(resumed.deaths, 0, "seed %lu", seed);
    }
    swim_simulation fleet(fleet_of(16));
    start_and_converge(fleet);
    fleet.pause(4, milliseconds(10'000));
    fleet.run_for(milliseconds(10'000));
    cr_assert(fleet.run_until([&] { return fleet.converged(); }, milliseconds(5'000)));
}

Test(swim_simulation, resumed_node_accuses_without_self_awareness) {
    std::uint64_t suspicions = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        swim_simulation_options options = fleet_of(16, seed);
        options.swim.faults.no_self_awareness = true;
        suspicions += pause_and_resume(options).suspicions;
    }
    cr_assert_gt(suspicions, 0, "the check must detect the missing mechanism");
}

Test(swim_simulation, indirect_probes_bridge_one_way_partition) {
    cr_assert_eq(suspicions_with_one_way_cut(fleet_of(8)), 0);
    swim_simulation_options without_mechanism = fleet_of(8);
    without_mechanism.swim.faults.no_indirect_probes = true;
    cr_assert_gt(suspicions_with_one_way_cut(without_mechanism), 0,
                 "the check must detect the missing mechanism");
}

Test(swim_simulation, leaving_node_is_reported_as_left) {
    swim_simulation fleet(fleet_of(32));
    start_and_converge(fleet);
    fleet.leave(9);
    cr_assert(fleet.run_until([&] { return fleet.leaves_finished() == 1; }, milliseconds(1'000)));
    cr_assert(death_is_known(fleet, 9, milliseconds(1'500)));
    fleet.run_for(milliseconds(5'000));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.running(index)) {
            const auto seen = fleet.core(index).find(swim_simulation::name(9));
            cr_assert(seen && seen->state == membership::member_state::left);
        }
    }
}

Test(swim_simulation, configuration_versions_are_propagated_and_reset_by_restart) {
    swim_simulation fleet(fleet_of(64));
    start_and_converge(fleet);
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
              "a restarted node must not be credited with its old version");
}

Test(swim_simulation, fleet_converges_after_random_failures) {
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        cr_assert(converges_after_random_failures(seed), "seed %lu", seed);
    }
}
