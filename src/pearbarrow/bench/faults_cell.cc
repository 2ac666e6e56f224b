#include "pearbarrow/bench/faults_cell.h"

#include <utility>
#include <variant>
#include <vector>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace {

constexpr std::uint32_t engine_places = 4;
constexpr std::uint32_t tool_places = 8;

}  // namespace

sim_cell::sim_cell(fault_world& world, sim_node& node)
    : world_(world), node_(node), scheduler_(placement::cell_options{}) {
    configure();
}

void sim_cell::configure() {
    draining_.clear();
    placement::engines_changed_event event;
    for (const base::backend_id& name : world_.backend_names()) {
        placement::cell_engine engine;
        engine.backend = name;
        if (world_.tools.contains(name)) {
            engine.tools = {base::tool_name(name.value())};
            engine.in_flight_limit = tool_places;
        } else {
            engine.models = {base::model_name("model")};
            engine.in_flight_limit = engine_places;
        }
        engine.draining = world_.is_draining(name);
        if (engine.draining) {
            draining_.insert(name);
        }
        event.engines.push_back(std::move(engine));
    }
    feed(event);
}

void sim_cell::tick() {
    for (const base::backend_id& name : world_.backend_names()) {
        if (world_.is_draining(name) != draining_.contains(name)) {
            configure();
            break;
        }
    }
    feed(placement::tick_event{});
}

void sim_cell::offer(const wire::placement_offer& offer, reply_callback reply) {
    waiting_[offer.attempt] = {offer, std::move(reply)};
    feed(placement::offer_event{offer});
}

void sim_cell::withdraw(const base::attempt_id& attempt, const base::node_id& owner) {
    // Another owner may have offered the same attempt since then.
    const auto waiting = waiting_.find(attempt);
    if (waiting != waiting_.end()) {
        if (waiting->second.offer.owner != owner) {
            return;
        }
        waiting_.erase(waiting);
    }
    feed(placement::withdraw_event{attempt});
    const auto granted = granted_.find(attempt);
    if (granted == granted_.end() || granted->second.owner != owner) {
        return;
    }
    wire::placement_finished finished;
    finished.attempt = attempt;
    finished.program = granted->second.program;
    finished.backend = granted->second.backend;
    finished.outcome = wire::attempt_outcome::cancelled;
    finish(finished);
}

void sim_cell::finish(const wire::placement_finished& finished) {
    if (finished.attempt.value().empty() && finished.program_ended) {
        feed(placement::program_ended_event{finished.program});
        return;
    }
    granted_.erase(finished.attempt);
    feed(placement::finished_event{finished});
}

void sim_cell::register_in_flight(const wire::placement_registration& registration) {
    granted_[registration.offer.attempt] = {registration.offer.owner, registration.offer.program,
                                            registration.backend};
    feed(placement::in_flight_registered_event{registration});
}

void sim_cell::owner_lost(const base::node_id& owner) {
    std::vector<base::attempt_id> lost;
    for (const auto& [attempt, grant] : granted_) {
        if (grant.owner == owner) {
            lost.push_back(attempt);
        }
    }
    for (const base::attempt_id& attempt : lost) {
        withdraw(attempt, owner);
    }
}

void sim_cell::feed(const placement::cell_event& event) {
    for (const placement::cell_action& action : scheduler_.apply(event, node_.now())) {
        carry_out(action);
    }
}

void sim_cell::carry_out(const placement::cell_action& action) {
    const wire::placement_reply reply = placement::to_reply(action);
    const auto waiting = waiting_.extract(reply.attempt);
    if (waiting.empty()) {
        return;
    }
    const wire::placement_offer& offer = waiting.mapped().offer;
    if (reply.answer == wire::placement_outcome::granted) {
        granted_[reply.attempt] = {offer.owner, offer.program, reply.backend};
    }
    if (!waiting.mapped().reply(reply)) {
        node_.run(base::microseconds(0),
                  [&node = node_, attempt = reply.attempt, owner = offer.owner] {
                      if (node.cell() != nullptr) {
                          node.cell()->withdraw(attempt, owner);
                      }
                  });
    }
}

}  // namespace pearbarrow::bench::faults
