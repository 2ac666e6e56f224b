/// Typed objects that operators configure, and their JSON form.
///
/// An object is a JSON resource `{"kind", "name", "labels", "spec"}`. Unknown fields are refused.
///
/// Labels that selectors over programs see are the program's own, then the class's, then the
/// tenant's, later ones winning so that operators have the last word, and the reserved keys
/// `class`, `tenant` and `region`, which nobody can set.
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

/// Names one object of a configuration.
struct object_key {
    object_kind kind = object_kind::pool;
    std::string name;

    auto operator<=>(const object_key&) const = default;
};

/// "kind/name".
std::string to_string(const object_key& key);

/// Bounds on programs. A field that is not set does not bound. Where several apply (tenant, class,
/// matching `limit` objects), each holds: the tightest decides.
struct limits {
    std::optional<double> calls_per_second;
    /// Calls that may come at once after a quiet time; only with `calls_per_second`.
    std::optional<std::uint64_t> call_burst;
    std::optional<std::uint64_t> programs_at_once;
    /// Prompt and output tokens reserved by model calls under way.
    std::optional<std::uint64_t> tokens_in_flight;
    /// Calls queued and not yet placed.
    std::optional<std::uint64_t> queued_calls;
    /// Model calls in one program.
    std::optional<std::uint64_t> turns;
    /// Budget units that one program may be opened with.
    std::optional<std::uint64_t> budget;
    /// Longest life of a program.
    std::optional<base::milliseconds> run_time;
    /// Longest pause between two calls of a program.
    std::optional<base::milliseconds> idle_time;
    /// A program that makes this many calls in a row with the same content is ended as looping.
    std::optional<std::uint64_t> repeated_calls;

    auto operator<=>(const limits&) const = default;
};

/// A labelled group of engines of one model.
struct pool_spec {
    base::model_name model;
    /// Most engines of one dispatcher's cell, 1 to 16.
    std::uint32_t cell_size = 8;

    auto operator<=>(const pool_spec&) const = default;
};

/// What one engine can hold at once.
struct engine_capacity {
    /// Sequences decoded at once.
    std::uint32_t sequences = 32;
    /// Tokens that the KV cache holds.
    std::uint64_t cache_tokens = 1'000'000;
    /// Longest prompt and output together.
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
    /// The model it serves; empty: the pool's.
    base::model_name model;
    /// Node name in the machine list, when it differs from the object's name.
    std::string machine;
    engine_capacity capacity;
    token_cost cost;
    /// An operator's order: no new work is placed here.
    bool draining = false;

    auto operator<=>(const engine_spec&) const = default;
};

/// One tool of a tool service.
struct tool_spec {
    base::tool_name name;
    /// Running it twice does no harm. A tool that is not repeatable runs at most once.
    bool repeatable = false;
    /// The service can say by idempotency key whether it ran a request.
    bool queryable = false;
    /// Budget units of one call.
    std::uint64_t cost = 1;
    /// Longest run of one attempt.
    base::milliseconds timeout{30'000};

    auto operator<=>(const tool_spec&) const = default;
};

/// A service that runs tools.
struct tool_service_spec {
    std::string address;
    std::vector<tool_spec> tools;
    /// Node name in the machine list, when it differs from the object's name.
    std::string machine;
    /// Requests at once.
    std::uint32_t concurrency = 64;
    bool draining = false;

    /// The tool of that name, or null.
    const tool_spec* find(const base::tool_name& name) const;
    auto operator<=>(const tool_service_spec&) const = default;
};

/// A kind of program, such as `pairing-agent`.
struct program_class_spec {
    /// Higher runs first. -100 to 100.
    std::int32_t default_priority = 0;
    limits bounds;

    auto operator<=>(const program_class_spec&) const = default;
};

/// A customer whose programs nobody else sees.
struct tenant_spec {
    /// SHA-256 of each API key, 64 lower-case hexadecimal digits.
    std::vector<std::string> api_key_sha256;
    /// Share under contention, relative to other tenants.
    double weight = 1.0;
    limits bounds;

    auto operator<=>(const tenant_spec&) const = default;
};

/// Bounds on all programs that a selector matches.
struct limit_spec {
    selector programs;
    limits bounds;

    auto operator<=>(const limit_spec&) const = default;
};

enum class rule_effect { allow, deny };

/// How much each aim counts when engines are compared. Zero switches the aim off.
struct scheduling_weights {
    /// Expected time to the program's answer.
    double latency = 1.0;
    /// Prefix cache used again, not evicted or abandoned.
    double cache = 0.5;
    /// Even sharing between tenants.
    double fairness = 0.5;

    auto operator<=>(const scheduling_weights&) const = default;
};

/// Which programs may run on which pools (and tool services), and how.
///
/// A program may run on a pool when at least one `allow` rule matches both and no `deny` rule does.
/// Where several `allow` rules match, the one with the highest `precedence`, then the smallest
/// name, gives the priority and the weights. A selector over pools sees the pool's or tool
/// service's labels and the reserved keys `pool`, `model` (engines) or `tool_service`.
struct scheduling_rule_spec {
    selector programs;
    selector pools;
    rule_effect effect = rule_effect::allow;
    std::int32_t precedence = 0;
    /// Replaces the class's default priority, when set. -100 to 100.
    std::optional<std::int32_t> priority;
    scheduling_weights weights;

    auto operator<=>(const scheduling_rule_spec&) const = default;
};

/// The replicas of one shard's journal.
struct shard_assignment {
    base::shard_id shard;
    base::region_name region;
    std::vector<base::node_id> replicas;
    /// Grows with each change of the replicas.
    std::uint64_t epoch = 1;
    /// A new replica that copies the data and does not count yet.
    std::optional<base::node_id> joining;

    auto operator<=>(const shard_assignment&) const = default;
};

/// Where each shard's journal lives. One object, named `default`; its shards are 0 .. n-1.
struct shard_map_spec {
    std::vector<shard_assignment> shards;

    /// The shard's assignment, or null.
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

/// One mistake in a configuration, e.g. {"engine/e1", "spec.capacity.sequences", "must be ..."}.
struct field_error {
    std::string object;
    /// Path of the field from the object's top; empty: the whole object.
    std::string field;
    std::string message;

    auto operator<=>(const field_error&) const = default;
};

/// An object, or every mistake found in its JSON.
struct object_parse_result {
    std::optional<object> value;
    std::vector<field_error> errors;
};

object_parse_result object_from_json(const nlohmann::json& json);
nlohmann::json to_json(const object& value);

/// kInvalidArgument, reason `invalid_configuration`, with every mistake in the message, one a line;
/// ok when there is none.
absl::Status to_status(const std::vector<field_error>& errors);

/// The form in which API keys are stored: SHA-256 as 64 lower-case hexadecimal digits.
std::string api_key_digest(std::string_view api_key);

}  // namespace pearbarrow::config
