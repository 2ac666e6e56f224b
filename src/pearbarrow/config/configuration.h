/// The whole configuration at one version. It is immutable, shared and indexed for lookups.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/change.h"
#include "pearbarrow/config/objects.h"

namespace pearbarrow::config {

class configuration;
using configuration_ptr = std::shared_ptr<const configuration>;

/// A tenant found by its API key.
struct tenant_view {
    base::tenant_id id;
    const object* value = nullptr;
    const tenant_spec* spec = nullptr;
};

class configuration {
  public:
    /// Returns version 0, which has no objects.
    static configuration_ptr empty();
    /// Creates a configuration from objects, for snapshots and tests.
    static configuration_ptr make(base::config_version version, std::vector<object> objects);
    /// Returns the next version. Fails with kFailedPrecondition if an operation refers to a missing
    /// object. `validate_change` performs all other checks.
    absl::StatusOr<configuration_ptr> apply(const change& next) const;

    base::config_version version() const { return version_; }
    /// Id of the change that created this version; empty at version 0.
    const std::string& last_change_id() const { return last_change_id_; }
    std::size_t size() const { return objects_.size(); }

    /// Returns the object or null. Pointers are valid as long as this configuration.
    const object* find(object_kind kind, std::string_view name) const;
    /// Returns the typed spec or null: `find_spec<engine_spec>("e1")`.
    template <typename Spec>
    const Spec* find_spec(std::string_view name) const {
        const object* found = find(kind_of<Spec>(), name);
        return found == nullptr ? nullptr : std::get_if<Spec>(&found->spec);
    }
    /// All objects of a kind, ordered by name.
    const std::vector<const object*>& all(object_kind kind) const;
    /// Engines of a pool, ordered by name.
    const std::vector<const object*>& engines_of(const base::pool_id& pool) const;
    /// Tool services that offer a tool, ordered by name.
    const std::vector<const object*>& services_of(const base::tool_name& tool) const;
    /// Returns the tenant whose key has this digest (see `api_key_digest`), or null.
    const object* tenant_by_key_digest(std::string_view digest) const;
    /// Returns the replicas of the shard, or null if the shard map does not contain it.
    const shard_assignment* shard(base::shard_id shard) const;
    /// Scheduling rules by descending precedence, then by name.
    const std::vector<const object*>& rules() const { return rules_; }

    template <typename Spec>
    static constexpr object_kind kind_of() {
        return static_cast<object_kind>(
            []<typename... Specs>(std::type_identity<std::variant<Specs...>>) {
                std::size_t index = 0;
                (void)((std::is_same_v<Spec, Specs> || (++index, false)) || ...);
                return index;
            }(std::type_identity<object_spec>{}));
    }

    /// All objects, ordered by kind and name.
    std::vector<object> objects() const;
    /// Hash of the version and the content. It is equal on all nodes at the same version.
    std::uint64_t digest() const;

  private:
    using object_map = std::map<object_key, std::shared_ptr<const object>>;

    configuration(base::config_version version, std::string last_change_id, object_map objects);
    void build_indexes();

    base::config_version version_;
    std::string last_change_id_;
    object_map objects_;
    std::vector<std::vector<const object*>> by_kind_;
    absl::flat_hash_map<std::string, std::vector<const object*>> engines_by_pool_;
    absl::flat_hash_map<std::string, std::vector<const object*>> services_by_tool_;
    absl::flat_hash_map<std::string, const object*> tenants_by_key_;
    std::vector<const object*> rules_;

    friend std::string encode_configuration(const configuration& value);
    friend absl::StatusOr<configuration_ptr> decode_configuration(std::string_view text);
};

/// Encodes a whole configuration as JSON, the format of snapshots.
std::string encode_configuration(const configuration& value);
absl::StatusOr<configuration_ptr> decode_configuration(std::string_view text);

/// Returns the labels that selectors over programs match (see objects.h).
label_set program_labels(const configuration& configuration, const base::tenant_id& tenant,
                         std::string_view program_class, const base::region_name& region,
                         const label_set& own);
/// Returns the labels that selectors over pools match.
label_set pool_labels(const object& pool_or_tool_service);

/// Result of matching a program with a pool or tool service.
struct rule_match {
    bool allowed = false;
    /// The decisive rule: the deny rule, or the allow rule that sets priority and weights. Null if
    /// no rule matches.
    const object* rule = nullptr;
};

/// Applies the scheduling rules (see `scheduling_rule_spec`).
rule_match match_rules(const configuration& configuration, const label_set& program,
                       const label_set& pool);

}  // namespace pearbarrow::config
