#include "pearbarrow/node/cache_reconciliation.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/cell_map.h"
#include "pearbarrow/node/ownership_messages.h"
#include "pearbarrow/node/shard_hash.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds question_timeout{2'000};
/// Looks for engines that are due, in each interval.
constexpr int ticks_each_interval = 4;

}  // namespace

cache_reconciliation::cache_reconciliation(node_context& context, membership_service& membership,
                                           const configuration_view& configuration,
                                           backend_service& backends, ownership_director& ownership,
                                           peer_health& health)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      backends_(backends),
      ownership_(ownership),
      health_(health),
      core_({context.settings.timing.cache_reconcile_interval,
             context.settings.timing.cache_reconcile_interval}),
      freed_(context.metrics.add_counter("pearbarrow_cache_orphans_freed_total",
                                         "programs' leftovers freed in engines' memory")) {}

cache_reconciliation::~cache_reconciliation() = default;

void cache_reconciliation::start() {
    const base::milliseconds period =
        context_.settings.timing.cache_reconcile_interval / ticks_each_interval;
    ticker_ = context_.loop.every(std::max(period, base::milliseconds(1)), [this] { tick(); });
}

void cache_reconciliation::tick() {
    core_.set_engines(own_engines());
    for (const base::backend_id& engine : core_.due(context_.now())) {
        list(engine);
    }
}

std::vector<base::backend_id> cache_reconciliation::own_engines() const {
    std::vector<base::backend_id> engines;
    const config::configuration_ptr configuration = configuration_.current();
    const auto members = health_.reachable(membership_.live_members());
    for (const cell_id& cell : cells_of(*configuration)) {
        if (membership::preferred_dispatcher(cell.pool, cell.index, context_.settings.region,
                                             members) != context_.self()) {
            continue;
        }
        for (const config::object* object : back_ends_of(*configuration, cell)) {
            if (backends_.engine(base::backend_id(object->name)) != nullptr) {
                engines.emplace_back(object->name);
            }
        }
    }
    return engines;
}

void cache_reconciliation::list(const base::backend_id& engine) {
    backends_.engine(engine)->list_cache([this, engine, alive = std::weak_ptr<int>(alive_)](
                                             absl::StatusOr<backend::cache_listing> listing) {
        if (alive.expired() || !listing.ok()) {
            return;
        }
        std::vector<base::program_id> programs;
        for (const backend::cache_holding& holding : listing->holdings) {
            programs.push_back(holding.program);
        }
        std::map<base::shard_id, std::vector<base::program_id>> questions;
        for (auto& program : core_.take_listing(engine, programs, context_.now())) {
            const base::shard_id shard = shard_of(program, context_.settings.shard_count);
            questions[shard].push_back(std::move(program));
        }
        for (auto& [shard, asked] : questions) {
            ask(shard, std::move(asked));
        }
    });
}

void cache_reconciliation::ask(base::shard_id shard, std::vector<base::program_id> programs) {
    const auto owner = ownership_.preferred_owner(shard);
    const auto address = owner.has_value() ? membership_.peer_address(*owner) : std::nullopt;
    if (!address.has_value()) {
        return;
    }
    const std::uint64_t id = ++last_call_;
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, id](const absl::StatusOr<std::string>& payload) {
        const auto call = calls_.extract(id);
        const auto reply = payload.ok() ? wire::decode<programs_ended_reply>(*payload)
                                        : absl::StatusOr<programs_ended_reply>(payload.status());
        if (!reply.ok()) {
            return;  // Nobody could be asked: the next listing asks again.
        }
        for (const cache_orphan& orphan : core_.take_ended(reply->ended)) {
            free(orphan);
        }
    };
    calls_[id] = context_.rpc.call(*owner, *address, wire::programs_ended,
                                   wire::encode(programs_ended_request{shard, std::move(programs)}),
                                   question_timeout, std::move(callbacks));
}

void cache_reconciliation::free(const cache_orphan& orphan) {
    backend::engine_client* client = backends_.engine(orphan.engine);
    if (client == nullptr) {
        return;
    }
    client->release(orphan.program, [this, orphan, alive = std::weak_ptr<int>(alive_)](
                                        const absl::StatusOr<std::uint64_t>& blocks) {
        if (alive.expired() || !blocks.ok()) {
            return;  // It is in the next listing, and is freed then.
        }
        freed_.increment();
        base::log(base::log_level::info, "cache_orphan_freed",
                  {{"engine", orphan.engine.value()},
                   {"program", orphan.program.value()},
                   {"blocks", *blocks}});
    });
}

}  // namespace pearbarrow::node
