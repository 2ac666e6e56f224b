#include "pearbarrow/config/json_reader.h"

namespace pearbarrow::config {

json_reader::json_reader(const nlohmann::json& value, std::string object, std::string path,
                         std::vector<field_error>& errors)
    : value_(value), object_(std::move(object)), path_(std::move(path)), errors_(errors) {
    if (!value_.is_object()) {
        add_error(path_, "must be an object");
    }
}

const nlohmann::json* json_reader::find_known(std::string_view name) {
    known_.emplace(name);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(std::string(name));
    return found == value_.end() ? nullptr : &*found;
}

json_reader json_reader::inner(const nlohmann::json& value, std::string path) {
    return json_reader(value, object_, std::move(path), errors_);
}

std::string json_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

void json_reader::add_error(std::string path, std::string message) {
    errors_.push_back({object_, std::move(path), std::move(message)});
}

void json_reader::finish() {
    if (!value_.is_object()) {
        return;
    }
    for (const auto& [name, field] : value_.items()) {
        if (!known_.contains(name)) {
            add_error(path_of(name), "is not a known field");
        }
    }
}

void json_reader::read(const nlohmann::json& json, const std::string& path, std::string& out) {
    if (!json.is_string()) {
        add_error(path, "must be a string");
        return;
    }
    out = json.get<std::string>();
}

void json_reader::read(const nlohmann::json& json, const std::string& path, bool& out) {
    if (!json.is_boolean()) {
        add_error(path, "must be true or false");
        return;
    }
    out = json.get<bool>();
}

void json_reader::read(const nlohmann::json& json, const std::string& path, double& out) {
    if (!json.is_number() || !std::isfinite(json.get<double>())) {
        add_error(path, "must be a number");
        return;
    }
    out = json.get<double>();
}

void json_reader::read(const nlohmann::json& json, const std::string& path,
                       base::milliseconds& out) {
    std::int64_t count = 0;
    const std::size_t before = errors_.size();
    read(json, path, count);
    if (errors_.size() == before) {
        out = base::milliseconds(count);
    }
}

void json_reader::read(const nlohmann::json& json, const std::string& path, selector& out) {
    if (!json.is_string()) {
        add_error(path, "must be a string with a selector");
        return;
    }
    auto parsed = parse_selector(json.get_ref<const std::string&>());
    if (!parsed.ok()) {
        add_error(path, std::string(parsed.status().message()));
        return;
    }
    out = *std::move(parsed);
}

void json_reader::read(const nlohmann::json& json, const std::string& path, label_set& out) {
    if (!json.is_object()) {
        add_error(path, "must be an object of strings");
        return;
    }
    for (const auto& [key, field] : json.items()) {
        std::string value;
        read(field, fmt::format("{}.{}", path, key), value);
        out.set(key, std::move(value));
    }
}

std::optional<object_key> read_object_key(json_reader& reader) {
    std::string kind_name;
    object_key key;
    reader.required("kind", kind_name);
    reader.required("name", key.name);
    const std::optional<object_kind> kind = parse_object_kind(kind_name);
    if (!kind) {
        if (!kind_name.empty()) {
            reader.add_error(reader.path_of("kind"), "is not a known kind: " + kind_name);
        }
        return std::nullopt;
    }
    key.kind = *kind;
    return key;
}

}  // namespace pearbarrow::config
