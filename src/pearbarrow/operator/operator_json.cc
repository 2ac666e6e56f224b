#include "pearbarrow/operator/operator_json.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/json_body.h"

namespace pearbarrow::operators {
namespace {

using gateway::field_problem;
using gateway::object_reader;

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_labels = 64;

absl::Status body_error(std::string_view message) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "parse_body", .reason = "malformed_json"});
}

resource read_resource(const nlohmann::json& body, const std::string& path,
                       std::vector<field_problem>& problems) {
    object_reader reader(body, path, problems);
    reader.require("kind");
    reader.require("name");
    resource result;
    result.kind = reader.text("kind", max_name_bytes).value_or("");
    result.name = reader.text("name", max_name_bytes).value_or("");
    result.body = body;
    return result;
}

void read_label_changes(object_reader& reader, label_request& request) {
    if (const auto* set = reader.object("set")) {
        for (const auto& [key, value] : set->items()) {
            if (!value.is_string()) {
                reader.note("set." + key.substr(0, max_name_bytes), "must be a string");
                continue;
            }
            request.set[key] = value.get<std::string>();
        }
    }
    if (const auto* remove = reader.array("remove", max_labels)) {
        for (const auto& key : *remove) {
            if (!key.is_string()) {
                reader.note("remove", "must hold strings");
                continue;
            }
            request.remove.push_back(key.get<std::string>());
        }
    }
    if (request.set.size() > max_labels) {
        reader.note("set", fmt::format("must have at most {} labels", max_labels));
    }
    if (request.set.empty() && request.remove.empty()) {
        reader.note("set", "nothing is set and nothing removed");
    }
}

nlohmann::json call_json(const call_reference& call) {
    return {{"program", call.program.value()}, {"call", call.call.value()}};
}

}  // namespace

absl::StatusOr<std::vector<resource>> parse_resources(std::string_view body, std::size_t most) {
    const auto parsed = gateway::parse_json(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    if (!parsed->is_array() || parsed->empty() || parsed->size() > most) {
        return body_error(fmt::format("the body must be an array of 1 to {} resources", most));
    }
    std::vector<field_problem> problems;
    std::vector<resource> resources;
    for (std::size_t index = 0; index < parsed->size(); ++index) {
        resources.push_back(read_resource((*parsed)[index], fmt::format("[{}]", index), problems));
    }
    if (auto status = gateway::to_status(problems); !status.ok()) {
        return status;
    }
    return resources;
}

absl::StatusOr<label_request> parse_label_request(std::string_view body) {
    const auto parsed = gateway::parse_json_object(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::vector<field_problem> problems;
    object_reader reader(*parsed, "", problems);
    label_request request;
    read_label_changes(reader, request);
    reader.finish();
    if (auto status = gateway::to_status(problems); !status.ok()) {
        return status;
    }
    return request;
}

absl::StatusOr<drain_request> parse_drain_request(std::string_view body) {
    const auto parsed = gateway::parse_json_object(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::vector<field_problem> problems;
    object_reader reader(*parsed, "", problems);
    drain_request request;
    reader.require("target");
    reader.require("name");
    const auto target = reader.text("target", max_name_bytes).value_or("node");
    if (target != "node" && target != "back_end") {
        reader.note("target", "must be node or back_end");
    }
    request.target = target == "node" ? drain_target::node : drain_target::back_end;
    request.name = reader.text("name", max_name_bytes).value_or("");
    request.draining = reader.boolean("draining").value_or(true);
    reader.finish();
    if (auto status = gateway::to_status(problems); !status.ok()) {
        return status;
    }
    return request;
}

nlohmann::json to_json(const resource_list& list) {
    nlohmann::json resources = nlohmann::json::array();
    for (const auto& item : list.resources) {
        resources.push_back(item.body);
    }
    return {{"version", list.version.value()}, {"resources", std::move(resources)}};
}

nlohmann::json to_json(const apply_result& result) {
    return {{"version", result.version.value()}, {"change_id", result.change_id},
            {"created", result.created},         {"changed", result.changed},
            {"removed", result.removed},         {"unchanged", result.unchanged}};
}

nlohmann::json to_json(const node_report& node) {
    return {{"node", node.node.value()},        {"zone", node.zone.value()},
            {"region", node.region.value()},    {"state", node.state},
            {"draining", node.draining},        {"has_disk", node.has_disk},
            {"version", node.version.value()},  {"caller_address", node.caller_address},
            {"peer_address", node.peer_address}};
}

nlohmann::json to_json(const shard_report& shard) {
    nlohmann::json replicas = nlohmann::json::array();
    for (const auto& replica : shard.replicas) {
        replicas.push_back(replica.value());
    }
    nlohmann::json owner;
    if (shard.owner.has_value()) {
        owner = shard.owner->value();
    }
    return {{"shard", shard.shard.value()},      {"owner", std::move(owner)},
            {"replicas", std::move(replicas)},   {"state", shard.state},
            {"programs", shard.programs},        {"ballot_round", shard.ballot_round},
            {"commit_index", shard.commit_index}};
}

nlohmann::json to_json(const cluster_status& status) {
    return {{"node", status.node.value()},
            {"cluster", status.cluster},
            {"version", status.version.value()},
            {"ready", status.ready},
            {"not_ready_reason", status.not_ready_reason},
            {"platform_reachable", status.platform_reachable},
            {"nodes_alive", status.nodes_alive},
            {"nodes_suspect", status.nodes_suspect},
            {"nodes_dead", status.nodes_dead},
            {"shards_owned", status.shards_owned},
            {"shard_count", status.shard_count},
            {"programs", status.programs},
            {"calls_in_flight", status.calls_in_flight},
            {"uptime_ms", status.uptime_milliseconds}};
}

nlohmann::json to_json(const call_explanation& explanation) {
    auto body = call_json(explanation.call);
    body["decisions"] = explanation.decisions;
    body["state"] = explanation.state;
    if (!explanation.reason.empty()) {
        body["reason"] = explanation.reason;
    }
    return body;
}

nlohmann::json to_json(const call_verification& verification) {
    auto body = call_json(verification.call);
    nlohmann::json decisions = nlohmann::json::array();
    for (const auto& decision : verification.decisions) {
        decisions.push_back({{"decision", decision.decision},
                             {"recorded", decision.recorded},
                             {"recomputed", decision.recomputed},
                             {"matches", decision.matches}});
    }
    body["decisions"] = std::move(decisions);
    body["verified"] = verification.verified;
    return body;
}

}  // namespace pearbarrow::operators
