/// Prints the cost and the speed of membership in virtual time for several fleet sizes.
///
/// Usage: membership_figures [seed] [nodes...]. Bytes include 28 bytes of IP and UDP headers per
/// datagram. Processor time is the total of the cores and the simulated network.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "swim_simulation.h"

namespace {

using pearbarrow::base::milliseconds;
using pearbarrow::simulation::swim_simulation;
using pearbarrow::simulation::swim_simulation_options;

constexpr double seconds_per_step = 20;
constexpr int kills = 10;

double seconds_between(pearbarrow::base::instant from, pearbarrow::base::instant to) {
    return std::chrono::duration<double>(to - from).count();
}

/// Returns the time until every other node considers `index` not live.
double detection(swim_simulation& fleet, std::size_t index) {
    const auto start = fleet.now();
    fleet.kill(index);
    const auto all_know = [&] { return fleet.count_not_live(index) == fleet.running_count(); };
    return fleet.run_until(all_know, milliseconds(60'000)) ? seconds_between(start, fleet.now())
                                                           : -1;
}

double until_converged(swim_simulation& fleet) {
    const auto start = fleet.now();
    const bool done = fleet.run_until([&] { return fleet.converged(); }, milliseconds(120'000));
    return done ? seconds_between(start, fleet.now()) : -1;
}

struct rates {
    double bytes_per_second = 0;
    double max_bytes_per_second = 0;
    double processor_milliseconds_per_second = 0;
};

rates measure(swim_simulation& fleet, double duration) {
    fleet.reset_traffic();
    const std::clock_t before = std::clock();
    fleet.run_for(milliseconds(static_cast<std::int64_t>(duration * 1000)));
    const double processor = 1000.0 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    const double nodes = static_cast<double>(fleet.running_count());
    rates result;
    result.bytes_per_second = static_cast<double>(fleet.bytes_sent()) / nodes / duration;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        result.max_bytes_per_second =
            std::max(result.max_bytes_per_second,
                     static_cast<double>(fleet.bytes_sent_by(index)) / duration);
    }
    result.processor_milliseconds_per_second = processor / nodes / duration;
    return result;
}

/// Makes all nodes report a new configuration version and returns the time until all nodes know it.
double report_time(swim_simulation& fleet, std::uint64_t version) {
    const auto start = fleet.now();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.running(index)) {
            fleet.set_config_version(index, version);
        }
    }
    const auto all_know = [&] {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.running(index) &&
                fleet.core(index).lowest_live_config_version().value() < version) {
                return false;
            }
        }
        return true;
    };
    return fleet.run_until(all_know, milliseconds(60'000)) ? seconds_between(start, fleet.now())
                                                           : -1;
}

void print_rates(const char* what, const rates& value) {
    std::printf("  %-34s %8.0f B/s a node (most %.0f), processor %.3f ms/s a node\n", what,
                value.bytes_per_second, value.max_bytes_per_second,
                value.processor_milliseconds_per_second);
}

void print_figures(std::size_t nodes, std::uint64_t seed) {
    swim_simulation_options options;
    options.nodes = nodes;
    options.zones = 5;
    options.regions = nodes > 100 ? 2 : 1;
    options.seed = seed;
    swim_simulation fleet(options);
    std::printf("%zu nodes, seed %lu\n", nodes, static_cast<unsigned long>(seed));
    fleet.start_all();
    std::printf("  all start at once: converged after %.2f s\n", until_converged(fleet));
    fleet.run_for(milliseconds(30'000));
    print_rates("quiet", measure(fleet, seconds_per_step));

    std::vector<double> times;
    for (int kill = 0; kill < kills; ++kill) {
        const std::size_t index = (static_cast<std::size_t>(kill) * 7 + 3) % nodes;
        times.push_back(detection(fleet, index));
        fleet.restart(index);
        until_converged(fleet);
        fleet.run_for(milliseconds(5'000));
    }
    std::sort(times.begin(), times.end());
    std::printf("  a killed node is known everywhere: median %.2f s, most %.2f s of %d\n",
                times[times.size() / 2], times.back(), kills);

    fleet.reset_traffic();
    const auto change_started = fleet.now();
    const double reported = report_time(fleet, 1);
    std::printf("  every node's report of a new configuration is everywhere after %.2f s\n",
                reported);
    const double rest = seconds_per_step - seconds_between(change_started, fleet.now());
    fleet.run_for(milliseconds(static_cast<std::int64_t>(std::max(0.0, rest) * 1000)));
    std::printf("  with one change in %.0f s           %8.0f B/s a node\n",
                seconds_between(change_started, fleet.now()),
                static_cast<double>(fleet.bytes_sent()) / static_cast<double>(nodes) /
                    seconds_between(change_started, fleet.now()));

    fleet.set_links([](std::size_t from, std::size_t to) { return from % 2 == to % 2; });
    fleet.run_for(milliseconds(60'000));
    fleet.set_links(nullptr);
    const auto before = fleet.false_deaths();
    fleet.reset_traffic();
    const auto healed = fleet.now();
    const double heal = until_converged(fleet);
    std::printf(
        "  halves cut for 60 s: converged %.2f s after the cut, %.0f B/s a node then, "
        "%lu false deaths\n",
        heal,
        static_cast<double>(fleet.bytes_sent()) / static_cast<double>(nodes) /
            std::max(0.1, seconds_between(healed, fleet.now())),
        static_cast<unsigned long>(fleet.false_deaths() - before));
    std::printf("  largest datagram %lu bytes\n",
                static_cast<unsigned long>(fleet.largest_datagram()));
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    std::vector<std::size_t> sizes;
    for (int index = 2; index < argc; ++index) {
        sizes.push_back(std::stoul(argv[index]));
    }
    if (sizes.empty()) {
        sizes = {8, 64, 190, 380};
    }
    for (const std::size_t nodes : sizes) {
        print_figures(nodes, seed);
    }
    return 0;
}
