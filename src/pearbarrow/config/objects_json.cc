#include <spdlog/fmt/fmt.h>

#include "pearbarrow/config/json_reader.h"
#include "pearbarrow/config/objects.h"

namespace pearbarrow::config {
namespace {

using nlohmann::json;

template <typename Value>
void put_optional(json& out, const char* name, const std::optional<Value>& value) {
    if (value) {
        out[name] = *value;
    }
}

void put_optional(json& out, const char* name, const std::optional<base::milliseconds>& value) {
    if (value) {
        out[name] = value->count();
    }
}

void read_limits(json_reader& parent, limits& out) {
    const json* field = parent.find_known("limits");
    if (field == nullptr) {
        return;
    }
    json_reader reader = parent.inner(*field, parent.path_of("limits"));
    reader.optional("calls_per_second", out.calls_per_second);
    reader.optional("call_burst", out.call_burst);
    reader.optional("programs_at_once", out.programs_at_once);
    reader.optional("tokens_in_flight", out.tokens_in_flight);
    reader.optional("queued_calls", out.queued_calls);
    reader.optional("turns", out.turns);
    reader.optional("budget", out.budget);
    reader.optional("run_time_ms", out.run_time);
    reader.optional("idle_time_ms", out.idle_time);
    reader.optional("repeated_calls", out.repeated_calls);
    reader.finish();
}

json limits_json(const limits& value) {
    json out = json::object();
    put_optional(out, "calls_per_second", value.calls_per_second);
    put_optional(out, "call_burst", value.call_burst);
    put_optional(out, "programs_at_once", value.programs_at_once);
    put_optional(out, "tokens_in_flight", value.tokens_in_flight);
    put_optional(out, "queued_calls", value.queued_calls);
    put_optional(out, "turns", value.turns);
    put_optional(out, "budget", value.budget);
    put_optional(out, "run_time_ms", value.run_time);
    put_optional(out, "idle_time_ms", value.idle_time);
    put_optional(out, "repeated_calls", value.repeated_calls);
    return out;
}

void read_spec(json_reader& reader, pool_spec& out) {
    reader.required("model", out.model);
    reader.optional("cell_size", out.cell_size);
}

json spec_json(const pool_spec& value) {
    return {{"model", value.model.value()}, {"cell_size", value.cell_size}};
}

void read_capacity(json_reader& parent, engine_capacity& out) {
    const json* field = parent.find_known("capacity");
    if (field == nullptr) {
        return;
    }
    json_reader reader = parent.inner(*field, parent.path_of("capacity"));
    reader.optional("sequences", out.sequences);
    reader.optional("cache_tokens", out.cache_tokens);
    reader.optional("context_tokens", out.context_tokens);
    reader.finish();
}

void read_cost(json_reader& parent, token_cost& out) {
    const json* field = parent.find_known("cost");
    if (field == nullptr) {
        return;
    }
    json_reader reader = parent.inner(*field, parent.path_of("cost"));
    reader.optional("prompt_token", out.prompt_token);
    reader.optional("output_token", out.output_token);
    reader.finish();
}

void read_spec(json_reader& reader, engine_spec& out) {
    reader.required("address", out.address);
    reader.required("pool", out.pool);
    reader.optional("model", out.model);
    reader.optional("machine", out.machine);
    read_capacity(reader, out.capacity);
    read_cost(reader, out.cost);
    reader.optional("draining", out.draining);
}

json spec_json(const engine_spec& value) {
    return {
        {"address", value.address},
        {"pool", value.pool.value()},
        {"model", value.model.value()},
        {"machine", value.machine},
        {"capacity",
         {{"sequences", value.capacity.sequences},
          {"cache_tokens", value.capacity.cache_tokens},
          {"context_tokens", value.capacity.context_tokens}}},
        {"cost",
         {{"prompt_token", value.cost.prompt_token}, {"output_token", value.cost.output_token}}},
        {"draining", value.draining}};
}

void read_tool(json_reader reader, tool_spec& out) {
    reader.required("name", out.name);
    reader.required("repeatable", out.repeatable);
    reader.optional("queryable", out.queryable);
    reader.optional("cost", out.cost);
    reader.optional("timeout_ms", out.timeout);
    reader.finish();
}

/// Reads a list of objects and calls `read_item(reader, item)` for each.
template <typename Item, typename ReadItem>
void read_list(json_reader& parent, const char* name, std::vector<Item>& out, ReadItem read_item) {
    const json* field = parent.find_known(name);
    if (field == nullptr || !field->is_array()) {
        parent.add_error(parent.path_of(name), field == nullptr ? "is missing" : "must be a list");
        return;
    }
    for (std::size_t index = 0; index < field->size(); ++index) {
        const std::string path = fmt::format("{}[{}]", parent.path_of(name), index);
        read_item(parent.inner((*field)[index], path), out.emplace_back());
    }
}

void read_spec(json_reader& reader, tool_service_spec& out) {
    reader.required("address", out.address);
    read_list(reader, "tools", out.tools, read_tool);
    reader.optional("machine", out.machine);
    reader.optional("concurrency", out.concurrency);
    reader.optional("draining", out.draining);
}

json spec_json(const tool_service_spec& value) {
    json tools = json::array();
    for (const tool_spec& tool : value.tools) {
        tools.push_back({{"name", tool.name.value()},
                         {"repeatable", tool.repeatable},
                         {"queryable", tool.queryable},
                         {"cost", tool.cost},
                         {"timeout_ms", tool.timeout.count()}});
    }
    return {{"address", value.address},
            {"tools", std::move(tools)},
            {"machine", value.machine},
            {"concurrency", value.concurrency},
            {"draining", value.draining}};
}

void read_spec(json_reader& reader, program_class_spec& out) {
    reader.optional("default_priority", out.default_priority);
    read_limits(reader, out.bounds);
}

json spec_json(const program_class_spec& value) {
    return {{"default_priority", value.default_priority}, {"limits", limits_json(value.bounds)}};
}

void read_spec(json_reader& reader, tenant_spec& out) {
    reader.required("api_key_sha256", out.api_key_sha256);
    reader.optional("weight", out.weight);
    read_limits(reader, out.bounds);
}

json spec_json(const tenant_spec& value) {
    return {{"api_key_sha256", value.api_key_sha256},
            {"weight", value.weight},
            {"limits", limits_json(value.bounds)}};
}

void read_spec(json_reader& reader, limit_spec& out) {
    reader.required("programs", out.programs);
    read_limits(reader, out.bounds);
}

json spec_json(const limit_spec& value) {
    return {{"programs", to_string(value.programs)}, {"limits", limits_json(value.bounds)}};
}

void read_weights(json_reader& parent, scheduling_weights& out) {
    const json* field = parent.find_known("weights");
    if (field == nullptr) {
        return;
    }
    json_reader reader = parent.inner(*field, parent.path_of("weights"));
    reader.optional("latency", out.latency);
    reader.optional("cache", out.cache);
    reader.optional("fairness", out.fairness);
    reader.finish();
}

void read_spec(json_reader& reader, scheduling_rule_spec& out) {
    std::string effect = "allow";
    reader.required("programs", out.programs);
    reader.required("pools", out.pools);
    reader.optional("effect", effect);
    reader.optional("precedence", out.precedence);
    reader.optional("priority", out.priority);
    read_weights(reader, out.weights);
    if (effect != "allow" && effect != "deny") {
        reader.add_error(reader.path_of("effect"), "must be 'allow' or 'deny'");
    }
    out.effect = effect == "deny" ? rule_effect::deny : rule_effect::allow;
}

json spec_json(const scheduling_rule_spec& value) {
    json out = {{"programs", to_string(value.programs)},
                {"pools", to_string(value.pools)},
                {"effect", value.effect == rule_effect::allow ? "allow" : "deny"},
                {"precedence", value.precedence},
                {"weights",
                 {{"latency", value.weights.latency},
                  {"cache", value.weights.cache},
                  {"fairness", value.weights.fairness}}}};
    put_optional(out, "priority", value.priority);
    return out;
}

void read_assignment(json_reader reader, shard_assignment& out) {
    reader.required("shard", out.shard);
    reader.required("region", out.region);
    reader.required("replicas", out.replicas);
    reader.optional("epoch", out.epoch);
    reader.optional("joining", out.joining);
    reader.finish();
}

void read_spec(json_reader& reader, shard_map_spec& out) {
    read_list(reader, "shards", out.shards, read_assignment);
}

json spec_json(const shard_map_spec& value) {
    json shards = json::array();
    for (const shard_assignment& each : value.shards) {
        json replicas = json::array();
        for (const base::node_id& node : each.replicas) {
            replicas.push_back(node.value());
        }
        json item = {{"shard", each.shard.value()},
                     {"region", each.region.value()},
                     {"replicas", std::move(replicas)},
                     {"epoch", each.epoch}};
        if (each.joining) {
            item["joining"] = each.joining->value();
        }
        shards.push_back(std::move(item));
    }
    return {{"shards", std::move(shards)}};
}

object_spec default_spec(object_kind kind) {
    switch (kind) {
        case object_kind::pool:
            return pool_spec{};
        case object_kind::engine:
            return engine_spec{};
        case object_kind::tool_service:
            return tool_service_spec{};
        case object_kind::program_class:
            return program_class_spec{};
        case object_kind::tenant:
            return tenant_spec{};
        case object_kind::limit:
            return limit_spec{};
        case object_kind::scheduling_rule:
            return scheduling_rule_spec{};
        case object_kind::shard_map:
            return shard_map_spec{};
    }
    return pool_spec{};
}

/// Returns the name of the object in problems: "kind/name", as far as the JSON contains them.
std::string display_name(const json& value) {
    const auto text = [&](const char* name) {
        const auto found = value.is_object() ? value.find(name) : value.end();
        return found != value.end() && found->is_string() ? found->get<std::string>()
                                                          : std::string("?");
    };
    return text("kind") + "/" + text("name");
}

}  // namespace

object_parse_result object_from_json(const json& value) {
    object_parse_result result;
    json_reader reader(value, display_name(value), "", result.errors);
    object parsed;
    const std::optional<object_key> key = read_object_key(reader);
    reader.optional("labels", parsed.labels);
    const json* spec = reader.find_known("spec");
    if (spec == nullptr) {
        reader.add_error("spec", "is missing");
    } else if (key) {
        parsed.name = key->name;
        parsed.spec = default_spec(key->kind);
        json_reader spec_reader = reader.inner(*spec, "spec");
        std::visit([&](auto& each) { read_spec(spec_reader, each); }, parsed.spec);
        spec_reader.finish();
    }
    reader.finish();
    if (result.errors.empty()) {
        result.value = std::move(parsed);
    }
    return result;
}

json to_json(const object& value) {
    json labels = json::object();
    for (const auto& [key, text] : value.labels.items()) {
        labels[key] = text;
    }
    return {{"kind", std::string(to_string(value.kind()))},
            {"name", value.name},
            {"labels", std::move(labels)},
            {"spec", std::visit([](const auto& spec) { return spec_json(spec); }, value.spec)}};
}

}  // namespace pearbarrow::config
