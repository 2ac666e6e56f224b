/// `pearbarrow-bench simulate --faults`: seeds of the fault simulation.
#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace pearbarrow::bench {

/// Adds `--faults`, `--seeds A..B`, `--trace` and `--programs` to the command `simulate`. With
/// `--faults` the command runs the seeds, prints each violation with the command that replays it
/// and a summary, and exits 1 on any violation; nothing else of the command runs then.
void add_faults_options(CLI::App& simulate_command);

}  // namespace pearbarrow::bench
