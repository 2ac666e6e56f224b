/// Reads JSON objects into typed structs and collects all problems. Internal to `config`.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/objects.h"
#include "pearbarrow/config/selector.h"

namespace pearbarrow::config {

/// Reads the fields of one JSON object. Each problem is added to `errors` with the path of its
/// field. `finish` adds a problem for each unknown field.
class json_reader {
  public:
    json_reader(const nlohmann::json& value, std::string object, std::string path,
                std::vector<field_error>& errors);

    /// Reads an optional field. `out` keeps its value if the field is absent.
    template <typename Value>
    void optional(std::string_view name, Value& out) {
        if (const nlohmann::json* field = find_known(name)) {
            read(*field, path_of(name), out);
        }
    }
    /// Reads a required field.
    template <typename Value>
    void required(std::string_view name, Value& out) {
        const nlohmann::json* field = find_known(name);
        if (field == nullptr) {
            add_error(path_of(name), "is missing");
            return;
        }
        read(*field, path_of(name), out);
    }
    /// Marks the field as known and returns it, or null if it is absent.
    const nlohmann::json* find_known(std::string_view name);
    /// Returns a reader of a nested object.
    json_reader inner(const nlohmann::json& value, std::string path);
    std::string path_of(std::string_view name) const;
    void add_error(std::string path, std::string message);
    /// Adds a problem for each field that was not read.
    void finish();

  private:
    void read(const nlohmann::json& json, const std::string& path, std::string& out);
    void read(const nlohmann::json& json, const std::string& path, bool& out);
    void read(const nlohmann::json& json, const std::string& path, double& out);
    void read(const nlohmann::json& json, const std::string& path, base::milliseconds& out);
    void read(const nlohmann::json& json, const std::string& path, selector& out);
    void read(const nlohmann::json& json, const std::string& path, label_set& out);

    template <typename Integer>
    requires std::is_integral_v<Integer>
    void read(const nlohmann::json& json, const std::string& path, Integer& out) {
        constexpr auto lowest = std::numeric_limits<Integer>::min();
        constexpr auto highest = std::numeric_limits<Integer>::max();
        const bool fits_unsigned =
            json.is_number_unsigned() && json.get<std::uint64_t>() <= std::uint64_t{highest};
        const bool fits_negative = json.is_number_integer() && !json.is_number_unsigned() &&
                                   std::is_signed_v<Integer> &&
                                   json.get<std::int64_t>() >= static_cast<std::int64_t>(lowest);
        if (fits_unsigned || fits_negative) {
            out = json.get<Integer>();
        } else {
            add_error(path, fmt::format("must be a whole number from {} to {}", lowest, highest));
        }
    }
    template <typename Tag, typename Value>
    void read(const nlohmann::json& json, const std::string& path,
              base::strong_id<Tag, Value>& out) {
        Value value{};
        read(json, path, value);
        out = base::strong_id<Tag, Value>(std::move(value));
    }
    template <typename Value>
    void read(const nlohmann::json& json, const std::string& path, std::optional<Value>& out) {
        Value value{};
        read(json, path, value);
        out = std::move(value);
    }
    template <typename Value>
    void read(const nlohmann::json& json, const std::string& path, std::vector<Value>& out) {
        if (!json.is_array()) {
            add_error(path, "must be a list");
            return;
        }
        out.clear();
        for (std::size_t index = 0; index < json.size(); ++index) {
            Value value{};
            read(json[index], fmt::format("{}[{}]", path, index), value);
            out.push_back(std::move(value));
        }
    }

    const nlohmann::json& value_;
    std::string object_;
    std::string path_;
    std::vector<field_error>& errors_;
    std::set<std::string, std::less<>> known_;
};

/// Reads the name and kind of an operation or object.
std::optional<object_key> read_object_key(json_reader& reader);

}  // namespace pearbarrow::config
