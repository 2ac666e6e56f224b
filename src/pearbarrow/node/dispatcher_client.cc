#include "pearbarrow/node/dispatcher_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/dispatch_messages.h"
#include "pearbarrow/placement/decision.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds notice_timeout{5'000};

std::uint64_t milliseconds_between(base::instant from, base::instant to) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(std::max(to - from, base::microseconds(0)))
            .count());
}

absl::Status to_status(const wire::placement_reply& reply, const base::node_id& dispatcher) {
    base::error_details details{
        .step = "place", .peer = dispatcher.value(), .reason = reply.reason};
    if (reply.retry_after_ms > 0) {
        details.retry_after = base::milliseconds(reply.retry_after_ms);
    }
    return base::make_error(static_cast<absl::StatusCode>(reply.status_code), reply.message,
                            std::move(details));
}

}  // namespace

dispatcher_client::dispatcher_client(node_context& context, membership_service& membership,
                                     const configuration_view& configuration, peer_health& health)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      health_(health),
      budget_(context.now()) {}

dispatcher_client::~dispatcher_client() = default;

wire::placement_offer dispatcher_client::describe(
    const program::action::call_description& call) const {
    wire::placement_offer offer;
    offer.attempt = call.attempt;
    offer.program = call.program;
    offer.tenant = call.tenant;
    offer.call = call.number;
    offer.owner = context_.self();
    offer.program_class = call.program_class;
    offer.model = call.model.value_or(base::model_name());
    offer.tool = call.tool.value_or(base::tool_name());
    for (const wire::label& label : call.labels) {
        offer.labels[label.key] = label.value;
    }
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

void dispatcher_client::offer(const program::action::call_description& call,
                              placement_callbacks callbacks) {
    placements_.erase(call.attempt);
    placement& item = placements_[call.attempt];
    item.offer = describe(call);
    item.callbacks = std::move(callbacks);
    item.offered_at = context_.now();
    budget_.first_try();
    send_offer(call.attempt);
}

std::optional<cell_id> dispatcher_client::cell_of(const placement& item) const {
    const config::configuration& configuration = *configuration_.current();
    config::label_set own;
    for (const auto& [key, value] : item.offer.labels) {
        own.set(key, value);
    }
    const cell_wish wish{
        item.offer.program, item.offer.model, item.offer.tool,
        config::program_labels(configuration, item.offer.tenant, item.offer.program_class,
                               context_.settings.region, own),
        item.offer.last_engine};
    return choose_cell(configuration, wish);
}

std::optional<base::node_id> dispatcher_client::dispatcher_of(const cell_id& cell) const {
    return membership::preferred_dispatcher(cell.pool, cell.index, context_.settings.region,
                                            health_.reachable(membership_.live_members()));
}

void dispatcher_client::send_offer(const base::attempt_id& attempt) {
    placement& item = placements_[attempt];
    const auto cell = cell_of(item);
    if (!cell.has_value()) {
        refuse_without_cell(attempt);
        return;
    }
    const auto dispatcher = dispatcher_of(*cell);
    const auto address =
        dispatcher.has_value() ? membership_.peer_address(*dispatcher) : std::nullopt;
    if (!address.has_value()) {
        offer_later(attempt);
        return;
    }
    item.cell = *cell;
    item.dispatcher = *dispatcher;
    wire::placement_offer offer = item.offer;
    const std::uint64_t since_offer = milliseconds_between(item.offered_at, context_.now());
    offer.waited_ms += since_offer;
    if (offer.deadline_ms > 0) {
        offer.deadline_ms -= std::min(offer.deadline_ms - 1, since_offer);
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, attempt](absl::StatusOr<std::string> reply) {
        take_reply(attempt, std::move(reply));
    };
    item.call =
        context_.rpc.call(*dispatcher, *address, wire::place_offer, encode_for_cell(*cell, offer),
                          base::milliseconds(0), std::move(callbacks));
}

void dispatcher_client::take_reply(const base::attempt_id& attempt,
                                   absl::StatusOr<std::string> reply) {
    const auto found = placements_.find(attempt);
    if (found == placements_.end()) {
        return;
    }
    placement& item = found->second;
    const auto decoded = reply.ok() ? wire::decode<wire::placement_reply>(*reply)
                                    : absl::StatusOr<wire::placement_reply>(reply.status());
    if (!decoded.ok()) {
        if (base::details_of(decoded.status()).reason == "connect_failed") {
            health_.connect_failed(item.dispatcher);
        }
        offer_later(attempt);
        return;
    }
    if (decoded->answer == wire::placement_outcome::refused) {
        const placement_callbacks callbacks = std::move(item.callbacks);
        const absl::Status status = to_status(*decoded, item.dispatcher);
        placements_.erase(found);
        callbacks.on_refused({status, decoded->decision});
        return;
    }
    item.backend = decoded->backend;
    item.granted_at = context_.now();
    item.callbacks.on_granted({decoded->backend, decoded->engine_priority,
                               base::milliseconds(decoded->pin_lease_ms), decoded->decision});
}

void dispatcher_client::offer_later(const base::attempt_id& attempt) {
    placement& item = placements_[attempt];
    item.dispatcher = base::node_id();
    const base::microseconds wait = item.retry.next(context_.random);
    item.timer = context_.loop.after(wait + budget_.take(context_.now()),
                                     [this, attempt] { send_offer(attempt); });
}

void dispatcher_client::refuse_without_cell(const base::attempt_id& attempt) {
    placement& item = placements_[attempt];
    ::pearbarrow::placement::decision_record record;
    record.inputs.configuration = configuration_.current()->version();
    record.inputs.attempt = attempt;
    record.inputs.program = item.offer.program;
    record.inputs.tenant = item.offer.tenant;
    record.inputs.program_class = item.offer.program_class;
    record.inputs.prompt_tokens = item.offer.prompt_tokens;
    record.inputs.max_output_tokens = item.offer.max_output_tokens;
    record.outcome = ::pearbarrow::placement::decide(record.inputs);
    placement_refusal refusal;
    refusal.decision = ::pearbarrow::placement::encode_record(record);
    refusal.status = base::make_error(
        absl::StatusCode::kFailedPrecondition,
        "no back end that serves '" + item.offer.model.value() + item.offer.tool.value() +
            "' is open to this program",
        {.step = "place", .peer = context_.self().value(), .reason = "no_eligible_engine"});
    item.timer = context_.loop.after(base::microseconds(0), [this, attempt, refusal] {
        const auto callbacks = std::move(placements_[attempt].callbacks);
        placements_.erase(attempt);
        callbacks.on_refused(refusal);
    });
}

void dispatcher_client::withdraw(const base::attempt_id& attempt) {
    const auto found = placements_.find(attempt);
    if (found == placements_.end()) {
        return;
    }
    placement item = std::move(found->second);
    placements_.erase(found);
    item.call.reset();
    tell(item.dispatcher, wire::place_withdraw,
         encode_for_cell(item.cell, wire::placement_withdrawal{attempt, "withdrawn"}));
}

void dispatcher_client::finish(const program::action::finish_placement& action) {
    const auto found = placements_.find(action.attempt);
    if (found == placements_.end()) {
        return;
    }
    const placement item = std::move(found->second);
    placements_.erase(found);
    wire::placement_finished finished;
    finished.attempt = action.attempt;
    finished.program = action.program;
    finished.backend = action.backend;
    finished.outcome = action.outcome;
    finished.service_us = milliseconds_between(item.granted_at, context_.now()) * 1'000;
    finished.history_tokens = action.history.tokens;
    finished.next_tool = action.next_tool.value();
    if (action.usage.has_value()) {
        finished.prompt_tokens = static_cast<std::uint32_t>(action.usage->prompt_tokens);
        finished.cached_tokens = static_cast<std::uint32_t>(action.usage->cached_tokens);
        finished.output_tokens = static_cast<std::uint32_t>(action.usage->generated_tokens);
    }
    tell(item.dispatcher, wire::place_finished, encode_for_cell(item.cell, finished));
}

void dispatcher_client::register_in_flight(const base::backend_id& backend,
                                           const program::action::call_description& call) {
    placements_.erase(call.attempt);
    placement& item = placements_[call.attempt];
    item.offer = describe(call);
    item.offer.last_engine = backend;
    item.backend = backend;
    item.offered_at = context_.now();
    item.granted_at = context_.now();
    send_registration(item);
}

void dispatcher_client::send_registration(placement& item) {
    const auto cell = cell_of(item);
    if (!cell.has_value()) {
        return;
    }
    item.cell = *cell;
    item.dispatcher = dispatcher_of(*cell).value_or(base::node_id());
    wire::placement_registration registration;
    registration.offer = item.offer;
    registration.backend = *item.backend;
    registration.running_ms = milliseconds_between(item.granted_at, context_.now());
    tell(item.dispatcher, wire::place_register, encode_for_cell(*cell, registration));
}

void dispatcher_client::update() {
    std::vector<base::attempt_id> moved;
    for (const auto& [attempt, item] : placements_) {
        const bool sent = !item.dispatcher.value().empty();
        if (sent && dispatcher_of(item.cell) != item.dispatcher) {
            moved.push_back(attempt);
        }
    }
    for (const base::attempt_id& attempt : moved) {
        placement& item = placements_[attempt];
        if (item.backend.has_value()) {
            send_registration(item);
        } else {
            item.call.reset();
            send_offer(attempt);
        }
    }
}

void dispatcher_client::announce_end(const base::program_id& program,
                                     const std::vector<base::backend_id>& engines) {
    const config::configuration_ptr configuration = configuration_.current();
    for (const cell_id& cell : cells_of(*configuration)) {
        const auto back_ends = back_ends_of(*configuration, cell);
        const bool concerned = std::any_of(back_ends.begin(), back_ends.end(), [&](auto* object) {
            return std::find(engines.begin(), engines.end(), base::backend_id(object->name)) !=
                   engines.end();
        });
        const auto dispatcher = dispatcher_of(cell);
        if (concerned && dispatcher.has_value()) {
            wire::placement_finished finished;
            finished.program = program;
            finished.program_ended = true;
            tell(*dispatcher, wire::place_finished, encode_for_cell(cell, finished));
        }
    }
}

void dispatcher_client::tell(const base::node_id& dispatcher, net::method_number method,
                             std::string payload) {
    const auto address = membership_.peer_address(dispatcher);
    if (!address.has_value()) {
        return;
    }
    // The handle keeps the call alive until its end.
    auto handle = std::make_shared<std::unique_ptr<net::peer_call_handle>>();
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [handle](const absl::StatusOr<std::string>&) {};
    *handle = context_.rpc.call(dispatcher, *address, method, std::move(payload), notice_timeout,
                                std::move(callbacks));
}

}  // namespace pearbarrow::node
