#include "pearbarrow/bench/faults_commands.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench {

namespace {

constexpr int bad_input = 2;

struct faults_flags {
    bool enabled = false;
    std::string seeds = "1..100";
    bool trace = false;
    std::uint64_t programs = 5;
};

struct seed_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

std::optional<std::uint64_t> to_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

/// `A..B`, or one number.
std::optional<seed_range> to_range(std::string_view text) {
    const std::size_t dots = text.find("..");
    const auto first = to_number(text.substr(0, dots));
    const auto last = dots == std::string_view::npos ? first : to_number(text.substr(dots + 2));
    if (!first || !last || *last < *first) {
        return std::nullopt;
    }
    return seed_range{*first, *last};
}

/// Sums over the seeds.
struct summary {
    std::uint64_t seeds = 0;
    std::uint64_t failed = 0;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t runs = 0;
    std::map<std::string, std::uint64_t> injected;
    std::map<std::string, std::uint64_t> errors;

    void add(const faults::fault_result& result) {
        ++seeds;
        failed += result.findings.empty() ? 0 : 1;
        calls += result.calls;
        answered += result.answered;
        runs += result.model_runs + result.tool_runs;
        for (const auto& [kind, count] : result.injected) {
            injected[kind] += count;
        }
        for (const auto& [reason, count] : result.errors) {
            errors[reason] += count;
        }
    }
};

void print_counts(std::string_view title, const std::map<std::string, std::uint64_t>& counts) {
    std::cout << title << ':';
    std::string_view separator = " ";
    for (const auto& [name, count] : counts) {
        std::cout << separator << name << ' ' << count;
        separator = ", ";
    }
    std::cout << '\n';
}

void print(const summary& sums, double seconds) {
    constexpr double seconds_a_minute = 60;
    const double rate =
        seconds > 0 ? static_cast<double>(sums.seeds) * seconds_a_minute / seconds : 0;
    std::cout << fmt::format("seeds {}, failed {}, {:.1f} s, {:.0f} seeds a minute\n", sums.seeds,
                             sums.failed, seconds, rate);
    std::cout << fmt::format("calls {}, answered {}, runs at back ends {}\n", sums.calls,
                             sums.answered, sums.runs);
    print_counts("faults injected", sums.injected);
    print_counts("final errors", sums.errors);
}

int run_seeds(const faults_flags& flags, const seed_range& range) {
    const base::system_clock_source clock;
    const base::instant started = clock.now();
    summary sums;
    for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
        faults::fault_options options;
        options.seed = seed;
        options.programs = flags.programs;
        options.trace = flags.trace;
        const faults::fault_result result = run_faults(options);
        sums.add(result);
        for (const faults::finding& found : result.findings) {
            std::cout << fmt::format("seed {}: invariant {}: {}\n", seed, found.invariant,
                                     found.what);
        }
        if (!result.findings.empty()) {
            std::cout << fmt::format(
                "replay: pearbarrow-bench simulate --faults --seeds {0}..{0} --programs {1} "
                "--trace\n",
                seed, flags.programs);
        }
    }
    const std::chrono::duration<double> took = clock.now() - started;
    print(sums, took.count());
    return sums.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

void add_faults_options(CLI::App& simulate_command) {
    const std::string group = "Fault simulation";
    const auto flags = std::make_shared<faults_flags>();
    CLI::Option* experiment = simulate_command.get_option_no_throw("--experiment");
    const auto enable = [flags, experiment] {
        flags->enabled = true;
        if (experiment != nullptr) {
            experiment->required(false);
        }
    };
    simulate_command.add_flag_callback("--faults", enable, "Whole histories under faults, checked")
        ->group(group);
    simulate_command.add_option("--seeds", flags->seeds, "Range of seeds, A..B")->group(group);
    simulate_command.add_flag("--trace", flags->trace, "Print every step")->group(group);
    simulate_command.add_option("--programs", flags->programs, "Programs in a history")
        ->group(group);
    simulate_command.parse_complete_callback([flags] {
        if (!flags->enabled) {
            return;
        }
        const auto range = to_range(flags->seeds);
        if (!range) {
            std::cerr << "--seeds: not a range A..B: " << flags->seeds << '\n';
            std::exit(bad_input);
        }
        std::exit(run_seeds(*flags, *range));
    });
}

}  // namespace pearbarrow::bench
