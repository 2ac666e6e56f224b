/// pearbarrow-bench: load, experiments and proof.
#include <CLI/CLI.hpp>

#include "pearbarrow/bench/commands.h"
#include "pearbarrow/bench/faults_commands.h"
#include "pearbarrow/bench/simulate_commands.h"

int main(int argc, char** argv) {
    CLI::App app{"Load on real nodes, history checks and scheduling experiments"};
    app.require_subcommand(1);
    pearbarrow::bench::add_simulate_command(app);
    pearbarrow::bench::add_faults_options(*app.get_subcommand("simulate"));
    pearbarrow::bench::add_report_command(app);
    pearbarrow::bench::add_decisions_command(app);
    pearbarrow::bench::add_load_command(app);
    pearbarrow::bench::add_check_command(app);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
