/// A change of the configuration: what one entry of the configuration log holds.
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

/// Removes an object; it must exist.
struct delete_object {
    object_key key;
    auto operator<=>(const delete_object&) const = default;
};

/// Sets one label of an object that exists.
struct set_label {
    object_key key;
    std::string label;
    std::string value;
    auto operator<=>(const set_label&) const = default;
};

/// Removes one label of an object that exists; a label that is absent stays absent.
struct remove_label {
    object_key key;
    std::string label;
    auto operator<=>(const remove_label&) const = default;
};

using change_operation = std::variant<put_object, delete_object, set_label, remove_label>;

/// A set of operations that comes into force whole or not at all.
struct change {
    /// Drawn at random by the node that first took the change; names it for ever.
    std::string id;
    /// The version it was made against: it becomes version `base_version + 1` or nothing.
    base::config_version base_version;
    /// Who asked for it, as the operators' API knows them.
    std::string author;
    std::vector<change_operation> operations;

    auto operator<=>(const change&) const = default;
};

/// One entry of the log: a change that was accepted as `version`.
struct log_entry {
    base::config_version version;
    change content;

    auto operator<=>(const log_entry&) const = default;
};

/// JSON text of a change, as stored in the platform's service and sent to peers.
std::string encode_change(const change& value);
/// Fails with kInvalidArgument, reason `invalid_configuration`, naming every mistake.
absl::StatusOr<change> decode_change(std::string_view text);
/// The same for operations alone, an operator's JSON: [{"operation": "put", "object": {...}},
/// {"operation": "delete", "kind", "name"}, {"operation": "set_label", "kind", "name", "label",
/// "value"}, {"operation": "remove_label", "kind", "name", "label"}].
absl::StatusOr<std::vector<change_operation>> operations_from_json(const nlohmann::json& json);

}  // namespace pearbarrow::config
