#include "pearbarrow/bench/simulate_commands.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "pearbarrow/bench/simulate_capacity.h"
#include "pearbarrow/bench/simulate_output.h"
#include "pearbarrow/bench/simulate_run.h"

namespace pearbarrow::bench {
namespace {

constexpr int bad_input = 2;

[[noreturn]] void stop(const absl::Status& status) {
    std::cerr << status.message() << "\n";
    std::exit(bad_input);
}

struct simulate_flags {
    std::string experiment;
    std::vector<std::string> policies{"pearbarrow"};
    std::vector<double> loads{0.8};
    std::vector<std::uint64_t> seeds{1};
    bool json = false;
    bool find_capacity = false;
    bool baselines_release = false;
    /// Override the experiment's rhythm of arrivals where set.
    std::optional<double> burst_factor;
    std::optional<double> burst_part;
    std::optional<double> burst_period_seconds;
    policy_options options;
    std::uint32_t starvation_ms = 0;
    std::uint32_t affinity_wait_ms = 0;
    bool no_affinity = false;
    bool retention = false;
    bool working_set = false;
    std::uint32_t working_set_pause_ms = 0;
    bool no_fairness = false;
};

const std::map<std::string, placement::queue_order>& order_names() {
    static const std::map<std::string, placement::queue_order> names = {
        {"arrival", placement::queue_order::arrival},
        {"program_start", placement::queue_order::program_start},
        {"least_attained", placement::queue_order::least_attained},
        {"shortest_remaining", placement::queue_order::shortest_remaining},
        {"stretch", placement::queue_order::stretch},
    };
    return names;
}

void add_policy_flags(CLI::App& command, simulate_flags& flags) {
    const std::string group = "Variations of policy pearbarrow";
    placement::cell_options& cell = flags.options.cell;
    command.add_option("--order", cell.order, "Order of the queue")
        ->transform(CLI::CheckedTransformer(order_names()))
        ->group(group);
    command.add_option("--stretch-factor", cell.stretch_factor)->group(group);
    command.add_option("--least-return-rate", cell.least_return_rate)->group(group);
    command.add_option("--starvation-ms", flags.starvation_ms)->group(group);
    command.add_option("--affinity-wait-ms", flags.affinity_wait_ms)->group(group);
    command.add_option("--memory-part", flags.options.memory_part)->group(group);
    command.add_option("--in-flight-limit", flags.options.in_flight_limit)->group(group);
    command.add_option("--cell-size", flags.options.cell_size)->group(group);
    command.add_option("--engine-priorities", flags.options.engine_priorities)->group(group);
    command.add_option("--give-back", flags.options.give_back)->group(group);
    command.add_flag("--no-affinity", flags.no_affinity)->group(group);
    command.add_flag("--retention", flags.retention)->group(group);
    command.add_flag("--working-set", flags.working_set)->group(group);
    command.add_option("--working-set-part", cell.working_set_part)->group(group);
    command.add_option("--working-set-pause-ms", flags.working_set_pause_ms)->group(group);
    command.add_flag("--no-fairness", flags.no_fairness)->group(group);
}

void apply_flags(simulate_flags& flags) {
    placement::cell_options& cell = flags.options.cell;
    cell.prefix_affinity = !flags.no_affinity;
    cell.retention = flags.retention;
    cell.working_set_limit = flags.working_set;
    if (flags.working_set_pause_ms > 0) {
        cell.working_set_pause = base::milliseconds(flags.working_set_pause_ms);
    }
    cell.tenant_fairness = !flags.no_fairness;
    if (flags.starvation_ms > 0) {
        cell.starvation_bound = base::milliseconds(flags.starvation_ms);
    }
    if (flags.affinity_wait_ms > 0) {
        cell.affinity_wait = base::milliseconds(flags.affinity_wait_ms);
    }
}

void apply_overrides(const simulate_flags& flags, experiment& setup) {
    setup.baselines_release = setup.baselines_release || flags.baselines_release;
    setup.burst_factor = flags.burst_factor.value_or(setup.burst_factor);
    setup.burst_part = flags.burst_part.value_or(setup.burst_part);
    setup.burst_period_seconds = flags.burst_period_seconds.value_or(setup.burst_period_seconds);
    if (setup.burst_factor <= 0 || setup.burst_part <= 0 || setup.burst_period_seconds <= 0 ||
        setup.burst_factor * setup.burst_part > 1) {
        std::cerr << "bursts: positive, and factor times part at most 1\n";
        std::exit(bad_input);
    }
}

void simulate(simulate_flags flags) {
    auto setup = read_experiment(flags.experiment);
    if (!setup.ok()) {
        stop(setup.status());
    }
    apply_overrides(flags, *setup);
    apply_flags(flags);
    if (flags.find_capacity) {
        std::cout << find_capacity(*setup, flags.seeds) << "\n";
        return;
    }
    std::vector<nlohmann::json> runs;
    for (const double load : flags.loads) {
        for (const std::string& policy : flags.policies) {
            for (const std::uint64_t seed : flags.seeds) {
                const auto result = run_simulation(*setup, policy, flags.options, load, seed);
                if (!result.ok()) {
                    stop(result.status());
                }
                runs.push_back(to_json(*result));
                if (flags.json) {
                    std::cout << runs.back().dump() << std::endl;
                }
            }
        }
    }
    if (!flags.json) {
        std::cout << to_table(summarize_runs(runs));
    }
}

void report(const std::vector<std::string>& files, const std::string& plots) {
    std::vector<nlohmann::json> runs;
    for (const std::string& file : files) {
        std::ifstream input(file);
        std::string line;
        while (std::getline(input, line)) {
            auto run = nlohmann::json::parse(line, nullptr, false);
            if (run.is_discarded() || !run.contains("experiment")) {
                std::cerr << file << ": not a line of results\n";
                std::exit(bad_input);
            }
            runs.push_back(std::move(run));
        }
    }
    const std::vector<summary_row> rows = summarize_runs(runs);
    std::cout << to_table(rows);
    if (plots.empty()) {
        return;
    }
    if (const absl::Status status = write_plots(rows, plots); !status.ok()) {
        stop(status);
    }
}

}  // namespace

void add_simulate_command(CLI::App& app) {
    auto flags = std::make_shared<simulate_flags>();
    CLI::App* command = app.add_subcommand("simulate", "Scheduling experiments in virtual time");
    command->add_option("--experiment", flags->experiment, "TOML file")->required();
    command
        ->add_option("--policy", flags->policies,
                     "round_robin, least_loaded, prefix_affinity, pearbarrow")
        ->delimiter(',');
    command->add_option("--load", flags->loads, "Part of the experiment's capacity")
        ->delimiter(',');
    command->add_option("--seed", flags->seeds, "Seeds of the workload")->delimiter(',');
    command->add_flag("--json", flags->json, "One JSON line a run instead of the table");
    command->add_flag("--find-capacity", flags->find_capacity,
                      "Print the programs a second that least_loaded sustains");
    command->add_flag("--baselines-release", flags->baselines_release,
                      "Baselines, too, give back the prefix of an ended program");
    command->add_option("--burst-factor", flags->burst_factor, "In place of the experiment's own");
    command->add_option("--burst-part", flags->burst_part, "In place of the experiment's own");
    command->add_option("--burst-period-seconds", flags->burst_period_seconds,
                        "In place of the experiment's own");
    command->add_option("--balance-difference", flags->options.balance_difference,
                        "prefix_affinity: calls by which engines may differ");
    add_policy_flags(*command, *flags);
    command->callback([flags] { simulate(*flags); });
}

void add_report_command(CLI::App& app) {
    auto files = std::make_shared<std::vector<std::string>>();
    auto plots = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("report", "Table and plots of simulated runs");
    command->add_option("files", *files, "Files of JSON lines")->required();
    command->add_option("--plots", *plots, "Folder for gnuplot files");
    command->callback([files, plots] { report(*files, *plots); });
}

}  // namespace pearbarrow::bench
