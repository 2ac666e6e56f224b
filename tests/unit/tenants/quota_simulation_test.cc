// Simulates many nodes that request grants while members crash, restart empty, are replaced and
// lose replies. A checker counts the requests that are sent in every sliding window.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <vector>

#include "../event_schedule.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/tenants/quota_client.h"
#include "pearbarrow/tenants/quota_ledger.h"
#include "pearbarrow/tenants/quota_members.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::tenants;

namespace {

constexpr double window_seconds = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr char tenant_name[] = "shop";
constexpr std::size_t member_count = 11;
constexpr std::size_t edge_count = 24;
constexpr std::int64_t duration_us = 25'000'000;

/// Safeguards that a test can disable to verify that the checker reports the violation.
struct safeguards {
    /// A member that starts, or becomes responsible for a tenant, has an empty share.
    bool starts_empty = true;
    /// A grant that is not used within its lifetime expires.
    bool grants_expire = true;
    /// The limit is divided among the members.
    bool limit_divided = true;
    /// Maximum time for which a restarted member reads its disk before it replies. Its shares
    /// refill from its start, for the tenants that it was responsible for before. With 0 it replies
    /// at once.
    std::uint64_t max_disk_read_us = 0;
};

base::instant at(std::int64_t microseconds) {
    return base::instant(base::microseconds(microseconds));
}

class simulation : private testing::event_schedule {
  public:
    simulation(std::uint64_t seed, safeguards enabled) : random(seed), enabled(enabled) {
        this->rate = 2 + static_cast<double>(this->random.below(200));
        this->burst = this->rate * (0.2 + this->random.unit());
        for (std::size_t index = 0; index < member_count; ++index) {
            this->view.members.push_back(
                {.node = base::node_id("m" + std::to_string(index)), .zone = "a"});
        }
        this->edge_views.assign(edge_count, this->view);
        this->paused_until.assign(edge_count, 0);
        for (const auto& member : this->view.members) {
            this->start_member(member.node, this->view);
        }
    }

    void run() {
        for (std::size_t edge = 0; edge < edge_count; ++edge) {
            this->schedule(this->random.below(1'000'000), [this, edge] { this->arrive(edge); });
        }
        const std::uint64_t faults = 2 + this->random.below(8);
        for (std::uint64_t index = 0; index < faults; ++index) {
            this->schedule(3'000'000 + this->random.below(duration_us - 4'000'000),
                           [this] { this->inject_fault(); });
        }
        this->run_events(duration_us);
    }

    /// Requests beyond the limit in the worst window, including the tolerated overage.
    double excess() {
        std::sort(this->sent_at.begin(), this->sent_at.end());
        const double allowed = (this->rate * window_seconds + this->burst) * (1 + overage) + slack;
        std::size_t first = 0;
        double worst = 0;
        for (std::size_t last = 0; last < this->sent_at.size(); ++last) {
            while (this->sent_at[last] - this->sent_at[first] >
                   static_cast<std::int64_t>(window_seconds * 1e6)) {
                ++first;
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
        }
        return worst;
    }

    /// Fraction of the limit that is used in the final 3 s, which are free of faults.
    double used_fraction() const {
        const std::int64_t from = duration_us - 3'000'000;
        const auto count = std::count_if(this->sent_at.begin(), this->sent_at.end(),
                                         [from](std::int64_t time) { return time >= from; });
        return static_cast<double>(count) / (this->rate * 3);
    }

    std::size_t sent_count() const { return this->sent_at.size(); }

  private:
    directory::configuration configuration() const {
        directory::configuration config;
        config.version = 1;
        directory::tenant tenant;
        tenant.name = tenant_name;
        const double factor = this->enabled.limit_divided ? 1 : static_cast<double>(quota_shares);
        tenant.rate = this->rate * factor;
        tenant.burst = this->burst * factor;
        config.tenants.push_back(tenant);
        return config;
    }

    /// Restarts a member whose disk holds the tenants that it was responsible for.
    void restart_member(const base::node_id& node) {
        if (this->enabled.max_disk_read_us == 0) {
            this->start_member(node, this->view);
            return;
        }
        this->members.erase(node);
        const std::int64_t started = this->now;
        this->started_at[node] = started;
        this->schedule(this->random.below(this->enabled.max_disk_read_us),
                       [this, node, started, stored_view = this->view] {
                           if (this->started_at[node] == started) {
                               this->start_member(node, stored_view, started);
                               this->members[node]->set_view(this->view, at(this->now));
                           }
                       });
    }

    void start_member(const base::node_id& node, const directory::storage_view& known) {
        this->start_member(node, known, this->now);
    }

    void start_member(const base::node_id& node, const directory::storage_view& known,
                      std::int64_t started) {
        quota_options options{.self = node, .window = base::milliseconds{5'000}};
        auto ledger = std::make_unique<quota_ledger>(options);
        ledger->set_configuration(this->configuration(), at(started));
        // Without the safeguard the share is full, as if it had refilled for a minute.
        ledger->set_view(known,
                         this->enabled.starts_empty ? at(started) : at(started - 60'000'000));
        this->members[node] = std::move(ledger);
    }

    void inject_fault() {
        const std::size_t index = this->random.below(this->view.members.size());
        const base::node_id node = this->view.members[index].node;
        switch (this->random.below(5)) {
            case 0:  // killed, restarts later with empty shares
                this->members.erase(node);
                this->schedule(this->random.below(1'500'000),
                               [this, node] { this->restart_member(node); });
                return;
            case 1:  // all killed at once
                for (const auto& member : this->view.members) {
                    this->restart_member(member.node);
                }
                return;
            case 2:  // replaced; nodes learn of the new view one after another
                this->view.members[index].node =
                    base::node_id("n" + std::to_string(++this->last_event));
                this->members.erase(node);
                ++this->view.revision;
                this->start_member(this->view.members[index].node, this->view);
                this->publish_view();
                return;
            case 3:  // replies are lost for a while
                this->unreachable_until[node] =
                    this->now + static_cast<std::int64_t>(this->random.below(2'000'000));
                return;
            default:  // an edge is paused
                this->paused_until[this->random.below(edge_count)] =
                    this->now + static_cast<std::int64_t>(this->random.below(3'000'000));
        }
    }

    void publish_view() {
        for (std::size_t edge = 0; edge < edge_count; ++edge) {
            this->schedule(this->random.below(400'000),
                           [this, edge, next = this->view] { this->edge_views[edge] = next; });
        }
        for (const auto& member : this->view.members) {
            this->schedule(
                this->random.below(400'000), [this, node = member.node, next = this->view] {
                    if (const auto found = this->members.find(node); found != this->members.end()) {
                        found->second->set_view(next, at(this->now));
                    }
                });
        }
    }

    void arrive(std::size_t edge) {
        // Four times the limit, so that the tenant is always at its limit.
        const double per_edge = 4 * this->rate / static_cast<double>(edge_count);
        this->schedule(static_cast<std::uint64_t>((0.5 + this->random.unit()) * 1e6 / per_edge),
                       [this, edge] { this->arrive(edge); });
        const std::uint64_t program = 1 + this->random.below(40);
        auto order = quota_members(this->edge_views[edge], tenant_name);
        std::rotate(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(program % order.size()),
                    order.end());
        this->send_request(edge, program, std::move(order), 0);
    }

    void send_request(std::size_t edge, std::uint64_t program,
                      std::vector<directory::storage_member> order, std::size_t attempt) {
        if (attempt == order.size()) {
            return;
        }
        const base::node_id node = order[attempt].node;
        const std::uint64_t network_delay = 1'000 + this->random.below(6'000);
        this->schedule(network_delay,
                       [this, edge, program, order = std::move(order), attempt, node] {
                           this->handle_request(edge, program, order, attempt, node);
                       });
    }

    void handle_request(std::size_t edge, std::uint64_t program,
                        const std::vector<directory::storage_member>& order, std::size_t attempt,
                        const base::node_id& node) {
        const auto member = this->members.find(node);
        const bool is_reply_received = member != this->members.end() &&
                                       this->unreachable_until[node] <= this->now &&
                                       !this->random.chance(0.02);
        grant_reply reply;
        if (member != this->members.end()) {
            // A grant whose reply is lost is counted as well.
            reply = member->second->try_acquire({tenant_name, program, false}, at(this->now));
        }
        if (!is_reply_received) {
            this->schedule(120'000, [this, edge, program, order, attempt] {
                this->send_request(edge, program, order, attempt + 1);
            });
            return;
        }
        if (reply.outcome == quota_outcome::granted) {
            this->schedule(1'000 + this->random.below(6'000),
                           [this, edge] { this->send(edge, this->now); });
        } else {
            this->send_request(edge, program, order, attempt + 1);
        }
    }

    void send(std::size_t edge, std::int64_t granted_at) {
        const std::int64_t resumes_at = this->paused_until[edge];
        if (resumes_at > this->now) {
            this->schedule(static_cast<std::uint64_t>(resumes_at - this->now),
                           [this, edge, granted_at] { this->send(edge, granted_at); });
            return;
        }
        const std::int64_t lifetime =
            std::chrono::duration_cast<base::microseconds>(quota_client_options{}.grant_lifetime)
                .count();
        if (this->enabled.grants_expire && this->now - granted_at > lifetime) {
            return;
        }
        this->sent_at.push_back(this->now);
    }

    base::random_source random;
    safeguards enabled;
    double rate = 0;
    double burst = 0;
    directory::storage_view view;
    std::vector<directory::storage_view> edge_views;
    std::vector<std::int64_t> paused_until;
    std::map<base::node_id, std::unique_ptr<quota_ledger>> members;
    std::map<base::node_id, std::int64_t> unreachable_until;
    /// Start times of restarted members. A read that belongs to an earlier start is ignored.
    std::map<base::node_id, std::int64_t> started_at;
    std::vector<std::int64_t> sent_at;
};

std::uint64_t seed_count() {
    const char* text = std::getenv("PEARBARROW_QUOTA_SEEDS");
    return text == nullptr ? 60 : std::strtoull(text, nullptr, 10);
}

/// Returns the number of seeds with a window that exceeds the limit, 0 if there is none.
std::uint64_t failing_seeds(safeguards enabled) {
    std::uint64_t failing = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, enabled);
        fleet.run();
        cr_assert(fleet.sent_count() > 50, "seed %llu", static_cast<unsigned long long>(seed));
        if (fleet.excess() > 0) {
            ++failing;
        }
    }
    return failing;
}

}  // namespace

Test(quota_simulation, no_window_exceeds_the_limit) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {});
        fleet.run();
        const double excess = fleet.excess();
        cr_assert(excess <= 0, "seed %llu: %.1f too many", static_cast<unsigned long long>(seed),
                  excess);
    }
}

// A member grants nothing while it reads its disk, so it may use the tokens that its shares gain
// in this time.
Test(quota_simulation, members_that_refill_from_their_start_keep_the_limit) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {.max_disk_read_us = 1'500'000});
        fleet.run();
        const double excess = fleet.excess();
        cr_assert(excess <= 0, "seed %llu: %.1f too many", static_cast<unsigned long long>(seed),
                  excess);
    }
}

Test(quota_simulation, tenant_at_its_limit_uses_most_of_it) {
    double total = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {});
        fleet.run();
        total += fleet.used_fraction();
    }
    const double mean = total / static_cast<double>(seed_count());
    cr_assert(mean > 0.85, "%.3f of the limit was used", mean);
}

Test(quota_simulation, checker_reports_members_that_start_with_a_full_share) {
    cr_assert(failing_seeds({.starts_empty = false}) > 0);
}

Test(quota_simulation, checker_reports_members_that_each_grant_the_whole_limit) {
    cr_assert(failing_seeds({.limit_divided = false}) == seed_count());
}
