/// Test fixture with a cell scheduler and a manual clock.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/placement/cell_scheduler.h"

namespace pearbarrow::placement {

struct scheduler_fixture {
    explicit scheduler_fixture(cell_options options = {}) : scheduler(options) {}

    static cell_engine engine(const std::string& name) {
        cell_engine value;
        value.backend = base::backend_id(name);
        value.models = {base::model_name("small")};
        value.in_flight_limit = 2;
        return value;
    }
    static wire::placement_offer offer(const std::string& attempt, const std::string& program) {
        wire::placement_offer value;
        value.attempt = base::attempt_id(attempt);
        value.program = base::program_id(program);
        value.tenant = base::tenant_id("tenant");
        value.program_class = "pairing";
        value.model = base::model_name("small");
        value.prompt_tokens = 1000;
        value.max_output_tokens = 200;
        return value;
    }
    std::vector<cell_action> feed(const cell_event& event) { return scheduler.apply(event, now); }
    std::vector<cell_action> submit(wire::placement_offer value) {
        return feed(offer_event{std::move(value)});
    }
    std::vector<cell_action> finish(const std::string& attempt, const std::string& program,
                                    const std::string& backend, std::uint32_t history = 1200) {
        wire::placement_finished finished;
        finished.attempt = base::attempt_id(attempt);
        finished.program = base::program_id(program);
        finished.backend = base::backend_id(backend);
        finished.history_tokens = history;
        finished.output_tokens = 100;
        // Service time of an idle engine for the prompt and 200 output tokens.
        finished.service_us = 3'100'000;
        return feed(finished_event{finished});
    }
    void set_engines(std::vector<cell_engine> engines,
                     config::configuration_ptr configuration = nullptr) {
        feed(engines_changed_event{std::move(configuration), base::region_name("r"),
                                   std::move(engines)});
    }
    void advance(base::milliseconds by) { now += by; }

    /// The engine name of a single grant, the reason of a single refusal, or "" otherwise.
    static std::string result(const std::vector<cell_action>& actions) {
        if (actions.size() != 1) {
            return "";
        }
        if (const auto* grant = std::get_if<grant_action>(&actions.front())) {
            return grant->backend.value();
        }
        return std::get<refuse_action>(actions.front()).decision->outcome.reason;
    }

    cell_scheduler scheduler;
    base::instant now{base::seconds(100)};
};

}  // namespace pearbarrow::placement
