#include "pearbarrow/directory/service_watch.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;
using base::milliseconds;

namespace {

using call = service_watch::call;
using outcome = service_watch::outcome;

/// Simulates many nodes, the service and the messages between nodes in virtual time.
class simulated_fleet {
  public:
    explicit simulated_fleet(std::size_t size, std::uint64_t seed) : random(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            this->nodes.push_back(std::make_unique<node>(this->random));
        }
        for (std::size_t index = 0; index < size; ++index) {
            node& target = *this->nodes[index];
            target.plan.begin(this->now, index < contacts);
            this->wake(index);
            if (index >= contacts) {
                // One of the first nodes replies to its first poll.
                this->later(milliseconds{10},
                            [this, index] { this->nodes[index]->plan.on_peer_reading(this->now); });
            }
        }
    }

    void change() {
        ++this->revision;
        this->changed_at.push_back(this->now);
        for (const std::size_t index : std::exchange(this->waiting, {})) {
            this->later(milliseconds{4}, [this, index] { this->end_watch(index); });
        }
    }
    bool all_nodes_are_current() const { return this->known_by_all == this->revision; }
    void stop_watchers() {
        const std::set<std::size_t> stopped = std::exchange(this->waiting, {});
        this->failed_nodes.insert(stopped.begin(), stopped.end());
    }
    void run_until(base::instant end) {
        while (!this->events.empty() && this->events.begin()->first <= end) {
            const auto next = this->events.begin();
            this->now = next->first;
            const std::function<void()> task = std::move(next->second);
            this->events.erase(next);
            task();
        }
        this->now = end;
    }
    void later(milliseconds delay, std::function<void()> task) {
        this->events.emplace(this->now + delay, std::move(task));
    }

    base::instant now{base::seconds{1'000}};
    /// Nodes that the service rejects, and nodes that have failed.
    std::set<std::size_t> rejected_nodes;
    std::set<std::size_t> failed_nodes;
    bool drops_changes = false;
    /// Number of nodes that each node knows, including itself.
    std::size_t known_nodes = SIZE_MAX;
    std::uint64_t revision = 1;
    std::vector<base::instant> changed_at;
    std::map<call, std::uint64_t> calls;
    /// Longest time from a change until all nodes had it.
    milliseconds max_delay{0};

  private:
    struct node {
        explicit node(base::random_source& random) : plan(random, {}) {}
        service_watch plan;
        std::uint64_t known = 0;
        std::uint64_t wake_number = 0;
    };

    static constexpr std::size_t contacts = 3;
    /// Delay until all other nodes have what one node has learned.
    static constexpr milliseconds propagation_delay{300};

    service_watch::node_state knowledge_of(std::size_t index) const {
        const std::size_t size = std::min(this->nodes.size(), this->known_nodes);
        return {.connectivity = {.peers = size - 1, .connected = true},
                .is_selected =
                    [this, index, size](std::uint64_t interval) {
                        return this->is_selected(interval, size, index % size);
                    },
                .has_all_parts = this->nodes[index]->known > 0,
                .unix_time = this->now.time_since_epoch().count()};
    }
    /// Two of the nodes are selected; `size` nodes know each other.
    static bool is_selected(std::uint64_t interval, std::size_t size, std::size_t index) {
        base::random_source generator(interval);
        const std::uint64_t first = generator.below(size);
        const std::uint64_t second = (first + 1 + generator.below(size - 1)) % size;
        return index == first || index == second;
    }
    void wake(std::size_t index) {
        node& target = *this->nodes[index];
        const base::instant next = target.plan.next();
        if (next == base::instant::max()) {
            return;
        }
        const std::uint64_t number = ++target.wake_number;
        this->events.emplace(std::max(next, this->now), [this, index, number] {
            if (this->nodes[index]->wake_number == number) {
                this->run(index,
                          this->nodes[index]->plan.advance(this->knowledge_of(index), this->now));
            }
        });
    }
    void run(std::size_t index, const std::vector<service_watch::action>& actions) {
        for (const service_watch::action& next : actions) {
            this->begin(index, next);
        }
        this->wake(index);
    }
    void begin(std::size_t index, const service_watch::action& next) {
        if (this->failed_nodes.count(index) > 0) {
            return;
        }
        if (next.what == call::delegate) {
            const std::size_t peer = this->random.below(this->nodes.size());
            this->later(milliseconds{3}, [this, peer, hops = next.hops] {
                this->run(peer, this->nodes[peer]->plan.on_poll_request(hops));
            });
            return;
        }
        ++this->calls[next.what];
        if (this->rejected_nodes.count(index) > 0) {
            this->later(milliseconds{4},
                        [this, index, next] { this->end(index, next, outcome::failed); });
        } else if (next.what == call::read) {
            this->later(milliseconds{250},
                        [this, index, next] { this->end(index, next, this->learn(index)); });
        } else if (next.what == call::watch &&
                   (this->drops_changes || this->nodes[index]->known == this->revision)) {
            this->waiting.insert(index);
            this->later(milliseconds{20'000}, [this, index] {
                if (this->waiting.erase(index) > 0) {
                    this->end(index, {.what = call::watch}, outcome::unchanged);
                }
            });
        } else {
            this->later(milliseconds{4}, [this, index, next] {
                const bool has_all_parts = this->nodes[index]->known == this->revision;
                if (this->drops_changes && !has_all_parts) {
                    this->end(index, next, outcome::missed);
                } else {
                    this->end(index, next, has_all_parts ? outcome::unchanged : this->learn(index));
                }
            });
        }
    }
    void end_watch(std::size_t index) {
        this->end(index, {.what = call::watch}, this->learn(index));
    }
    void end(std::size_t index, const service_watch::action& ended, outcome how) {
        if (this->failed_nodes.count(index) == 0) {
            this->run(index,
                      this->nodes[index]->plan.on_call_ended(ended.what, how, ended.hops,
                                                             this->knowledge_of(index), this->now));
        }
    }
    /// Gives the node the current revision, which all other nodes receive later.
    outcome learn(std::size_t index) {
        node& target = *this->nodes[index];
        if (target.known == this->revision) {
            return outcome::known_changes;
        }
        target.known = this->revision;
        this->later(propagation_delay,
                    [this, published = this->revision] { this->publish_to_all(published); });
        return outcome::new_changes;
    }
    void publish_to_all(std::uint64_t published) {
        if (published <= this->known_by_all) {
            return;
        }
        for (auto number = this->known_by_all; number < published && number > 0; ++number) {
            this->max_delay = std::max(
                this->max_delay,
                std::chrono::duration_cast<milliseconds>(this->now - this->changed_at[number - 1]));
        }
        this->known_by_all = published;
        for (const auto& target : this->nodes) {
            target->known = std::max(target->known, published);
        }
    }

    base::random_source random;
    std::vector<std::unique_ptr<node>> nodes;
    std::multimap<base::instant, std::function<void()>> events;
    std::set<std::size_t> waiting;
    std::uint64_t known_by_all = 0;
};

std::uint64_t all_calls(const simulated_fleet& fleet) {
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : fleet.calls) {
        sum += count;
    }
    return sum;
}

void change_every(simulated_fleet& fleet, milliseconds interval, int times) {
    for (int index = 0; index < times; ++index) {
        fleet.run_until(fleet.now + interval);
        fleet.change();
    }
}

}  // namespace

Test(service_watch, few_of_1000_starting_nodes_read) {
    simulated_fleet fleet(1'000, 1);
    fleet.run_until(fleet.now + base::seconds{10});
    cr_assert(fleet.calls[call::read] <= 10, "%lu reads, %lu watches, %lu polls",
              fleet.calls[call::read], fleet.calls[call::watch], fleet.calls[call::poll]);
    cr_assert(all_calls(fleet) <= 60, "%lu calls in 10 s", all_calls(fleet));
}

// Nodes know a few others when they start, and all others some seconds later. The nodes selected
// then must have the changes.
Test(service_watch, changes_spread_while_number_of_known_nodes_grows) {
    simulated_fleet fleet(1'000, 8);
    fleet.known_nodes = 4;
    fleet.run_until(fleet.now + base::seconds{2});
    fleet.known_nodes = 300;
    fleet.run_until(fleet.now + base::seconds{2});
    fleet.known_nodes = 1'000;
    fleet.max_delay = milliseconds{0};
    for (int times = 0; times < 6; ++times) {
        fleet.stop_watchers();
        change_every(fleet, milliseconds{5'000}, 1);
    }
    fleet.run_until(fleet.now + base::seconds{5});
    cr_assert(fleet.all_nodes_are_current());
    cr_assert(fleet.max_delay <= milliseconds{2'000}, "%lld ms",
              static_cast<long long>(fleet.max_delay.count()));
}

// Ten changes per second for 49 s, with a third of the nodes rejected for 9 s of them.
Test(service_watch, number_of_calls_is_independent_of_fleet_size) {
    std::map<std::size_t, std::uint64_t> calls;
    for (const std::size_t size : {std::size_t{30}, std::size_t{1'000}, std::size_t{2'000}}) {
        simulated_fleet fleet(size, 2);
        fleet.run_until(fleet.now + base::seconds{10});
        fleet.calls.clear();
        change_every(fleet, milliseconds{100}, 200);
        for (std::size_t index = 0; index < size; index += 3) {
            fleet.rejected_nodes.insert(index);
        }
        change_every(fleet, milliseconds{100}, 90);
        fleet.rejected_nodes.clear();
        change_every(fleet, milliseconds{100}, 200);
        calls[size] = all_calls(fleet);
        cr_assert(fleet.max_delay <= milliseconds{2'000}, "%zu nodes: %lld ms", size,
                  static_cast<long long>(fleet.max_delay.count()));
        cr_assert(calls[size] <= 400, "%zu nodes: %lu calls: %lu watches, %lu polls, %lu reads",
                  size, calls[size], fleet.calls[call::watch], fleet.calls[call::poll],
                  fleet.calls[call::read]);
    }
    cr_assert(calls[2'000] <= 2 * calls[30], "%lu calls of 2,000 nodes, %lu of 30", calls[2'000],
              calls[30]);
}

// All watching nodes fail. The nodes that poll next must watch in their place.
Test(service_watch, changes_spread_after_all_watchers_failed) {
    simulated_fleet fleet(100, 3);
    fleet.run_until(fleet.now + base::seconds{10});
    change_every(fleet, milliseconds{100}, 50);
    for (std::size_t index = 0; index < 100; index += 2) {
        fleet.failed_nodes.insert(index);
    }
    fleet.max_delay = milliseconds{0};
    change_every(fleet, milliseconds{500}, 40);
    fleet.run_until(fleet.now + base::seconds{5});
    cr_assert(fleet.all_nodes_are_current());
    cr_assert(fleet.max_delay <= milliseconds{5'000}, "%lld ms",
              static_cast<long long>(fleet.max_delay.count()));
}

// Watches report nothing, all of them at once and for seconds.
Test(service_watch, changes_missed_by_watches_are_read_in_time) {
    simulated_fleet fleet(30, 4);
    fleet.run_until(fleet.now + base::seconds{10});
    fleet.drops_changes = true;
    fleet.max_delay = milliseconds{0};
    change_every(fleet, milliseconds{700}, 20);
    fleet.run_until(fleet.now + base::seconds{2});
    cr_assert(fleet.all_nodes_are_current());
    cr_assert(fleet.max_delay <= milliseconds{2'000}, "%lld ms",
              static_cast<long long>(fleet.max_delay.count()));
}

Test(service_watch, node_without_connected_peers_watches) {
    base::random_source random(5);
    service_watch plan(random, {});
    const base::instant start{base::seconds{50}};
    plan.begin(start, false);
    const service_watch::node_state unconnected{
        .connectivity = {}, .is_selected = nullptr, .has_all_parts = true, .unix_time = 0};
    base::instant now = start;
    int watches = 0;
    for (int step = 0; step < 200 && watches == 0; ++step) {
        now = plan.next();
        for (const service_watch::action& next : plan.advance(unconnected, now)) {
            watches += next.what == call::watch ? 1 : 0;
        }
    }
    cr_assert(watches == 1 && now < start + base::seconds{2});
    const auto after = plan.on_call_ended(call::watch, outcome::failed, 0, unconnected, now);
    cr_assert(after.empty() && plan.next() <= now + base::seconds{1}, "the node tries again");
}

Test(service_watch, node_with_all_parts_does_not_read) {
    base::random_source random(6);
    service_watch plan(random, {});
    base::instant now{base::seconds{50}};
    plan.begin(now, false);
    const service_watch::node_state fully_updated{
        .connectivity = {.peers = 500, .connected = true},
        .is_selected = [](std::uint64_t /*interval*/) { return false; },
        .has_all_parts = true,
        .unix_time = 0};
    for (int step = 0; step < 100; ++step) {
        now = plan.next();
        cr_assert(plan.advance(fully_updated, now).empty());
    }
}

Test(service_watch, poll_is_delegated_a_limited_number_of_times) {
    base::random_source random(7);
    service_watch plan(random, {});
    const service_watch::node_state known{
        .connectivity = {.peers = 5, .connected = true},
        .is_selected = [](std::uint64_t /*interval*/) { return false; },
        .has_all_parts = true,
        .unix_time = 0};
    const base::instant now{base::seconds{50}};
    plan.begin(now, false);
    plan.advance(known, now + base::seconds{1});
    const auto first = plan.on_call_ended(call::poll, outcome::failed, 0, known, now);
    cr_assert(first.size() == 1 && first.front().what == call::delegate && first.front().hops == 1);
    cr_assert(plan.on_call_ended(call::poll, outcome::failed, 3, known, now).empty());
}
