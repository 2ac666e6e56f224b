#include "pearbarrow/node/operator_service.h"

#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/node/drain_message.h"
#include "pearbarrow/placement/decision.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds drain_timeout{3'000};
constexpr base::milliseconds explain_timeout{5'000};

absl::Status bad_request(std::string message, std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "operate", .reason = std::move(reason)});
}

absl::Status not_found(std::string message, std::string reason) {
    return base::make_error(absl::StatusCode::kNotFound, message,
                            {.step = "operate", .reason = std::move(reason)});
}

operators::resource to_resource(const config::object& object) {
    return {std::string(config::to_string(object.kind())), object.name, config::to_json(object)};
}

nlohmann::json parse_json(const std::string& text) {
    return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string outcome_json(const placement::decision_record& record) {
    return placement::explain_json(record);
}

}  // namespace

operator_service::operator_service(node_context& context, membership_service& membership,
                                   configuration_service& configuration,
                                   ownership_director& ownership, peer_router& router,
                                   readiness_check not_ready_reason)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      ownership_(ownership),
      router_(router),
      not_ready_reason_(std::move(not_ready_reason)),
      started_(context.now()) {}

void operator_service::register_methods() {
    context_.rpc.register_method(wire::node_drain, [this](auto payload, auto responder) {
        const auto message = wire::decode<node_drain_message>(payload);
        if (!message.ok()) {
            responder->fail(message.status());
            return;
        }
        membership_.set_draining(message->draining);
        responder->finish({});
    });
}

void operator_service::list_resources(std::string kind,
                                      operators::answer<operators::resource_list> done) {
    const config::configuration_ptr configuration = configuration_.current();
    operators::resource_list list;
    list.version = configuration->version();
    const auto wanted = config::parse_object_kind(kind);
    if (!kind.empty() && !wanted.has_value()) {
        done(not_found("there is no kind of object called '" + kind + "'", "unknown_kind"));
        return;
    }
    for (const config::object& object : configuration->objects()) {
        if (!wanted.has_value() || object.kind() == *wanted) {
            list.resources.push_back(to_resource(object));
        }
    }
    done(std::move(list));
}

namespace {

/// The operations of an apply request, counted, or the mistakes in it.
struct planned_change {
    std::vector<config::change_operation> operations;
    operators::apply_result result;
};

void plan_puts(const config::configuration& current,
               const std::vector<operators::resource>& resources, planned_change& plan) {
    for (std::size_t index = 0; index < resources.size(); ++index) {
        auto parsed = config::object_from_json(resources[index].body);
        for (const config::field_error& error : parsed.errors) {
            plan.result.problems.push_back({index, error.field, error.message});
        }
        if (!parsed.value.has_value() || !parsed.errors.empty()) {
            continue;
        }
        const config::object* before = current.find(parsed.value->kind(), parsed.value->name);
        if (before != nullptr && *before == *parsed.value) {
            ++plan.result.unchanged;
            continue;
        }
        ++(before == nullptr ? plan.result.created : plan.result.changed);
        plan.operations.emplace_back(config::put_object{*std::move(parsed.value)});
    }
}

void plan_removals(const config::configuration& current,
                   const std::vector<operators::resource>& removals, planned_change& plan) {
    for (std::size_t index = 0; index < removals.size(); ++index) {
        const auto kind = config::parse_object_kind(removals[index].kind);
        if (!kind.has_value()) {
            plan.result.problems.push_back({index, "kind", "is not a kind of object"});
        } else if (current.find(*kind, removals[index].name) == nullptr) {
            ++plan.result.unchanged;
        } else {
            ++plan.result.removed;
            plan.operations.emplace_back(config::delete_object{{*kind, removals[index].name}});
        }
    }
}

/// Position in the request of the object that a mistake concerns.
std::size_t position_of(const std::vector<operators::resource>& resources,
                        const std::string& object) {
    for (std::size_t index = 0; index < resources.size(); ++index) {
        if (resources[index].kind + "/" + resources[index].name == object) {
            return index;
        }
    }
    return 0;
}

}  // namespace

void operator_service::apply(operators::apply_request request,
                             operators::answer<operators::apply_result> done) {
    const config::configuration_ptr current = configuration_.current();
    if (request.base_version.has_value() && *request.base_version != current->version()) {
        done(base::make_error(
            absl::StatusCode::kAborted,
            "the version in force is " + std::to_string(current->version().value()),
            {.step = "apply", .reason = "version_conflict"}));
        return;
    }
    planned_change plan;
    plan_puts(*current, request.resources, plan);
    plan_removals(*current, request.removals, plan);
    config::change change;
    change.id = request.change_id.empty() ? context_.random.hex_id() : request.change_id;
    change.base_version = current->version();
    change.author = request.author;
    change.operations = std::move(plan.operations);
    if (plan.result.problems.empty() && !change.operations.empty()) {
        for (const config::field_error& error : config::validate_change(*current, change)) {
            plan.result.problems.push_back({position_of(request.resources, error.object),
                                            error.field, error.object + ": " + error.message});
        }
    }
    plan.result.version = current->version();
    plan.result.change_id = change.id;
    if (!plan.result.problems.empty() || request.dry_run || change.operations.empty()) {
        done(std::move(plan.result));
        return;
    }
    propose(std::move(change), std::move(plan.result), std::move(done));
}

void operator_service::propose(config::change change, operators::apply_result counted,
                               operators::answer<operators::apply_result> done) {
    configuration_.propose(std::move(change),
                           [counted = std::move(counted), done = std::move(done)](
                               const absl::StatusOr<base::config_version>& version) mutable {
                               if (!version.ok()) {
                                   done(version.status());
                                   return;
                               }
                               counted.version = *version;
                               done(std::move(counted));
                           });
}

void operator_service::label(operators::label_request request,
                             operators::answer<operators::apply_result> done) {
    const auto kind = config::parse_object_kind(request.kind);
    const config::configuration_ptr current = configuration_.current();
    if (!kind.has_value() || current->find(*kind, request.name) == nullptr) {
        done(not_found("there is no " + request.kind + "/" + request.name, "unknown_object"));
        return;
    }
    config::change change;
    change.id = request.change_id.empty() ? context_.random.hex_id() : request.change_id;
    change.base_version = current->version();
    change.author = request.author;
    const config::object_key key{*kind, request.name};
    for (const auto& [name, value] : request.set) {
        change.operations.emplace_back(config::set_label{key, name, value});
    }
    for (const std::string& name : request.remove) {
        change.operations.emplace_back(config::remove_label{key, name});
    }
    const auto errors = config::validate_change(*current, change);
    if (!errors.empty()) {
        done(config::to_status(errors));
        return;
    }
    operators::apply_result counted;
    counted.change_id = change.id;
    counted.changed = 1;
    propose(std::move(change), std::move(counted), std::move(done));
}

void operator_service::drain(operators::drain_request request,
                             operators::answer<operators::apply_result> done) {
    if (request.target == operators::drain_target::node) {
        drain_node(request, std::move(done));
    } else {
        drain_back_end(request, std::move(done));
    }
}

void operator_service::drain_node(const operators::drain_request& request,
                                  operators::answer<operators::apply_result> done) {
    const base::node_id node(request.name);
    const auto address = membership_.peer_address(node);
    if (!address.has_value()) {
        done(not_found("there is no node '" + request.name + "'", "unknown_node"));
        return;
    }
    operators::apply_result result;
    result.version = configuration_.current()->version();
    result.changed = 1;
    auto handle = std::make_shared<std::unique_ptr<net::peer_call_handle>>();
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [handle, result,
                         done = std::move(done)](const absl::StatusOr<std::string>& payload) {
        if (payload.ok()) {
            done(result);
        } else {
            done(payload.status());
        }
    };
    *handle = context_.rpc.call(node, *address, wire::node_drain,
                                wire::encode(node_drain_message{request.draining}), drain_timeout,
                                std::move(callbacks));
}

void operator_service::drain_back_end(const operators::drain_request& request,
                                      operators::answer<operators::apply_result> done) {
    const config::configuration_ptr current = configuration_.current();
    const config::object* found = current->find(config::object_kind::engine, request.name);
    if (found == nullptr) {
        found = current->find(config::object_kind::tool_service, request.name);
    }
    if (found == nullptr) {
        done(not_found("there is no back end '" + request.name + "'", "unknown_object"));
        return;
    }
    config::object changed = *found;
    if (auto* engine = std::get_if<config::engine_spec>(&changed.spec)) {
        engine->draining = request.draining;
    } else if (auto* service = std::get_if<config::tool_service_spec>(&changed.spec)) {
        service->draining = request.draining;
    }
    operators::apply_result counted;
    counted.version = current->version();
    if (changed == *found) {
        counted.unchanged = 1;
        done(std::move(counted));
        return;
    }
    config::change change;
    change.id = context_.random.hex_id();
    change.base_version = current->version();
    change.author = request.author;
    change.operations.emplace_back(config::put_object{std::move(changed)});
    counted.change_id = change.id;
    counted.changed = 1;
    propose(std::move(change), std::move(counted), std::move(done));
}

void operator_service::fetch_records(const operators::call_reference& call, record_answer done) {
    wire::program_request request;
    request.program = call.program;
    request.operator_explain = wire::operator_explain_request{call.call};
    auto route = std::make_shared<std::unique_ptr<gateway::program_route>>();
    gateway::program_route_callbacks callbacks;
    callbacks.on_done = [route,
                         done = std::move(done)](const absl::StatusOr<wire::program_reply>& reply) {
        if (!reply.ok()) {
            done(reply.status());
        } else if (!reply->explain.has_value()) {
            done(bad_request("the owner's reply holds no decisions", "malformed_message"));
        } else {
            done(*reply->explain);
        }
    };
    *route = router_.start(std::move(request), explain_timeout, std::move(callbacks));
}

void operator_service::explain(operators::call_reference call,
                               operators::answer<operators::call_explanation> done) {
    fetch_records(
        call, [call, done = std::move(done)](const absl::StatusOr<wire::explain_view>& view) {
            if (!view.ok()) {
                done(view.status());
                return;
            }
            operators::call_explanation explanation;
            explanation.call = call;
            explanation.state = view->state;
            explanation.reason = view->reason;
            for (const std::string& bytes : view->decision_records) {
                const auto record = placement::decode_record(bytes);
                if (record.ok()) {
                    explanation.decisions.push_back(parse_json(placement::explain_json(*record)));
                }
            }
            done(std::move(explanation));
        });
}

void operator_service::verify(operators::call_reference call,
                              operators::answer<operators::call_verification> done) {
    fetch_records(call,
                  [call, done = std::move(done)](const absl::StatusOr<wire::explain_view>& view) {
                      if (!view.ok()) {
                          done(view.status());
                          return;
                      }
                      operators::call_verification verification;
                      verification.call = call;
                      verification.verified = !view->decision_records.empty();
                      for (const std::string& bytes : view->decision_records) {
                          auto record = placement::decode_record(bytes);
                          if (!record.ok()) {
                              verification.verified = false;
                              continue;
                          }
                          operators::verified_decision item;
                          item.decision = record->inputs.attempt.value();
                          item.matches = placement::verify(*record).ok();
                          item.recorded = parse_json(outcome_json(*record));
                          record->outcome = placement::redecide(*record);
                          item.recomputed = parse_json(outcome_json(*record));
                          verification.verified = verification.verified && item.matches;
                          verification.decisions.push_back(std::move(item));
                      }
                      done(std::move(verification));
                  });
}

std::vector<operators::node_report> operator_service::nodes() const {
    std::vector<operators::node_report> reports;
    for (const membership::member& member : membership_.members()) {
        operators::node_report report;
        report.node = member.id;
        report.zone = member.metadata.zone;
        report.region = member.metadata.region;
        report.state = std::string(membership::to_string(member.state));
        report.draining = member.metadata.draining;
        report.has_disk = member.metadata.has_disk;
        report.version = member.config_version;
        report.caller_address = net::to_string(member.metadata.caller);
        report.peer_address = net::to_string(member.metadata.peer);
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<operators::shard_report> operator_service::shards() const {
    std::vector<operators::shard_report> reports;
    const config::configuration_ptr configuration = configuration_.current();
    const auto* map = configuration->find_spec<config::shard_map_spec>("default");
    if (map == nullptr) {
        return reports;
    }
    for (const config::shard_assignment& assignment : map->shards) {
        operators::shard_report report;
        report.shard = assignment.shard;
        report.replicas = assignment.replicas;
        const auto host = ownership_.hosts().find(assignment.shard);
        if (host == ownership_.hosts().end()) {
            report.owner = ownership_.preferred_owner(assignment.shard);
            report.state = "elsewhere";
        } else {
            const bool serving = host->second->state() == shard_state::serving;
            report.owner = context_.self();
            report.state = !serving                    ? "recovering"
                           : host->second->available() ? "serving"
                                                       : "unavailable";
            report.programs = host->second->program_count();
            report.ballot_round = host->second->leader().current_ballot().round;
            report.commit_index = host->second->leader().commit_index().value();
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

operators::cluster_status operator_service::status() const {
    operators::cluster_status status;
    status.node = context_.self();
    status.cluster = context_.settings.cluster;
    status.version = configuration_.current()->version();
    status.not_ready_reason = not_ready_reason_();
    status.ready = status.not_ready_reason.empty();
    status.platform_reachable = configuration_.store_reachable();
    for (const membership::member& member : membership_.members()) {
        status.nodes_alive += member.state == membership::member_state::alive ? 1 : 0;
        status.nodes_suspect += member.state == membership::member_state::suspect ? 1 : 0;
        status.nodes_dead += member.state == membership::member_state::dead ? 1 : 0;
    }
    status.shard_count = context_.settings.shard_count;
    for (const auto& [shard, host] : ownership_.hosts()) {
        status.shards_owned += host->state() == shard_state::serving ? 1 : 0;
        status.programs += host->program_count();
        status.calls_in_flight += host->running_calls();
    }
    status.uptime_milliseconds =
        std::chrono::duration_cast<base::milliseconds>(context_.now() - started_).count();
    return status;
}

}  // namespace pearbarrow::node
