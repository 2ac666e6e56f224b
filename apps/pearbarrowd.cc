/// A node of pearbarrow: flags, settings, and the event loop around `node::node`.
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/node/node.h"
#include "pearbarrow/settings/node_settings.h"

namespace {

using namespace pearbarrow;

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

struct daemon_flags {
    std::string settings_file;
    std::vector<std::string> overrides;
    bool check_only = false;
};

/// One JSON line on standard output, for whoever started the process.
void announce(std::string_view event, const base::node_id& self,
              const node::node_addresses& addresses) {
    const nlohmann::json line = {{"event", event},
                                 {"node", self.value()},
                                 {"caller", net::to_string(addresses.caller)},
                                 {"operator", net::to_string(addresses.operators)},
                                 {"peer", net::to_string(addresses.peer)},
                                 {"datagram", net::to_string(addresses.datagram)}};
    std::puts(line.dump().c_str());
    std::fflush(stdout);
}

settings::settings_result read_settings(const daemon_flags& flags) {
    std::vector<settings::settings_override> overrides;
    std::vector<settings::settings_problem> problems;
    for (const std::string& text : flags.overrides) {
        auto parsed = settings::parse_override(text);
        if (parsed.has_value()) {
            overrides.push_back(*std::move(parsed));
        } else {
            problems.push_back({"--set", 0, "must be FIELD=VALUE, not '" + text + "'"});
        }
    }
    settings::settings_result result = flags.settings_file.empty()
                                           ? settings::check("", overrides)
                                           : settings::check_file(flags.settings_file, overrides);
    result.problems.insert(result.problems.end(), problems.begin(), problems.end());
    return result;
}

int run(const settings::node_settings& settings) {
    const base::system_clock_source clock;
    net::event_loop loop;
    node::node_callbacks callbacks;
    callbacks.on_listening = [&](const node::node_addresses& addresses) {
        announce("listening", settings.node, addresses);
    };
    callbacks.on_ready = [&](const node::node_addresses& addresses) {
        announce("ready", settings.node, addresses);
    };
    callbacks.on_stopped = [&loop] { loop.stop(); };
    node::node daemon(loop, clock, settings, std::move(callbacks));
    loop.on_stop_signal([&daemon] { daemon.stop(); });
    loop.on_reload_signal([&daemon] { daemon.reload(); });
    if (const absl::Status status = daemon.start(); !status.ok()) {
        base::log(base::log_level::error, "start_failed", base::log_fields(status));
        return exit_failure;
    }
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    daemon_flags flags;
    CLI::App app("pearbarrowd: a node of pearbarrow");
    app.add_option("--settings", flags.settings_file, "settings file (TOML)");
    app.add_option("--set", flags.overrides, "override a field: FIELD=VALUE (repeatable)")
        ->allow_extra_args(false);
    app.add_flag("--check-settings", flags.check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);

    const settings::settings_result result = read_settings(flags);
    for (const settings::settings_problem& problem : result.problems) {
        fmt::print(stderr, "{}\n", settings::to_string(problem, flags.settings_file));
    }
    if (!result.problems.empty()) {
        return exit_bad_settings;
    }
    if (flags.check_only) {
        fmt::print("settings are good\n");
        return 0;
    }
    base::configure_logging(result.settings.log_level, {{"node", result.settings.node.value()},
                                                        {"zone", result.settings.zone.value()}});
    return run(result.settings);
}
