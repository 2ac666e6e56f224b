/// The operator's command line: flags and wiring.
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/operator/control_client.h"
#include "pearbarrow/operator/control_output.h"
#include "pearbarrow/operator/trace.h"

namespace {

using pearbarrow::operators::control_client;
using pearbarrow::operators::control_exit;
using pearbarrow::operators::percent_encode;
using json_result = absl::StatusOr<nlohmann::json>;
using formatter = std::function<std::string(const nlohmann::json&)>;

constexpr const char* key_variable = "PEARBARROW_OPERATOR_KEY";
constexpr int wait_step_milliseconds = 1'000;

constexpr const char* footer =
    "The key is read from --key-file or the variable PEARBARROW_OPERATOR_KEY.\n\n"
    "Exit codes: 0 done; 1 refused (wrong field, unknown object, conflict, wrong key);\n"
    "2 wrong command line or file; 3 server not reachable or failing;\n"
    "4 --wait ended before all live nodes had the version; 5 verification failed.\n";

/// What the command line gave.
struct command_line {
    std::string server = "127.0.0.1:7001";
    std::string key_file;
    std::string tls_authorities;
    std::string tls_certificate;
    std::string tls_key;
    std::string output = "table";
    std::string kind;
    std::string name;
    std::vector<std::string> files;
    std::vector<std::string> labels;
    std::string call;
    std::uint64_t base_version = 0;
    int timeout_seconds = 30;
    bool wait = false;
    bool dry_run = false;
    bool undo = false;
};

int exit_code(control_exit code) {
    return static_cast<int>(code);
}

int usage_error(const std::string& message) {
    std::cerr << "pearbarrowctl: " << message << "\n";
    return exit_code(control_exit::usage);
}

int report(const absl::Status& status) {
    const auto details = pearbarrow::base::details_of(status);
    std::cerr << fmt::format("pearbarrowctl: {}\n  reason: {}, step: {}, peer: {}\n",
                             std::string(status.message()), details.reason, details.step,
                             details.peer);
    return exit_code(pearbarrow::operators::exit_of(status));
}

int print(const command_line& given, const json_result& result, const formatter& format) {
    if (!result.ok()) {
        return report(result.status());
    }
    std::cout << (given.output == "json" ? result->dump(2) + "\n" : format(*result));
    return exit_code(control_exit::done);
}

std::optional<std::string> read_file(const std::string& path) {
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/// The resources of all files in one list; a file holds one resource or a list of them.
std::optional<nlohmann::json> read_resources(const std::vector<std::string>& files) {
    nlohmann::json all = nlohmann::json::array();
    for (const auto& path : files) {
        const auto text = read_file(path);
        if (!text.has_value()) {
            std::cerr << fmt::format("pearbarrowctl: {}: can't be read\n", path);
            return std::nullopt;
        }
        try {
            const auto parsed = nlohmann::json::parse(*text);
            const auto items = parsed.is_array() ? parsed : nlohmann::json::array({parsed});
            all.insert(all.end(), items.begin(), items.end());
        } catch (const nlohmann::json::parse_error& error) {
            std::cerr << fmt::format("pearbarrowctl: {}: {}\n", path, error.what());
            return std::nullopt;
        }
    }
    return all;
}

/// Waits until all live nodes report the version, and shows progress on a terminal.
int wait_for(control_client& client, const command_line& given, std::uint64_t version) {
    const bool terminal = isatty(STDERR_FILENO) != 0;
    const pearbarrow::base::system_clock_source clock;
    const auto give_up = clock.now() + std::chrono::seconds(given.timeout_seconds);
    while (true) {
        const auto state = client.get(fmt::format(
            "/operator/v1/config?wait_version={}&timeout_ms={}", version, wait_step_milliseconds));
        if (!state.ok()) {
            return report(state.status());
        }
        if (state->value("in_force_everywhere", false)) {
            std::cerr << (terminal ? "\r\033[K" : "")
                      << fmt::format("version {} is in force on all live nodes\n", version);
            return exit_code(control_exit::done);
        }
        const auto behind = state->value("nodes_behind", 0);
        if (terminal) {
            std::cerr << fmt::format("\r\033[Kwaiting for {} nodes", behind) << std::flush;
        }
        if (clock.now() >= give_up) {
            std::cerr << fmt::format(
                "{}version {} is not in force everywhere: {} nodes are behind\n",
                terminal ? "\n" : "", version, behind);
            return exit_code(control_exit::wait_timeout);
        }
    }
}

int finish_change(control_client& client, const command_line& given, const json_result& result) {
    const int printed = print(given, result, pearbarrow::operators::change_text);
    if (printed != 0 || !given.wait || given.dry_run) {
        return printed;
    }
    return wait_for(client, given, result->value("version", std::uint64_t{0}));
}

int get(control_client& client, const command_line& given) {
    using pearbarrow::operators::objects_table;
    if (given.name.empty()) {
        const auto query = given.kind == "all" ? "" : "?kind=" + percent_encode(given.kind);
        return print(given, client.get("/operator/v1/objects" + query), objects_table);
    }
    const auto target = fmt::format("/operator/v1/objects/{}/{}", percent_encode(given.kind),
                                    percent_encode(given.name));
    return print(given, client.get(target),
                 [](const nlohmann::json& object) { return object.dump(2) + "\n"; });
}

int apply(control_client& client, const command_line& given) {
    const auto resources = read_resources(given.files);
    if (!resources.has_value()) {
        return exit_code(control_exit::usage);
    }
    std::string query = given.dry_run ? "?dry_run=true" : "";
    if (given.base_version > 0) {
        query += fmt::format("{}base_version={}", query.empty() ? "?" : "&", given.base_version);
    }
    const auto result = client.change("POST", "/operator/v1/apply" + query, resources->dump());
    return finish_change(client, given, result);
}

int remove(control_client& client, const command_line& given) {
    const auto target = fmt::format("/operator/v1/objects/{}/{}", percent_encode(given.kind),
                                    percent_encode(given.name));
    return finish_change(client, given, client.change("DELETE", target, ""));
}

int label(control_client& client, const command_line& given) {
    nlohmann::json body = {{"set", nlohmann::json::object()}, {"remove", nlohmann::json::array()}};
    for (const auto& item : given.labels) {
        const auto equals = item.find('=');
        if (equals != std::string::npos && equals > 0) {
            body["set"][item.substr(0, equals)] = item.substr(equals + 1);
        } else if (item.size() > 1 && item.back() == '-') {
            body["remove"].push_back(item.substr(0, item.size() - 1));
        } else {
            return usage_error(fmt::format("'{}' is neither key=value nor key-", item));
        }
    }
    const auto target = fmt::format("/operator/v1/objects/{}/{}/labels", percent_encode(given.kind),
                                    percent_encode(given.name));
    return finish_change(client, given, client.change("PATCH", target, body.dump()));
}

int drain(control_client& client, const command_line& given) {
    const nlohmann::json body = {{"target", given.kind == "node" ? "node" : "back_end"},
                                 {"name", given.name},
                                 {"draining", !given.undo}};
    return finish_change(client, given, client.change("POST", "/operator/v1/drain", body.dump()));
}

/// "PROGRAM/CALL" as the path of the call; none when it is malformed.
std::optional<std::string> call_path(const std::string& call) {
    const auto slash = call.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == call.size()) {
        return std::nullopt;
    }
    return fmt::format("/operator/v1/programs/{}/calls/{}", percent_encode(call.substr(0, slash)),
                       percent_encode(call.substr(slash + 1)));
}

int explain(control_client& client, const command_line& given) {
    const auto path = call_path(given.call);
    if (!path.has_value()) {
        return usage_error("the call must be given as PROGRAM/CALL, such as 0a1b.../3");
    }
    return print(given, client.get(*path + "/explain"), pearbarrow::operators::explanation_text);
}

int verify(control_client& client, const command_line& given) {
    const auto path = call_path(given.call);
    if (!path.has_value()) {
        return usage_error("the call must be given as PROGRAM/CALL, such as 0a1b.../3");
    }
    const auto result = client.get(*path + "/verify");
    const int printed = print(given, result, pearbarrow::operators::verification_text);
    if (printed == 0 && !result->value("verified", false)) {
        return exit_code(control_exit::not_verified);
    }
    return printed;
}

int report_of(control_client& client, const command_line& given, const std::string& what,
              const formatter& format) {
    return print(given, client.get("/operator/v1/" + what), format);
}

using command = std::function<int(control_client&, const command_line&)>;

/// A subcommand and what runs it.
struct subcommand {
    CLI::App* app = nullptr;
    command run;
};

void add_wait(CLI::App& app, command_line& given) {
    app.add_flag("--wait", given.wait, "Return once all live nodes report the new version");
    app.add_option("--timeout", given.timeout_seconds, "Longest wait, in seconds")
        ->check(CLI::Range(1, 86'400));
}

std::vector<subcommand> add_changes(CLI::App& app, command_line& given) {
    auto* apply_app = app.add_subcommand("apply", "Create or replace objects, all or none");
    apply_app
        ->add_option("-f,--file", given.files,
                     "File of one JSON resource or a list; - reads "
                     "standard input")
        ->required();
    apply_app->add_flag("--dry-run", given.dry_run, "Check and report, write nothing");
    apply_app->add_option("--base-version", given.base_version,
                          "Refuse unless this version is in force");
    add_wait(*apply_app, given);

    auto* delete_app = app.add_subcommand("delete", "Remove an object");
    delete_app->add_option("kind", given.kind, "Kind, such as pool or engine")->required();
    delete_app->add_option("name", given.name, "Name of the object")->required();
    add_wait(*delete_app, given);

    auto* label_app = app.add_subcommand("label", "Set (key=value) and remove (key-) labels");
    label_app->add_option("kind", given.kind, "Kind, such as pool or engine")->required();
    label_app->add_option("name", given.name, "Name of the object")->required();
    label_app->add_option("labels", given.labels, "key=value or key-")->required();
    add_wait(*label_app, given);

    auto* drain_app = app.add_subcommand("drain", "Give a node or back end no new work");
    drain_app->add_option("target", given.kind, "What is drained")
        ->required()
        ->check(CLI::IsMember({"node", "backend"}));
    drain_app->add_option("name", given.name, "Name of the node or back end")->required();
    drain_app->add_flag("--undo", given.undo, "Take the drain back");
    add_wait(*drain_app, given);
    return {{apply_app, apply}, {delete_app, remove}, {label_app, label}, {drain_app, drain}};
}

std::vector<subcommand> add_questions(CLI::App& app, command_line& given) {
    using namespace pearbarrow::operators;  // NOLINT: only the formatters' names
    auto* get_app = app.add_subcommand("get", "Show objects of the configuration");
    get_app->add_option("kind", given.kind, "Kind, such as pool, engine, tenant; or all")
        ->required();
    get_app->add_option("name", given.name, "Name of one object, shown whole");
    auto* status_app = app.add_subcommand("status", "State of the node asked and of the cluster");
    auto* nodes_app = app.add_subcommand("nodes", "The nodes as the node asked sees them");
    auto* shards_app = app.add_subcommand("shards", "The shards, their owners and replicas");
    auto* explain_app = app.add_subcommand("explain", "Why a call was placed, delayed or refused");
    explain_app->add_option("call", given.call, "PROGRAM/CALL")->required();
    auto* verify_app =
        app.add_subcommand("verify", "Compute a call's decisions again from their recorded inputs");
    verify_app->add_option("call", given.call, "PROGRAM/CALL")->required();
    const auto reporting = [](std::string what, formatter format) {
        return [what, format](control_client& client, const command_line& line) {
            return report_of(client, line, what, format);
        };
    };
    return {{get_app, get},
            {status_app, reporting("status", status_text)},
            {nodes_app, reporting("nodes", nodes_table)},
            {shards_app, reporting("shards", shards_table)},
            {explain_app, explain},
            {verify_app, verify}};
}

/// `trace` reads files only: it needs no server.
struct trace_line_options {
    std::string request;
    std::vector<std::string> files;
};

CLI::App* add_trace(CLI::App& app, trace_line_options& given) {
    auto* trace_app = app.add_subcommand("trace", "A request's history, from the nodes' logs");
    trace_app->add_option("request", given.request, "The request's id")->required();
    trace_app->add_option("files", given.files, "Logs of nodes, in any order")->required();
    return trace_app;
}

int run_trace(const trace_line_options& given) {
    pearbarrow::operators::trace_collector collector(given.request);
    for (const std::string& name : given.files) {
        std::ifstream file(name);
        if (!file) {
            return usage_error(fmt::format("{}: can't be read", name));
        }
        for (std::string line; std::getline(file, line);) {
            collector.add_line(line);
        }
    }
    const auto trace = collector.finish();
    if (trace.lines.empty()) {
        fmt::print(stderr, "no line about request '{}'\n", given.request);
        return exit_code(control_exit::usage);
    }
    fmt::print("{}", pearbarrow::operators::trace_text(trace));
    return exit_code(control_exit::done);
}

/// The key without the newline that ends its file; none when it can't be read.
std::optional<std::string> read_key(const command_line& given) {
    if (given.key_file.empty()) {
        const char* value = std::getenv(key_variable);
        return value == nullptr ? std::string() : std::string(value);
    }
    auto text = read_file(given.key_file);
    while (text.has_value() && !text->empty() && std::isspace(text->back()) != 0) {
        text->pop_back();
    }
    return text;
}

int run(const command_line& given, const std::vector<subcommand>& commands) {
    const auto server = pearbarrow::net::parse_endpoint(given.server);
    if (!server.ok()) {
        return usage_error(
            fmt::format("--server '{}' is not an IP number and a port", given.server));
    }
    const auto key = read_key(given);
    if (!key.has_value()) {
        return usage_error(fmt::format("--key-file {}: can't be read", given.key_file));
    }
    if (given.tls_authorities.empty() && !given.tls_certificate.empty()) {
        return usage_error("--tls-certificate needs --tls-authorities");
    }
    pearbarrow::operators::control_options options{.server = *server, .key = *key};
    if (!given.tls_authorities.empty()) {
        options.tls = {given.tls_certificate, given.tls_key, given.tls_authorities};
    }
    control_client client(std::move(options));
    for (const auto& entry : commands) {
        if (entry.app->parsed()) {
            return entry.run(client, given);
        }
    }
    return exit_code(control_exit::usage);
}

}  // namespace

int main(int argc, char** argv) {
    command_line given;
    CLI::App app("Operate a pearbarrow cluster: its objects, nodes and decisions.",
                 "pearbarrowctl");
    app.require_subcommand(1);
    app.footer(footer);
    app.set_help_all_flag("--help-all", "Help of all subcommands");
    app.add_option("-s,--server", given.server, "Operators' address of any node, IP:PORT")
        ->envname("PEARBARROW_SERVER")
        ->capture_default_str();
    app.add_option("--key-file", given.key_file, "File that holds the operator's key");
    app.add_option("--tls-authorities", given.tls_authorities,
                   "PEM file of authorities that sign the server; without it plain text is spoken")
        ->envname("PEARBARROW_TLS_AUTHORITIES");
    auto* tls_certificate = app.add_option("--tls-certificate", given.tls_certificate,
                                           "PEM file of the operator's certificate chain");
    auto* tls_key =
        app.add_option("--tls-key", given.tls_key, "PEM file of the certificate's private key");
    tls_certificate->needs(tls_key);
    tls_key->needs(tls_certificate);
    app.add_option("-o,--output", given.output, "Form of the output")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
    app.fallthrough();
    trace_line_options tracing;
    auto* trace_app = add_trace(app, tracing);
    auto commands = add_changes(app, given);
    const auto questions = add_questions(app, given);
    commands.insert(commands.end(), questions.begin(), questions.end());
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool asked_for_help = app.exit(error) == 0;
        return exit_code(asked_for_help ? control_exit::done : control_exit::usage);
    }
    return trace_app->parsed() ? run_trace(tracing) : run(given, commands);
}
