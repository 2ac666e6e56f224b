#include "pearbarrow/node/cell_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::node {

namespace {

/// Load reports that fail in a row before an engine counts as unreachable.
constexpr std::uint32_t unreachable_after_failures = 3;

bool names(const std::vector<base::backend_id>& list, const std::string& name) {
    return std::find(list.begin(), list.end(), base::backend_id(name)) != list.end();
}

placement::cell_engine describe_engine(const config::configuration& configuration,
                                       const config::engine_spec& spec) {
    placement::cell_engine engine;
    engine.models = {model_of(configuration, spec)};
    engine.in_flight_limit = spec.capacity.sequences;
    engine.token_limit = spec.capacity.cache_tokens;
    engine.context_limit = spec.capacity.context_tokens;
    engine.draining = spec.draining;
    return engine;
}

placement::cell_engine describe_tool_service(const config::tool_service_spec& spec) {
    placement::cell_engine engine;
    for (const config::tool_spec& tool : spec.tools) {
        engine.tools.push_back(tool.name);
    }
    engine.in_flight_limit = spec.concurrency;
    engine.draining = spec.draining;
    return engine;
}

/// The back end as configured, and the name of its machine.
placement::cell_engine describe_back_end(const config::configuration& configuration,
                                         const config::object& object, std::string& machine) {
    if (const auto* service = std::get_if<config::tool_service_spec>(&object.spec)) {
        machine = service->machine;
        return describe_tool_service(*service);
    }
    const auto& engine = std::get<config::engine_spec>(object.spec);
    machine = engine.machine;
    return describe_engine(configuration, engine);
}

}  // namespace

cell_host::cell_host(node_context& context, backend_service& backends, cell_id cell)
    : context_(context),
      backends_(backends),
      cell_(std::move(cell)),
      scheduler_(placement::cell_options{}) {}

cell_host::~cell_host() {
    give_up();
}

placement::engines_changed_event cell_host::describe(
    const config::configuration_ptr& configuration,
    const std::vector<base::backend_id>& leaving) const {
    placement::engines_changed_event event;
    event.configuration = configuration;
    event.region = context_.settings.region;
    const config::object* labelled = labelled_object_of(*configuration, cell_);
    if (labelled == nullptr) {
        return event;
    }
    for (const config::object* object : back_ends_of(*configuration, cell_)) {
        std::string machine;
        placement::cell_engine engine = describe_back_end(*configuration, *object, machine);
        engine.backend = base::backend_id(object->name);
        engine.pool_labels = config::pool_labels(*labelled);
        const auto watch = engines_.find(engine.backend);
        const bool known = watch != engines_.end();
        engine.draining = engine.draining || names(leaving, object->name) ||
                          (!machine.empty() && names(leaving, machine)) ||
                          (known && watch->second.draining);
        engine.unreachable = known && watch->second.unreachable;
        event.engines.push_back(std::move(engine));
    }
    return event;
}

void cell_host::configure(const config::configuration_ptr& configuration,
                          const std::vector<base::backend_id>& leaving) {
    placement::engines_changed_event event = describe(configuration, leaving);
    std::map<base::backend_id, engine_watch> kept;
    for (const placement::cell_engine& engine : event.engines) {
        kept[engine.backend] = engines_[engine.backend];
    }
    engines_ = std::move(kept);
    feed(event);
}

void cell_host::offer(wire::placement_offer offer, std::shared_ptr<net::peer_responder> responder) {
    const base::attempt_id attempt = offer.attempt;
    responder->on_cancelled([this, attempt, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            withdraw(attempt);
        }
    });
    waiting_[attempt] = std::move(responder);
    offered_programs_[attempt] = offer.program;
    feed(placement::offer_event{std::move(offer)});
}

void cell_host::withdraw(const base::attempt_id& attempt) {
    waiting_.erase(attempt);
    offered_programs_.erase(attempt);
    feed(placement::withdraw_event{attempt});
    const auto granted = granted_.find(attempt);
    if (granted == granted_.end()) {
        return;
    }
    wire::placement_finished finished;
    finished.attempt = attempt;
    finished.program = granted->second.program;
    finished.backend = granted->second.backend;
    finished.outcome = wire::attempt_outcome::cancelled;
    finish(finished);
}

void cell_host::finish(const wire::placement_finished& finished) {
    if (finished.attempt.value().empty() && finished.program_ended) {
        feed(placement::program_ended_event{finished.program});
        return;
    }
    granted_.erase(finished.attempt);
    feed(placement::finished_event{finished});
}

void cell_host::register_in_flight(const wire::placement_registration& registration) {
    granted_[registration.offer.attempt] = {registration.offer.owner, registration.offer.program,
                                            registration.backend};
    feed(placement::in_flight_registered_event{registration});
}

void cell_host::owner_lost(const base::node_id& owner) {
    std::vector<base::attempt_id> lost;
    for (const auto& [attempt, grant] : granted_) {
        if (grant.owner == owner) {
            lost.push_back(attempt);
        }
    }
    for (const base::attempt_id& attempt : lost) {
        withdraw(attempt);
    }
}

void cell_host::give_up() {
    for (const auto& [attempt, responder] : std::exchange(waiting_, {})) {
        responder->fail(base::make_error(
            absl::StatusCode::kUnavailable, "the cell's queue has moved to another node",
            {.step = "place", .peer = context_.self().value(), .reason = "not_dispatcher"}));
    }
}

void cell_host::tick() {
    feed(placement::tick_event{});
}

std::optional<placement::decision_record> cell_host::explain(
    const base::attempt_id& attempt) const {
    return scheduler_.explain(attempt, context_.now());
}

void cell_host::feed(const placement::cell_event& event) {
    for (const placement::cell_action& action : scheduler_.apply(event, context_.now())) {
        carry_out(action);
    }
}

void cell_host::carry_out(const placement::cell_action& action) {
    if (const auto* grant = std::get_if<placement::grant_action>(&action)) {
        granted_[grant->attempt] = {grant->owner, offered_programs_[grant->attempt],
                                    grant->backend};
        answer(grant->attempt, action);
    } else if (const auto* refusal = std::get_if<placement::refuse_action>(&action)) {
        answer(refusal->attempt, action);
    }
}

void cell_host::answer(const base::attempt_id& attempt, const placement::cell_action& action) {
    offered_programs_.erase(attempt);
    const auto found = waiting_.find(attempt);
    if (found == waiting_.end()) {
        return;
    }
    const std::shared_ptr<net::peer_responder> responder = std::move(found->second);
    waiting_.erase(found);
    responder->finish(wire::encode(placement::to_reply(action)));
}

void cell_host::poll_engines() {
    for (const auto& [id, watch] : engines_) {
        backend::engine_client* client = backends_.engine(id);
        if (client == nullptr) {
            continue;
        }
        poll_load(id, *client);
        poll_cache_events(id, *client);
    }
}

void cell_host::poll_load(const base::backend_id& id, backend::engine_client& client) {
    engine_watch& watch = engines_[id];
    if (watch.load_pending) {
        return;
    }
    watch.load_pending = true;
    client.read_load([this, id, alive = std::weak_ptr<int>(alive_)](
                         absl::StatusOr<backend::load_report> report) {
        if (!alive.expired()) {
            take_load(id, report);
        }
    });
}

void cell_host::take_load(const base::backend_id& id,
                          const absl::StatusOr<backend::load_report>& report) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    engine_watch& watch = found->second;
    watch.load_pending = false;
    if (!report.ok()) {
        ++watch.failures;
        set_engine_state(id, watch.draining, watch.failures >= unreachable_after_failures);
        return;
    }
    watch.failures = 0;
    set_engine_state(id, report->leaving, false);
    placement::engine_report_event event;
    event.backend = id;
    event.age = report->age;
    event.running = report->running;
    event.waiting = report->queued;
    event.tokens_in_use = report->cache_blocks_used * report->block_tokens;
    watch.block_tokens = report->block_tokens;
    feed(event);
}

void cell_host::set_engine_state(const base::backend_id& id, bool draining, bool unreachable) {
    engine_watch& watch = engines_[id];
    if (watch.draining == draining && watch.unreachable == unreachable) {
        return;
    }
    watch.draining = draining;
    watch.unreachable = unreachable;
    base::log(base::log_level::info, "engine_state_changed",
              {{"engine", id.value()}, {"draining", draining}, {"unreachable", unreachable}});
    feed(placement::engine_state_event{id, draining, unreachable});
}

void cell_host::poll_cache_events(const base::backend_id& id, backend::engine_client& client) {
    engine_watch& watch = engines_[id];
    if (watch.events_pending) {
        return;
    }
    watch.events_pending = true;
    client.read_cache_events(watch.next_event,
                             [this, id, alive = std::weak_ptr<int>(alive_)](
                                 absl::StatusOr<backend::cache_event_batch> read) {
                                 if (alive.expired() || !engines_.contains(id)) {
                                     return;
                                 }
                                 engines_[id].events_pending = false;
                                 if (read.ok()) {
                                     take_cache_events(id, *read);
                                 }
                             });
}

void cell_host::take_cache_events(const base::backend_id& id,
                                  const backend::cache_event_batch& batch) {
    engine_watch& watch = engines_[id];
    watch.next_event = batch.next_after;
    for (const backend::cache_event& item : batch.events) {
        if (!item.program.value().empty()) {
            const std::uint64_t left = item.blocks_left * watch.block_tokens;
            feed(placement::cache_event{id, item.program, static_cast<std::uint32_t>(left)});
        }
    }
}

}  // namespace pearbarrow::node
