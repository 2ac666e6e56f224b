#include "swim_simulation.h"

#include <algorithm>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::simulation {
namespace {

using membership::member_state;

constexpr base::milliseconds tick_period{50};
constexpr std::size_t seed_count = 3;
constexpr std::uint64_t header_bytes = 28;
constexpr std::uint16_t first_port = 1000;
constexpr std::string_view name_prefix = "node-";

}  // namespace

base::node_id swim_simulation::name(std::size_t index) {
    return base::node_id(fmt::format("{}{:03}", name_prefix, index));
}

swim_simulation::swim_simulation(swim_simulation_options options)
    : options_(std::move(options)), random_(options_.seed) {
    options_.swim.cluster = "simulated";
    now_ += base::seconds(1'000);
    nodes_.resize(options_.nodes);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        membership::member& self = nodes_[index].self;
        const std::size_t zone = index % options_.zones;
        const auto port = static_cast<std::uint16_t>(first_port + index);
        self.id = name(index);
        self.metadata.zone = base::zone_name(fmt::format("zone-{}", zone));
        self.metadata.region = base::region_name(fmt::format("region-{}", zone % options_.regions));
        self.metadata.datagram = {fmt::format("10.0.{}.{}", zone, index % 250), port};
        self.metadata.peer = {self.metadata.datagram.address, 7001};
        self.metadata.caller = {self.metadata.datagram.address, 7002};
        self.metadata.operators = {self.metadata.datagram.address, 7003};
    }
}

void swim_simulation::start_all() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        start(index);
    }
}

void swim_simulation::start(std::size_t index) {
    node& started = nodes_[index];
    ++started.process;
    started.self.generation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    started.paused_until = now_;
    started.random = std::make_unique<base::random_source>(random_.next());
    started.core =
        std::make_unique<membership::swim_core>(options_.swim, started.self, *started.random, now_);
    membership::join_hints hints;
    for (std::size_t seed = 0; seed < std::min(seed_count, nodes_.size()); ++seed) {
        hints.endpoints.push_back(nodes_[seed].self.metadata.datagram);
    }
    execute(index, started.core->apply(hints, now_));
    const auto offset = random_.below(base::microseconds(tick_period).count());
    schedule_tick(index, now_ + base::microseconds(offset));
}

void swim_simulation::schedule_tick(std::size_t index, base::instant at) {
    timed_event event;
    event.at = at;
    event.order = next_order_++;
    event.target = index;
    event.process = nodes_[index].process;
    event.is_tick = true;
    events_.push(std::move(event));
}

void swim_simulation::run_for(base::milliseconds duration) {
    const base::instant end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        const timed_event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        deliver(event);
    }
    now_ = end;
}

bool swim_simulation::run_until(const std::function<bool()>& condition, base::milliseconds limit) {
    const base::instant end = now_ + limit;
    while (!condition()) {
        if (now_ >= end) {
            return false;
        }
        run_for(tick_period);
    }
    return true;
}

void swim_simulation::deliver(const timed_event& event) {
    node& target = nodes_[event.target];
    if (target.core == nullptr || (event.is_tick && event.process != target.process)) {
        return;
    }
    if (now_ < target.paused_until) {
        timed_event later = event;
        later.at = target.paused_until;
        // Worst case: timers run before the buffered datagrams are read.
        later.order = event.is_tick ? event.order : next_order_++;
        events_.push(std::move(later));
        return;
    }
    if (event.is_tick) {
        schedule_tick(event.target, now_ + tick_period);
        execute(event.target, target.core->apply(membership::swim_tick{}, now_));
        return;
    }
    execute(event.target,
            target.core->apply(membership::datagram_received{event.from, event.payload}, now_));
}

void swim_simulation::execute(std::size_t index,
                              const std::vector<membership::swim_action>& actions) {
    for (const membership::swim_action& action : actions) {
        if (const auto* datagram = std::get_if<membership::send_datagram>(&action)) {
            transmit(index, *datagram);
        } else if (const auto* change = std::get_if<membership::member_changed>(&action)) {
            record_change(index, *change);
        } else if (std::holds_alternative<membership::leave_finished>(action)) {
            ++leaves_finished_;
            nodes_[index].core.reset();
            return;
        }
    }
}

void swim_simulation::transmit(std::size_t from, const membership::send_datagram& datagram) {
    const std::uint64_t bytes = datagram.payload.size() + header_bytes;
    largest_datagram_ = std::max<std::uint64_t>(largest_datagram_, datagram.payload.size());
    bytes_sent_ += bytes;
    nodes_[from].bytes_sent += bytes;
    const std::size_t target = datagram.to.port - first_port;
    if (target >= nodes_.size() || (link_filter_ && !link_filter_(from, target))) {
        return;
    }
    const int copies = random_.chance(options_.duplication) ? 2 : 1;
    const auto spread =
        static_cast<std::uint64_t>((options_.max_delay - options_.min_delay).count());
    for (int copy = 0; copy < copies; ++copy) {
        if (random_.chance(options_.loss)) {
            continue;
        }
        timed_event event;
        event.at = now_ + options_.min_delay + base::microseconds(random_.below(spread + 1));
        event.order = next_order_++;
        event.target = target;
        event.from = nodes_[from].self.metadata.datagram;
        event.payload = datagram.payload;
        events_.push(std::move(event));
    }
}

void swim_simulation::record_change(std::size_t observer,
                                    const membership::member_changed& change) {
    if (change.current.state != member_state::dead || change.forgotten ||
        change.previous == member_state::dead) {
        return;
    }
    ++nodes_[observer].deaths_declared;
    for (const node& each : nodes_) {
        const bool same = each.core != nullptr && each.self.id == change.current.id &&
                          each.self.generation == change.current.generation;
        if (same && each.paused_until <= now_) {
            ++false_deaths_;
        }
    }
}

void swim_simulation::kill(std::size_t index) {
    nodes_[index].core.reset();
}

void swim_simulation::restart(std::size_t index) {
    start(index);
}

void swim_simulation::pause(std::size_t index, base::milliseconds duration) {
    nodes_[index].paused_until = now_ + duration;
}

void swim_simulation::leave(std::size_t index) {
    execute(index, nodes_[index].core->apply(membership::leave{}, now_));
}

void swim_simulation::set_links(std::function<bool(std::size_t, std::size_t)> passes) {
    link_filter_ = std::move(passes);
}

void swim_simulation::set_config_version(std::size_t index, std::uint64_t version) {
    execute(index, nodes_[index].core->apply(
                       membership::config_version_changed{base::config_version(version)}, now_));
}

std::size_t swim_simulation::running_count() const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(), [](const node& each) { return each.core != nullptr; }));
}

bool swim_simulation::converged() const {
    const std::size_t expected = running_count();
    for (const node& observer : nodes_) {
        if (observer.core == nullptr) {
            continue;
        }
        if (observer.core->live_count() != expected) {
            return false;
        }
        for (const auto& [id, seen] : observer.core->others()) {
            const node& actual = nodes_[std::stoul(id.value().substr(name_prefix.size()))];
            const bool same = actual.core != nullptr &&
                              actual.self.generation == seen.value.generation &&
                              seen.value.state == member_state::alive;
            if (seen.value.is_live() && !same) {
                return false;
            }
        }
    }
    return true;
}

std::size_t swim_simulation::count_not_live(std::size_t index) const {
    std::size_t count = 0;
    for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
        if (observer == index || nodes_[observer].core == nullptr) {
            continue;
        }
        const auto& others = nodes_[observer].core->others();
        const auto seen = others.find(nodes_[index].self.id);
        count += seen == others.end() || !seen->second.value.is_live() ? 1 : 0;
    }
    return count;
}

std::uint64_t swim_simulation::deaths_declared_by(std::size_t index) const {
    return nodes_.at(index).deaths_declared;
}

void swim_simulation::reset_traffic() {
    bytes_sent_ = 0;
    for (node& each : nodes_) {
        each.bytes_sent = 0;
    }
}

}  // namespace pearbarrow::simulation
