#include "pearbarrow/gateway/json_body.h"

#include <exception>
#include <stdexcept>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::gateway {
namespace {

/// Most problems that an error lists; the rest are counted only.
constexpr std::size_t max_listed_problems = 20;
/// Longest piece of the caller's own text that an error repeats.
constexpr std::size_t max_quoted_bytes = 64;

std::string excerpt(std::string_view text) {
    return std::string(text.substr(0, max_quoted_bytes));
}

absl::Status body_error(std::string_view message, std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "parse_body", .reason = std::move(reason)});
}

struct too_deep : std::exception {};

struct repeated_key : std::exception {
    explicit repeated_key(std::string name) : key(std::move(name)) {}
    std::string key;
};

/// Watches a parse and throws at what JSON's grammar allows but a body may not have.
class parse_guard {
  public:
    bool check(int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed) {
        using parse_event = nlohmann::json::parse_event_t;
        const bool opens = event == parse_event::object_start || event == parse_event::array_start;
        if (opens && depth >= max_json_depth) {
            throw too_deep();
        }
        if (event == parse_event::object_start) {
            keys_.emplace_back();
        } else if (event == parse_event::object_end) {
            keys_.pop_back();
        } else if (event == parse_event::key) {
            const auto& key = parsed.get_ref<const std::string&>();
            if (!keys_.back().insert(key).second) {
                throw repeated_key(key);
            }
        }
        return true;
    }

  private:
    std::vector<std::set<std::string>> keys_;
};

}  // namespace

absl::StatusOr<nlohmann::json> parse_json(std::string_view text) {
    parse_guard guard;
    try {
        return nlohmann::json::parse(
            text.begin(), text.end(),
            [&guard](int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
                return guard.check(depth, event, parsed);
            });
    } catch (const too_deep&) {
        return body_error(fmt::format("the body nests deeper than {} levels", max_json_depth),
                          "json_too_deep");
    } catch (const repeated_key& error) {
        return body_error(
            fmt::format("the key '{}' occurs twice in one object", excerpt(error.key)),
            "repeated_key");
    } catch (const nlohmann::json::parse_error& error) {
        return body_error(fmt::format("the body is not JSON: error at byte {}", error.byte),
                          "malformed_json");
    } catch (const nlohmann::json::exception&) {
        return body_error("the body is not JSON that can be represented", "malformed_json");
    }
}

absl::StatusOr<nlohmann::json> parse_json_object(std::string_view text) {
    auto parsed = parse_json(text);
    if (parsed.ok() && !parsed->is_object()) {
        return body_error("the body must be a JSON object", "malformed_json");
    }
    return parsed;
}

absl::Status to_status(const std::vector<field_problem>& problems) {
    if (problems.empty()) {
        return absl::OkStatus();
    }
    std::string message;
    for (std::size_t index = 0; index < problems.size() && index < max_listed_problems; ++index) {
        const auto& problem = problems[index];
        message += fmt::format("{}{}: {}", index == 0 ? "" : "; ", problem.field, problem.message);
    }
    if (problems.size() > max_listed_problems) {
        message += fmt::format("; and {} more", problems.size() - max_listed_problems);
    }
    return body_error(message, "invalid_field");
}

object_reader::object_reader(const nlohmann::json& object, std::string path,
                             std::vector<field_problem>& problems)
    : object_(object), path_(std::move(path)), problems_(problems) {
    if (!object_.is_object()) {
        problems_.push_back({path_, "must be an object"});
    }
}

std::string object_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

void object_reader::note(std::string_view name, std::string message) {
    problems_.push_back({path_of(name), std::move(message)});
}

const nlohmann::json* object_reader::find(std::string_view name) {
    known_.emplace(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(std::string(name));
    return found == object_.end() || found->is_null() ? nullptr : &*found;
}

bool object_reader::has(std::string_view name) const {
    return object_.is_object() && object_.contains(std::string(name)) &&
           !object_[std::string(name)].is_null();
}

void object_reader::require(std::string_view name) {
    known_.emplace(name);
    if (object_.is_object() && !has(name)) {
        note(name, "is missing");
    }
}

std::optional<std::string> object_reader::text(std::string_view name, std::size_t max_bytes) {
    const auto* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        note(name, "must be a string");
        return std::nullopt;
    }
    auto result = value->get<std::string>();
    if (result.size() > max_bytes) {
        note(name, fmt::format("must be at most {} bytes long", max_bytes));
        return std::nullopt;
    }
    return result;
}

std::optional<std::uint64_t> object_reader::integer(std::string_view name, std::uint64_t least,
                                                    std::uint64_t most) {
    const auto* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    const bool usable = value->is_number_unsigned();
    const auto result = usable ? value->get<std::uint64_t>() : 0;
    if (!usable || result < least || result > most) {
        note(name, fmt::format("must be a whole number from {} to {}", least, most));
        return std::nullopt;
    }
    return result;
}

std::optional<bool> object_reader::boolean(std::string_view name) {
    const auto* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        note(name, "must be true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

const nlohmann::json* object_reader::object(std::string_view name) {
    const auto* value = find(name);
    if (value != nullptr && !value->is_object()) {
        note(name, "must be an object");
        return nullptr;
    }
    return value;
}

const nlohmann::json* object_reader::array(std::string_view name, std::size_t max_items) {
    const auto* value = find(name);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        note(name, "must be an array");
        return nullptr;
    }
    if (value->size() > max_items) {
        note(name, fmt::format("must have at most {} items", max_items));
        return nullptr;
    }
    return value;
}

const nlohmann::json* object_reader::any(std::string_view name) {
    return find(name);
}

void object_reader::finish(unknown_fields policy) {
    if (policy == unknown_fields::ignore || !object_.is_object()) {
        return;
    }
    for (const auto& [name, value] : object_.items()) {
        if (known_.find(name) == known_.end()) {
            note(excerpt(name), "is not a known field");
        }
    }
}

}  // namespace pearbarrow::gateway
