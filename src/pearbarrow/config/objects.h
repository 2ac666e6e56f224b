/// Typed objects configured by operators, and their JSON format.
///
/// An object is a JSON resource `{"kind", "name", "labels", "spec"}`. Unknown fields are rejected.
///
/// Selectors over programs match the labels of the program, its class and its tenant. Labels of the
/// tenant override those of the class, and both override those of the program, so that operators
/// have precedence. Selectors also match the reserved keys `class`, `tenant` and `region`, which
/// can't be set.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/selector.h"

namespace pearbarrow::config {

enum class object_kind {
    pool,
    engine,
    tool_service,
    program_class,
    tenant,
    limit,
    scheduling_rule,
    shard_map
};

std::string_view to_string(object_kind kind);
std::optional<object_kind> parse_object_kind(std::string_view text);

/// Identifies an object of a configuration.
struct object_key {
    object_kind kind = object_kind::pool;
    std::string name;

    auto operator<=>(const object_key&) const = default;
};

/// Formats a key as "kind/name".
std::string to_string(const object_key& key);

/// Bounds on programs. An unset field sets no bound. If several objects apply (tenant, class,
/// matching `limit` objects), the tightest bound is effective.
struct limits {
    std::optional<double> calls_per_second;
    /// Calls that may arrive at once after an idle period; only with `calls_per_second`.
    std::optional<std::uint64_t> call_burst;
    std::optional<std::uint64_t> programs_at_once;
    /// Prompt and output tokens reserved by in-flight model calls.
    std::optional<std::uint64_t> tokens_in_flight;
    /// Calls that are queued and not yet placed.
    std::optional<std::uint64_t> queued_calls;
    /// Number of model calls in one program.
    std::optional<std::uint64_t> turns;
    /// Maximum budget of a new program, in budget units.
    std::optional<std::uint64_t> budget;
    /// Maximum lifetime of a program.
    std::optional<base::milliseconds> run_time;
    /// Maximum idle time between two calls of a program.
    std::optional<base::milliseconds> idle_time;
    /// Number of consecutive calls with equal content after which a program is ended as looping.
    std::optional<std::uint64_t> repeated_calls;

    auto operator<=>(const limits&) const = default;
};

/// A labeled group of engines that serve one model.
struct pool_spec {
    base::model_name model;
    /// Maximum number of engines in the cell of one dispatcher, 1 to 16.
    std::uint32_t cell_size = 8;

    auto operator<=>(const pool_spec&) const = default;
};

/// Capacity of one engine.
struct engine_capacity {
    /// Sequences decoded concurrently.
    std::uint32_t sequences = 32;
    /// Size of the KV cache in tokens.
    std::uint64_t cache_tokens = 1'000'000;
    /// Maximum total length of prompt and output in tokens.
    std::uint64_t context_tokens = 300'000;

    auto operator<=>(const engine_capacity&) const = default;
};

/// Price of model calls in budget units.
struct token_cost {
    std::uint64_t prompt_token = 1;
    std::uint64_t output_token = 1;

    auto operator<=>(const token_cost&) const = default;
};

/// One model engine.
struct engine_spec {
    /// "ip:port" of its HTTP interface.
    std::string address;
    base::pool_id pool;
    /// Model that the engine serves. If empty, the model of the pool.
    base::model_name model;
    /// Node name in the machine list, if it differs from the name of the object.
    std::string machine;
    engine_capacity capacity;
    token_cost cost;
    /// Whether an operator has drained the engine, so that no new work is placed on it.
    bool draining = false;

    auto operator<=>(const engine_spec&) const = default;
};

/// One tool of a tool service.
struct tool_spec {
    base::tool_name name;
    /// Whether the tool may run twice. A tool that is not repeatable runs at most once.
    bool repeatable = false;
    /// Whether the service can look up by idempotency key whether it executed a request.
    bool queryable = false;
    /// Cost of one call in budget units.
    std::uint64_t cost = 1;
    /// Maximum execution time of one attempt.
    base::milliseconds timeout{30'000};

    auto operator<=>(const tool_spec&) const = default;
};

/// A service that runs tools.
struct tool_service_spec {
    std::string address;
    std::vector<tool_spec> tools;
    /// Node name in the machine list, if it differs from the name of the object.
    std::string machine;
    /// Maximum number of concurrent requests.
    std::uint32_t concurrency = 64;
    bool draining = false;

    /// Returns the tool with this name, or null.
    const tool_spec* find(const base::tool_name& name) const;
    auto operator<=>(const tool_service_spec&) const = default;
};

/// A class of programs, such as `pairing-agent`.
struct program_class_spec {
    /// Programs with a higher priority run first. -100 to 100.
    std::int32_t default_priority = 0;
    limits bounds;

    auto operator<=>(const program_class_spec&) const = default;
};

/// A customer, whose programs are isolated from those of other tenants.
struct tenant_spec {
    /// SHA-256 hashes of the API keys, each 64 lower-case hexadecimal digits.
    std::vector<std::string> api_key_sha256;
    /// Share under contention, relative to the weights of other tenants.
    double weight = 1.0;
    limits bounds;

    auto operator<=>(const tenant_spec&) const = default;
};

/// Bounds on all programs that match a selector.
struct limit_spec {
    selector programs;
    limits bounds;

    auto operator<=>(const limit_spec&) const = default;
};

enum class rule_effect { allow, deny };

/// Weights of the objectives in the comparison of engines. Zero disables an objective.
struct scheduling_weights {
    /// Expected time to the result of the program.
    double latency = 1.0;
    /// Reuse of prefix cache entries rather than their eviction or abandonment.
    double cache = 0.5;
    /// Fairness between tenants.
    double fairness = 0.5;

    auto operator<=>(const scheduling_weights&) const = default;
};

/// Which programs may run on which pools (and tool services), and how.
///
/// A program may run on a pool if at least one `allow` rule matches both and no `deny` rule does.
/// If several `allow` rules match, the rule with the highest `precedence`, then the smallest name,
/// sets the priority and the weights. Selectors over pools match the labels of the pool or tool
/// service and the reserved keys `pool`, `model` (engines) or `tool_service`.
struct scheduling_rule_spec {
    selector programs;
    selector pools;
    rule_effect effect = rule_effect::allow;
    std::int32_t precedence = 0;
    /// Overrides the default priority of the class if set. -100 to 100.
    std::optional<std::int32_t> priority;
    scheduling_weights weights;

    auto operator<=>(const scheduling_rule_spec&) const = default;
};

/// Replicas of the journal of one shard.
struct shard_assignment {
    base::shard_id shard;
    base::region_name region;
    std::vector<base::node_id> replicas;
    /// Increases with each change of the replicas.
    std::uint64_t epoch = 1;
    /// New replica that copies the data and is not yet a voter.
    std::optional<base::node_id> joining;

    auto operator<=>(const shard_assignment&) const = default;
};

/// Assignment of the journals of shards to nodes. A single object named `default`, with the shards
/// 0 .. n-1.
struct shard_map_spec {
    std::vector<shard_assignment> shards;

    /// Returns the assignment of the shard, or null.
    const shard_assignment* find(base::shard_id shard) const;
    auto operator<=>(const shard_map_spec&) const = default;
};

/// In the order of `object_kind`.
using object_spec = std::variant<pool_spec, engine_spec, tool_service_spec, program_class_spec,
                                 tenant_spec, limit_spec, scheduling_rule_spec, shard_map_spec>;

struct object {
    std::string name;
    label_set labels;
    object_spec spec;

    object_kind kind() const { return static_cast<object_kind>(spec.index()); }
    object_key key() const { return {kind(), name}; }
    auto operator<=>(const object&) const = default;
};

/// A problem in a configuration, e.g. {"engine/e1", "spec.capacity.sequences", "must be ..."}.
struct field_error {
    std::string object;
    /// Path of the field within the object. If empty, the whole object.
    std::string field;
    std::string message;

    auto operator<=>(const field_error&) const = default;
};

/// An object, or all problems found in its JSON.
struct object_parse_result {
    std::optional<object> value;
    std::vector<field_error> errors;
};

object_parse_result object_from_json(const nlohmann::json& json);
nlohmann::json to_json(const object& value);

/// Returns ok if there are no errors. Otherwise, returns kInvalidArgument, reason
/// `invalid_configuration`, with one line per error in the message.
absl::Status to_status(const std::vector<field_error>& errors);

/// Returns the stored form of an API key: its SHA-256 as 64 lower-case hexadecimal digits.
std::string api_key_digest(std::string_view api_key);

}  // namespace pearbarrow::config
