#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <CLI/CLI.hpp>

#include "pearbarrow/bench/commands.h"
#include "pearbarrow/bench/load_run.h"

namespace pearbarrow::bench {
namespace {

/// Flags as text, before they are checked.
struct load_flags {
    load_options options;
    std::vector<std::string> nodes;
    std::vector<std::string> keys;
    double seconds = 10;
    std::int64_t patience_ms = 60'000;
    std::int64_t deadline_ms = 30'000;
    std::int64_t think_ms = 50;
};

[[noreturn]] void fail(const std::string& message) {
    fmt::print(stderr, "pearbarrow-bench load: {}\n", message);
    std::exit(2);
}

/// "tenant=key".
load_tenant parse_tenant(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        fail(fmt::format("--key: '{}' is not TENANT=API-KEY", text));
    }
    return {.tenant = base::tenant_id(text.substr(0, equals)), .api_key = text.substr(equals + 1)};
}

void run(load_flags& flags) {
    auto& options = flags.options;
    for (const auto& text : flags.nodes) {
        const auto node = net::parse_endpoint(text);
        if (!node.ok()) {
            fail(fmt::format("--node: {}", node.status().ToString()));
        }
        options.nodes.push_back(*node);
    }
    for (const auto& text : flags.keys) {
        options.tenants.push_back(parse_tenant(text));
    }
    if (options.shape.most_turns < options.shape.fewest_turns) {
        fail("--most-turns is less than --fewest-turns");
    }
    if (options.shape.foreign_read_share > 0 && options.tenants.size() < 2) {
        fail("--foreign-read-share needs the keys of two tenants");
    }
    options.duration = base::milliseconds(static_cast<std::int64_t>(flags.seconds * 1000));
    options.patience = base::milliseconds(flags.patience_ms);
    options.deadline = base::milliseconds(flags.deadline_ms);
    options.shape.think_time = base::milliseconds(flags.think_ms);
    const auto summary = run_load(options);
    if (!summary.ok()) {
        fail(summary.status().ToString());
    }
    fmt::print("{}\n", to_json(*summary).dump(2));
}

}  // namespace

void add_load_command(CLI::App& app) {
    auto flags = std::make_shared<load_flags>();
    auto* command = app.add_subcommand("load", "Drive programs against running nodes");
    auto& options = flags->options;
    auto& shape = options.shape;
    command->add_option("--node", flags->nodes, "Callers' listener of a node, IP:PORT; repeatable")
        ->required();
    command->add_option("--key", flags->keys, "TENANT=API-KEY; repeatable")->required();
    command->add_option("--seconds", flags->seconds, "Start no program after this time");
    command->add_option("--programs", options.most_programs, "Programs in all; 0: no bound");
    command->add_option("--at-once", options.programs_at_once, "Programs under way at a time");
    command->add_option("--class", shape.program_class, "Program class");
    command->add_option("--model", shape.model, "Model of the model calls");
    command->add_option("--repeatable-tool", shape.repeatable_tool, "Tool that may run twice");
    command->add_option("--single-run-tool", shape.single_run_tool, "Tool that must not");
    command->add_option("--fewest-turns", shape.fewest_turns, "Model calls of a program, at least");
    command->add_option("--most-turns", shape.most_turns, "Model calls of a program, at most");
    command->add_option("--prompt-words", shape.prompt_words, "Words of each question");
    command->add_option("--output-tokens", shape.output_tokens, "Tokens of each answer, at most");
    command->add_option("--budget", shape.token_budget, "Token budget of a program");
    command->add_option("--tight-budget-share", shape.tight_budget_share,
                        "Share of programs whose budget is too small");
    command->add_option("--abandoned-share", shape.abandoned_share,
                        "Share of programs that are left without an end");
    command->add_option("--foreign-read-share", shape.foreign_read_share,
                        "Share of calls after which another tenant tries to read the history; "
                        "needs two keys");
    command->add_option("--think-ms", flags->think_ms, "Mean pause between calls");
    command->add_option("--patience-ms", flags->patience_ms, "Longest time spent on one call");
    command->add_option("--deadline-ms", flags->deadline_ms, "Deadline that each call states");
    command->add_option("--seed", options.seed, "Seed of all draws");
    command->add_option("--history", options.history_path, "Append the history to this file");
    command->callback([flags] { run(*flags); });
}

}  // namespace pearbarrow::bench
