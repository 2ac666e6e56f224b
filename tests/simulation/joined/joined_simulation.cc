// The fault simulation alone, without the other commands of pearbarrow-bench:
// joined_simulation --faults --seeds A..B [--trace].
#include <CLI/CLI.hpp>

#include "pearbarrow/bench/faults_commands.h"

int main(int argc, char** argv) {
    CLI::App app{"Whole histories under faults, in virtual time"};
    pearbarrow::bench::add_faults_options(app);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
