#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/simulate_cache.h"
#include "pearbarrow/bench/simulate_engine.h"
#include "pearbarrow/bench/simulate_run.h"

#include <criterion/criterion.h>

namespace pearbarrow::bench {
namespace {

experiment small_experiment() {
    experiment setup;
    setup.name = "small";
    setup.duration_seconds = 300;
    setup.warm_up_seconds = 30;
    class_spec spec;
    spec.name = "agent";
    spec.share = 1;
    spec.tenants = 4;
    spec.system_tokens = 500;
    spec.document_tokens = 1000;
    spec.first_input = {200, 0.5, 10, 1000};
    spec.output = {100, 0.5, 5, 400};
    spec.calls = {4, 0.5, 1, 10};
    spec.tool_probability = 0.7;
    spec.tool_result = {300, 0.5, 10, 1000};
    spec.tool_seconds = {1, 1, 0.1, 10};
    spec.turn_input = {50, 0.5, 5, 200};
    spec.think_seconds = {3, 0.5, 1, 10};
    spec.sub_programs = {"helper", 0.1, {2, 0, 1, 2}};
    class_spec helper = spec;
    helper.name = "helper";
    helper.share = 0;
    helper.sub_programs = {};
    setup.classes = {spec, helper};
    setup.engines.assign(3, engine_spec{});
    return setup;
}

Test(simulate, every_program_ends_under_every_policy) {
    for (const char* policy : {"round_robin", "least_loaded", "prefix_affinity", "pearbarrow"}) {
        const auto result = run_simulation(small_experiment(), policy, {}, 1, 5);
        cr_assert(result.ok());
        cr_assert_eq(result->unfinished, 0, "%s", policy);
        cr_assert_eq(result->refused_calls, 0);
        cr_assert(result->overall.program_latency.count > 100);
    }
}

Test(simulate, the_same_seed_gives_the_same_run) {
    const auto first = run_simulation(small_experiment(), "pearbarrow", {}, 2, 9);
    const auto second = run_simulation(small_experiment(), "pearbarrow", {}, 2, 9);
    const auto other = run_simulation(small_experiment(), "pearbarrow", {}, 2, 10);
    cr_assert_eq(first->overall.program_latency.mean, second->overall.program_latency.mean);
    cr_assert_neq(first->overall.program_latency.mean, other->overall.program_latency.mean);
}

Test(simulate, programs_do_not_depend_on_the_policy) {
    const auto first = draw_workload(small_experiment(), 1, 3);
    const auto second = draw_workload(small_experiment(), 1, 3);
    cr_assert_eq(first.programs.size(), second.programs.size());
    cr_assert_eq(first.programs.back().calls.size(), second.programs.back().calls.size());
}

Test(simulate, calls_lost_by_a_restart_run_again) {
    experiment setup = small_experiment();
    setup.faults = {{.at_seconds = 60, .engine = 0, .restart = true},
                    {.at_seconds = 100, .engine = 1, .slowness = 20}};
    const auto result = run_simulation(setup, "pearbarrow", {}, 2, 4);
    cr_assert_eq(result->unfinished, 0);
}

/// Far beyond capacity, with little memory: calls wait in the dispatcher's queue when programs end.
Test(simulate, no_call_is_lost_when_a_queue_has_formed) {
    experiment setup = small_experiment();
    for (engine_spec& engine : setup.engines) {
        engine.cache_tokens = 16'000;
    }
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto result = run_simulation(setup, "pearbarrow", {}, 3, seed);
        cr_assert_gt(result->calls, 0);
        cr_assert_eq(result->unfinished, 0, "seed %lu: %lu programs never ended", seed,
                     result->unfinished);
    }
}

Test(simulate, unknown_policies_and_bad_experiments_are_refused) {
    cr_assert(!run_simulation(small_experiment(), "magic", {}, 1, 1).ok());
    const std::filesystem::path path = std::filesystem::temp_directory_path() /
                                       fmt::format("bad_experiment_test_{}.toml", getpid());
    std::ofstream(path) << "name = 'x'\ncapacty = 3\n";
    const auto read = read_experiment(path.string());
    std::filesystem::remove(path);
    cr_assert(!read.ok());
    cr_assert(read.status().message().find("capacty is not known") != std::string::npos);
}

Test(prefix_cache, keeps_within_memory_and_shares_prefixes) {
    prefix_cache cache(1000, 16, 0.8);
    const std::vector<prefix_part> first{{100, 400}, {1, 200}};
    const std::vector<prefix_part> second{{100, 400}, {2, 200}};
    cr_assert(cache.acquire(first, 0));
    cr_assert_eq(cache.match(second), 0, "not computed yet");
    cache.set_computed(first, 600);
    cr_assert_eq(cache.match(second), 400);
    cr_assert(cache.acquire(second, 0));
    cr_assert_eq(cache.used(), 800);
    cr_assert(!cache.acquire({{3, 400}}, 0), "no room beside what runs");
    cache.set_computed(second, 600);
    cache.release(first, 10);
    cache.release(second, 20);
    cr_assert(cache.acquire({{3, 400}}, 1'000'030));
    cr_assert_leq(cache.used(), 1000);
    cr_assert_eq(cache.match(second), 600, "the least recently used goes first");
    cr_assert_eq(cache.match(first), 400);
    cr_assert_float_eq(cache.idle().evicted, 200, 1);
}

Test(prefix_cache, pins_outlast_others_until_they_lapse) {
    prefix_cache cache(1000, 16, 0.8);
    for (const std::uint64_t key : {1, 2}) {
        cr_assert(cache.acquire({{key, 400}}, 0));
        cache.set_computed({{key, 400}}, 400);
        cache.release({{key, 400}}, 1);
    }
    cache.pin(1, 5'000'000, 2);
    cr_assert(cache.acquire({{3, 400}}, 3));
    cr_assert_eq(cache.match({{1, 400}}), 400);
    cr_assert(!cache.acquire({{4, 400}}, 4));
    cache.expire_pins(6'000'000);
    cr_assert(cache.acquire({{4, 400}}, 6'000'000));
    cache.abandon(1, 6'000'000);
    cr_assert_eq(cache.match({{1, 400}}), 0);
}

}  // namespace
}  // namespace pearbarrow::bench
