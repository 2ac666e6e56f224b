#include "pearbarrow/settings/fleet_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/settings/field_reader.h"

namespace pearbarrow::settings {
namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_path_bytes = 4'096;
/// A turn is written to more than twice as many members as losses are tolerated.
constexpr std::uint64_t max_tolerated_losses = 16;
constexpr std::uint64_t max_tolerated_zones = 16;
constexpr std::uint64_t max_memory_mb = std::uint64_t{1024} * 1024;
constexpr std::uint64_t max_quota_slack = 1'000'000;
constexpr std::uint64_t max_suspected_ends = 8;
constexpr std::size_t fingerprint_length = 32;
constexpr double max_cold_overage = 1'000;
constexpr double max_cold_slack = 1'000'000;
constexpr base::milliseconds min_stop_timeout{100};
constexpr base::milliseconds max_stop_timeout{86'400'000};

void read_role(field_reader& reader, fleet_settings& settings) {
    std::string role;
    if (!reader.require("role")) {
        return;
    }
    reader.read("role", role, max_name_bytes);
    if (role == "storage") {
        settings.role = fleet_role::storage;
    } else if (role != "edge") {
        reader.add_problem("role", "must be edge or storage");
    }
}

void read_required(field_reader& reader, std::string_view path, endpoint_use use,
                   ip_endpoint& target) {
    if (reader.require(path)) {
        reader.read_endpoint(path, use, target);
    }
}

/// Reads a fraction that the file gives as an integer in hundredths.
void read_hundredths(field_reader& reader, std::string_view path, std::uint64_t min,
                     std::uint64_t max, double& target) {
    auto value = static_cast<std::uint64_t>(target * 100);
    reader.read_integer(path, min, max, value);
    target = static_cast<double>(value) / 100;
}

void read_dispatch(field_reader& reader, dispatch_settings& dispatch) {
    reader.read_flag("dispatch.share_load", dispatch.share_load);
    read_hundredths(reader, "dispatch.affinity_percent", 100, 1'000, dispatch.affinity_factor);
    read_hundredths(reader, "dispatch.affinity_slack_percent", 0, 10'000, dispatch.affinity_slack);
    reader.read_flag("dispatch.by_cost", dispatch.by_cost);
    reader.read_flag("dispatch.bounds_programs", dispatch.limits_programs);
    reader.read_flag("dispatch.tells_priority", dispatch.sends_priority);
    reader.read_milliseconds("dispatch.lapse_grace_ms", base::milliseconds{0},
                             base::milliseconds{10'000}, dispatch.lapse_grace);
}

void read_suspects(field_reader& reader, suspect_settings& suspects) {
    std::uint64_t ends = suspects.max_ends;
    reader.read_integer("suspects.max_ends", 0, max_suspected_ends, ends);
    suspects.max_ends = ends;
    reader.read_milliseconds("suspects.block_time_ms", base::milliseconds{1'000},
                             base::milliseconds{86'400'000}, suspects.block_time);
    reader.read_strings("suspects.released", suspects.released);
    const bool are_fingerprints = std::all_of(
        suspects.released.begin(), suspects.released.end(), [](const std::string& text) {
            return text.size() == fingerprint_length &&
                   text.find_first_not_of("0123456789abcdef") == std::string::npos;
        });
    if (!are_fingerprints) {
        reader.add_problem("suspects.released",
                           "must contain fingerprints of 32 hexadecimal digits");
    }
}

/// Reads the stop timeout, which is given either in seconds or in whole milliseconds.
void read_stop_timeout(field_reader& reader, base::milliseconds& stop_timeout) {
    reader.read_seconds("stop_timeout_s", min_stop_timeout, max_stop_timeout, stop_timeout);
    reader.read_milliseconds("stop_timeout_ms", min_stop_timeout, max_stop_timeout, stop_timeout);
    if (reader.has("stop_timeout_s") && reader.has("stop_timeout_ms")) {
        reader.add_problem("stop_timeout_s", "must not be given together with stop_timeout_ms");
    }
}

fleet_settings_result read_document(const toml::table& document) {
    fleet_settings_result result;
    fleet_settings& settings = result.settings;
    field_reader reader(document, result.problems);
    read_role(reader, settings);
    std::string node;
    reader.require("node");
    reader.read("node", node, max_name_bytes);
    settings.node = base::node_id(node);
    reader.require("zone");
    reader.read("zone", settings.zone, max_name_bytes);
    reader.read_string_table("regions", settings.regions);
    reader.read("log_level", settings.log_level, max_name_bytes);
    reader.read_integer("memory_mb", 0, max_memory_mb, settings.memory_mb);
    read_required(reader, "listen.peer", endpoint_use::listen, settings.peer);
    reader.read_endpoint("listen.metrics", endpoint_use::listen, settings.metrics);
    reader.read_endpoints("seeds", settings.seeds);
    read_required(reader, "directory_service", endpoint_use::remote, settings.directory_service);
    reader.read_flag("first_start", settings.first_start);
    read_stop_timeout(reader, settings.stop_timeout);
    reader.read_milliseconds("change_bound_ms", base::milliseconds{500},
                             base::milliseconds{600'000}, settings.change_bound);
    reader.read_milliseconds("leaving_notice_ms", base::milliseconds{0},
                             base::milliseconds{600'000}, settings.leaving_notice);
    read_suspects(reader, settings.suspects);
    if (settings.role == fleet_role::edge) {
        read_required(reader, "listen.caller", endpoint_use::listen, settings.caller);
        read_required(reader, "listen.ready", endpoint_use::listen, settings.ready);
        read_dispatch(reader, settings.dispatch);
    } else {
        std::uint64_t losses = settings.tolerated_losses;
        reader.read_integer("tolerated_losses", 0, max_tolerated_losses, losses);
        settings.tolerated_losses = losses;
        std::uint64_t zones = settings.tolerated_zones;
        reader.read_integer("tolerated_zones", 0, max_tolerated_zones, zones);
        settings.tolerated_zones = zones;
        reader.read_milliseconds("quota.window_ms", base::milliseconds{0},
                                 base::milliseconds{600'000}, settings.quota_window);
        reader.read_integer("quota.slack", 0, max_quota_slack, settings.quota_slack);
        reader.read_number("slow_start.overage", 0, max_cold_overage, settings.slow_start.overage);
        reader.read_number("slow_start.slack", 0, max_cold_slack, settings.slow_start.slack);
        reader.require("data_folder");
        reader.read("data_folder", settings.data_folder, max_path_bytes);
    }
    reader.add_unknown_fields();
    return result;
}

fleet_settings_result result_with_problem(std::uint32_t line, std::string message) {
    fleet_settings_result result;
    result.problems.push_back({"", line, std::move(message)});
    return result;
}

}  // namespace

fleet_settings_result check_fleet(std::string_view toml_text) {
    try {
        return read_document(toml::parse(toml_text));
    } catch (const toml::parse_error& error) {
        return result_with_problem(error.source().begin.line,
                                   fmt::format("is not valid TOML: {}", error.description()));
    }
}

fleet_settings_result check_fleet_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file) {
        text << file.rdbuf();
    }
    if (!file) {
        return result_with_problem(0, "can't be read");
    }
    return check_fleet(text.str());
}

}  // namespace pearbarrow::settings
