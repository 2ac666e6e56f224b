#include "pearbarrow/config/configuration.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/config/json_reader.h"

namespace pearbarrow::config {
namespace {

using object_map = std::map<object_key, std::shared_ptr<const object>>;

constexpr std::size_t kind_count = std::variant_size_v<object_spec>;

absl::Status missing(const object_key& key) {
    return base::make_error(absl::StatusCode::kFailedPrecondition,
                            to_string(key) + " does not exist",
                            {.step = "apply_change", .reason = "object_not_found"});
}

absl::Status apply_operation(object_map& objects, const put_object& operation) {
    objects[operation.value.key()] = std::make_shared<const object>(operation.value);
    return absl::OkStatus();
}

absl::Status apply_operation(object_map& objects, const delete_object& operation) {
    return objects.erase(operation.key) == 1 ? absl::OkStatus() : missing(operation.key);
}

/// Replaces an object by a copy with labels modified by `edit`.
template <typename Edit>
absl::Status edit_labels(object_map& objects, const object_key& key, Edit edit) {
    const auto found = objects.find(key);
    if (found == objects.end()) {
        return missing(key);
    }
    object copy = *found->second;
    edit(copy.labels);
    found->second = std::make_shared<const object>(std::move(copy));
    return absl::OkStatus();
}

absl::Status apply_operation(object_map& objects, const set_label& operation) {
    return edit_labels(objects, operation.key,
                       [&](label_set& labels) { labels.set(operation.label, operation.value); });
}

absl::Status apply_operation(object_map& objects, const remove_label& operation) {
    return edit_labels(objects, operation.key,
                       [&](label_set& labels) { labels.erase(operation.label); });
}

template <typename Map, typename Key>
const std::vector<const object*>& list_or_empty(const Map& map, const Key& key) {
    static const std::vector<const object*> empty;
    const auto found = map.find(key);
    return found == map.end() ? empty : found->second;
}

bool rule_order(const object* left, const object* right) {
    const int left_precedence = std::get<scheduling_rule_spec>(left->spec).precedence;
    const int right_precedence = std::get<scheduling_rule_spec>(right->spec).precedence;
    if (left_precedence != right_precedence) {
        return left_precedence > right_precedence;
    }
    return left->name < right->name;
}

}  // namespace

configuration::configuration(base::config_version version, std::string last_change_id,
                             object_map objects)
    : version_(version), last_change_id_(std::move(last_change_id)), objects_(std::move(objects)) {
    build_indexes();
}

void configuration::build_indexes() {
    by_kind_.resize(kind_count);
    for (const auto& [key, value] : objects_) {
        const object* each = value.get();
        by_kind_[static_cast<std::size_t>(key.kind)].push_back(each);
        if (const auto* engine = std::get_if<engine_spec>(&each->spec)) {
            engines_by_pool_[engine->pool.value()].push_back(each);
        } else if (const auto* service = std::get_if<tool_service_spec>(&each->spec)) {
            for (const tool_spec& tool : service->tools) {
                services_by_tool_[tool.name.value()].push_back(each);
            }
        } else if (const auto* tenant = std::get_if<tenant_spec>(&each->spec)) {
            for (const std::string& digest : tenant->api_key_sha256) {
                tenants_by_key_.emplace(digest, each);
            }
        }
    }
    rules_ = all(object_kind::scheduling_rule);
    std::sort(rules_.begin(), rules_.end(), rule_order);
}

configuration_ptr configuration::empty() {
    return configuration_ptr(new configuration(base::config_version(0), "", {}));
}

configuration_ptr configuration::make(base::config_version version, std::vector<object> objects) {
    object_map map;
    for (object& each : objects) {
        const object_key key = each.key();
        map[key] = std::make_shared<const object>(std::move(each));
    }
    return configuration_ptr(new configuration(version, "", std::move(map)));
}

absl::StatusOr<configuration_ptr> configuration::apply(const change& next) const {
    object_map objects = objects_;
    for (const change_operation& operation : next.operations) {
        const absl::Status applied =
            std::visit([&](const auto& each) { return apply_operation(objects, each); }, operation);
        if (!applied.ok()) {
            return applied;
        }
    }
    const base::config_version version(next.base_version.value() + 1);
    return configuration_ptr(new configuration(version, next.id, std::move(objects)));
}

const object* configuration::find(object_kind kind, std::string_view name) const {
    const auto found = objects_.find(object_key{kind, std::string(name)});
    return found == objects_.end() ? nullptr : found->second.get();
}

const std::vector<const object*>& configuration::all(object_kind kind) const {
    return by_kind_.at(static_cast<std::size_t>(kind));
}

const std::vector<const object*>& configuration::engines_of(const base::pool_id& pool) const {
    return list_or_empty(engines_by_pool_, pool.value());
}

const std::vector<const object*>& configuration::services_of(const base::tool_name& tool) const {
    return list_or_empty(services_by_tool_, tool.value());
}

const object* configuration::tenant_by_key_digest(std::string_view digest) const {
    const auto found = tenants_by_key_.find(std::string(digest));
    return found == tenants_by_key_.end() ? nullptr : found->second;
}

const shard_assignment* configuration::shard(base::shard_id shard) const {
    for (const object* map : all(object_kind::shard_map)) {
        const auto& shards = std::get<shard_map_spec>(map->spec).shards;
        if (shard.value() < shards.size() && shards[shard.value()].shard == shard) {
            return &shards[shard.value()];
        }
        if (const auto* found = std::get<shard_map_spec>(map->spec).find(shard)) {
            return found;
        }
    }
    return nullptr;
}

std::vector<object> configuration::objects() const {
    std::vector<object> result;
    result.reserve(objects_.size());
    for (const auto& [key, value] : objects_) {
        result.push_back(*value);
    }
    return result;
}

std::uint64_t configuration::digest() const {
    return base::stable_hash(encode_configuration(*this));
}

std::string encode_configuration(const configuration& value) {
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [key, each] : value.objects_) {
        objects.push_back(to_json(*each));
    }
    const nlohmann::json out = {{"version", value.version().value()},
                                {"last_change_id", value.last_change_id()},
                                {"objects", std::move(objects)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<configuration_ptr> decode_configuration(std::string_view text) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    std::vector<field_error> errors;
    json_reader reader(parsed, "configuration", "", errors);
    base::config_version version;
    std::string last_change_id;
    reader.required("version", version);
    reader.required("last_change_id", last_change_id);
    const nlohmann::json* objects = reader.find_known("objects");
    reader.finish();
    configuration::object_map map;
    if (objects == nullptr || !objects->is_array()) {
        errors.push_back({"configuration", "objects", "must be a list"});
    } else {
        for (const nlohmann::json& each : *objects) {
            object_parse_result read = object_from_json(each);
            errors.insert(errors.end(), read.errors.begin(), read.errors.end());
            if (read.value) {
                const object_key key = read.value->key();
                map[key] = std::make_shared<const object>(*std::move(read.value));
            }
        }
    }
    if (!errors.empty()) {
        return to_status(errors);
    }
    return configuration_ptr(new configuration(version, std::move(last_change_id), std::move(map)));
}

label_set program_labels(const configuration& configuration, const base::tenant_id& tenant,
                         std::string_view program_class, const base::region_name& region,
                         const label_set& own) {
    label_set labels = own;
    if (const object* found = configuration.find(object_kind::program_class, program_class)) {
        labels.merge(found->labels);
    }
    if (const object* found = configuration.find(object_kind::tenant, tenant.value())) {
        labels.merge(found->labels);
    }
    labels.set("class", std::string(program_class));
    labels.set("tenant", tenant.value());
    labels.set("region", region.value());
    return labels;
}

label_set pool_labels(const object& pool_or_tool_service) {
    label_set labels = pool_or_tool_service.labels;
    if (const auto* pool = std::get_if<pool_spec>(&pool_or_tool_service.spec)) {
        labels.set("pool", pool_or_tool_service.name);
        labels.set("model", pool->model.value());
    } else {
        labels.set("tool_service", pool_or_tool_service.name);
    }
    return labels;
}

rule_match match_rules(const configuration& configuration, const label_set& program,
                       const label_set& pool) {
    rule_match result;
    for (const object* rule : configuration.rules()) {
        const auto& spec = std::get<scheduling_rule_spec>(rule->spec);
        if (!spec.programs.matches(program) || !spec.pools.matches(pool)) {
            continue;
        }
        if (spec.effect == rule_effect::deny) {
            return {.allowed = false, .rule = rule};
        }
        if (result.rule == nullptr) {
            result = {.allowed = true, .rule = rule};
        }
    }
    return result;
}

}  // namespace pearbarrow::config
