/// Results of simulations as JSON, as a table, and as plots.
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/bench/simulate_run.h"

namespace pearbarrow::bench {

nlohmann::json to_json(const run_result& result);

/// One row of the table over many runs: mean and spread over seeds.
struct summary_row {
    std::string experiment;
    std::string policy;
    double load = 0;
    std::size_t seeds = 0;
    /// Name of a figure to its value in each seed.
    std::map<std::string, std::vector<double>> figures;
};

/// Groups runs (as written by `to_json`) by experiment, load and policy.
std::vector<summary_row> summarize_runs(const std::vector<nlohmann::json>& runs);

/// The table: a line for each row, means over seeds with the standard deviation for the figures
/// that issue and docs compare.
std::string to_table(const std::vector<summary_row>& rows);

/// Writes `<folder>/<experiment>.dat` and `<experiment>.gp` for gnuplot: latency and wasted cache
/// against load, one line a policy.
absl::Status write_plots(const std::vector<summary_row>& rows, const std::string& folder);

}  // namespace pearbarrow::bench
