// Simulates many nodes that send to back ends that become cold, while members that grant permits
// are killed and replaced, nodes are partitioned or paused, and reports of cold back ends arrive
// late. A checker counts the requests at each cold back end in every sliding second.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "../event_schedule.h"
#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/slowstart/cold_table.h"
#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/slowstart/start_quota.h"
#include "pearbarrow/tenants/quota_members.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::slowstart;

namespace {

constexpr std::size_t edge_count = 60;
constexpr std::size_t member_count = 9;
constexpr std::size_t zone_count = 4;
constexpr std::size_t zone_size = 6;
/// Requests per second at each back end while all are up.
constexpr double usual_rate = 12;
constexpr double cold_rate = 32;
constexpr start_bound bound{.overage = 1.5, .slack = 5};
constexpr std::int64_t cold_us = 3'000'000;
constexpr std::int64_t second_us = 1'000'000;
constexpr std::int64_t duration_us = 20'000'000;
/// Time after which the entry of a back end that is down is removed.
constexpr std::uint64_t entry_timeout_us = 3'600'000;
/// Minimum delay until an entry reports a change.
constexpr std::uint64_t min_entry_delay_us = 800'000;

enum class admission_method {
    /// Members grant permits from their shares.
    granted,
    /// A few edges, selected by hash, have a fixed part of the rate each.
    fixed_edges,
    /// Nodes need no permit and go by the load alone.
    load_only,
};

/// Safeguards that a test can disable to verify that the checker reports the violation.
struct safeguards {
    admission_method method = admission_method::granted;
    /// A back end in an unknown state counts as cold.
    bool assumes_cold = true;
    /// After a time without updates, all back ends count as possibly cold.
    bool handles_gaps = true;
    /// The rate is divided among the members.
    bool rate_divided = true;
};

struct totals {
    std::uint64_t cold_arrivals = 0;
    std::uint64_t messages = 0;
    /// Requests that went to a warm back end instead of a cold one.
    std::uint64_t redirected = 0;
    std::uint64_t worst = 0;
};

base::instant at(std::int64_t microseconds) {
    return base::instant(base::microseconds(microseconds));
}

struct simulated_backend {
    directory::backend entry;
    bool is_up = true;
    bool is_listed = true;
    std::int64_t cold_until = 0;
    /// Until this time load reports show the back end as idle, unlike the others.
    std::int64_t idle_until = 0;
    std::vector<std::int64_t> arrivals;
};

struct simulated_edge {
    cold_table table;
    directory::storage_view view;
    std::int64_t paused_until = 0;
    std::int64_t partitioned_until = 0;
    /// Fixed parts by back end: the permits left and the time of the last refill.
    std::map<std::string, std::pair<double, std::int64_t>> fixed_parts;
    directory::backend_list list;
    directory::emptied_zone_list emptied;
    /// Other edges that this edge knows.
    std::vector<std::size_t> peers;
};

class simulation : private testing::event_schedule {
  public:
    simulation(std::uint64_t seed, safeguards enabled) : random(seed), enabled(enabled) {
        this->config.version = 1;
        this->config.services.push_back(
            {.name = "engine", .cold_start_ms = cold_us / 1'000, .cold_rate = cold_rate});
        for (std::size_t index = 0; index < member_count; ++index) {
            this->view.members.push_back({.node = base::node_id("m" + std::to_string(index))});
        }
        for (std::size_t index = 0; index < zone_count * zone_size; ++index) {
            simulated_backend backend;
            backend.entry = {.id = "e" + std::to_string(index),
                             .service = "engine",
                             .zone = "z" + std::to_string(index % zone_count),
                             .started_at = 1};
            this->backends.push_back(backend);
        }
        for (std::size_t index = 0; index < edge_count; ++index) {
            this->edges.emplace_back();
            this->edges.back().table.set_configuration(this->config);
            this->edges.back().view = this->view;
            this->choose_peers(this->edges.back());
            this->edges.back().list = this->list();
            this->edges.back().table.set_backends(this->list(), at(-10'000'000));
        }
        for (const auto& member : this->view.members) {
            this->start_member(member.node);
        }
    }

    void run() {
        for (std::size_t edge = 0; edge < edge_count; ++edge) {
            this->schedule(this->random.below(second_us), [this, edge] { this->arrive(edge); });
        }
        const std::uint64_t cold_starts = 2 + this->random.below(3);
        for (std::uint64_t index = 0; index < cold_starts; ++index) {
            this->schedule(2'000'000 + this->random.below(duration_us - 10'000'000),
                           [this] { this->inject_cold_start(); });
        }
        const std::uint64_t faults = 2 + this->random.below(6);
        for (std::uint64_t index = 0; index < faults; ++index) {
            this->schedule(2'000'000 + this->random.below(duration_us - 3'000'000),
                           [this] { this->inject_fault(); });
        }
        this->run_events(duration_us);
        this->count_worst();
    }

    totals counted;

  private:
    directory::backend_list list() const {
        directory::backend_list result{.revision = this->list_revision};
        for (const simulated_backend& backend : this->backends) {
            if (backend.is_listed) {
                result.backends[backend.entry.id] = backend.entry;
            }
        }
        return result;
    }

    void choose_peers(simulated_edge& edge) {
        for (std::size_t other = 0; other < edge_count; ++other) {
            if (this->random.chance(0.9)) {
                edge.peers.push_back(other);
            }
        }
    }

    void start_member(const base::node_id& node) {
        auto ledger = std::make_unique<tenants::quota_ledger>(permit_ledger_options(node));
        start_limits limits(bound);
        limits.set_configuration(this->config);
        limits.set_backends(this->list(), at(this->now));
        directory::configuration result = limits.limits();
        for (directory::tenant& limit : result.tenants) {
            limit.rate *= this->enabled.rate_divided ? 1 : tenants::quota_shares;
        }
        ledger->set_configuration(result, at(this->now));
        ledger->set_view(this->view, at(this->now));
        this->members[node] = std::move(ledger);
    }

    /// Publishes the current list to each edge after a short delay. A partitioned edge receives it
    /// after the partition.
    void publish_list() {
        ++this->list_revision;
        for (std::size_t index = 0; index < edge_count; ++index) {
            this->deliver(index, [next = this->list()](simulated_edge& edge, base::instant now) {
                if (next.revision > edge.list.revision) {
                    edge.list = next;
                    edge.table.set_backends(next, now);
                }
            });
        }
    }

    void publish_emptied_zones() {
        const directory::emptied_zone_list next{.revision = ++this->emptied_revision,
                                                .zones = this->emptied_zones};
        for (std::size_t index = 0; index < edge_count; ++index) {
            this->deliver(index, [next](simulated_edge& edge, base::instant now) {
                if (next.revision > edge.emptied.revision) {
                    edge.emptied = next;
                    edge.table.set_emptied_zones(next, now);
                }
            });
        }
    }

    /// Updates take effect in the order of their revisions, since an edge applies only newer ones.
    void deliver(std::size_t index,
                 const std::function<void(simulated_edge&, base::instant)>& update) {
        this->schedule(10'000 + this->random.below(290'000), [this, index, update] {
            simulated_edge& edge = this->edges[index];
            if (edge.partitioned_until > this->now) {
                this->schedule(static_cast<std::uint64_t>(edge.partitioned_until - this->now),
                               [this, index, update] { this->deliver(index, update); });
                return;
            }
            update(edge, at(this->now));
        });
    }

    void restart(std::size_t index) {
        simulated_edge& edge = this->edges[index];
        edge.table = cold_table();
        edge.table.set_configuration(this->config);
        edge.list = this->list();
        edge.emptied = {.revision = this->emptied_revision, .zones = this->emptied_zones};
        edge.view = this->view;
        edge.partitioned_until = 0;
        edge.table.set_emptied_zones(edge.emptied, at(this->now));
        edge.table.set_backends(edge.list, at(this->now));
    }

    void partition_edges(std::size_t count, std::uint64_t time) {
        for (std::size_t number = 0; number < count; ++number) {
            this->partition(this->random.below(edge_count), time);
        }
    }

    void partition(std::size_t index, std::uint64_t time) {
        simulated_edge& edge = this->edges[index];
        edge.partitioned_until = this->now + static_cast<std::int64_t>(time);
        this->schedule(time, [this, &edge] {
            if (this->enabled.handles_gaps && edge.partitioned_until <= this->now) {
                edge.table.on_update_gap(at(this->now));
            }
        });
    }

    static bool is_eligible(const simulated_edge& edge, const simulated_backend& backend) {
        return edge.list.backends.count(backend.entry.id) > 0 &&
               std::none_of(
                   edge.emptied.zones.begin(), edge.emptied.zones.end(),
                   [&](const auto& emptied) { return emptied.zone == backend.entry.zone; });
    }

    void inject_cold_start() {
        const std::string zone = "z" + std::to_string(this->random.below(zone_count));
        if (!this->busy_zones.insert(zone).second) {
            return;
        }
        switch (this->random.below(3)) {
            case 0:  // one back end, without a report, while it has requests
                this->start_cold(this->backends[this->random.below(this->backends.size())], false);
                return;
            case 1:  // a zone is emptied; all nodes see it idle when it is in use again
                this->emptied_zones.push_back({.zone = zone, .since = 1});
                this->publish_emptied_zones();
                this->schedule(2'000'000 + this->random.below(3'000'000), [this, zone] {
                    std::erase_if(this->emptied_zones,
                                  [&](const auto& emptied) { return emptied.zone == zone; });
                    this->publish_emptied_zones();
                    this->start_zone_cold(zone);
                });
                return;
            default:  // a zone is down until its entries are removed, and returns as a whole
                this->take_down(zone);
        }
    }

    void take_down(const std::string& zone) {
        for (simulated_backend& backend : this->backends) {
            backend.is_up = backend.is_up && backend.entry.zone != zone;
        }
        this->schedule(entry_timeout_us, [this, zone] {
            for (simulated_backend& backend : this->backends) {
                backend.is_listed = backend.is_listed && backend.entry.zone != zone;
            }
            this->publish_list();
        });
        this->schedule(entry_timeout_us + 400'000 + this->random.below(1'500'000),
                       [this, zone] { this->start_zone_cold(zone); });
    }

    void start_zone_cold(const std::string& zone) {
        for (simulated_backend& backend : this->backends) {
            if (backend.entry.zone == zone) {
                this->start_cold(backend, true);
            }
        }
    }

    void start_cold(simulated_backend& backend, bool is_idle) {
        if (!backend.is_up) {
            ++backend.entry.started_at;
        }
        // A back end that has left the list writes its entry at its start.
        const bool is_relisted = !backend.is_listed;
        backend.is_up = true;
        backend.cold_until = this->now + cold_us;
        backend.idle_until = is_idle ? this->now + 1'500'000 : 0;
        backend.is_listed = true;
        if (is_relisted) {
            backend.entry.cold_left_ms = cold_us / 1'000;
            this->publish_list();
            return;
        }
        this->schedule(min_entry_delay_us + this->random.below(1'200'000), [this, &backend] {
            backend.entry.cold_left_ms = static_cast<std::uint32_t>(
                std::max<std::int64_t>(backend.cold_until - this->now, 0) / 1'000);
            this->publish_list();
        });
    }

    void inject_fault() {
        const std::size_t index = this->random.below(this->view.members.size());
        const base::node_id node = this->view.members[index].node;
        switch (this->random.below(7)) {
            case 0:  // killed, restarts later with empty shares
                this->members.erase(node);
                this->schedule(this->random.below(1'500'000),
                               [this, node] { this->start_member(node); });
                return;
            case 1:  // all killed at once
                for (const auto& member : this->view.members) {
                    this->start_member(member.node);
                }
                return;
            case 2:  // replaced; nodes learn of the new view one after another
                if (std::exchange(this->was_replaced, true)) {
                    return;
                }
                this->view.members[index].node =
                    base::node_id("n" + std::to_string(++this->last_event));
                this->start_member(this->view.members[index].node);
                this->publish_view();
                return;
            case 3:  // nodes are partitioned
                this->partition_edges(this->random.below(edge_count / 2),
                                      this->random.below(6'000'000));
                return;
            case 4:  // some nodes restart without state
                for (std::size_t count = 0; count < edge_count / 10; ++count) {
                    this->restart(this->random.below(edge_count));
                }
                return;
            case 5:  // all nodes restart: requests in flight are lost, and all back ends are idle
                for (std::size_t index = 0; index < edge_count; ++index) {
                    this->restart(index);
                }
                for (simulated_backend& backend : this->backends) {
                    backend.idle_until = 0;
                }
                return;
            default:  // nodes are paused
                for (std::size_t count = 0; count < edge_count / 3; ++count) {
                    this->edges[this->random.below(edge_count)].paused_until =
                        this->now + static_cast<std::int64_t>(this->random.below(2'000'000));
                }
        }
    }

    void publish_view() {
        for (std::size_t index = 0; index < edge_count; ++index) {
            this->deliver(index, [next = this->view](simulated_edge& edge, base::instant /*now*/) {
                edge.view = next;
            });
        }
        for (auto& [node, ledger] : this->members) {
            this->schedule(this->random.below(400'000), [this, node = node, next = this->view] {
                if (const auto found = this->members.find(node); found != this->members.end()) {
                    found->second->set_view(next, at(this->now));
                }
            });
        }
    }

    void arrive(std::size_t edge) {
        const double per_edge = usual_rate * static_cast<double>(this->backends.size()) /
                                static_cast<double>(edge_count);
        this->schedule(static_cast<std::uint64_t>((0.5 + this->random.unit()) * 1e6 / per_edge),
                       [this, edge] { this->arrive(edge); });
        if (this->edges[edge].paused_until > this->now) {
            this->schedule(static_cast<std::uint64_t>(this->edges[edge].paused_until - this->now),
                           [this, edge] { this->route_request(edge); });
            return;
        }
        this->route_request(edge);
    }

    /// Idle back ends receive most requests. A partitioned node sees no load.
    std::optional<std::size_t> choose(const simulated_edge& edge) {
        std::vector<std::size_t> eligible;
        std::vector<std::size_t> idle;
        for (std::size_t index = 0; index < this->backends.size(); ++index) {
            const simulated_backend& backend = this->backends[index];
            if (!is_eligible(edge, backend)) {
                continue;
            }
            eligible.push_back(index);
            if (backend.idle_until > this->now) {
                idle.push_back(index);
            }
        }
        if (eligible.empty()) {
            return std::nullopt;
        }
        if (!idle.empty() && edge.partitioned_until <= this->now && this->random.chance(0.9)) {
            // The loads of idle back ends are so similar that one of them may receive all requests.
            return idle[this->random.chance(0.5) ? 0 : this->random.below(idle.size())];
        }
        return eligible[this->random.below(eligible.size())];
    }

    void route_request(std::size_t index) {
        simulated_edge& edge = this->edges[index];
        const auto choice = this->choose(edge);
        if (!choice.has_value()) {
            return;
        }
        const std::size_t chosen = *choice;
        simulated_backend& target = this->backends[chosen];
        if (!target.is_up) {
            edge.table.on_unreachable(target.entry.id);
            return;
        }
        const bool is_cold =
            this->enabled.method != admission_method::load_only &&
            (this->enabled.assumes_cold ? edge.table.is_cold(target.entry.id, at(this->now))
                                        : target.entry.cold_left_ms > 0 &&
                                              edge.table.is_cold(target.entry.id, at(this->now)));
        if (!is_cold) {
            this->send(index, chosen);
        } else if (this->enabled.method == admission_method::fixed_edges) {
            this->use_fixed_part(index, chosen);
        } else {
            auto order = tenants::quota_members(edge.view, permit_limit_name(target.entry.id));
            std::rotate(
                order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(this->random.below(order.size())),
                order.end());
            this->request_permit(index, chosen, std::move(order), 0, this->now);
        }
    }

    void request_permit(std::size_t edge, std::size_t target,
                        std::vector<directory::storage_member> order, std::size_t attempt,
                        std::int64_t requested_at) {
        if (attempt == order.size()) {
            ++this->counted.redirected;
            return;
        }
        ++this->counted.messages;
        this->schedule(1'000 + this->random.below(6'000), [=, this, order = std::move(order)] {
            this->handle_request(edge, target, order, attempt, requested_at);
        });
    }

    void handle_request(std::size_t edge, std::size_t target,
                        const std::vector<directory::storage_member>& order, std::size_t attempt,
                        std::int64_t requested_at) {
        const auto member = this->members.find(order[attempt].node);
        const bool is_reply_received =
            member != this->members.end() && this->edges[edge].partitioned_until <= this->now;
        if (!is_reply_received) {
            this->schedule(40'000, [=, this] {
                this->request_permit(edge, target, order, attempt + 1, requested_at);
            });
            return;
        }
        const auto reply = member->second->try_acquire(
            {.tenant = permit_limit_name(this->backends[target].entry.id), .program = 1},
            at(this->now));
        if (reply.outcome != tenants::quota_outcome::granted) {
            this->request_permit(edge, target, order, attempt + 1, requested_at);
            return;
        }
        this->schedule(1'000 + this->random.below(6'000),
                       [=, this] { this->send_with_permit(edge, target, requested_at); });
    }

    void send_with_permit(std::size_t edge, std::size_t target, std::int64_t requested_at) {
        const std::int64_t resumes_at = this->edges[edge].paused_until;
        if (resumes_at > this->now) {
            this->schedule(static_cast<std::uint64_t>(resumes_at - this->now),
                           [=, this] { this->send_with_permit(edge, target, requested_at); });
            return;
        }
        const auto lifetime = base::microseconds(permit_client_options().grant_lifetime).count();
        if (this->now - requested_at > lifetime) {
            ++this->counted.redirected;
            return;
        }
        this->send(edge, target);
    }

    /// The four edges with the highest hashes among those that the node knows have a quarter each.
    void use_fixed_part(std::size_t index, std::size_t target) {
        constexpr std::size_t fixed_edges = 4;
        simulated_edge& edge = this->edges[index];
        const std::string& id = this->backends[target].entry.id;
        const std::uint64_t salt = base::stable_hash(id);
        const auto weight = [salt](std::size_t node) {
            return base::stable_hash(std::to_string(node), salt);
        };
        const auto before = std::count_if(
            edge.peers.begin(), edge.peers.end(),
            [&](std::size_t peer) { return peer != index && weight(peer) > weight(index); });
        const double rate = max_permits_per_second(cold_rate, bound) / fixed_edges;
        auto& [left, since] = edge.fixed_parts[id];
        left = std::min(1.0, left + rate * static_cast<double>(this->now - since) / second_us);
        since = this->now;
        if (static_cast<std::size_t>(before) >= fixed_edges || left < 1) {
            ++this->counted.redirected;
            return;
        }
        left -= 1;
        this->send(index, target);
    }

    void send(std::size_t edge, std::size_t target) {
        this->schedule(500 + this->random.below(2'000), [this, edge, target] {
            simulated_backend& backend = this->backends[target];
            if (!backend.is_up) {
                return;
            }
            this->edges[edge].table.on_response(backend.entry.id, at(this->now));
            if (backend.cold_until > this->now) {
                backend.arrivals.push_back(this->now);
                ++this->counted.cold_arrivals;
            }
        });
    }

    void count_worst() {
        for (const simulated_backend& backend : this->backends) {
            std::size_t first = 0;
            for (std::size_t last = 0; last < backend.arrivals.size(); ++last) {
                while (backend.arrivals[last] - backend.arrivals[first] > second_us) {
                    ++first;
                }
                this->counted.worst =
                    std::max<std::uint64_t>(this->counted.worst, last - first + 1);
            }
        }
    }

    base::random_source random;
    safeguards enabled;
    directory::configuration config;
    directory::storage_view view;
    std::vector<simulated_backend> backends;
    std::vector<simulated_edge> edges;
    std::map<base::node_id, std::unique_ptr<tenants::quota_ledger>> members;
    bool was_replaced = false;
    std::uint64_t list_revision = 1;
    std::uint64_t emptied_revision = 0;
    std::vector<directory::emptied_zone> emptied_zones;
    /// Zones that already had a cold start. Each has at most one, so that none undoes another.
    std::set<std::string> busy_zones;
};

std::uint64_t seed_count() {
    const char* text = std::getenv("PEARBARROW_COLD_SEEDS");
    return text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
}

constexpr auto allowed = static_cast<std::uint64_t>(cold_rate * bound.overage + bound.slack);

struct outcome {
    std::uint64_t failing = 0;
    std::uint64_t first_failing = 0;
    totals sum;
};

outcome run_seeds(safeguards enabled, std::uint64_t seeds) {
    outcome result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation fleet(seed, enabled);
        fleet.run();
        if (fleet.counted.worst > allowed) {
            result.first_failing = result.failing == 0 ? seed : result.first_failing;
            ++result.failing;
        }
        result.sum.worst = std::max(result.sum.worst, fleet.counted.worst);
        result.sum.cold_arrivals += fleet.counted.cold_arrivals;
        result.sum.messages += fleet.counted.messages;
        result.sum.redirected += fleet.counted.redirected;
    }
    const auto number = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf(
        "%llu of %llu seeds broken, worst %llu, cold arrivals %llu, elsewhere %llu, "
        "messages %llu\n",
        number(result.failing), number(seeds), number(result.sum.worst),
        number(result.sum.cold_arrivals), number(result.sum.redirected),
        number(result.sum.messages));
    return result;
}

}  // namespace

Test(cold_simulation, no_second_exceeds_the_cold_rate, .timeout = 300) {
    const outcome result = run_seeds({}, seed_count());
    cr_assert(result.failing == 0, "seed %llu: %llu in a second",
              static_cast<unsigned long long>(result.first_failing),
              static_cast<unsigned long long>(result.sum.worst));
}

Test(cold_simulation, load_only_admission_exceeds_the_bound) {
    cr_assert(run_seeds({.method = admission_method::load_only}, 40).failing > 20);
}

Test(cold_simulation, checker_reports_nodes_that_trust_unreported_starts) {
    cr_assert(run_seeds({.assumes_cold = false}, 40).failing > 0);
}

Test(cold_simulation, checker_reports_members_that_each_grant_the_whole_rate) {
    cr_assert(run_seeds({.rate_divided = false}, 40).failing > 0);
}

Test(cold_simulation, checker_reports_nodes_that_ignore_update_gaps) {
    cr_assert(run_seeds({.handles_gaps = false}, 200).failing > 0);
}

Test(cold_simulation, fixed_parts_admit_fewer_than_half_the_cold_requests) {
    const outcome fixed_parts = run_seeds({.method = admission_method::fixed_edges}, 40);
    const outcome granted = run_seeds({}, 40);
    cr_assert(2 * fixed_parts.sum.cold_arrivals < granted.sum.cold_arrivals);
}
