#include "pearbarrow/node/ownership_director.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/ownership_messages.h"
#include "pearbarrow/node/replica_name.h"
#include "pearbarrow/node/shard_hash.h"

namespace pearbarrow::node {

namespace {

/// A campaign that takes longer starts again, with a higher ballot.
constexpr base::milliseconds campaign_limit{3'000};
/// After serving this long, the next loss is answered without a long wait.
constexpr base::milliseconds steady_after{5'000};
constexpr base::milliseconds offer_timeout{2'000};

const config::shard_map_spec* shard_map_of(const config::configuration& configuration) {
    return configuration.find_spec<config::shard_map_spec>("default");
}

}  // namespace

ownership_director::ownership_director(shard_services& services, peer_health& health,
                                       peer_prober& prober)
    : services_(services), health_(health), prober_(prober) {}

ownership_director::~ownership_director() = default;

void ownership_director::register_methods() {
    net::peer_rpc& rpc = services_.context.rpc;
    rpc.register_method(wire::route_program_request, [this](auto payload, auto responder) {
        serve_request(payload, std::move(responder));
    });
    rpc.register_method(wire::ownership_offer, [this](auto payload, auto responder) {
        take_offer(payload, std::move(responder));
    });
    rpc.register_method(wire::ownership_locate, [this](auto payload, auto responder) {
        locate(payload, std::move(responder));
    });
    rpc.register_method(wire::programs_ended, [this](auto payload, auto responder) {
        tell_ended(payload, std::move(responder));
    });
}

void ownership_director::start() {
    ticker_ =
        services_.context.loop.every(services_.context.settings.timing.tick, [this] { tick(); });
    health_.on_unreachable([this](const base::node_id&) { update(); });
}

std::optional<base::node_id> ownership_director::preferred_owner(base::shard_id shard) const {
    return preferred_without(shard, base::node_id());
}

std::optional<base::node_id> ownership_director::preferred_without(
    base::shard_id shard, const base::node_id& excluded) const {
    const config::configuration_ptr configuration = services_.configuration.current();
    const config::shard_assignment* assignment = configuration->shard(shard);
    if (assignment == nullptr) {
        return std::nullopt;
    }
    auto members = health_.reachable(services_.membership.live_members());
    std::erase_if(members, [&](const auto& member) { return member.id == excluded; });
    return membership::preferred_owner(shard, assignment->region, members);
}

void ownership_director::update() {
    const config::configuration_ptr configuration = services_.configuration.current();
    const config::shard_map_spec* map = shard_map_of(*configuration);
    if (map == nullptr) {
        return;
    }
    for (const config::shard_assignment& assignment : map->shards) {
        if (assignment.region == services_.context.settings.region) {
            consider(assignment.shard);
        }
    }
}

void ownership_director::configuration_changed() {
    const config::configuration_ptr configuration = services_.configuration.current();
    for (const auto& [shard, host] : hosts_) {
        const config::shard_assignment* assignment = configuration->shard(shard);
        const auto set = assignment == nullptr ? std::nullopt : replica_set_of(*assignment);
        if (set.has_value()) {
            host->change_replica_set(*set);
        }
        host->configuration_changed();
    }
    update();
}

void ownership_director::consider(base::shard_id shard) {
    const bool preferred = preferred_owner(shard) == services_.context.self();
    const auto found = hosts_.find(shard);
    const shard_state state = found == hosts_.end() ? shard_state::idle : found->second->state();
    if (preferred && state == shard_state::idle) {
        if (services_.context.now() >= schedules_[shard].not_before) {
            campaign(shard);
        }
    } else if (!preferred && state == shard_state::campaigning && !offered_.contains(shard)) {
        found->second->resign();
    }
}

void ownership_director::campaign(base::shard_id shard) {
    const config::configuration_ptr configuration = services_.configuration.current();
    const config::shard_assignment* assignment = configuration->shard(shard);
    const auto set = assignment == nullptr ? std::nullopt : replica_set_of(*assignment);
    if (!set.has_value()) {
        return;
    }
    schedule& plan = schedules_[shard];
    plan.not_before = services_.context.now() + plan.retry.next(services_.context.random);
    std::unique_ptr<shard_host>& host = hosts_[shard];
    if (host == nullptr) {
        host = std::make_unique<shard_host>(services_, shard,
                                            [this, shard](const journal::fenced&) { lost(shard); });
    }
    host->campaign(*set);
}

void ownership_director::lost(base::shard_id shard) {
    offered_.erase(shard);
    schedule& plan = schedules_[shard];
    plan.not_before = services_.context.now() + plan.retry.next(services_.context.random);
}

void ownership_director::tick() {
    const base::instant now = services_.context.now();
    for (const auto& [shard, host] : hosts_) {
        host->tick();
        const auto age = now - host->state_since();
        if (host->state() == shard_state::campaigning && age > campaign_limit) {
            campaign(shard);
        } else if (host->state() == shard_state::serving) {
            offered_.erase(shard);
            if (age > steady_after) {
                schedules_[shard].retry.reset();
            }
        }
    }
    update();
    drop_idle_hosts();
}

void ownership_director::drop_idle_hosts() {
    std::erase_if(hosts_, [this](const auto& item) {
        return item.second->state() == shard_state::idle &&
               preferred_owner(item.first) != services_.context.self();
    });
}

bool ownership_director::settled() const {
    const config::configuration_ptr configuration = services_.configuration.current();
    const config::shard_map_spec* map = shard_map_of(*configuration);
    if (map == nullptr) {
        return false;
    }
    return std::all_of(map->shards.begin(), map->shards.end(), [this](const auto& assignment) {
        if (preferred_owner(assignment.shard) != services_.context.self()) {
            return true;
        }
        const auto found = hosts_.find(assignment.shard);
        return found != hosts_.end() && found->second->state() == shard_state::serving;
    });
}

void ownership_director::hand_over() {
    std::map<base::node_id, std::vector<base::shard_id>> offers;
    for (const auto& [shard, host] : hosts_) {
        const auto next = preferred_without(shard, services_.context.self());
        if (next.has_value()) {
            offers[*next].push_back(shard);
        } else if (host->idle()) {
            host->resign();
        }
    }
    for (auto& [node, shards] : offers) {
        send_offer(node, std::move(shards));
    }
}

void ownership_director::send_offer(const base::node_id& node, std::vector<base::shard_id> shards) {
    const auto address = services_.membership.peer_address(node);
    if (!address.has_value()) {
        return;
    }
    auto handle = std::make_shared<std::unique_ptr<net::peer_call_handle>>();
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, handle, alive = std::weak_ptr<int>(alive_)](
                            const absl::StatusOr<std::string>& payload) {
        const auto reply = payload.ok() ? wire::decode<ownership_offer_reply>(*payload)
                                        : absl::StatusOr<ownership_offer_reply>(payload.status());
        if (alive.expired() || !reply.ok()) {
            return;
        }
        for (const base::shard_id shard : reply->taken) {
            const auto found = hosts_.find(shard);
            if (found != hosts_.end()) {
                found->second->resign();
            }
        }
    };
    *handle = services_.context.rpc.call(node, *address, wire::ownership_offer,
                                         wire::encode(ownership_offer_message{std::move(shards)}),
                                         offer_timeout, std::move(callbacks));
}

void ownership_director::take_offer(std::string_view payload,
                                    std::shared_ptr<net::peer_responder> responder) {
    const auto message = wire::decode<ownership_offer_message>(payload);
    if (!message.ok()) {
        responder->fail(message.status());
        return;
    }
    ownership_offer_reply reply;
    for (const base::shard_id shard : message->shards) {
        if (preferred_without(shard, responder->caller()) != services_.context.self()) {
            continue;
        }
        const auto found = hosts_.find(shard);
        if (found == hosts_.end() || found->second->state() == shard_state::idle) {
            offered_.insert(shard);
            campaign(shard);
        }
        reply.taken.push_back(shard);
    }
    responder->finish(wire::encode(reply));
}

void ownership_director::locate(std::string_view, std::shared_ptr<net::peer_responder> responder) {
    ownership_locate_reply reply;
    for (const auto& [shard, host] : hosts_) {
        hosted_shard item;
        item.shard = shard;
        item.state = host->state() != shard_state::serving ? "recovering"
                     : host->available()                   ? "serving"
                                                           : "unavailable";
        item.programs = host->program_count();
        item.ballot_round = host->leader().current_ballot().round;
        item.commit_index = host->leader().commit_index().value();
        reply.shards.push_back(std::move(item));
    }
    responder->finish(wire::encode(reply));
}

void ownership_director::tell_ended(std::string_view payload,
                                    std::shared_ptr<net::peer_responder> responder) {
    const auto request = wire::decode<programs_ended_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    const auto found = hosts_.find(request->shard);
    if (found == hosts_.end() || found->second->state() != shard_state::serving) {
        responder->fail(base::make_error(
            absl::StatusCode::kUnavailable, "this node does not serve the shard",
            {.step = "route", .peer = services_.context.self().value(), .reason = "not_owner"}));
        return;
    }
    shard_host& host = *found->second;
    host.journal().when_confirmed([&host, responder, asked = request->programs] {
        programs_ended_reply reply;
        const std::vector<base::program_id> listed = host.live_programs();
        const std::set<base::program_id> live(listed.begin(), listed.end());
        std::copy_if(asked.begin(), asked.end(), std::back_inserter(reply.ended),
                     [&](const auto& program) { return !live.contains(program); });
        responder->finish(wire::encode(reply));
    });
}

void ownership_director::serve_request(std::string_view payload,
                                       std::shared_ptr<net::peer_responder> responder) {
    auto request = wire::decode<wire::program_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    const base::shard_id shard =
        shard_of(wire::routing_program(*request), services_.context.settings.shard_count);
    auto found = hosts_.find(shard);
    if (found == hosts_.end() || found->second->state() == shard_state::idle) {
        consider(shard);
        found = hosts_.find(shard);
    }
    if (found != hosts_.end()) {
        found->second->request(*std::move(request), std::move(responder));
        return;
    }
    const auto preferred = preferred_owner(shard);
    if (preferred.has_value()) {
        prober_.probe(*preferred);
    }
    responder->fail(base::make_error(absl::StatusCode::kUnavailable,
                                     "this node does not own the program's shard",
                                     {.step = "route",
                                      .peer = preferred.value_or(base::node_id()).value(),
                                      .reason = "not_owner",
                                      .retry_after = base::milliseconds(100)}));
}

}  // namespace pearbarrow::node
