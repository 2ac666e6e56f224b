#include "pearbarrow/config/change.h"

#include <type_traits>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/config/json_reader.h"

namespace pearbarrow::config {
namespace {

using nlohmann::json;

json operation_json(const put_object& value) {
    return {{"operation", "put"}, {"object", to_json(value.value)}};
}

json keyed_json(const char* operation, const object_key& key) {
    return {
        {"operation", operation}, {"kind", std::string(to_string(key.kind))}, {"name", key.name}};
}

json operation_json(const delete_object& value) {
    return keyed_json("delete", value.key);
}

json operation_json(const set_label& value) {
    json out = keyed_json("set_label", value.key);
    out["label"] = value.label;
    out["value"] = value.value;
    return out;
}

json operation_json(const remove_label& value) {
    json out = keyed_json("remove_label", value.key);
    out["label"] = value.label;
    return out;
}

void read_put(json_reader& reader, std::vector<change_operation>& out,
              std::vector<field_error>& errors) {
    const json* field = reader.find_known("object");
    if (field == nullptr) {
        reader.add_error(reader.path_of("object"), "is missing");
        return;
    }
    object_parse_result parsed = object_from_json(*field);
    errors.insert(errors.end(), parsed.errors.begin(), parsed.errors.end());
    if (parsed.value) {
        out.emplace_back(put_object{*std::move(parsed.value)});
    }
}

void read_keyed(json_reader& reader, const std::string& operation,
                std::vector<change_operation>& out) {
    const std::optional<object_key> key = read_object_key(reader);
    std::string label;
    std::string value;
    if (operation != "delete") {
        reader.required("label", label);
    }
    if (operation == "set_label") {
        reader.required("value", value);
    }
    if (!key) {
        return;
    }
    if (operation == "delete") {
        out.emplace_back(delete_object{*key});
    } else if (operation == "set_label") {
        out.emplace_back(set_label{*key, label, value});
    } else {
        out.emplace_back(remove_label{*key, label});
    }
}

void read_operation(const json& value, std::size_t index, std::vector<change_operation>& out,
                    std::vector<field_error>& errors) {
    json_reader reader(value, fmt::format("operations[{}]", index), "", errors);
    std::string operation;
    reader.required("operation", operation);
    if (operation == "put") {
        read_put(reader, out, errors);
    } else if (operation == "delete" || operation == "set_label" || operation == "remove_label") {
        read_keyed(reader, operation, out);
    } else if (!operation.empty()) {
        reader.add_error("operation", "is not a known operation: " + operation);
        return;
    }
    reader.finish();
}

}  // namespace

absl::StatusOr<std::vector<change_operation>> operations_from_json(const json& value) {
    std::vector<change_operation> operations;
    std::vector<field_error> errors;
    if (!value.is_array()) {
        errors.push_back({"operations", "", "must be a list"});
    } else {
        for (std::size_t index = 0; index < value.size(); ++index) {
            read_operation(value[index], index, operations, errors);
        }
    }
    if (!errors.empty()) {
        return to_status(errors);
    }
    return operations;
}

std::string encode_change(const change& value) {
    json operations = json::array();
    for (const change_operation& each : value.operations) {
        operations.push_back(std::visit([](const auto& op) { return operation_json(op); }, each));
    }
    const json out = {{"id", value.id},
                      {"base_version", value.base_version.value()},
                      {"author", value.author},
                      {"operations", std::move(operations)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<change> decode_change(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    std::vector<field_error> errors;
    json_reader reader(parsed, "change", "", errors);
    change result;
    reader.required("id", result.id);
    reader.required("base_version", result.base_version);
    reader.required("author", result.author);
    const json* operations = reader.find_known("operations");
    reader.finish();
    if (operations == nullptr) {
        errors.push_back({"change", "operations", "is missing"});
    }
    if (!errors.empty()) {
        return to_status(errors);
    }
    auto read = operations_from_json(*operations);
    if (!read.ok()) {
        return read.status();
    }
    result.operations = *std::move(read);
    return result;
}

}  // namespace pearbarrow::config
