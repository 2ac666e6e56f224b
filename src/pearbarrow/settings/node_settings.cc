#include "pearbarrow/settings/node_settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <spdlog/fmt/fmt.h>
#include <toml++/toml.h>

#include "pearbarrow/settings/field_reader.h"

namespace pearbarrow::settings {
namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_path_bytes = 4'096;
constexpr std::size_t max_file_bytes = std::size_t{1'024} * 1'024;
constexpr std::size_t key_hash_digits = 64;
constexpr std::uint64_t max_shards = 65'536;
constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t mebibyte = 1'024 * kibibyte;
constexpr std::size_t gibibyte = 1'024 * mebibyte;
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};

bool is_ip_address(const std::string& address, int family) {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(family, address.c_str(), buffer.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    constexpr std::size_t max_port_digits = 5;
    constexpr unsigned max_port = 65'535;
    if (text.empty() || text.size() > max_port_digits) {
        return std::nullopt;
    }
    unsigned value = 0;
    for (const char digit : text) {
        if (digit < '0' || digit > '9') {
            return std::nullopt;
        }
        value = value * 10 + static_cast<unsigned>(digit - '0');
    }
    return value > max_port ? std::nullopt : std::optional(static_cast<std::uint16_t>(value));
}

/// Returns whether the text has only letters, digits, '-', '_' and '.', because names appear in
/// paths, labels and logs.
bool is_name(std::string_view text) {
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_' ||
               character == '.';
    };
    return std::all_of(text.begin(), text.end(), allowed);
}

void read_name(field_reader& reader, std::string_view path, std::string& target) {
    if (!reader.require(path)) {
        return;
    }
    reader.read(path, target, max_name_bytes);
    if (!is_name(target)) {
        reader.add_problem(path, "may contain only letters, digits, '-', '_' and '.'");
    }
}

template <typename Id>
Id read_id(field_reader& reader, std::string_view path) {
    std::string text;
    read_name(reader, path, text);
    return Id(text);
}

void read_identity(field_reader& reader, node_settings& settings) {
    settings.node = read_id<base::node_id>(reader, "node");
    read_name(reader, "cluster", settings.cluster);
    settings.zone = read_id<base::zone_name>(reader, "zone");
    settings.region = read_id<base::region_name>(reader, "region");
    std::uint64_t shards = settings.shard_count;
    reader.read_integer("shard_count", 1, max_shards, shards);
    settings.shard_count = static_cast<std::uint32_t>(shards);
    if (reader.has("random_seed")) {
        std::uint64_t seed = 0;
        reader.read_integer("random_seed", 0, INT64_MAX, seed);
        settings.random_seed = seed;
    }
    std::string folder;
    reader.read("data_folder", folder, max_path_bytes);
    if (!folder.empty()) {
        settings.data_folder = folder;
    }
}

void read_log_level(field_reader& reader, node_settings& settings) {
    reader.read("log_level", settings.log_level, max_name_bytes);
    if (std::find(log_levels.begin(), log_levels.end(), settings.log_level) == log_levels.end()) {
        reader.add_problem("log_level", "must be debug, info, warning or error");
    }
}

void read_operator_keys(field_reader& reader, node_settings& settings) {
    reader.read_strings("operator_key_hashes", settings.operator_key_hashes);
    const auto is_hash = [](const std::string& text) {
        return text.size() == key_hash_digits &&
               text.find_first_not_of("0123456789abcdef") == std::string::npos;
    };
    if (!std::all_of(settings.operator_key_hashes.begin(), settings.operator_key_hashes.end(),
                     is_hash)) {
        reader.add_problem(
            "operator_key_hashes",
            "each must be the SHA-256 hash of a key, as 64 lower-case hexadecimal digits");
    }
}

void read_addresses(field_reader& reader, node_settings& settings) {
    reader.read_endpoint("listen.caller", endpoint_use::listen, settings.listen.caller);
    reader.read_endpoint("listen.operator", endpoint_use::listen, settings.listen.operators);
    reader.read_endpoint("listen.peer", endpoint_use::listen, settings.listen.peer);
    reader.read_endpoint("listen.datagram", endpoint_use::listen, settings.listen.datagram);
    auto& advertise = settings.advertise;
    reader.read_endpoint("advertise.caller", endpoint_use::remote, advertise.caller);
    reader.read_endpoint("advertise.operator", endpoint_use::remote, advertise.operators);
    reader.read_endpoint("advertise.peer", endpoint_use::remote, advertise.peer);
    reader.read_endpoint("advertise.datagram", endpoint_use::remote, advertise.datagram);
    reader.read_endpoints("seeds", settings.seeds);
    reader.read_endpoints("platform.key_value", settings.platform.key_value);
    reader.read_endpoint("platform.machine_list", endpoint_use::remote,
                         settings.platform.machine_list);
    reader.read_endpoint("platform.weight_store", endpoint_use::remote,
                         settings.platform.weight_store);
}

void read_limits(field_reader& reader, limit_settings& limits) {
    reader.read_size("limits.max_connections", 1, 1'000'000, limits.max_connections);
    reader.read_size("limits.max_header_bytes", kibibyte, mebibyte, limits.max_header_bytes);
    reader.read_size("limits.max_body_bytes", kibibyte, gibibyte, limits.max_body_bytes);
    reader.read_size("limits.max_pending_bytes", kibibyte, gibibyte, limits.max_pending_bytes);
    reader.read_size("limits.max_frame_bytes", 64 * kibibyte, gibibyte, limits.max_frame_bytes);
    reader.read_size("limits.max_peer_queue_bytes", 64 * kibibyte, 4 * gibibyte,
                     limits.max_peer_queue_bytes);
    reader.read_size("limits.history_cache_bytes", 0, 64 * gibibyte, limits.history_cache_bytes);
    reader.read_size("limits.storage_cache_bytes", mebibyte, 64 * gibibyte,
                     limits.storage_cache_bytes);
    reader.read_size("limits.max_open_requests", 1, 1'000'000, limits.max_open_requests);
}

void read_timing(field_reader& reader, timing_settings& timing) {
    using base::milliseconds;
    constexpr milliseconds shortest{1};
    constexpr milliseconds minute{60'000};
    constexpr milliseconds day{86'400'000};
    reader.read_milliseconds("timing.tick_ms", shortest, milliseconds{1'000}, timing.tick);
    reader.read_milliseconds("timing.probe_interval_ms", shortest, minute, timing.probe_interval);
    reader.read_milliseconds("timing.probe_timeout_ms", shortest, minute, timing.probe_timeout);
    reader.read_milliseconds("timing.suspicion_timeout_ms", shortest, minute,
                             timing.suspicion_timeout);
    reader.read_milliseconds("timing.anti_entropy_interval_ms", shortest, minute,
                             timing.anti_entropy_interval);
    reader.read_milliseconds("timing.config_poll_interval_ms", shortest, minute,
                             timing.config_poll_interval);
    reader.read_milliseconds("timing.machine_list_interval_ms", shortest, minute,
                             timing.machine_list_interval);
    reader.read_milliseconds("timing.load_report_interval_ms", shortest, minute,
                             timing.load_report_interval);
    reader.read_milliseconds("timing.request_timeout_ms", shortest, day, timing.request_timeout);
    reader.read_milliseconds("timing.write_timeout_ms", shortest, day, timing.write_timeout);
    reader.read_milliseconds("timing.call_timeout_ms", shortest, day, timing.call_timeout);
    reader.read_milliseconds("timing.drain_timeout_ms", shortest, day, timing.drain_timeout);
    reader.read_milliseconds("timing.replica_patience_ms", shortest, day, timing.replica_timeout);
    reader.read_milliseconds("timing.cache_reconcile_interval_ms", shortest, day,
                             timing.cache_reconcile_interval);
}

void read_tls(field_reader& reader, node_settings& settings) {
    if (!reader.has("tls")) {
        return;
    }
    tls_settings tls;
    reader.require("tls.certificate_chain");
    reader.require("tls.private_key");
    reader.read("tls.certificate_chain", tls.certificate_chain, max_path_bytes);
    reader.read("tls.private_key", tls.private_key, max_path_bytes);
    reader.read("tls.client_authorities", tls.client_authorities, max_path_bytes);
    settings.tls = tls;
}

/// Records contradictions between fields.
void check_consistency(field_reader& reader, const node_settings& settings) {
    const auto& listen = settings.listen;
    const std::array<std::pair<std::string_view, const ip_endpoint*>, 3> listeners{
        {{"listen.caller", &listen.caller},
         {"listen.operator", &listen.operators},
         {"listen.peer", &listen.peer}}};
    for (std::size_t later = 1; later < listeners.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const auto& [path, address] = listeners[later];
            if (address->port != 0 && *address == *listeners[earlier].second) {
                reader.add_problem(
                    path, fmt::format("has the same address as {}", listeners[earlier].first));
            }
        }
    }
    if (settings.timing.probe_timeout >= settings.timing.probe_interval) {
        reader.add_problem("timing.probe_timeout_ms", "must be less than timing.probe_interval_ms");
    }
    if (settings.limits.max_frame_bytes > settings.limits.max_peer_queue_bytes) {
        reader.add_problem("limits.max_frame_bytes", "must be at most limits.max_peer_queue_bytes");
    }
    if (settings.limits.max_body_bytes > settings.limits.max_frame_bytes) {
        reader.add_problem("limits.max_body_bytes",
                           "must be at most limits.max_frame_bytes, because nodes send bodies to "
                           "each other in frames");
    }
    const auto& datagram = settings.advertise.datagram.value_or(listen.datagram);
    const auto& peer = settings.advertise.peer.value_or(listen.peer);
    for (const auto& [path, address] :
         {std::pair{"listen.datagram", &datagram}, std::pair{"listen.peer", &peer}}) {
        if (address->address == "0.0.0.0" || address->address == "::") {
            reader.add_problem(path, "listens on all addresses, so [advertise] must give one");
        }
    }
}

settings_result read_document(const toml::table& document) {
    settings_result result;
    field_reader reader(document, result.problems);
    read_identity(reader, result.settings);
    read_log_level(reader, result.settings);
    read_operator_keys(reader, result.settings);
    read_addresses(reader, result.settings);
    read_limits(reader, result.settings.limits);
    read_timing(reader, result.settings.timing);
    read_tls(reader, result.settings);
    if (result.problems.empty()) {
        check_consistency(reader, result.settings);
    }
    reader.add_unknown_fields();
    return result;
}

/// Parses the value of a flag. Text that is not a TOML value is taken as a string.
toml::table parse_value(const std::string& text) {
    try {
        return toml::parse("value = " + text);
    } catch (const toml::parse_error&) {
        return toml::table{{"value", text}};
    }
}

bool is_path(std::string_view field) {
    return !field.empty() && field.find("..") == std::string_view::npos && field.front() != '.' &&
           field.back() != '.' && is_name(field);
}

/// Sets the field in the document and creates missing parent tables. Returns false if the path is
/// invalid or leads through a value that is not a table.
bool set_field(toml::table& document, const settings_override& flag) {
    if (!is_path(flag.field)) {
        return false;
    }
    toml::table* table = &document;
    std::string_view path = flag.field;
    for (auto dot = path.find('.'); dot != std::string_view::npos; dot = path.find('.')) {
        auto [position, inserted] = table->insert(path.substr(0, dot), toml::table{});
        table = position->second.as_table();
        if (table == nullptr) {
            return false;
        }
        path.remove_prefix(dot + 1);
    }
    auto value = parse_value(flag.value);
    value["value"].visit([table, path](auto& node) { table->insert_or_assign(path, node); });
    return true;
}

void clear_flag_lines(const std::vector<settings_override>& overrides, settings_result& result) {
    for (auto& problem : result.problems) {
        const auto is_prefix = [&problem](const settings_override& flag) {
            return problem.field.rfind(flag.field, 0) == 0;
        };
        if (std::any_of(overrides.begin(), overrides.end(), is_prefix)) {
            problem.line = 0;
        }
    }
}

settings_result result_with_problem(std::uint32_t line, std::string message) {
    settings_result result;
    result.problems.push_back({"", line, std::move(message)});
    return result;
}

}  // namespace

std::string to_string(const ip_endpoint& value) {
    const bool has_colon = value.address.find(':') != std::string::npos;
    return has_colon ? fmt::format("[{}]:{}", value.address, value.port)
                     : fmt::format("{}:{}", value.address, value.port);
}

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto address = std::string(text.substr(0, colon));
    const auto port = parse_port(text.substr(colon + 1));
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    if (!port.has_value() || !is_ip_address(address, bracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return ip_endpoint{address, *port};
}

std::string to_string(const settings_problem& problem, std::string_view file) {
    std::string location(file);
    if (problem.line > 0) {
        location += fmt::format(":{}", problem.line);
    }
    if (!problem.field.empty()) {
        location += fmt::format(": {}", problem.field);
    }
    return fmt::format("{}: {}", location, problem.message);
}

std::optional<settings_override> parse_override(std::string_view text) {
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return std::nullopt;
    }
    return settings_override{std::string(text.substr(0, equals)),
                             std::string(text.substr(equals + 1))};
}

settings_result check(std::string_view toml_text, const std::vector<settings_override>& overrides) {
    if (toml_text.size() > max_file_bytes) {
        return result_with_problem(0, fmt::format("is larger than {} bytes", max_file_bytes));
    }
    toml::table document;
    try {
        document = toml::parse(toml_text);
    } catch (const toml::parse_error& error) {
        return result_with_problem(error.source().begin.line,
                                   fmt::format("is not valid TOML: {}", error.description()));
    }
    std::vector<settings_problem> flag_problems;
    for (const auto& flag : overrides) {
        if (!set_field(document, flag)) {
            flag_problems.push_back({flag.field, 0, "can't be set by a flag"});
        }
    }
    auto result = read_document(document);
    clear_flag_lines(overrides, result);
    result.problems.insert(result.problems.end(), flag_problems.begin(), flag_problems.end());
    return result;
}

settings_result check_file(const std::string& path,
                           const std::vector<settings_override>& overrides) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file) {
        text << file.rdbuf();
    }
    if (!file) {
        return result_with_problem(0, "can't be read");
    }
    return check(text.str(), overrides);
}

}  // namespace pearbarrow::settings
