/// Random workloads: whatever comes, memory stays bounded, each accepted stream ends whole, and the
/// same inputs give the same outputs.
#include <map>
#include <string>

#include "engine_driver.h"
#include "pearbarrow/base/random.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr int workloads = 30;
constexpr int requests = 80;

engine_options small_engine() {
    engine_options options;
    options.cache.total_blocks = 60;
    options.max_running = 6;
    options.prefill_tokens_per_step = 128;
    return options;
}

generation random_request(base::random_source& random, int index) {
    const std::string program = "p" + std::to_string(random.below(6));
    auto request = make_generation("a" + std::to_string(index), program, program,
                                   1 + random.below(500), 1 + random.below(100));
    request.priority = static_cast<std::int32_t>(random.below(3));
    request.pin_lease = base::milliseconds(random.below(3) * 2'000);
    return request;
}

void disturb(engine_model& model, base::random_source& random, int index, base::instant now) {
    if (random.chance(0.2)) {
        model.cancel(base::attempt_id("a" + std::to_string(random.below(index + 3))), now);
    }
    if (random.chance(0.2)) {
        model.release_program(base::program_id("p" + std::to_string(random.below(6))), now);
    }
}

/// Checks one stream's tokens: each once, in order, and no more than asked for.
void check_progress(const std::vector<stream_progress>& progress, std::uint64_t seed) {
    std::map<base::attempt_id, std::uint64_t> produced;
    for (const stream_progress& item : progress) {
        if (item.first <= item.last) {
            cr_assert_eq(item.first, produced[item.attempt] + 1, "seed %lu", seed);
            produced[item.attempt] = item.last;
        }
    }
}

std::vector<stream_progress> run_workload(std::uint64_t seed) {
    base::random_source random(seed);
    engine_model model(small_engine());
    base::instant now{};
    std::vector<stream_progress> progress;
    for (int index = 0; index < requests; ++index) {
        model.advance(now);
        disturb(model, random, index, now);
        model.start(random_request(random, index), now);
        now += base::milliseconds(random.below(400));
        model.advance(now);
        for (auto& item : model.take_progress()) {
            progress.push_back(item);
        }
        cr_assert_leq(model.cache_blocks_used(), 60, "seed %lu", seed);
    }
    run_until_idle(model, now, &progress);
    for (const auto& entry : model.meter()) {
        const auto view = model.find(entry.attempt);
        const bool whole =
            view->state == stream_state::cancelled ||
            (view->state == stream_state::finished && view->produced == view->output_tokens);
        cr_assert(whole, "attempt %s, seed %lu", entry.attempt.value().c_str(), seed);
    }
    check_progress(progress, seed);
    return progress;
}

}  // namespace

Test(engine_model_property, random_workloads_end_whole_and_repeat_exactly) {
    for (std::uint64_t seed = 1; seed <= workloads; ++seed) {
        const auto first = run_workload(seed);
        const auto second = run_workload(seed);
        cr_assert_eq(first.size(), second.size(), "seed %lu", seed);
        for (std::size_t index = 0; index < first.size(); ++index) {
            cr_assert(first[index].attempt == second[index].attempt &&
                          first[index].at == second[index].at,
                      "seed %lu", seed);
        }
    }
}
