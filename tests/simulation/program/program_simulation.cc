// Runs the simulation with a range of seeds: program_simulation FIRST [LAST]. It prints each
// violation with its seed. A run with the same seed is identical.
#include <cstdlib>
#include <iostream>
#include <string>

#include "program_world.h"

using namespace pearbarrow;

int main(int argc, char** argv) {
    const std::uint64_t first = argc > 1 ? std::stoull(argv[1]) : 1;
    const std::uint64_t last = argc > 2 ? std::stoull(argv[2]) : first;
    std::uint64_t failed = 0;
    std::uint64_t calls = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        simulation::program_world world({.seed = seed, .owner = {}});
        const simulation::run_history history = world.run();
        calls += history.calls.size();
        const auto violations = check(history);
        failed += violations.empty() ? 0 : 1;
        for (const simulation::violation& found : violations) {
            std::cout << "seed " << seed << " invariant " << found.invariant << ": " << found.what
                      << '\n';
        }
    }
    std::cout << "seeds " << last - first + 1 << " failed " << failed << " calls " << calls << '\n';
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
