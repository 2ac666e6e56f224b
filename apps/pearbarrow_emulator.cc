/// Stand-ins of engines, tool services, the platform and whole nodes: one subcommand each.
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/emulator/engine_server.h"
#include "pearbarrow/emulator/faults.h"
#include "pearbarrow/emulator/history_writer.h"
#include "pearbarrow/emulator/hollow_fleet.h"
#include "pearbarrow/emulator/platform_server.h"
#include "pearbarrow/emulator/relay_server.h"
#include "pearbarrow/emulator/tool_server.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"

namespace {

using namespace pearbarrow;

constexpr int exit_failure = 1;
constexpr std::size_t max_request_bytes = 64UL * 1024 * 1024;

/// Flags that every stand-in takes.
struct common_flags {
    std::string listen = "127.0.0.1:0";
    std::string name;
    std::string history;
    std::string faults;
    std::uint64_t seed = 1;
};

struct engine_flags {
    emulator::engine_server_options options;
    std::string model = "pearl-8b";
    double time_scale = 1;
    std::int64_t load_lag = 250;
    std::int64_t stream_retention = 120'000;
    std::int64_t event_lag = 200;
    std::int64_t model_load = 2'000;
};

struct tool_flags {
    tool_flags() { options.model.latency.typical = base::milliseconds(200); }
    emulator::tool_server_options options;
    std::string latency = "lognormal:200ms:0.5";
    bool without_keys = false;
};

struct platform_flags {
    emulator::platform_options options;
    std::int64_t list_lag = 1'000;
    std::int64_t weight_delay = 100;
    std::vector<std::string> machines;
};

struct relay_flags {
    std::string target;
    std::string control = "127.0.0.1:0";
};

struct hollow_flags {
    emulator::hollow_options options;
    std::int64_t start_gap = 5;
};

int fail(const absl::Status& status) {
    base::log(base::log_level::error, "emulator_failed", base::log_fields(status));
    return exit_failure;
}

void announce(const net::endpoint& address, const nlohmann::json& more = nlohmann::json::object()) {
    nlohmann::json line = {{"event", "listening"}, {"address", net::to_string(address)}};
    line.update(more);
    std::puts(line.dump().c_str());
    std::fflush(stdout);
}

/// Serves `handler` until a stop signal.
int serve(net::event_loop& loop, const std::string& listen, net::http_handler handler) {
    const auto address = net::parse_endpoint(listen);
    if (!address.ok()) {
        return fail(address.status());
    }
    const auto server = net::make_http_server(
        loop, {.listen = *address, .max_body_bytes = max_request_bytes}, std::move(handler));
    if (const auto status = server->start(); !status.ok()) {
        return fail(status);
    }
    loop.on_stop_signal([&loop] { loop.stop(); });
    announce(server->local_endpoint());
    loop.run();
    return 0;
}

/// Serves a stand-in behind its fault injector.
template <typename Server>
int serve_with_faults(net::event_loop& loop, const common_flags& common, Server& server) {
    emulator::fault_injector faults(loop, common.seed);
    if (!common.faults.empty()) {
        if (const auto status = faults.set_json(common.faults); !status.ok()) {
            return fail(status);
        }
    }
    return serve(loop, common.listen,
                 faults.wrap([&server](const std::shared_ptr<net::http_exchange>& exchange) {
                     server.handle(exchange);
                 }));
}

/// Opens the history if one is asked for.
absl::Status open_history(emulator::history_writer& history, const common_flags& common) {
    return common.history.empty() ? absl::OkStatus() : history.open(common.history);
}

int run_engine(const common_flags& common, engine_flags flags) {
    emulator::history_writer history;
    if (const auto status = open_history(history, common); !status.ok()) {
        return fail(status);
    }
    auto& model = flags.options.model;
    model.model = base::model_name(flags.model);
    model.costs.model_load = base::milliseconds(flags.model_load);
    model.costs = model.costs.scaled(flags.time_scale);
    model.load_lag = base::milliseconds(flags.load_lag);
    model.stream_retention = base::milliseconds(flags.stream_retention);
    model.events.lag = base::milliseconds(flags.event_lag);
    model.seed = common.seed;
    flags.options.name = common.name.empty() ? "engine" : common.name;
    net::event_loop loop;
    const base::system_clock_source clock;
    emulator::engine_server server(loop, clock, flags.options, history);
    return serve_with_faults(loop, common, server);
}

int run_tool(const common_flags& common, tool_flags flags) {
    emulator::history_writer history;
    if (const auto status = open_history(history, common); !status.ok()) {
        return fail(status);
    }
    const auto latency = emulator::parse_latency(flags.latency);
    if (!latency) {
        return fail(absl::InvalidArgumentError("unknown latency"));
    }
    flags.options.model.latency = *latency;
    flags.options.model.keeps_keys = !flags.without_keys;
    flags.options.model.seed = common.seed;
    flags.options.name = common.name.empty() ? "tool" : common.name;
    net::event_loop loop;
    const base::system_clock_source clock;
    emulator::tool_server server(loop, clock, flags.options, history);
    return serve_with_faults(loop, common, server);
}

/// A machine given as "node=address=zone".
emulator::machine parse_machine(const std::string& text) {
    const auto first = text.find('=');
    const auto second = text.find('=', first + 1);
    emulator::machine item{.node = text.substr(0, first)};
    if (first != std::string::npos) {
        item.address = text.substr(first + 1, second - first - 1);
    }
    if (second != std::string::npos) {
        item.zone = text.substr(second + 1);
    }
    return item;
}

int run_platform(const common_flags& common, platform_flags flags) {
    flags.options.machine_list_lag = base::milliseconds(flags.list_lag);
    flags.options.weight_delay = base::milliseconds(flags.weight_delay);
    net::event_loop loop;
    const base::system_clock_source clock;
    emulator::platform_server server(loop, clock, flags.options);
    for (const std::string& text : flags.machines) {
        server.add_machine(parse_machine(text));
    }
    return serve_with_faults(loop, common, server);
}

int run_hollow(const common_flags& common, hollow_flags flags) {
    // Each node logs each change of each member: far too much of many nodes in one process.
    base::configure_logging("warning", {{"name", common.name}});
    flags.options.start_gap = base::milliseconds(flags.start_gap);
    flags.options.random_seed = common.seed;
    net::event_loop loop;
    const base::system_clock_source clock;
    emulator::hollow_fleet fleet(loop, clock, flags.options);
    if (const auto status = fleet.start(); !status.ok()) {
        return fail(status);
    }
    return serve_with_faults(loop, common, fleet);
}

int run_relay(const common_flags& common, const relay_flags& flags) {
    const auto listen = net::parse_endpoint(common.listen);
    const auto target = net::parse_endpoint(flags.target);
    const auto control = net::parse_endpoint(flags.control);
    for (const auto* address : {&listen, &target, &control}) {
        if (!address->ok()) {
            return fail(address->status());
        }
    }
    net::event_loop loop;
    const auto relay = net::make_tcp_relay(loop, *listen, *target);
    emulator::relay_server server(*relay);
    const auto http = net::make_http_server(
        loop, {.listen = *control}, [&server](const std::shared_ptr<net::http_exchange>& exchange) {
            server.handle(exchange);
        });
    for (const auto& status : {relay->start(), http->start()}) {
        if (!status.ok()) {
            return fail(status);
        }
    }
    loop.on_stop_signal([&loop] { loop.stop(); });
    announce(relay->local_endpoint(), {{"control", net::to_string(http->local_endpoint())}});
    loop.run();
    return 0;
}

void add_common_flags(CLI::App& command, common_flags& flags) {
    command.add_option("--listen", flags.listen, "IP:PORT; port 0: any free one");
    command.add_option("--name", flags.name, "name in the history");
    command.add_option("--history", flags.history, "file of JSON lines for the history checker");
    command.add_option("--faults", flags.faults, "JSON, as for POST /admin/faults");
    command.add_option("--seed", flags.seed, "seed of all draws");
}

void add_engine_flags(CLI::App& command, engine_flags& flags) {
    auto& model = flags.options.model;
    command.add_option("--model", flags.model, "model that is loaded");
    command.add_option("--model-version", model.model_version, "its version");
    command.add_option("--adapter", model.adapters, "adapter that is loaded; may repeat");
    command.add_option("--time-scale", flags.time_scale, "factor on all durations of work");
    command.add_option("--step-base-us", model.costs.step_base, "cost of a step");
    command.add_option("--prefill-token-us", model.costs.prefill_token, "cost of a prompt token");
    command.add_option("--decode-sequence-us", model.costs.decode_sequence,
                       "cost of a decoding sequence in a step");
    command.add_option("--cache-blocks", model.cache.total_blocks,
                       "memory, in blocks of 16 tokens");
    command.add_option("--max-running", model.max_running, "sequences in a batch");
    command.add_option("--max-waiting", model.max_waiting, "sequences in the queue");
    command.add_option("--min-answer-tokens", flags.options.answers.shortest, "shortest answer");
    command.add_option("--max-answer-tokens", flags.options.answers.longest, "longest answer");
    command.add_option("--load-lag-ms", flags.load_lag, "age that a load report may reach");
    command.add_option("--event-lag-ms", flags.event_lag, "lag of cache events");
    command.add_option("--event-gap-probability", model.events.gap_probability,
                       "share of cache events that are lost");
    command.add_option("--stream-retention-ms", flags.stream_retention,
                       "time that an ended stream can be received again");
    command.add_option("--model-load-ms", flags.model_load, "time to load a model");
}

void add_tool_flags(CLI::App& command, tool_flags& flags) {
    command.add_option("--latency", flags.latency,
                       "fixed:20ms, uniform:200ms:0.5, exponential:1s or lognormal:200ms:0.6");
    command.add_option("--fail-probability", flags.options.model.fail_probability,
                       "share of runs that fail");
    command.add_option("--hang-probability", flags.options.model.hang_probability,
                       "share of runs that never end");
    command.add_flag("--without-keys", flags.without_keys, "keep no idempotency keys");
}

void add_platform_flags(CLI::App& command, platform_flags& flags) {
    command.add_option("--key-value-rate", flags.options.key_value_rate,
                       "requests a second; 0: no limit");
    command.add_option("--key-value-burst", flags.options.key_value_burst, "requests at once");
    command.add_option("--weight-rate", flags.options.weight_rate, "fetches a second; 0: no limit");
    command.add_option("--weight-burst", flags.options.weight_burst, "fetches at once");
    command.add_option("--weight-delay-ms", flags.weight_delay, "time of a fetch");
    command.add_option("--machine-list-lag-ms", flags.list_lag, "lag of the machine list");
    command.add_option("--machine", flags.machines, "node=address=zone; may repeat");
}

void add_hollow_flags(CLI::App& command, hollow_flags& flags) {
    auto& options = flags.options;
    command.add_option("--cluster", options.cluster, "cluster to join");
    command.add_option("--nodes", options.nodes, "hollow nodes in this process");
    command.add_option("--first", options.first_index, "number of the first node");
    command.add_option("--prefix", options.prefix, "names of nodes: the prefix and a number");
    command.add_option("--zone", options.zones, "zones, taken in turn; may repeat");
    command.add_option("--region", options.region, "region of all nodes");
    command.add_option("--join", options.seeds, "datagram address of a node; may repeat");
    command.add_option("--key-value", options.key_value,
                       "address of the platform's key-value service; may repeat");
    command.add_option("--shards", options.shard_count, "shards whose owners are computed");
    command.add_option("--start-gap-ms", flags.start_gap, "pause between the starts of two nodes");
    command.add_option("--engines", options.engines, "hollow engines in this process");
    command.add_option("--engine-model", options.engine_model, "model that these report");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-ins of engines, tool services, the platform and whole nodes"};
    app.require_subcommand(1);
    common_flags common;
    engine_flags engine;
    tool_flags tool;
    platform_flags platform;
    relay_flags relay;
    hollow_flags hollow;
    auto* engine_command = app.add_subcommand("engine", "a model engine");
    auto* tool_command = app.add_subcommand("tool", "a tool service");
    auto* platform_command =
        app.add_subcommand("platform", "key-value service, machine list, weight store");
    auto* relay_command = app.add_subcommand("relay", "a TCP relay that injects faults");
    auto* hollow_command =
        app.add_subcommand("hollow", "many light nodes and engines, for runs at scale");
    for (auto* command :
         {engine_command, tool_command, platform_command, relay_command, hollow_command}) {
        add_common_flags(*command, common);
    }
    add_engine_flags(*engine_command, engine);
    add_tool_flags(*tool_command, tool);
    add_platform_flags(*platform_command, platform);
    add_hollow_flags(*hollow_command, hollow);
    relay_command->add_option("--target", relay.target, "IP:PORT to forward to")->required();
    relay_command->add_option("--control", relay.control, "IP:PORT of the control endpoint");
    CLI11_PARSE(app, argc, argv);
    base::configure_logging("info", {{"name", common.name}});
    if (engine_command->parsed()) {
        return run_engine(common, engine);
    }
    if (tool_command->parsed()) {
        return run_tool(common, tool);
    }
    if (platform_command->parsed()) {
        return run_platform(common, platform);
    }
    if (hollow_command->parsed()) {
        return run_hollow(common, hollow);
    }
    return run_relay(common, relay);
}
