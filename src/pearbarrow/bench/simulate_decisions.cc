/// Cost of one decision against queue length and number of engines.
#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/random.h"
#include "pearbarrow/bench/simulate_commands.h"
#include "pearbarrow/placement/cell_scheduler.h"

namespace pearbarrow::bench {
namespace {

constexpr std::uint32_t places = 8;

wire::placement_offer random_offer(std::uint64_t number, base::random_source& random) {
    wire::placement_offer offer;
    offer.attempt = base::attempt_id(std::to_string(number));
    offer.program = base::program_id(std::to_string(random.below(20'000)));
    offer.tenant = base::tenant_id("t" + std::to_string(random.below(200)));
    offer.program_class = "class" + std::to_string(random.below(4));
    offer.model = base::model_name("model");
    offer.prompt_tokens = 500 + static_cast<std::uint32_t>(random.below(4'000));
    offer.max_output_tokens = 400;
    offer.calls_done = static_cast<std::uint32_t>(random.below(8));
    offer.program_age_ms = random.below(60'000);
    offer.prefixes = {{random.below(50), 400}};
    return offer;
}

/// Keeps `waiting` calls in the queue: each round ends one call, which grants the next, and offers
/// a new one. Returns the mean time of a round in microseconds, records and replies included.
double measure(std::uint32_t waiting, std::uint32_t engines, std::uint32_t rounds) {
    const base::system_clock_source clock;
    base::random_source random(waiting * 31 + engines);
    placement::cell_options options;
    options.queue_limit = 2 * waiting + places * engines;
    options.starvation_bound = base::milliseconds(3'600'000);
    placement::cell_scheduler scheduler(options);
    placement::engines_changed_event setup;
    for (std::uint32_t index = 0; index < engines; ++index) {
        placement::cell_engine engine;
        engine.backend = base::backend_id("engine-" + std::to_string(index));
        engine.models = {base::model_name("model")};
        engine.in_flight_limit = places;
        setup.engines.push_back(std::move(engine));
    }
    base::instant now{base::seconds(1000)};
    scheduler.apply(setup, now);
    std::vector<placement::grant_action> running;
    std::uint64_t number = 0;
    const auto keep = [&](std::vector<placement::cell_action> actions) {
        for (placement::cell_action& action : actions) {
            if (auto* granted = std::get_if<placement::grant_action>(&action)) {
                running.push_back(std::move(*granted));
            }
        }
    };
    while (scheduler.load().waiting < waiting) {
        keep(scheduler.apply(placement::offer_event{random_offer(++number, random)}, now));
    }
    const base::instant begun = clock.now();
    for (std::uint32_t round = 0; round < rounds; ++round) {
        now += base::milliseconds(1);
        std::swap(running[random.below(running.size())], running.back());
        wire::placement_finished finished;
        finished.attempt = running.back().attempt;
        finished.program = running.back().decision->inputs.program;
        finished.backend = running.back().backend;
        finished.history_tokens = 2'000;
        finished.output_tokens = 200;
        finished.service_us = 3'000'000;
        running.pop_back();
        keep(scheduler.apply(placement::finished_event{finished}, now));
        keep(scheduler.apply(placement::offer_event{random_offer(++number, random)}, now));
    }
    return static_cast<double>((clock.now() - begun).count()) / rounds;
}

void decide_cost(std::uint32_t rounds) {
    for (const std::uint32_t engines : {1U, 4U, 16U}) {
        for (const std::uint32_t waiting : {10U, 100U, 1'000U, 10'000U}) {
            const nlohmann::json line = {{"engines", engines},
                                         {"waiting", waiting},
                                         {"microseconds", measure(waiting, engines, rounds)}};
            std::cout << line.dump() << std::endl;
        }
    }
}

}  // namespace

void add_decisions_command(CLI::App& app) {
    auto rounds = std::make_shared<std::uint32_t>(20'000);
    CLI::App* command = app.add_subcommand(
        "decisions", "Cost of ending a call, granting the next and taking an offer in");
    command->add_option("--rounds", *rounds);
    command->callback([rounds] { decide_cost(*rounds); });
}

}  // namespace pearbarrow::bench
