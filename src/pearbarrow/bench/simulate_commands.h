/// Subcommands of `pearbarrow-bench` that run the scheduling simulator.
#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace pearbarrow::bench {

/// Adds `simulate`: experiments in virtual time, for one or more policies, loads and seeds.
/// Prints one JSON line a run (--json) or a table; the process exits 2 on a bad experiment.
void add_simulate_command(CLI::App& app);

/// Adds `report`: reads JSON lines of runs, prints the table and writes gnuplot files.
void add_report_command(CLI::App& app);

/// Adds `decisions`: cost of one decision against queue length (10 to 10,000) and engines (1 to
/// 16), a JSON line each.
void add_decisions_command(CLI::App& app);

}  // namespace pearbarrow::bench
