#include "pearbarrow/node/dispatcher_service.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/dispatch_messages.h"

namespace pearbarrow::node {

dispatcher_service::dispatcher_service(node_context& context, membership_service& membership,
                                       const configuration_view& configuration,
                                       backend_service& backends, peer_health& health,
                                       peer_prober& prober)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      backends_(backends),
      health_(health),
      prober_(prober) {}

dispatcher_service::~dispatcher_service() = default;

void dispatcher_service::register_methods() {
    register_method(wire::place_offer, &dispatcher_service::offer);
    register_method(wire::place_finished, &dispatcher_service::finished);
    register_method(wire::place_withdraw, &dispatcher_service::withdraw);
    register_method(wire::place_register, &dispatcher_service::register_in_flight);
    register_method(wire::place_explain, &dispatcher_service::explain);
}

void dispatcher_service::register_method(net::method_number method, handler function) {
    context_.rpc.register_method(
        method,
        [this, function](std::string_view payload, std::shared_ptr<net::peer_responder> responder) {
            const auto message = wire::decode<cell_message>(payload);
            if (!message.ok()) {
                responder->fail(message.status());
                return;
            }
            (this->*function)(message->cell, message->body, std::move(responder));
        });
}

void dispatcher_service::start() {
    health_.on_unreachable([this](const base::node_id&) { update(); });
    ticker_ = context_.loop.every(context_.settings.timing.tick, [this] {
        for (const auto& [cell, host] : cells_) {
            host->tick();
        }
    });
    poller_ = context_.loop.every(context_.settings.timing.load_report_interval, [this] {
        for (const auto& [cell, host] : cells_) {
            host->poll_engines();
        }
    });
}

std::optional<base::node_id> dispatcher_service::preferred_node(const cell_id& cell) const {
    return membership::preferred_dispatcher(cell.pool, cell.index, context_.settings.region,
                                            health_.reachable(membership_.live_members()));
}

void dispatcher_service::update() {
    const config::configuration_ptr configuration = configuration_.current();
    std::set<cell_id> wanted;
    for (const cell_id& cell : cells_of(*configuration)) {
        if (preferred_node(cell) == context_.self()) {
            wanted.insert(cell);
        }
    }
    std::erase_if(cells_, [&](const auto& item) {
        if (wanted.contains(item.first)) {
            return false;
        }
        base::log(base::log_level::info, "cell_given_up", {{"cell", to_string(item.first)}});
        item.second->give_up();
        return true;
    });
    for (const cell_id& cell : wanted) {
        std::unique_ptr<cell_host>& host = cells_[cell];
        if (host == nullptr) {
            base::log(base::log_level::info, "cell_taken", {{"cell", to_string(cell)}});
            host = std::make_unique<cell_host>(context_, backends_, cell);
        }
        host->configure(configuration, leaving_);
    }
    forget_lost_owners();
}

void dispatcher_service::forget_lost_owners() {
    std::set<base::node_id> live;
    for (const membership::member& member : membership_.live_members()) {
        live.insert(member.id);
    }
    for (const base::node_id& owner : live_owners_) {
        if (live.contains(owner)) {
            continue;
        }
        for (const auto& [cell, host] : cells_) {
            host->owner_lost(owner);
        }
    }
    live_owners_ = std::move(live);
}

void dispatcher_service::set_leaving(std::vector<base::backend_id> leaving) {
    if (leaving == leaving_) {
        return;
    }
    leaving_ = std::move(leaving);
    update();
}

placement::cell_load dispatcher_service::load() const {
    placement::cell_load sum;
    for (const auto& [cell, host] : cells_) {
        const placement::cell_load load = host->load();
        sum.waiting += load.waiting;
        sum.in_flight += load.in_flight;
        sum.engines += load.engines;
        sum.engines_open += load.engines_open;
        sum.grants_per_second += load.grants_per_second;
    }
    return sum;
}

cell_host* dispatcher_service::find(const cell_id& cell) {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? nullptr : found->second.get();
}

void dispatcher_service::offer(const cell_id& cell, std::string_view body,
                               std::shared_ptr<net::peer_responder> responder) {
    auto message = wire::decode<wire::placement_offer>(body);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    cell_host* host = find(cell);
    if (host == nullptr) {
        if (const auto preferred = preferred_node(cell); preferred.has_value()) {
            prober_.probe(*preferred);
        }
        responder->fail(base::make_error(
            absl::StatusCode::kUnavailable, "this node does not run the cell's queue",
            {.step = "place", .peer = context_.self().value(), .reason = "not_dispatcher"}));
        return;
    }
    host->offer(*std::move(message), std::move(responder));
}

void dispatcher_service::finished(const cell_id& cell, std::string_view body,
                                  std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<wire::placement_finished>(body);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    if (cell_host* host = find(cell)) {
        host->finish(*message);
    }
    responder->finish({});
}

void dispatcher_service::withdraw(const cell_id& cell, std::string_view body,
                                  std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<wire::placement_withdrawal>(body);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    if (cell_host* host = find(cell)) {
        host->withdraw(message->attempt);
    }
    responder->finish({});
}

void dispatcher_service::register_in_flight(const cell_id& cell, std::string_view body,
                                            std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<wire::placement_registration>(body);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    if (cell_host* host = find(cell)) {
        host->register_in_flight(*message);
    }
    responder->finish({});
}

void dispatcher_service::explain(const cell_id& cell, std::string_view body,
                                 std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<wire::placement_explain_request>(body);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    wire::placement_explain_reply reply;
    const cell_host* host = find(cell);
    const auto record = host == nullptr ? std::nullopt : host->explain(message->attempt);
    if (record.has_value()) {
        reply.found = true;
        reply.decision = placement::encode_record(*record);
    }
    responder->finish(wire::encode(reply));
}

}  // namespace pearbarrow::node
