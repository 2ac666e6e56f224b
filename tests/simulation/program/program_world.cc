#include "program_world.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "program_caller.h"

namespace pearbarrow::simulation {

namespace {

constexpr std::size_t shard_count = 2;
constexpr std::size_t engine_count = 3;
constexpr std::uint64_t max_delay_us = 10'000;
constexpr std::uint64_t max_recovery_us = 400'000;
constexpr std::uint64_t max_fault_interval_ms = 2'500;
constexpr std::uint64_t max_pause_ms = 5'000;
constexpr std::uint64_t max_block_ms = 3'000;
constexpr double stale_route_chance = 0.1;
constexpr base::seconds time_limit{400};
constexpr base::seconds settle_time{40};

}  // namespace

program_world::program_world(world_options chosen)
    : random(chosen.seed), options(chosen), nodes_(shard_count) {
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
        journals.push_back(std::make_unique<model_journal>(queue, random));
    }
    for (std::size_t i = 0; i < engine_count; ++i) {
        engines[base::backend_id(fmt::format("engine-{}", i))] =
            std::make_unique<model_engine>(queue, random, history, options.backends);
    }
    const std::vector<std::pair<std::string, tool_memory>> kinds{
        {"full", tool_memory::full},
        {"remembers", tool_memory::remembers},
        {"none", tool_memory::none}};
    for (const auto& [name, memory] : kinds) {
        tools[base::backend_id(name)] =
            std::make_unique<model_tool>(queue, random, history, options.backends, memory);
    }
}

program_world::~program_world() = default;

base::microseconds program_world::network_delay() {
    return base::microseconds(random.below(max_delay_us));
}

std::size_t program_world::shard_of(const base::program_id& program) const {
    return base::stable_hash(program.value()) % shard_count;
}

base::backend_id program_world::any_engine() {
    auto engine = engines.begin();
    std::advance(engine, random.below(engines.size()));
    return engine->first;
}

base::backend_id program_world::tool_for(const base::tool_name& tool) const {
    return base::backend_id(tool.value());
}

void program_world::send(const wire::program_request& request, reply_callbacks callbacks) {
    queue.after(network_delay(), [this, request, callbacks] {
        const auto& nodes = nodes_[shard_of(wire::routing_program(request))];
        if (nodes.empty()) {
            callbacks.on_done(base::make_error(absl::StatusCode::kUnavailable, "no owner yet",
                                               {.step = "route", .reason = "not_owner"}));
            return;
        }
        const bool stale = nodes.size() > 1 && random.chance(stale_route_chance);
        const auto& node = stale ? nodes[nodes.size() - 2] : nodes.back();
        node->request(request, callbacks);
    });
}

void program_world::take_over(std::size_t shard, fate old_owner_fate) {
    auto& nodes = nodes_[shard];
    if (!nodes.empty()) {
        const auto old = nodes.back();
        if (old_owner_fate == fate::crash) {
            old->crash();
        } else if (old_owner_fate == fate::pause) {
            old->pause(queue.now() + base::milliseconds(random.below(max_pause_ms)));
        }
    }
    queue.after(base::microseconds(random.below(max_recovery_us)), [this, shard, old_owner_fate] {
        auto& owners = nodes_[shard];
        const model_journal::recovery found = journals[shard]->open_term();
        if (old_owner_fate == fate::hand_over && !owners.empty()) {
            owners.back()->deliver(program::event::ownership_lost{});
        }
        const auto node = std::make_shared<owner_node>(*this, shard, found.term);
        owners.push_back(node);
        node->deliver(program::event::journal_recovered{found.snapshot, found.payloads});
        node->keep_ticking();
    });
}

void program_world::schedule_fault() {
    queue.after(base::milliseconds(random.below(max_fault_interval_ms)), [this] {
        if (queue.now() < base::instant(options.fault_time)) {
            inject_fault();
            schedule_fault();
        }
    });
}

void program_world::inject_fault() {
    const std::size_t shard = random.below(shard_count);
    switch (random.below(5)) {
        case 0:
            take_over(shard, fate::crash);
            break;
        case 1:
            take_over(shard, fate::pause);
            break;
        case 2:
            take_over(shard, fate::hand_over);
            break;
        case 3:
            engines.at(any_engine())->crash();
            break;
        default:
            journals[shard]->block(queue.now() + base::milliseconds(random.below(max_block_ms)));
            break;
    }
}

bool program_world::quiet() const {
    return running_callers == 0 &&
           std::all_of(engines.begin(), engines.end(),
                       [](const auto& engine) { return engine.second->holdings().empty(); });
}

run_history program_world::run() {
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
        take_over(shard, fate::hand_over);
    }
    for (std::uint64_t i = 0; i < options.programs; ++i) {
        const base::program_id program(fmt::format("p{}", i));
        std::make_shared<program_caller>(*this, random_plan(*this, program, true))->start();
    }
    schedule_fault();
    std::optional<base::instant> callers_done;
    while (queue.now() < base::instant(time_limit) && queue.step()) {
        if (running_callers > 0) {
            callers_done.reset();
            continue;
        }
        callers_done = callers_done.value_or(queue.now());
        const bool settled = quiet() && queue.now() > base::instant(options.fault_time);
        if (settled || queue.now() > *callers_done + settle_time) {
            break;
        }
    }
    history.unfinished_callers = running_callers;
    for (const auto& [id, engine] : engines) {
        for (const base::program_id& program : engine->holdings()) {
            history.cached_at_end.insert(program);
        }
    }
    for (auto& nodes : nodes_) {
        for (const auto& node : nodes) {
            node->crash();
        }
    }
    return history;
}

}  // namespace pearbarrow::simulation
