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

/// Many nodes, the service and what nodes tell each other, in virtual time.
class watched_service {
  public:
    explicit watched_service(std::size_t size, std::uint64_t seed) : random(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            this->nodes.push_back(std::make_unique<node>(this->random));
        }
        for (std::size_t index = 0; index < size; ++index) {
            node& one = *this->nodes[index];
            one.plan.begin(this->now, index < contacts);
            this->wake(index);
            if (index >= contacts) {
                // The first question that it asks is answered by one of the first.
                this->later(milliseconds{10},
                            [this, index] { this->nodes[index]->plan.note_reader(this->now); });
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
    bool everybody_knows() const { return this->all_know == this->revision; }
    void kill_watchers() {
        const std::set<std::size_t> killed = std::exchange(this->waiting, {});
        this->dead.insert(killed.begin(), killed.end());
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
    /// Nodes that the service turns away, and those that do nothing at all.
    std::set<std::size_t> refused;
    std::set<std::size_t> dead;
    bool is_deaf = false;
    /// Each node has heard of so many, itself included.
    std::size_t known_nodes = SIZE_MAX;
    std::uint64_t revision = 1;
    std::vector<base::instant> changed_at;
    std::map<call, std::uint64_t> calls;
    /// Longest time from a change until a node knew of it.
    milliseconds slowest{0};

  private:
    struct node {
        explicit node(base::random_source& random) : plan(random, {}) {}
        service_watch plan;
        std::uint64_t known = 0;
        std::uint64_t wake_number = 0;
    };

    static constexpr std::size_t contacts = 3;
    /// Until all others know what one node has learned.
    static constexpr milliseconds told_after{300};

    service_watch::knowledge knowledge_of(std::size_t index) const {
        const std::size_t size = std::min(this->nodes.size(), this->known_nodes);
        return {.company = {.peers = size - 1, .connected = true},
                .is_drawn =
                    [this, index, size](std::uint64_t interval) {
                        return this->is_drawn(interval, size, index % size);
                    },
                .is_level = this->nodes[index]->known > 0,
                .unix_time = this->now.time_since_epoch().count()};
    }
    /// Of the nodes that share what they know of others: two in `size`.
    static bool is_drawn(std::uint64_t interval, std::size_t size, std::size_t index) {
        base::random_source draw(interval);
        const std::uint64_t first = draw.below(size);
        const std::uint64_t second = (first + 1 + draw.below(size - 1)) % size;
        return index == first || index == second;
    }
    void wake(std::size_t index) {
        node& one = *this->nodes[index];
        const base::instant next = one.plan.next();
        if (next == base::instant::max()) {
            return;
        }
        const std::uint64_t number = ++one.wake_number;
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
        if (this->dead.count(index) > 0) {
            return;
        }
        if (next.what == call::pass_on) {
            const std::size_t peer = this->random.below(this->nodes.size());
            this->later(milliseconds{3}, [this, peer, passes = next.passes] {
                this->run(peer, this->nodes[peer]->plan.asked(passes));
            });
            return;
        }
        ++this->calls[next.what];
        if (this->refused.count(index) > 0) {
            this->later(milliseconds{4},
                        [this, index, next] { this->end(index, next, outcome::failed); });
        } else if (next.what == call::read) {
            this->later(milliseconds{250},
                        [this, index, next] { this->end(index, next, this->learn(index)); });
        } else if (next.what == call::watch &&
                   (this->is_deaf || this->nodes[index]->known == this->revision)) {
            this->waiting.insert(index);
            this->later(milliseconds{20'000}, [this, index] {
                if (this->waiting.erase(index) > 0) {
                    this->end(index, {.what = call::watch}, outcome::nothing);
                }
            });
        } else {
            this->later(milliseconds{4}, [this, index, next] {
                const bool is_level = this->nodes[index]->known == this->revision;
                if (this->is_deaf && !is_level) {
                    this->end(index, next, outcome::missed);
                } else {
                    this->end(index, next, is_level ? outcome::nothing : this->learn(index));
                }
            });
        }
    }
    void end_watch(std::size_t index) {
        this->end(index, {.what = call::watch}, this->learn(index));
    }
    void end(std::size_t index, const service_watch::action& ended, outcome how) {
        if (this->dead.count(index) == 0) {
            this->run(index, this->nodes[index]->plan.ended(ended.what, how, ended.passes,
                                                            this->knowledge_of(index), this->now));
        }
    }
    /// Everything of now, told to all others in a while.
    outcome learn(std::size_t index) {
        node& one = *this->nodes[index];
        if (one.known == this->revision) {
            return outcome::known;
        }
        one.known = this->revision;
        this->later(told_after, [this, told = this->revision] { this->tell_all(told); });
        return outcome::news;
    }
    void tell_all(std::uint64_t told) {
        if (told <= this->all_know) {
            return;
        }
        for (auto number = this->all_know; number < told && number > 0; ++number) {
            this->slowest = std::max(this->slowest, std::chrono::duration_cast<milliseconds>(
                                                        this->now - this->changed_at[number - 1]));
        }
        this->all_know = told;
        for (const auto& one : this->nodes) {
            one->known = std::max(one->known, told);
        }
    }

    base::random_source random;
    std::vector<std::unique_ptr<node>> nodes;
    std::multimap<base::instant, std::function<void()>> events;
    std::set<std::size_t> waiting;
    std::uint64_t all_know = 0;
};

std::uint64_t all_calls(const watched_service& service) {
    std::uint64_t sum = 0;
    for (const auto& [what, count] : service.calls) {
        sum += count;
    }
    return sum;
}

void change_every(watched_service& service, milliseconds interval, int times) {
    for (int index = 0; index < times; ++index) {
        service.run_until(service.now + interval);
        service.change();
    }
}

}  // namespace

Test(service_watch, a_thousand_nodes_that_start_read_through_a_few) {
    watched_service service(1'000, 1);
    service.run_until(service.now + base::seconds{10});
    cr_assert(service.calls[call::read] <= 10, "%lu readings, %lu watches, %lu looks",
              service.calls[call::read], service.calls[call::watch], service.calls[call::look]);
    cr_assert(all_calls(service) <= 60, "%lu calls in 10 s", all_calls(service));
}

// At a start nodes know a few others, some seconds later all: whoever's turn it is then must know.
Test(service_watch, turns_are_taken_by_those_whose_turn_it_is_as_the_company_grows) {
    watched_service service(1'000, 8);
    service.known_nodes = 4;
    service.run_until(service.now + base::seconds{2});
    service.known_nodes = 300;
    service.run_until(service.now + base::seconds{2});
    service.known_nodes = 1'000;
    service.slowest = milliseconds{0};
    for (int times = 0; times < 6; ++times) {
        service.kill_watchers();
        change_every(service, milliseconds{5'000}, 1);
    }
    service.run_until(service.now + base::seconds{5});
    cr_assert(service.everybody_knows());
    cr_assert(service.slowest <= milliseconds{2'000}, "%lld ms",
              static_cast<long long>(service.slowest.count()));
}

// Ten changes a second for 49 s, a third of the nodes turned away for 9 s of them.
Test(service_watch, a_thousand_nodes_make_as_few_calls_as_thirty) {
    std::map<std::size_t, std::uint64_t> calls;
    for (const std::size_t size : {std::size_t{30}, std::size_t{1'000}, std::size_t{2'000}}) {
        watched_service service(size, 2);
        service.run_until(service.now + base::seconds{10});
        service.calls.clear();
        change_every(service, milliseconds{100}, 200);
        for (std::size_t index = 0; index < size; index += 3) {
            service.refused.insert(index);
        }
        change_every(service, milliseconds{100}, 90);
        service.refused.clear();
        change_every(service, milliseconds{100}, 200);
        calls[size] = all_calls(service);
        cr_assert(service.slowest <= milliseconds{2'000}, "%zu nodes: %lld ms", size,
                  static_cast<long long>(service.slowest.count()));
        cr_assert(calls[size] <= 400, "%zu nodes: %lu calls: %lu watches, %lu looks, %lu readings",
                  size, calls[size], service.calls[call::watch], service.calls[call::look],
                  service.calls[call::read]);
    }
    cr_assert(calls[2'000] <= 2 * calls[30], "%lu of 2,000 nodes, %lu of 30", calls[2'000],
              calls[30]);
}

// Every node that watches dies: whoever looks next takes its place.
Test(service_watch, changes_are_heard_of_when_all_who_watched_have_gone) {
    watched_service service(100, 3);
    service.run_until(service.now + base::seconds{10});
    change_every(service, milliseconds{100}, 50);
    for (std::size_t index = 0; index < 100; index += 2) {
        service.dead.insert(index);
    }
    service.slowest = milliseconds{0};
    change_every(service, milliseconds{500}, 40);
    service.run_until(service.now + base::seconds{5});
    cr_assert(service.everybody_knows());
    cr_assert(service.slowest <= milliseconds{5'000}, "%lld ms",
              static_cast<long long>(service.slowest.count()));
}

// The service tells watches nothing, all of them at once and for seconds.
Test(service_watch, what_watches_are_not_told_is_read_within_the_bound) {
    watched_service service(30, 4);
    service.run_until(service.now + base::seconds{10});
    service.is_deaf = true;
    service.slowest = milliseconds{0};
    change_every(service, milliseconds{700}, 20);
    service.run_until(service.now + base::seconds{2});
    cr_assert(service.everybody_knows());
    cr_assert(service.slowest <= milliseconds{2'000}, "%lld ms",
              static_cast<long long>(service.slowest.count()));
}

Test(service_watch, a_node_that_no_peer_answers_watches_for_itself) {
    base::random_source random(5);
    service_watch plan(random, {});
    const base::instant start{base::seconds{50}};
    plan.begin(start, false);
    const service_watch::knowledge alone{
        .company = {}, .is_drawn = nullptr, .is_level = true, .unix_time = 0};
    base::instant now = start;
    int watches = 0;
    for (int step = 0; step < 200 && watches == 0; ++step) {
        now = plan.next();
        for (const service_watch::action& next : plan.advance(alone, now)) {
            watches += next.what == call::watch ? 1 : 0;
        }
    }
    cr_assert(watches == 1 && now < start + base::seconds{2});
    const auto after = plan.ended(call::watch, outcome::failed, 0, alone, now);
    cr_assert(after.empty() && plan.next() <= now + base::seconds{1}, "it tries again");
}

Test(service_watch, a_node_that_was_told_everything_reads_nothing) {
    base::random_source random(6);
    service_watch plan(random, {});
    base::instant now{base::seconds{50}};
    plan.begin(now, false);
    const service_watch::knowledge told{
        .company = {.peers = 500, .connected = true},
        .is_drawn = [](std::uint64_t /*interval*/) { return false; },
        .is_level = true,
        .unix_time = 0};
    for (int step = 0; step < 100; ++step) {
        now = plan.next();
        cr_assert(plan.advance(told, now).empty());
    }
}

Test(service_watch, a_look_is_passed_on_a_few_times_only) {
    base::random_source random(7);
    service_watch plan(random, {});
    const service_watch::knowledge known{
        .company = {.peers = 5, .connected = true},
        .is_drawn = [](std::uint64_t /*interval*/) { return false; },
        .is_level = true,
        .unix_time = 0};
    const base::instant now{base::seconds{50}};
    plan.begin(now, false);
    plan.advance(known, now + base::seconds{1});
    const auto first = plan.ended(call::look, outcome::failed, 0, known, now);
    cr_assert(first.size() == 1 && first.front().what == call::pass_on &&
              first.front().passes == 1);
    cr_assert(plan.ended(call::look, outcome::failed, 3, known, now).empty());
}
