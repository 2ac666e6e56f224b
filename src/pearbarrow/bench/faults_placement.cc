/// A simulated shard host's way to the dispatcher, as `node/dispatcher_client` goes it.
#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/faults_cell.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace action = program::action;
namespace event = program::event;

namespace {

constexpr std::int64_t soonest_offer_again_us = 20'000;
constexpr std::int64_t latest_offer_again_us = 1'000'000;

std::uint64_t milliseconds_between(base::instant from, base::instant to) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(
        std::chrono::duration_cast<base::milliseconds>(to - from).count(), 0));
}

absl::Status to_status(const wire::placement_reply& reply) {
    return base::make_error(static_cast<absl::StatusCode>(reply.status_code), reply.message,
                            {.step = "place", .reason = reply.reason});
}

}  // namespace

wire::placement_offer sim_shard_host::describe(const action::call_description& call) const {
    wire::placement_offer offer;
    offer.attempt = call.attempt;
    offer.program = call.program;
    offer.tenant = call.tenant;
    offer.call = call.number;
    offer.owner = node_.id();
    offer.program_class = call.program_class;
    offer.model = call.model.value_or(base::model_name());
    offer.tool = call.tool.value_or(base::tool_name());
    offer.prompt_tokens = static_cast<std::uint32_t>(call.prompt_tokens);
    offer.max_output_tokens = static_cast<std::uint32_t>(call.max_output_tokens);
    offer.last_engine = call.last_engine;
    offer.prefixes = call.prefixes;
    offer.history_tokens = call.prefixes.empty() ? 0 : call.prefixes.back().tokens;
    offer.attained_tokens = call.attained_tokens;
    offer.waited_ms = static_cast<std::uint64_t>(call.waited.count());
    offer.depth = call.sub_program ? 1 : 0;
    offer.excluded_engines = call.avoid;
    offer.deadline_ms =
        static_cast<std::uint64_t>(std::max<std::int64_t>(call.time_left.count(), 0));
    offer.program_age_ms = static_cast<std::uint64_t>(call.program_age.count());
    offer.calls_done = call.calls_done;
    return offer;
}

template <typename Notice>
void sim_shard_host::tell(std::size_t dispatcher, Notice notice) {
    sim_node& target = world_.node(dispatcher);
    if (!target.running() || !world_.reachable(node_.number(), dispatcher)) {
        return;
    }
    target.run(world_.network_delay(), [&target, notice] {
        if (target.cell() != nullptr) {
            notice(*target.cell());
        }
    });
}

void sim_shard_host::act(const action::offer_call& action) {
    placement_item& item = placements_[action.call.attempt];
    item = {};
    item.offer = describe(action.call);
    item.id = action.offer;
    item.offered_at = node_.now();
    offers_[action.offer] = action.call.attempt;
    send_offer(action.call.attempt);
}

void sim_shard_host::send_offer(const base::attempt_id& attempt) {
    placement_item& item = placements_.at(attempt);
    if (item.connected) {
        // The earlier connection is closed: its dispatcher hears of that.
        tell(item.dispatcher,
             [attempt, owner = node_.id()](sim_cell& cell) { cell.withdraw(attempt, owner); });
    }
    sim_node& target = world_.node(world_.cell_node());
    item.dispatcher = target.number();
    item.dispatcher_process = target.incarnation();
    item.serial = ++last_serial_;
    item.connected = target.running() && target.cell() != nullptr &&
                     world_.reachable(node_.number(), target.number());
    if (!item.connected) {
        run_in_term(world_.between(soonest_offer_again_us, latest_offer_again_us),
                    [this, attempt, serial = item.serial] {
                        const auto found = placements_.find(attempt);
                        if (found != placements_.end() && found->second.serial == serial) {
                            send_offer(attempt);
                        }
                    });
        return;
    }
    wire::placement_offer offer = item.offer;
    const std::uint64_t since = milliseconds_between(item.offered_at, node_.now());
    offer.waited_ms += since;
    if (offer.deadline_ms > 0) {
        offer.deadline_ms -= std::min(offer.deadline_ms - 1, since);
    }
    const auto reply = [self = shared_from_this(), &target, attempt, serial = item.serial,
                        process = node_.incarnation(),
                        term = term_](const wire::placement_reply& message) {
        sim_node& owner = self->node_;
        if (owner.incarnation() != process || !owner.running() ||
            !self->world_.reachable(owner.number(), target.number())) {
            return false;
        }
        owner.run(self->world_.network_delay(), [self, term, attempt, serial, message] {
            if (self->term_ == term) {
                self->take_reply(attempt, serial, message);
            }
        });
        return true;
    };
    tell(target.number(), [offer, reply](sim_cell& cell) { cell.offer(offer, reply); });
}

void sim_shard_host::take_reply(const base::attempt_id& attempt, std::uint64_t serial,
                                const wire::placement_reply& reply) {
    const auto found = placements_.find(attempt);
    if (found == placements_.end() || found->second.serial != serial || found->second.backend) {
        return;
    }
    const program::offer_id id = found->second.id;
    if (reply.answer == wire::placement_outcome::refused) {
        placements_.erase(found);
        offers_.erase(id);
        deliver(event::placement_refused{id, to_status(reply), reply.decision});
        return;
    }
    found->second.backend = reply.backend;
    found->second.granted_at = node_.now();
    deliver(event::placement_granted{id, reply.backend, reply.decision, reply.engine_priority,
                                     base::milliseconds(reply.pin_lease_ms)});
}

void sim_shard_host::act(const action::withdraw_offer& action) {
    const auto found = offers_.extract(action.offer);
    if (!found.empty()) {
        withdraw(found.mapped());
    }
}

void sim_shard_host::withdraw(const base::attempt_id& attempt) {
    const auto found = placements_.extract(attempt);
    if (!found.empty()) {
        tell(found.mapped().dispatcher,
             [attempt, owner = node_.id()](sim_cell& cell) { cell.withdraw(attempt, owner); });
    }
}

void sim_shard_host::act(const action::finish_placement& action) {
    offers_.erase(action.offer);
    const auto found = placements_.extract(action.attempt);
    if (found.empty()) {
        return;
    }
    wire::placement_finished finished;
    finished.attempt = action.attempt;
    finished.program = action.program;
    finished.backend = action.backend;
    finished.outcome = action.outcome;
    finished.service_us = milliseconds_between(found.mapped().granted_at, node_.now()) * 1'000;
    finished.history_tokens = action.history.tokens;
    finished.next_tool = action.next_tool.value();
    if (action.usage) {
        finished.prompt_tokens = static_cast<std::uint32_t>(action.usage->prompt_tokens);
        finished.output_tokens = static_cast<std::uint32_t>(action.usage->generated_tokens);
    }
    tell(found.mapped().dispatcher, [finished](sim_cell& cell) { cell.finish(finished); });
}

void sim_shard_host::act(const action::announce_program_end& action) {
    wire::placement_finished finished;
    finished.program = action.program;
    finished.program_ended = true;
    tell(world_.cell_node(), [finished](sim_cell& cell) { cell.finish(finished); });
}

void sim_shard_host::act(const action::register_in_flight& action) {
    placement_item& item = placements_[action.call.attempt];
    item = {};
    item.offer = describe(action.call);
    item.offer.last_engine = action.backend;
    item.id = action.offer;
    item.backend = action.backend;
    item.offered_at = node_.now();
    item.granted_at = node_.now();
    offers_[action.offer] = action.call.attempt;
    send_registration(item);
}

void sim_shard_host::send_registration(placement_item& item) {
    sim_node& target = world_.node(world_.cell_node());
    item.dispatcher = target.number();
    item.dispatcher_process = target.incarnation();
    wire::placement_registration registration;
    registration.offer = item.offer;
    registration.backend = *item.backend;
    registration.running_ms = milliseconds_between(item.granted_at, node_.now());
    tell(item.dispatcher,
         [registration](sim_cell& cell) { cell.register_in_flight(registration); });
}

/// Turns to another dispatcher, or to another process of the same.
void sim_shard_host::update_placements() {
    sim_node& target = world_.node(world_.cell_node());
    std::vector<base::attempt_id> to_offer;
    for (auto& [attempt, item] : placements_) {
        const bool same =
            item.dispatcher == target.number() && item.dispatcher_process == target.incarnation();
        if (same) {
            continue;
        }
        if (item.backend) {
            send_registration(item);
        } else if (item.connected) {
            to_offer.push_back(attempt);
        }
    }
    for (const base::attempt_id& attempt : to_offer) {
        send_offer(attempt);
    }
}

}  // namespace pearbarrow::bench::faults
