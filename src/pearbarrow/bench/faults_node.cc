#include "pearbarrow/bench/faults_node.h"

#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/bench/faults_cell.h"
#include "pearbarrow/bench/faults_route.h"
#include "pearbarrow/bench/faults_shard_host.h"
#include "pearbarrow/bench/faults_world.h"

namespace pearbarrow::bench::faults {

namespace {

/// Most that a clock runs fast or slow.
constexpr double most_drift = 0.01;
constexpr std::int64_t longest_uptime_us = 1'000'000'000;

}  // namespace

sim_node::sim_node(fault_world& world, std::size_t number)
    : world_(world), number_(number), id_(fmt::format("n{}", number)) {
    store_ = std::make_unique<journal::memory_replica_store>(fmt::format("n{}-disk0", number));
}

sim_node::~sim_node() = default;

std::string sim_node::process() const {
    return fmt::format("{}#{}", id_.value(), incarnation_);
}

bool sim_node::paused() const {
    return paused_until_ > world_.queue.now();
}

base::instant sim_node::now() const {
    const auto elapsed = static_cast<double>(world_.queue.now().time_since_epoch().count());
    return base::instant(clock_offset_ +
                         base::microseconds(static_cast<std::int64_t>(elapsed * clock_rate_)));
}

void sim_node::start() {
    ++incarnation_;
    running_ = true;
    paused_until_ = {};
    write_watched_ = false;
    clock_rate_ = 1 + most_drift * (2 * world_.random.unit() - 1);
    clock_offset_ = world_.between(0, longest_uptime_us);
    journal::replica_options options;
    options.faults = world_.options.replica_faults;
    replica_ = std::make_unique<journal::replica>(id_, *store_, options);
    if (!replica_->open().ok()) {
        world_.history.unusable_journals += 1;
    }
    world_.log(process() + " starts");
    run(world_.between(0, 50'000), [this] { tick(); });
}

void sim_node::crash(bool lose_write) {
    world_.log(fmt::format("{} crashes{}", process(), lose_write ? ", losing a write" : ""));
    running_ = false;
    waiting_.clear();
    replica_.reset();  // It hears nothing of the write's end.
    if (lose_write) {
        store_->crash();
    } else {
        store_->finish_write();  // Durable, and nobody was told.
    }
    for (const auto& [shard, host] : std::exchange(hosts_, {})) {
        host->die();
    }
    cell_.reset();
    for (const auto& [number, route] : std::exchange(routes, {})) {
        route->process_died(number_);
    }
}

void sim_node::pause(base::instant until) {
    if (!paused()) {
        paused_since_ = world_.queue.now();
    }
    paused_until_ = std::max(paused_until_, until);
    run(paused_until_ - world_.queue.now(), [] {});
}

void sim_node::lose_disk() {
    world_.log(process() + " loses its disk");
    store_ = std::make_unique<journal::memory_replica_store>(
        fmt::format("n{}-disk{}", number_, ++stores_));
}

void sim_node::run(base::microseconds delay, event_queue::task what) {
    world_.queue.after(delay, [this, process = incarnation_, what = std::move(what)]() mutable {
        if (running_ && process == incarnation_) {
            waiting_.push_back(std::move(what));
            work_off();
        }
    });
}

/// Does what waits, in the order in which it came, until it is done or the process is paused.
void sim_node::work_off() {
    const std::uint64_t process = incarnation_;
    while (running_ && process == incarnation_ && !paused()) {
        settle();
        if (paused() || waiting_.empty()) {
            break;
        }
        const event_queue::task next = std::move(waiting_.front());
        waiting_.pop_front();
        next();
    }
}

/// Finishes what a pause cut through.
void sim_node::settle() {
    const auto hosts = hosts_;
    for (const auto& [shard, host] : hosts) {
        host->work();
    }
}

wire::journal_member sim_node::member(base::shard_id shard) const {
    if (replica_) {
        return replica_->member(shard);
    }
    const auto loaded = store_->load();
    std::uint32_t generation = 0;
    if (loaded.ok()) {
        for (const auto& stored : *loaded) {
            if (stored.shard == shard && stored.metadata.ok()) {
                generation = stored.metadata->generation;
            }
        }
    }
    return {id_, store_->identity(), generation};
}

void sim_node::handle(const wire::journal_request& request,
                      journal::replica::reply_callback reply) {
    replica_->handle(request, std::move(reply));
    flush();
}

void sim_node::flush() {
    constexpr std::int64_t longest_turn_us = 300;
    run(world_.between(0, longest_turn_us), [this] {
        replica_->flush();
        watch_write();
    });
}

void sim_node::watch_write() {
    if (!store_->write_pending() || write_watched_) {
        return;
    }
    write_watched_ = true;
    const bool slow = world_.faulty() && world_.random.chance(world_.slow_write_chance());
    run(slow ? world_.between(5'000, 200'000) : world_.between(50, 2'000), [this] {
        write_watched_ = false;
        store_->finish_write();
        watch_write();
    });
}

void sim_node::tick() {
    const auto hosts = hosts_;
    for (const auto& [shard, host] : hosts) {
        host->tick();
    }
    if (cell_ != nullptr) {
        cell_->tick();
    }
    run(tick_interval, [this] { tick(); });
}

sim_shard_host& sim_node::host(base::shard_id shard) {
    auto& found = hosts_[shard];
    if (found == nullptr) {
        found = std::make_shared<sim_shard_host>(world_, *this, shard);
    }
    return *found;
}

const sim_shard_host* sim_node::find_host(base::shard_id shard) const {
    const auto found = hosts_.find(shard);
    return found == hosts_.end() ? nullptr : found->second.get();
}

void sim_node::take_cell() {
    if (cell_ == nullptr) {
        cell_ = std::make_unique<sim_cell>(world_, *this);
    }
}

void sim_node::give_up_cell() {
    cell_.reset();
}

}  // namespace pearbarrow::bench::faults
