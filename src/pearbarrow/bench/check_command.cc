#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "pearbarrow/bench/checker.h"
#include "pearbarrow/bench/commands.h"

namespace pearbarrow::bench {
namespace {

constexpr std::size_t most_violations_shown = 20;
constexpr int exit_violation = 1;
constexpr int exit_unreadable = 2;

struct check_flags {
    std::vector<std::string> files;
    check_options options;
    bool as_json = false;
};

void print_table(const check_report& report) {
    fmt::print("{:>2}  {:<40} {:>10} {:>10}\n", "#", "invariant", "operations", "violations");
    for (int number = 1; number <= invariant_count; ++number) {
        const auto which = static_cast<invariant>(number);
        fmt::print("{:>2}  {:<40} {:>10} {:>10}\n", number, to_string(which),
                   report.operations_of(which), report.violations_of(which));
    }
    for (std::size_t index = 0; index < report.violations.size() && index < most_violations_shown;
         ++index) {
        const auto& found = report.violations[index];
        fmt::print("violation of {}: program {} call {}: {}\n", to_string(found.broken),
                   found.program.value(), found.call.value(), found.detail);
    }
}

void print_json(const check_report& report) {
    nlohmann::json rows = nlohmann::json::array();
    for (int number = 1; number <= invariant_count; ++number) {
        const auto which = static_cast<invariant>(number);
        rows.push_back({{"number", number},
                        {"invariant", to_string(which)},
                        {"operations", report.operations_of(which)},
                        {"violations", report.violations_of(which)}});
    }
    nlohmann::json details = nlohmann::json::array();
    for (const auto& found : report.violations) {
        details.push_back({{"number", static_cast<int>(found.broken)},
                           {"program", found.program.value()},
                           {"call", found.call.value()},
                           {"detail", found.detail}});
    }
    fmt::print("{}\n", nlohmann::json{{"invariants", rows}, {"violations", details}}.dump(2));
}

void run(const check_flags& flags) {
    history run_history;
    for (const auto& file : flags.files) {
        const absl::Status status = read_history(file, run_history);
        if (!status.ok()) {
            fmt::print(stderr, "pearbarrow-bench check: {}: {}\n", file, status.ToString());
            std::exit(exit_unreadable);
        }
    }
    const check_report report = check_history(run_history, flags.options);
    flags.as_json ? print_json(report) : print_table(report);
    if (!report.violations.empty()) {
        std::exit(exit_violation);
    }
}

}  // namespace

void add_check_command(CLI::App& app) {
    auto flags = std::make_shared<check_flags>();
    auto* command = app.add_subcommand("check", "Check the histories of a run");
    command->add_option("files", flags->files, "History files (JSON lines)")->required();
    command->add_option("--leaving-bound-us", flags->options.leaving_bound_us,
                        "How long a leaving back end may still get new work");
    command->add_flag("--planned-stops-only", flags->options.planned_stops_only,
                      "Nothing but planned stops happened: no request may be cut off");
    command->add_flag("--json", flags->as_json, "Print JSON instead of a table");
    command->callback([flags] { run(*flags); });
}

}  // namespace pearbarrow::bench
