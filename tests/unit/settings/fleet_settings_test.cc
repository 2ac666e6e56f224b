#include "pearbarrow/settings/fleet_settings.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace pearbarrow::settings;

namespace {

constexpr char edge_text[] = R"(
role = "edge"
node = "edge-1"
zone = "z"
first_start = true
directory_service = "10.0.0.1:80"
seeds = ["10.0.0.2:70", "10.0.0.3:70"]
[listen]
caller = "10.0.0.4:80"
ready = "10.0.0.4:81"
peer = "10.0.0.4:70"
metrics = "10.0.0.4:90"
)";

bool has_problem(const fleet_settings_result& result, const std::string& field) {
    return std::any_of(result.problems.begin(), result.problems.end(),
                       [&](const settings_problem& problem) { return problem.field == field; });
}

}  // namespace

Test(fleet_settings, edge_settings_are_read) {
    const auto result = check_fleet(edge_text);
    cr_assert(result.problems.empty());
    cr_assert(result.settings.role == fleet_role::edge && result.settings.first_start);
    cr_assert(result.settings.caller.port == 80 && result.settings.seeds.size() == 2);
    cr_assert(result.settings.metrics->port == 90);
}

Test(fleet_settings, every_problem_names_its_field) {
    const auto result = check_fleet(R"(
role = "leader"
zone = 5
first_start = "yes"
directory_service = "store"
own = 1
[listen]
peer = "10.0.0.4"
)");
    for (const char* field : {"role", "node", "zone", "first_start", "directory_service", "own",
                              "listen.peer", "listen.caller", "listen.ready"}) {
        cr_assert(has_problem(result, field), "no problem for %s", field);
    }
}

Test(fleet_settings, storage_member_needs_data_folder_but_no_caller_address) {
    const auto result = check_fleet(R"(
role = "storage"
node = "storage-1"
zone = "z"
directory_service = "10.0.0.1:80"
[listen]
peer = "10.0.0.4:70"
)");
    cr_assert(result.problems.size() == 1 && has_problem(result, "data_folder"));
}

Test(fleet_settings, tolerated_losses_and_zones_are_read) {
    const std::string text = R"(
role = "storage"
node = "storage-1"
zone = "z"
directory_service = "10.0.0.1:80"
data_folder = "/data"
tolerated_losses = 2
)";
    const std::string listen = "[listen]\npeer = \"10.0.0.4:70\"\n";
    const auto result = check_fleet(text + "tolerated_zones = 1\n" + listen);
    cr_assert(result.problems.empty());
    cr_assert(result.settings.tolerated_losses == 2 && result.settings.tolerated_zones == 1);
    cr_assert(check_fleet(text + listen).settings.tolerated_zones == 0);
    cr_assert(
        has_problem(check_fleet(text + "tolerated_zones = 99\n" + listen), "tolerated_zones"));
    cr_assert(
        has_problem(check_fleet(text + "tolerated_zones = \"one\"\n" + listen), "tolerated_zones"));
}

Test(fleet_settings, invalid_toml_or_missing_file_is_single_problem) {
    cr_assert(check_fleet("role = ").problems.size() == 1);
    cr_assert(check_fleet_file("/nowhere/at/all").problems.size() == 1);
}

Test(fleet_settings, dispatch_settings_are_read) {
    const auto result = check_fleet("leaving_notice_ms = 3000\n" + std::string(edge_text) +
                                    "[dispatch]\nshare_load = false\naffinity_percent = 150\n"
                                    "affinity_slack_percent = 250\nlapse_grace_ms = 900\n"
                                    "by_cost = false\n");
    cr_assert(result.problems.empty());
    cr_assert(result.settings.leaving_notice.count() == 3'000);
    cr_assert(!result.settings.dispatch.share_load);
    cr_assert(!result.settings.dispatch.by_cost);
    cr_assert(result.settings.dispatch.affinity_factor == 1.5);
    cr_assert(result.settings.dispatch.affinity_slack == 2.5);
    cr_assert(result.settings.dispatch.lapse_grace.count() == 900);
}

Test(fleet_settings, invalid_dispatch_settings_name_their_field) {
    const auto result = check_fleet(
        std::string(edge_text) + "[dispatch]\naffinity_percent = 20\nshare_load = 3\nsize = 1\n");
    cr_assert(has_problem(result, "dispatch.affinity_percent"));
    cr_assert(has_problem(result, "dispatch.share_load"));
    cr_assert(has_problem(result, "dispatch.size"));
}

Test(fleet_settings, region_of_each_zone_is_read) {
    const auto result = check_fleet(std::string(edge_text) +
                                    "[regions]\n\"z-1\" = \"north\"\n\"z 2\" = \"south\"\n");
    cr_assert(result.problems.empty());
    cr_assert(result.settings.regions.at("z-1") == "north");
    cr_assert(result.settings.regions.at("z 2") == "south");
    cr_assert(check_fleet(edge_text).settings.regions.empty(), "zones without regions");
    cr_assert(
        has_problem(check_fleet(std::string(edge_text) + "[regions]\n\"z\" = 5\n"), "regions.z"));
    cr_assert(has_problem(check_fleet(std::string(edge_text) + "regions = 5\n"), "listen.regions"));
}

namespace {

std::string storage_text(const std::string& more) {
    return R"(
role = "storage"
node = "store-1"
zone = "z"
directory_service = "10.0.0.1:80"
data_folder = "/data"
[listen]
peer = "10.0.0.4:70"
)" + more;
}

}  // namespace

Test(fleet_settings, slow_start_settings_are_read) {
    const auto result = check_fleet(storage_text("[slow_start]\noverage = 1.5\nslack = 5\n"));
    cr_assert(result.problems.empty());
    cr_assert(result.settings.slow_start.overage == 1.5);
    cr_assert(result.settings.slow_start.slack == 5);
    const auto absent = check_fleet(storage_text(""));
    cr_assert(absent.problems.empty());
    cr_assert(absent.settings.slow_start.overage == 1.0);
    cr_assert(absent.settings.slow_start.slack == 0);
}

Test(fleet_settings, invalid_slow_start_settings_name_their_field) {
    const auto result = check_fleet(storage_text("[slow_start]\noverage = \"much\"\nslack = -1\n"));
    cr_assert(has_problem(result, "slow_start.overage"));
    cr_assert(has_problem(result, "slow_start.slack"));
    cr_assert(result.problems.size() == 2);
}

Test(fleet_settings, limits_for_requests_that_end_back_ends_are_read) {
    const std::string digest(32, 'a');
    const auto result = check_fleet(std::string(edge_text) + R"(
[suspects]
max_ends = 2
block_time_ms = 5000
released = [")" + digest + R"("]
)");
    cr_assert(result.problems.empty());
    cr_assert(result.settings.suspects.max_ends == 2);
    cr_assert(result.settings.suspects.block_time.count() == 5'000);
    cr_assert(result.settings.suspects.released.front() == digest);
}

Test(fleet_settings, malformed_fingerprint_names_its_field) {
    const auto result =
        check_fleet(std::string(edge_text) + "[suspects]\nmax_ends = 9\nreleased = [\"A\"]\n");
    cr_assert(has_problem(result, "suspects.released"));
    cr_assert(has_problem(result, "suspects.max_ends"));
}

Test(fleet_settings, stop_timeout_is_read_in_seconds_or_milliseconds) {
    const auto stop_timeout_of = [](const std::string& field) {
        const auto result = check_fleet(field + edge_text);
        cr_assert(result.problems.empty(), "problem with %s", field.c_str());
        return result.settings.stop_timeout.count();
    };
    cr_assert(stop_timeout_of("") == 8'000);
    cr_assert(stop_timeout_of("stop_timeout_s = 5") == 5'000);
    cr_assert(stop_timeout_of("stop_timeout_s = 7.5") == 7'500);
    cr_assert(stop_timeout_of("stop_timeout_s = 8.2") == 8'200);
    cr_assert(stop_timeout_of("stop_timeout_s = 12.0") == 12'000);
    cr_assert(stop_timeout_of("stop_timeout_s = 0.1") == 100);
    cr_assert(stop_timeout_of("stop_timeout_s = 86400") == 86'400'000);
    cr_assert(stop_timeout_of("stop_timeout_ms = 2500") == 2'500);
}

Test(fleet_settings, invalid_stop_timeout_names_its_field) {
    for (const char* value : {"0", "0.05", "-8", "86401", "\"8\"", "true", "nan", "inf", "[8]"}) {
        const auto result =
            check_fleet("stop_timeout_s = " + std::string(value) + std::string(edge_text));
        cr_assert(result.problems.size() == 1 && has_problem(result, "stop_timeout_s"),
                  "no problem with %s", value);
        cr_assert(result.settings.stop_timeout.count() == 8'000);
    }
    for (const char* value : {"99", "7500.5", "86400001", "\"8\""}) {
        const auto result =
            check_fleet("stop_timeout_ms = " + std::string(value) + std::string(edge_text));
        cr_assert(result.problems.size() == 1 && has_problem(result, "stop_timeout_ms"),
                  "no problem with %s", value);
    }
}

Test(fleet_settings, stop_timeout_in_both_units_is_rejected) {
    const auto result =
        check_fleet("stop_timeout_s = 8\nstop_timeout_ms = 8000" + std::string(edge_text));
    cr_assert(result.problems.size() == 1 && has_problem(result, "stop_timeout_s"));
    cr_assert(result.problems.front().line == 1);
}
