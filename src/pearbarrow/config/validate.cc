#include "pearbarrow/config/validate.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::config {
namespace {

constexpr std::int32_t min_priority = -100;
constexpr std::int32_t max_priority = 100;
constexpr std::uint32_t max_cell_size = 16;
/// The fourth replica exists only while one replica replaces another.
constexpr std::size_t max_replicas = 4;
constexpr std::size_t max_initial_replicas = 3;
constexpr std::size_t digest_digits = 64;
constexpr double max_weight = 1e6;

/// Collects the problems of one object.
class object_checker {
  public:
    object_checker(const object& value, std::vector<field_error>& errors)
        : value_(value), name_(to_string(value.key())), errors_(errors) {}

    void check() {
        if (value_.name.empty() || !check_label_value(value_.name).ok()) {
            add("name",
                "must be 1 to 63 letters, digits, '-', '_' or '.', with a letter or digit "
                "at both ends");
        }
        check_labels();
        std::visit([this](const auto& spec) { check_spec(spec); }, value_.spec);
    }

  private:
    void add(std::string field, std::string message) {
        errors_.push_back({name_, std::move(field), std::move(message)});
    }
    void require(bool good, const char* field, const char* message) {
        if (!good) {
            add(field, message);
        }
    }

    void check_labels() {
        static const std::set<std::string, std::less<>> reserved{"class", "tenant", "region",
                                                                 "pool",  "model",  "tool_service"};
        for (const auto& [key, value] : value_.labels.items()) {
            if (reserved.contains(key)) {
                add("labels." + key, "is a reserved key");
            }
            if (const absl::Status good = check_label_key(key); !good.ok()) {
                add("labels." + key, std::string(good.message()));
            }
            if (const absl::Status good = check_label_value(value); !good.ok()) {
                add("labels." + key, std::string(good.message()));
            }
        }
    }

    void check_address(const std::string& address) {
        const std::size_t colon = address.rfind(':');
        std::uint16_t port = 0;
        const char* end = address.data() + address.size();
        const bool has_host = colon != std::string::npos && colon > 0;
        const char* digits = has_host ? address.data() + colon + 1 : end;
        const auto parsed = std::from_chars(digits, end, port);
        const bool ip_characters =
            has_host &&
            std::all_of(address.begin(), address.begin() + static_cast<long>(colon), [](char c) {
                return std::string_view("0123456789abcdefABCDEF.:[]").find(c) !=
                       std::string_view::npos;
            });
        require(ip_characters && parsed.ec == std::errc() && parsed.ptr == end && port != 0,
                "spec.address", "must be an IP number and a port, such as 10.0.0.1:8080");
    }

    void check_limits(const limits& bounds) {
        require(!bounds.calls_per_second ||
                    (std::isfinite(*bounds.calls_per_second) && *bounds.calls_per_second > 0),
                "spec.limits.calls_per_second", "must be above 0");
        require(!bounds.call_burst || bounds.calls_per_second, "spec.limits.call_burst",
                "needs calls_per_second");
        require(bounds.call_burst != 0U, "spec.limits.call_burst", "must be above 0");
        require(!bounds.run_time || bounds.run_time->count() > 0, "spec.limits.run_time_ms",
                "must be above 0");
        require(!bounds.idle_time || bounds.idle_time->count() > 0, "spec.limits.idle_time_ms",
                "must be above 0");
        require(!bounds.repeated_calls || *bounds.repeated_calls >= 2, "spec.limits.repeated_calls",
                "must be 2 or more");
    }

    static bool in_priority_range(std::int32_t priority) {
        return priority >= min_priority && priority <= max_priority;
    }

    void check_spec(const pool_spec& spec) {
        require(!spec.model.value().empty(), "spec.model", "must not be empty");
        require(spec.cell_size >= 1 && spec.cell_size <= max_cell_size, "spec.cell_size",
                "must be from 1 to 16");
    }

    void check_spec(const engine_spec& spec) {
        check_address(spec.address);
        require(!spec.pool.value().empty(), "spec.pool", "must not be empty");
        require(spec.capacity.sequences > 0, "spec.capacity.sequences", "must be above 0");
        require(spec.capacity.cache_tokens > 0, "spec.capacity.cache_tokens", "must be above 0");
        require(spec.capacity.context_tokens > 0, "spec.capacity.context_tokens",
                "must be above 0");
    }

    void check_spec(const tool_service_spec& spec) {
        check_address(spec.address);
        require(!spec.tools.empty(), "spec.tools", "must not be empty");
        require(spec.concurrency > 0, "spec.concurrency", "must be above 0");
        std::set<base::tool_name> names;
        for (std::size_t index = 0; index < spec.tools.size(); ++index) {
            const tool_spec& tool = spec.tools[index];
            const std::string path = fmt::format("spec.tools[{}]", index);
            require(!tool.name.value().empty(), (path + ".name").c_str(), "must not be empty");
            require(names.insert(tool.name).second, (path + ".name").c_str(), "is there twice");
            require(tool.timeout.count() > 0, (path + ".timeout_ms").c_str(), "must be above 0");
        }
    }

    void check_spec(const program_class_spec& spec) {
        require(in_priority_range(spec.default_priority), "spec.default_priority",
                "must be from -100 to 100");
        check_limits(spec.bounds);
    }

    void check_spec(const tenant_spec& spec) {
        require(spec.weight > 0 && spec.weight <= max_weight, "spec.weight",
                "must be above 0, at most 1000000");
        for (std::size_t index = 0; index < spec.api_key_sha256.size(); ++index) {
            const std::string& digest = spec.api_key_sha256[index];
            const bool good = digest.size() == digest_digits &&
                              digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            require(good, fmt::format("spec.api_key_sha256[{}]", index).c_str(),
                    "must be 64 lower-case hexadecimal digits");
        }
        check_limits(spec.bounds);
    }

    void check_spec(const limit_spec& spec) {
        check_limits(spec.bounds);
        require(spec.bounds != limits{}, "spec.limits", "must set at least one limit");
    }

    void check_weight(const char* field, double weight) {
        require(weight >= 0 && weight <= max_weight, field, "must be from 0 to 1000000");
    }

    void check_spec(const scheduling_rule_spec& spec) {
        require(!spec.priority || in_priority_range(*spec.priority), "spec.priority",
                "must be from -100 to 100");
        check_weight("spec.weights.latency", spec.weights.latency);
        check_weight("spec.weights.cache", spec.weights.cache);
        check_weight("spec.weights.fairness", spec.weights.fairness);
    }

    void check_spec(const shard_map_spec& spec) {
        require(value_.name == "default", "name", "must be 'default': there is one shard map");
        require(!spec.shards.empty(), "spec.shards", "must not be empty");
        for (std::size_t index = 0; index < spec.shards.size(); ++index) {
            check_assignment(spec.shards[index], index);
        }
    }

    void check_assignment(const shard_assignment& each, std::size_t index) {
        const std::string path = fmt::format("spec.shards[{}]", index);
        require(each.shard.value() == index, (path + ".shard").c_str(),
                "must be its place in the list: shards are numbered from 0 without gaps");
        require(!each.region.value().empty(), (path + ".region").c_str(), "must not be empty");
        require(each.epoch > 0, (path + ".epoch").c_str(), "must be above 0");
        const std::set<base::node_id> nodes(each.replicas.begin(), each.replicas.end());
        require(!nodes.empty() && nodes.size() <= max_replicas, (path + ".replicas").c_str(),
                "must be 1 to 3 nodes, or 4 while one is replaced");
        require(nodes.size() == each.replicas.size(), (path + ".replicas").c_str(),
                "must not name a node twice");
        require(!each.joining || !nodes.contains(*each.joining), (path + ".joining").c_str(),
                "must not be a replica already");
    }

    const object& value_;
    std::string name_;
    std::vector<field_error>& errors_;
};

/// Checks one changed object against all other objects.
class reference_checker {
  public:
    reference_checker(const configuration& before, const configuration& after,
                      std::vector<field_error>& errors)
        : before_(before), after_(after), errors_(errors) {}

    void check(const object_key& key) {
        const object* value = after_.find(key.kind, key.name);
        if (value == nullptr) {
            check_removed(key);
            return;
        }
        if (const auto* pool = std::get_if<pool_spec>(&value->spec)) {
            check_pool(*value, *pool);
        } else if (const auto* engine = std::get_if<engine_spec>(&value->spec)) {
            check_engine(*value, *engine);
        } else if (const auto* tenant = std::get_if<tenant_spec>(&value->spec)) {
            check_tenant(*value, *tenant);
        } else if (const auto* map = std::get_if<shard_map_spec>(&value->spec)) {
            check_shard_map(*value, *map);
        }
    }

  private:
    void add(const object_key& key, std::string field, std::string message) {
        errors_.push_back({to_string(key), std::move(field), std::move(message)});
    }

    void check_removed(const object_key& key) {
        if (key.kind == object_kind::pool) {
            for (const object* engine : after_.engines_of(base::pool_id(key.name))) {
                add(key, "", "is still named by " + to_string(engine->key()));
            }
        }
        if (key.kind == object_kind::shard_map) {
            add(key, "", "cannot be removed: the shards' journals would be lost");
        }
    }

    void check_pool(const object& value, const pool_spec& pool) {
        for (const object* engine : after_.engines_of(base::pool_id(value.name))) {
            const base::model_name& model = std::get<engine_spec>(engine->spec).model;
            if (!model.value().empty() && model != pool.model) {
                add(value.key(), "spec.model",
                    fmt::format("is not the model of {}, '{}'", to_string(engine->key()),
                                model.value()));
            }
        }
    }

    void check_engine(const object& value, const engine_spec& engine) {
        const auto* pool = after_.find_spec<pool_spec>(engine.pool.value());
        if (pool == nullptr) {
            add(value.key(), "spec.pool",
                fmt::format("pool '{}' does not exist", engine.pool.value()));
        } else if (!engine.model.value().empty() && engine.model != pool->model) {
            add(value.key(), "spec.model",
                fmt::format("is not the model of its pool, '{}'", pool->model.value()));
        }
        for (const object* other : after_.all(object_kind::engine)) {
            if (other->name != value.name &&
                std::get<engine_spec>(other->spec).address == engine.address) {
                add(value.key(), "spec.address",
                    "is the address of " + to_string(other->key()) + " too");
            }
        }
    }

    void check_tenant(const object& value, const tenant_spec& tenant) {
        for (std::size_t index = 0; index < tenant.api_key_sha256.size(); ++index) {
            const std::string& digest = tenant.api_key_sha256[index];
            if (key_is_shared(value.name, digest)) {
                add(value.key(), fmt::format("spec.api_key_sha256[{}]", index),
                    "is the key of another tenant too");
            }
        }
    }

    /// Returns whether a tenant other than `name` has the digest after the change. The index of
    /// `after_` contains only one owner of the digest. An owner that the change does not modify is
    /// in the index of `before_`.
    bool key_is_shared(const std::string& name, const std::string& digest) const {
        const object* owner = after_.tenant_by_key_digest(digest);
        if (owner != nullptr && owner->name != name) {
            return true;
        }
        const object* earlier = before_.tenant_by_key_digest(digest);
        if (earlier == nullptr || earlier->name == name) {
            return false;
        }
        const auto* now = after_.find_spec<tenant_spec>(earlier->name);
        return now != nullptr && std::find(now->api_key_sha256.begin(), now->api_key_sha256.end(),
                                           digest) != now->api_key_sha256.end();
    }

    void check_shard_map(const object& value, const shard_map_spec& map) {
        const auto* earlier = before_.find_spec<shard_map_spec>(value.name);
        if (earlier == nullptr) {
            check_initial_map(value.key(), map);
            return;
        }
        if (map.shards.size() != earlier->shards.size()) {
            add(value.key(), "spec.shards", "the number of shards cannot change");
            return;
        }
        for (std::size_t index = 0; index < map.shards.size(); ++index) {
            check_reassignment(value.key(), index, earlier->shards[index], map.shards[index]);
        }
    }

    void check_initial_map(const object_key& key, const shard_map_spec& map) {
        for (std::size_t index = 0; index < map.shards.size(); ++index) {
            if (map.shards[index].replicas.size() > max_initial_replicas) {
                add(key, fmt::format("spec.shards[{}].replicas", index),
                    fmt::format("must be 1 to {} nodes at first", max_initial_replicas));
            }
        }
    }

    /// Allows one replica to be added or removed per epoch (docs/design/journal.md). Replacing a
    /// replica in one epoch would allow two majorities without a common member.
    void check_reassignment(const object_key& key, std::size_t index,
                            const shard_assignment& before, const shard_assignment& after) {
        const std::string path = fmt::format("spec.shards[{}]", index);
        if (before == after) {
            return;
        }
        if (after.region != before.region) {
            add(key, path + ".region", "cannot change");
        }
        const long added = count_missing(after.replicas, before.replicas);
        const long removed = count_missing(before.replicas, after.replicas);
        const std::uint64_t epoch = before.epoch + (added + removed > 0 ? 1 : 0);
        if (after.epoch != epoch) {
            add(key, path + ".epoch",
                fmt::format("must be {}: it grows by one when the replicas change", epoch));
        }
        if (added + removed > 1) {
            add(key, path + ".replicas", "replicas change one at a time");
        } else if (added == 1 && !(before.joining == after.replicas.back())) {
            add(key, path + ".replicas",
                "must end with the node that was joining, when one is added");
        }
    }

    /// Returns the number of `nodes` that are not in `others`.
    static long count_missing(const std::vector<base::node_id>& nodes,
                              const std::vector<base::node_id>& others) {
        return std::count_if(nodes.begin(), nodes.end(), [&](const base::node_id& node) {
            return std::find(others.begin(), others.end(), node) == others.end();
        });
    }

    const configuration& before_;
    const configuration& after_;
    std::vector<field_error>& errors_;
};

object_key key_of(const change_operation& operation) {
    if (const auto* put = std::get_if<put_object>(&operation)) {
        return put->value.key();
    }
    if (const auto* removal = std::get_if<delete_object>(&operation)) {
        return removal->key;
    }
    if (const auto* label = std::get_if<set_label>(&operation)) {
        return label->key;
    }
    return std::get<remove_label>(operation).key;
}

}  // namespace

std::vector<field_error> validate_object(const object& value) {
    std::vector<field_error> errors;
    object_checker(value, errors).check();
    return errors;
}

std::vector<field_error> validate_change(const configuration& current, const change& next) {
    std::vector<field_error> errors;
    if (next.operations.empty()) {
        errors.push_back({"change", "operations", "must not be empty"});
    }
    if (next.id.empty()) {
        errors.push_back({"change", "id", "must not be empty"});
    }
    if (encode_change(next).size() > max_change_bytes) {
        errors.push_back({"change", "", fmt::format("is larger than {} bytes", max_change_bytes)});
    }
    const auto applied = current.apply(next);
    if (!applied.ok()) {
        errors.push_back({"change", "operations", std::string(applied.status().message())});
        return errors;
    }
    std::set<object_key> touched;
    for (const change_operation& operation : next.operations) {
        touched.insert(key_of(operation));
    }
    reference_checker references(current, **applied, errors);
    for (const object_key& key : touched) {
        if (const object* value = (*applied)->find(key.kind, key.name)) {
            object_checker(*value, errors).check();
        }
        references.check(key);
    }
    return errors;
}

}  // namespace pearbarrow::config
