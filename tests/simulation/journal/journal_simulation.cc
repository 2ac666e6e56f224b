/// journal_simulation --seeds A..B [--trace] [--without MECHANISM]: runs the journal's simulation
/// for each seed. Exits with 1 when an invariant was violated; prints the seeds.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "journal_world.h"

namespace {

using pearbarrow::simulation::journal_world_options;
using pearbarrow::simulation::journal_world_result;

void add(journal_world_result& total, const journal_world_result& one) {
    total.operations += one.operations;
    total.records += one.records;
    total.reigns += one.reigns;
    total.crashes += one.crashes;
    total.disk_losses += one.disk_losses;
    total.partitions += one.partitions;
    total.pauses += one.pauses;
    total.set_changes += one.set_changes;
    total.snapshots += one.snapshots;
    total.catch_ups += one.catch_ups;
}

void report(const journal_world_result& total, unsigned long long seeds, double took) {
    std::printf(
        "seeds %llu in %.1f s (%.0f a minute); operations checked %zu, records %zu, reigns %zu, "
        "snapshots %zu, set changes %zu; faults: crashes %zu, disk losses %zu, partitions %zu, "
        "pauses %zu\n",
        seeds, took, 60.0 * static_cast<double>(seeds) / took, total.operations, total.records,
        total.reigns, total.snapshots, total.set_changes, total.crashes, total.disk_losses,
        total.partitions, total.pauses);
}

}  // namespace

int main(int argc, char** argv) {
    unsigned long long first = 1;
    unsigned long long last = 100;
    journal_world_options options;
    for (int at = 1; at < argc; ++at) {
        if (std::strcmp(argv[at], "--trace") == 0) {
            options.trace = true;
        } else if (std::strcmp(argv[at], "--without") == 0 && at + 1 < argc &&
                   pearbarrow::simulation::switch_off(options, argv[at + 1])) {
            ++at;
        } else if (std::strcmp(argv[at], "--seeds") == 0 && at + 1 < argc) {
            char* end = nullptr;
            first = std::strtoull(argv[++at], &end, 10);
            last = std::strncmp(end, "..", 2) == 0 ? std::strtoull(end + 2, nullptr, 10) : first;
        } else {
            std::fprintf(
                stderr,
                "usage: journal_simulation [--seeds A..B] [--trace] [--without MECHANISM]\n");
            return 2;
        }
    }
    const auto began = std::chrono::steady_clock::now();
    journal_world_result total;
    unsigned long long failed = 0;
    for (auto seed = first; seed <= last; ++seed) {
        options.seed = seed;
        const auto result = pearbarrow::simulation::run_journal_world(options);
        add(total, result);
        if (!result.violations.empty() || !result.stalls.empty()) {
            ++failed;
            const auto& why = result.violations.empty() ? result.stalls : result.violations;
            std::printf("seed %llu: %s\n", seed, why.front().c_str());
        }
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    report(total, last - first + 1, took.count());
    std::printf("seeds with a violation: %llu\n", failed);
    return failed == 0 ? 0 : 1;
}
