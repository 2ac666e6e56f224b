#include "pearbarrow/settings/field_reader.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::settings {
namespace {

constexpr std::size_t max_items = 1'024;

std::string_view endpoint_requirement(endpoint_use use) {
    return use == endpoint_use::listen
               ? R"(must be an IP address and a port, such as "127.0.0.1:8080" or "[::1]:8080")"
               : R"(must be an IP address (no name, not 0.0.0.0) and a port from 1 to 65535)";
}

bool is_usable(const ip_endpoint& value, endpoint_use use) {
    const bool unspecified = value.port == 0 || value.address == "0.0.0.0" || value.address == "::";
    return use == endpoint_use::listen || !unspecified;
}

std::optional<ip_endpoint> parse_endpoint(const toml::node& node, endpoint_use use) {
    const auto text = node.value_exact<std::string>();
    const auto parsed = text.has_value() ? parse_ip_endpoint(*text) : std::nullopt;
    return parsed.has_value() && is_usable(*parsed, use) ? parsed : std::nullopt;
}

}  // namespace

const toml::node* field_reader::find(std::string_view path) const {
    return document_.at_path(path).node();
}

const toml::node* field_reader::find_known(std::string_view path) {
    known_.emplace(path);
    return find(path);
}

bool field_reader::has(std::string_view path) const {
    return find(path) != nullptr;
}

std::uint32_t field_reader::line_of(std::string_view path) const {
    const auto* node = find(path);
    return node == nullptr ? 0 : node->source().begin.line;
}

void field_reader::add_problem(std::string_view path, std::string message) {
    problems_.push_back({std::string(path), line_of(path), std::move(message)});
}

void field_reader::add_problem_at(const toml::node& node, std::string_view path,
                                  std::string message) {
    problems_.push_back({std::string(path), node.source().begin.line, std::move(message)});
}

bool field_reader::require(std::string_view path) {
    known_.emplace(path);
    if (!has(path)) {
        add_problem(path, "is missing");
        return false;
    }
    return true;
}

void field_reader::read(std::string_view path, std::string& target, std::size_t max_bytes) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text.has_value()) {
        add_problem(path, "must be a string");
    } else if (text->empty() || text->size() > max_bytes) {
        add_problem(path, fmt::format("must have 1 to {} bytes", max_bytes));
    } else {
        target = *text;
    }
}

void field_reader::read_flag(std::string_view path, bool& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto flag = node->value_exact<bool>();
    if (!flag.has_value()) {
        add_problem(path, "must be true or false");
        return;
    }
    target = *flag;
}

void field_reader::read_integer(std::string_view path, std::uint64_t min, std::uint64_t max,
                                std::uint64_t& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto number = node->value_exact<std::int64_t>();
    const bool good = number.has_value() && *number >= 0 &&
                      static_cast<std::uint64_t>(*number) >= min &&
                      static_cast<std::uint64_t>(*number) <= max;
    if (!good) {
        add_problem(path, fmt::format("must be a whole number from {} to {}", min, max));
        return;
    }
    target = static_cast<std::uint64_t>(*number);
}

void field_reader::read_number(std::string_view path, double min, double max, double& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto number = node->is_number() ? node->value<double>() : std::nullopt;
    if (!number.has_value() || !(*number >= min && *number <= max)) {
        add_problem(path, fmt::format("must be a number from {} to {}", min, max));
        return;
    }
    target = *number;
}

void field_reader::read_size(std::string_view path, std::size_t min, std::size_t max,
                             std::size_t& target) {
    std::uint64_t value = target;
    read_integer(path, min, max, value);
    target = value;
}

void field_reader::read_milliseconds(std::string_view path, base::milliseconds min,
                                     base::milliseconds max, base::milliseconds& target) {
    auto value = static_cast<std::uint64_t>(target.count());
    read_integer(path, static_cast<std::uint64_t>(min.count()),
                 static_cast<std::uint64_t>(max.count()), value);
    target = base::milliseconds(value);
}

void field_reader::read_seconds(std::string_view path, base::milliseconds min,
                                base::milliseconds max, base::milliseconds& target) {
    using fractional_seconds = std::chrono::duration<double>;
    double value = fractional_seconds(target).count();
    read_number(path, fractional_seconds(min).count(), fractional_seconds(max).count(), value);
    target = std::chrono::round<base::milliseconds>(fractional_seconds(value));
}

void field_reader::read_endpoint(std::string_view path, endpoint_use use, ip_endpoint& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto value = parse_endpoint(*node, use);
    if (!value.has_value()) {
        add_problem(path, std::string(endpoint_requirement(use)));
        return;
    }
    target = *value;
}

void field_reader::read_endpoint(std::string_view path, endpoint_use use,
                                 std::optional<ip_endpoint>& target) {
    ip_endpoint value;
    read_endpoint(path, use, value);
    if (!value.address.empty()) {
        target = value;
    }
}

void field_reader::read_endpoints(std::string_view path, std::vector<ip_endpoint>& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto* items = node->as_array();
    if (items == nullptr || items->size() > max_items) {
        add_problem(path, fmt::format("must be an array of at most {} addresses", max_items));
        return;
    }
    std::size_t index = 0;
    for (const auto& item : *items) {
        const auto value = parse_endpoint(item, endpoint_use::remote);
        if (value.has_value()) {
            target.push_back(*value);
        } else {
            add_problem_at(item, fmt::format("{}[{}]", path, index),
                           std::string(endpoint_requirement(endpoint_use::remote)));
        }
        ++index;
    }
}

void field_reader::read_strings(std::string_view path, std::vector<std::string>& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto* items = node->as_array();
    if (items == nullptr || items->size() > max_items) {
        add_problem(path, fmt::format("must be an array of at most {} strings", max_items));
        return;
    }
    std::size_t index = 0;
    for (const auto& item : *items) {
        const auto text = item.value_exact<std::string>();
        if (text.has_value()) {
            target.push_back(*text);
        } else {
            add_problem_at(item, fmt::format("{}[{}]", path, index), "must be a string");
        }
        ++index;
    }
}

void field_reader::read_string_table(std::string_view path,
                                     std::map<std::string, std::string, std::less<>>& target) {
    const auto* node = find_known(path);
    if (node == nullptr) {
        return;
    }
    const auto* table = node->as_table();
    if (table == nullptr || table->size() > max_items) {
        add_problem(path, fmt::format("must be a table of at most {} strings", max_items));
        return;
    }
    for (const auto& [key, item] : *table) {
        const auto text = item.value_exact<std::string>();
        if (text.has_value()) {
            target.emplace(std::string(key.str()), *text);
        } else {
            add_problem_at(item, fmt::format("{}.{}", path, key.str()), "must be a string");
        }
    }
}

bool field_reader::is_known_table(const std::string& path) const {
    const auto prefix = path + ".";
    const auto next = known_.lower_bound(prefix);
    return next != known_.end() && next->rfind(prefix, 0) == 0;
}

void field_reader::add_unknown_fields_in(const toml::table& table, const std::string& prefix) {
    for (const auto& [key, node] : table) {
        const auto path = prefix + std::string(key.str());
        if (known_.find(path) != known_.end()) {
            continue;
        }
        const auto* inner = node.as_table();
        if (!is_known_table(path)) {
            add_problem_at(node, path, "is not a known field");
        } else if (inner == nullptr) {
            add_problem_at(node, path, "must be a table");
        } else {
            add_unknown_fields_in(*inner, path + ".");
        }
    }
}

void field_reader::add_unknown_fields() {
    add_unknown_fields_in(document_, "");
}

}  // namespace pearbarrow::settings
