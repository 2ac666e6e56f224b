#include "pearbarrow/bench/faults_world.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/bench/faults_callers.h"
#include "pearbarrow/bench/faults_cell.h"
#include "pearbarrow/bench/faults_node.h"
#include "pearbarrow/bench/faults_route.h"
#include "pearbarrow/bench/faults_shard_host.h"

namespace pearbarrow::bench::faults {

namespace {

constexpr std::size_t engine_count = 3;
constexpr double stale_route_chance = 0.1;
constexpr double duplication = 0.03;
constexpr double slow_message_chance = 0.02;
/// How long after the last caller's end engines may hold memory of ended programs.
constexpr base::seconds settle_time{60};

}  // namespace

fault_world::fault_world(fault_options chosen)
    : simulated_service(chosen.seed), options(chosen), sets_(shard_count), believed_(shard_count) {
    const double losses[] = {0.0, 0.01, 0.08};
    const double slow_writes[] = {0.02, 0.05, 0.5};
    loss_ = losses[random.below(std::size(losses))];
    slow_writes_ = slow_writes[random.below(std::size(slow_writes))];
    make_back_ends();
    for (std::size_t number = 0; number < node_count; ++number) {
        nodes_.push_back(std::make_unique<sim_node>(*this, number));
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        sets_[shard].set.epoch = 1;
        for (std::size_t i = 0; i < replica_count; ++i) {
            const std::size_t number = (shard + i) % node_count;
            sets_[shard].set.members.push_back(node(number).member(base::shard_id(shard)));
        }
        believed_[shard] = shard % node_count;
    }
    for (auto& each : nodes_) {
        each->start();
    }
    node(cell_node_).take_cell();
}

fault_world::~fault_world() = default;

void fault_world::make_back_ends() {
    for (std::size_t i = 0; i < engine_count; ++i) {
        const base::backend_id name(fmt::format("engine-{}", i));
        engines[name] =
            std::make_unique<model_engine>(name, queue, random, history, options.backends);
    }
    const std::vector<std::pair<std::string, tool_memory>> kinds{
        {"full", tool_memory::full},
        {"remembers", tool_memory::remembers},
        {"none", tool_memory::none}};
    for (const auto& [kind, memory] : kinds) {
        const base::backend_id name(kind);
        tools[name] =
            std::make_unique<model_tool>(name, queue, random, history, options.backends, memory);
    }
}

std::vector<base::backend_id> fault_world::backend_names() const {
    std::vector<base::backend_id> names;
    for (const auto& [name, engine] : engines) {
        names.push_back(name);
    }
    for (const auto& [name, tool] : tools) {
        names.push_back(name);
    }
    return names;
}

base::microseconds fault_world::between(std::int64_t low_us, std::int64_t high_us) {
    const auto span = static_cast<std::uint64_t>(high_us - low_us + 1);
    return base::microseconds(low_us + static_cast<std::int64_t>(random.below(span)));
}

void fault_world::log(const std::string& line) const {
    if (options.trace) {
        const auto at = static_cast<double>(queue.now().time_since_epoch().count()) / 1e6;
        std::cout << fmt::format("{:10.4f} {}\n", at, line);
    }
}

bool fault_world::reachable(std::size_t from, std::size_t to) const {
    return from == to || (!is_cut(from, to) && !is_cut(to, from));
}

base::shard_id fault_world::shard_of(const base::program_id& program) const {
    return base::shard_id(
        static_cast<std::uint32_t>(base::stable_hash(program.value()) % shard_count));
}

void fault_world::transmit(std::size_t from, std::size_t to, const event_queue::task& arrive) {
    const bool remote = from != to;
    if (remote && faulty_ && random.chance(loss_)) {
        return;
    }
    const int copies = remote && faulty_ && random.chance(duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool slow = remote && faulty_ && random.chance(slow_message_chance);
        const auto delay = slow ? between(10'000, 600'000) : between(100, 4'000);
        queue.after(delay, [this, from, to, arrive] {
            if (!is_cut(from, to)) {
                arrive();
            }
        });
    }
}

void fault_world::send(const wire::program_request& request, answer_callbacks callbacks) {
    queue.after(network_delay(), [this, request, callbacks = std::move(callbacks)] {
        const std::size_t gateway = any_node();
        if (!node(gateway).running()) {
            callbacks.on_done(base::make_error(absl::StatusCode::kUnavailable, "gateway is down",
                                               {.step = "connect", .reason = "not_owner"}));
            return;
        }
        route(gateway, request, callbacks);
    });
}

void fault_world::route(std::size_t gateway, const wire::program_request& request,
                        answer_callbacks callbacks) {
    const base::shard_id shard = shard_of(wire::routing_program(request));
    const bool stale = faulty_ && random.chance(stale_route_chance);
    // A node that thinks that it owns the shard looks no further.
    const sim_shard_host* own = node(gateway).running() ? node(gateway).find_host(shard) : nullptr;
    const std::size_t known = own != nullptr && own->leads() ? gateway : believed_[shard.value()];
    const std::size_t owner = stale ? any_node() : known;
    const auto made = std::make_shared<request_route>(*this, ++last_route_, gateway, request,
                                                      std::move(callbacks));
    node(gateway).run(base::microseconds(0), [made, owner] { made->begin(owner); });
}

void fault_world::learner_caught_up(base::shard_id shard, const wire::journal_member& member) {
    shard_set& known = sets_[shard.value()];
    known.learner_caught_up = known.learner_caught_up || known.learner == member;
}

void fault_world::epoch_established(base::shard_id shard, std::uint64_t epoch) {
    shard_set& known = sets_[shard.value()];
    known.established = known.established || known.set.epoch == epoch;
}

fault_result fault_world::run() {
    direct();
    for (std::uint64_t i = 0; i < options.programs; ++i) {
        const base::program_id program(fmt::format("p{}", i));
        std::make_shared<program_caller>(*this, draw_plan(*this, program, true))->start();
    }
    schedule_fault();
    queue.at(base::instant(options.fault_time), [this] { heal(); });
    std::optional<base::instant> callers_done;
    while (queue.now() < base::instant(options.time_limit) && queue.step()) {
        if (running_callers > 0) {
            continue;
        }
        callers_done = callers_done.value_or(queue.now());
        if (!faulty_ && (quiet() || queue.now() > *callers_done + settle_time)) {
            break;
        }
    }
    look_at_the_end();
    return judge();
}

fault_result run_faults(const fault_options& options) {
    fault_world world(options);
    return world.run();
}

}  // namespace pearbarrow::bench::faults
