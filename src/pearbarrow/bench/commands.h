/// Subcommands of `pearbarrow-bench` that work on real processes and their histories.
#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace pearbarrow::bench {

/// Adds `load`: drives programs against running nodes and prints a summary as JSON.
void add_load_command(CLI::App& app);

/// Adds `check`: reads history files and prints a row for each invariant; the process exits 1 on
/// any violation, 2 on an unreadable history.
void add_check_command(CLI::App& app);

}  // namespace pearbarrow::bench
