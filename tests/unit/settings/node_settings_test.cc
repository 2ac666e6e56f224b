/// Tests valid settings, each kind of problem, flags, and the example files.
#include "pearbarrow/settings/node_settings.h"

#include <algorithm>
#include <filesystem>
#include <string>

#include "expect_text.h"

namespace {

using namespace pearbarrow;  // NOLINT: tests read better without the prefix
using pearbarrow::testing::expect_text;

constexpr std::string_view minimal = R"(node = "n1"
cluster = "test"
zone = "a"
region = "east"
)";

std::string with(std::string_view more) {
    return std::string(minimal) + std::string(more);
}

const settings::settings_problem* find(const settings::settings_result& result,
                                       std::string_view field) {
    const auto found =
        std::find_if(result.problems.begin(), result.problems.end(),
                     [field](const auto& problem) { return problem.field == field; });
    return found == result.problems.end() ? nullptr : &*found;
}

/// Asserts that the text has exactly one problem, in the given field and line.
void expect_single_problem(std::string_view more, std::string_view field, std::uint32_t line) {
    const auto result = settings::check(with(more));
    cr_assert_eq(result.problems.size(), 1, "%zu problems for %s", result.problems.size(),
                 std::string(more).c_str());
    expect_text(result.problems[0].field, std::string(field));
    cr_expect_eq(result.problems[0].line, line, "line %u for %s", result.problems[0].line,
                 std::string(field).c_str());
}

std::string all_problems(const settings::settings_result& result, const std::string& file) {
    std::string text;
    for (const auto& problem : result.problems) {
        text += settings::to_string(problem, file) + "\n";
    }
    return text;
}

Test(settings, required_fields_suffice) {
    const auto result = settings::check(minimal);
    cr_assert(result.problems.empty(), "%s", all_problems(result, "minimal").c_str());
    expect_text(result.settings.node.value(), "n1");
    expect_text(result.settings.listen.caller.address, "127.0.0.1");
    cr_expect_eq(result.settings.shard_count, 64);
    cr_expect_not(result.settings.data_folder.has_value());
    cr_expect_not(result.settings.tls.has_value());
}

Test(settings, every_field_is_read) {
    const auto result = settings::check(R"(node = "n1"
cluster = "test"
zone = "a"
region = "east"
shard_count = 8
data_folder = "/var/lib/pearbarrow"
log_level = "debug"
random_seed = 7
operator_key_hashes = ["0000000000000000000000000000000000000000000000000000000000000000"]
seeds = ["10.0.0.2:7003", "[fd00::1]:7003"]
[listen]
caller = "0.0.0.0:7000"
operator = "127.0.0.1:7001"
peer = "10.0.0.1:7002"
datagram = "10.0.0.1:7003"
[advertise]
caller = "10.0.0.1:7000"
[platform]
key_value = ["10.0.0.9:2379"]
machine_list = "10.0.0.9:8081"
weight_store = "10.0.0.9:8082"
[limits]
max_open_requests = 100
[timing]
probe_interval_ms = 400
[tls]
certificate_chain = "chain.pem"
private_key = "key.pem"
)");
    cr_assert(result.problems.empty(), "%s", all_problems(result, "every").c_str());
    const auto& read = result.settings;
    cr_expect_eq(read.seeds.size(), 2);
    expect_text(settings::to_string(read.seeds[1]), "[fd00::1]:7003");
    cr_expect_eq(read.listen.operators.port, 7001);
    cr_expect_eq(read.limits.max_open_requests, 100);
    cr_expect_eq(read.timing.probe_interval.count(), 400);
    expect_text(read.tls->private_key, "key.pem");
    cr_expect_eq(*read.random_seed, 7);
    cr_expect_eq(read.platform.machine_list->port, 8081);
}

Test(settings, all_problems_are_reported_at_once) {
    const auto result = settings::check(R"(node = 5
cluster = "with space"
zone = "a"
shard_count = 0
colour = "blue"
seeds = ["10.0.0.1:1", "host:80"]
[listen]
caller = "somewhere"
[limits]
max_connections = "many"
[timing]
probe_interval_ms = -1
[unheard_of]
x = 1
)");
    for (const auto& [field, line] : {std::pair{"node", 1U},
                                      {"cluster", 2U},
                                      {"region", 0U},
                                      {"shard_count", 4U},
                                      {"colour", 5U},
                                      {"seeds[1]", 6U},
                                      {"listen.caller", 8U},
                                      {"limits.max_connections", 10U},
                                      {"timing.probe_interval_ms", 12U},
                                      {"unheard_of", 13U}}) {
        const auto* problem = find(result, field);
        cr_assert_not_null(problem, "no problem for %s", field);
        cr_expect_eq(problem->line, line, "%s: line %u", field, problem->line);
    }
    cr_expect_eq(result.problems.size(), 10, "%s", all_problems(result, "bad").c_str());
}

Test(settings, single_problem_names_its_field_and_line) {
    expect_single_problem("log_level = \"loud\"\n", "log_level", 5);
    expect_single_problem("operator_key_hashes = [\"secret\"]\n", "operator_key_hashes", 5);
    expect_single_problem("operator_key_hashes = [1]\n", "operator_key_hashes[0]", 5);
    expect_single_problem("data_folder = \"\"\n", "data_folder", 5);
    expect_single_problem("seeds = [\"0.0.0.0:5\"]\n", "seeds[0]", 5);
    expect_single_problem("seeds = [\"10.0.0.1:0\"]\n", "seeds[0]", 5);
    expect_single_problem("seeds = [\"10.0.0.1:65536\"]\n", "seeds[0]", 5);
    expect_single_problem("seeds = \"10.0.0.1:1\"\n", "seeds", 5);
    expect_single_problem("listen = 5\n", "listen", 5);
    expect_single_problem("[listen]\nport = 5\n", "listen.port", 6);
    expect_single_problem("[tls]\nprivate_key = \"k\"\n", "tls.certificate_chain", 0);
    expect_single_problem("[listen]\ncaller = \"127.0.0.1:9\"\npeer = \"127.0.0.1:9\"\n",
                          "listen.peer", 7);
    expect_single_problem("[timing]\nprobe_timeout_ms = 900\n", "timing.probe_timeout_ms", 6);
    expect_single_problem("[limits]\nmax_body_bytes = 1073741824\n", "limits.max_body_bytes", 6);
    expect_single_problem("[listen]\npeer = \"0.0.0.0:9\"\n", "listen.peer", 6);
}

Test(settings, invalid_toml_is_single_problem) {
    for (const auto* text : {"node = ", "[listen", "a = 1\na = 2\n", "\xff\xfe", "node = \"x"}) {
        const auto result = settings::check(text);
        cr_assert_eq(result.problems.size(), 1, "for %s", text);
        cr_expect_gt(result.problems[0].line, 0, "for %s", text);
    }
    const auto nothing = settings::check("");
    cr_expect_eq(nothing.problems.size(), 4, "node, cluster, zone and region are missing");
    const auto too_large = settings::check(std::string(std::size_t{2} * 1024 * 1024, '#'));
    cr_expect_eq(too_large.problems.size(), 1);
}

Test(settings, missing_file_is_reported) {
    const auto result = settings::check_file("/nowhere/at/all.toml");
    cr_assert_eq(result.problems.size(), 1);
    expect_text(settings::to_string(result.problems[0], "all.toml"), "all.toml: can't be read");
}

Test(settings, flags_override_the_file) {
    const auto result = settings::check(
        minimal, {{"node", "n2"}, {"shard_count", "16"}, {"listen.caller", "127.0.0.1:81"}});
    cr_assert(result.problems.empty(), "%s", all_problems(result, "flags").c_str());
    expect_text(result.settings.node.value(), "n2");
    cr_expect_eq(result.settings.shard_count, 16);
    cr_expect_eq(result.settings.listen.caller.port, 81);
}

Test(settings, invalid_flags_are_reported) {
    const auto result = settings::check(
        minimal, {{"listen.caller", "nowhere"}, {"a..b", "1"}, {"node.x", "1"}, {"typo", "1"}});
    cr_expect_eq(result.problems.size(), 4, "%s", all_problems(result, "flags").c_str());
    cr_assert_not_null(find(result, "listen.caller"));
    cr_expect_eq(find(result, "listen.caller")->line, 0, "a flag has no line");
    cr_expect_not(settings::parse_override("novalue").has_value());
    expect_text(settings::parse_override("a.b=c=d")->value, "c=d");
}

Test(settings, example_files_are_valid) {
    std::size_t checked = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(PEARBARROW_EXAMPLES)) {
        if (entry.path().extension() != ".toml") {
            continue;
        }
        const auto file = entry.path().string();
        const auto result = settings::check_file(file);
        cr_expect(result.problems.empty(), "%s", all_problems(result, file).c_str());
        ++checked;
    }
    cr_expect_geq(checked, 3, "%zu example files", checked);
}

}  // namespace
