/// Changes of the configuration, which are the entries of the configuration log.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/objects.h"

namespace pearbarrow::config {

/// Creates or replaces an object.
struct put_object {
    object value;
    auto operator<=>(const put_object&) const = default;
};

/// Removes an existing object.
struct delete_object {
    object_key key;
    auto operator<=>(const delete_object&) const = default;
};

/// Sets one label of an existing object.
struct set_label {
    object_key key;
    std::string label;
    std::string value;
    auto operator<=>(const set_label&) const = default;
};

/// Removes one label of an existing object. Has no effect if the label is absent.
struct remove_label {
    object_key key;
    std::string label;
    auto operator<=>(const remove_label&) const = default;
};

using change_operation = std::variant<put_object, delete_object, set_label, remove_label>;

/// A set of operations that is applied atomically.
struct change {
    /// Unique id, generated at random by the node that receives the change.
    std::string id;
    /// Version that the change is based on. The change becomes version `base_version + 1` or is
    /// rejected.
    base::config_version base_version;
    /// Identity of the requester at the operator API.
    std::string author;
    std::vector<change_operation> operations;

    auto operator<=>(const change&) const = default;
};

/// An entry of the log: a change accepted as `version`.
struct log_entry {
    base::config_version version;
    change content;

    auto operator<=>(const log_entry&) const = default;
};

/// Encodes a change as JSON, as stored in the key-value service and sent to peers.
std::string encode_change(const change& value);
/// Decodes a change. Fails with kInvalidArgument, reason `invalid_configuration`, and a message
/// that lists all problems.
absl::StatusOr<change> decode_change(std::string_view text);
/// Decodes the operations of a change from the JSON of an operator:
/// [{"operation": "put", "object": {...}}, {"operation": "delete", "kind", "name"},
/// {"operation": "set_label", "kind", "name", "label", "value"},
/// {"operation": "remove_label", "kind", "name", "label"}].
absl::StatusOr<std::vector<change_operation>> operations_from_json(const nlohmann::json& json);

}  // namespace pearbarrow::config
