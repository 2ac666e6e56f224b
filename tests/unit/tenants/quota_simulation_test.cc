// Many nodes ask members for grants while members die, come back empty, are replaced and are not
// heard. A checker counts what runs in every sliding window.
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
constexpr std::int64_t length_us = 25'000'000;

/// What a run of the simulation leaves out, to see the checker report it.
struct safeguards {
    /// A member that starts, or comes to count a tenant, begins with an empty share.
    bool begins_empty = true;
    /// A grant is used within its lifetime or asked for anew.
    bool grants_lapse = true;
    /// The members divide the limit.
    bool shares_divided = true;
    /// Members that start again read their disks for up to so long before they answer, and count
    /// from their start what they counted before. 0: they answer at once.
    std::uint64_t most_reading_us = 0;
};

base::instant at(std::int64_t microseconds) {
    return base::instant(base::microseconds(microseconds));
}

class simulation : private testing::event_schedule {
  public:
    simulation(std::uint64_t seed, safeguards kept) : random(seed), kept(kept) {
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
        const std::uint64_t troubles = 2 + this->random.below(8);
        for (std::uint64_t index = 0; index < troubles; ++index) {
            this->schedule(3'000'000 + this->random.below(length_us - 4'000'000),
                           [this] { this->make_trouble(); });
        }
        this->run_events(length_us);
    }

    /// Requests beyond what the rule allows, in the worst window.
    double excess() {
        std::sort(this->runs.begin(), this->runs.end());
        const double allowed = (this->rate * window_seconds + this->burst) * (1 + overage) + slack;
        std::size_t first = 0;
        double worst = 0;
        for (std::size_t last = 0; last < this->runs.size(); ++last) {
            while (this->runs[last] - this->runs[first] >
                   static_cast<std::int64_t>(window_seconds * 1e6)) {
                ++first;
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
        }
        return worst;
    }

    /// What ran in the calm time at the end of the run, of what the limit allows.
    double share_used() const {
        const std::int64_t from = length_us - 3'000'000;
        const auto count = std::count_if(this->runs.begin(), this->runs.end(),
                                         [from](std::int64_t time) { return time >= from; });
        return static_cast<double>(count) / (this->rate * 3);
    }

    std::size_t run_count() const { return this->runs.size(); }

  private:
    directory::configuration configuration() const {
        directory::configuration config;
        config.version = 1;
        directory::tenant tenant;
        tenant.name = tenant_name;
        const double factor = this->kept.shares_divided ? 1 : static_cast<double>(quota_shares);
        tenant.rate = this->rate * factor;
        tenant.burst = this->burst * factor;
        config.tenants.push_back(tenant);
        return config;
    }

    /// One whose disk says what it counted before.
    void restart_member(const base::node_id& node) {
        if (this->kept.most_reading_us == 0) {
            this->start_member(node, this->view);
            return;
        }
        this->members.erase(node);
        const std::int64_t began = this->now;
        this->began_at[node] = began;
        this->schedule(this->random.below(this->kept.most_reading_us),
                       [this, node, began, recalled = this->view] {
                           if (this->began_at[node] == began) {
                               this->start_member(node, recalled, began);
                               this->members[node]->set_view(this->view, at(this->now));
                           }
                       });
    }

    void start_member(const base::node_id& node, const directory::storage_view& known) {
        this->start_member(node, known, this->now);
    }

    void start_member(const base::node_id& node, const directory::storage_view& known,
                      std::int64_t began) {
        quota_options options{.self = node, .window = base::milliseconds{5'000}};
        auto ledger = std::make_unique<quota_ledger>(options);
        ledger->set_configuration(this->configuration(), at(began));
        // Without the safeguard the share is full: as if it had been filling for a minute.
        ledger->set_view(known, this->kept.begins_empty ? at(began) : at(began - 60'000'000));
        this->members[node] = std::move(ledger);
    }

    void make_trouble() {
        const std::size_t index = this->random.below(this->view.members.size());
        const base::node_id node = this->view.members[index].node;
        switch (this->random.below(5)) {
            case 0:  // killed, back after a while with nothing
                this->members.erase(node);
                this->schedule(this->random.below(1'500'000),
                               [this, node] { this->restart_member(node); });
                return;
            case 1:  // all killed at once
                for (const auto& member : this->view.members) {
                    this->restart_member(member.node);
                }
                return;
            case 2:  // replaced: nodes hear of the new view one after the other
                this->view.members[index].node =
                    base::node_id("n" + std::to_string(++this->last_event));
                this->members.erase(node);
                ++this->view.revision;
                this->start_member(this->view.members[index].node, this->view);
                this->tell_view();
                return;
            case 3:  // not heard for a while
                this->silent[node] =
                    this->now + static_cast<std::int64_t>(this->random.below(2'000'000));
                return;
            default:  // a forwarding node stands still
                this->paused_until[this->random.below(edge_count)] =
                    this->now + static_cast<std::int64_t>(this->random.below(3'000'000));
        }
    }

    void tell_view() {
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
        // Four times what the limit holds: the tenant is at its limit all the time.
        const double per_edge = 4 * this->rate / static_cast<double>(edge_count);
        this->schedule(static_cast<std::uint64_t>((0.5 + this->random.unit()) * 1e6 / per_edge),
                       [this, edge] { this->arrive(edge); });
        const std::uint64_t program = 1 + this->random.below(40);
        auto order = quota_members(this->edge_views[edge], tenant_name);
        std::rotate(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(program % order.size()),
                    order.end());
        this->ask(edge, program, std::move(order), 0);
    }

    void ask(std::size_t edge, std::uint64_t program, std::vector<directory::storage_member> order,
             std::size_t tried) {
        if (tried == order.size()) {
            return;
        }
        const base::node_id node = order[tried].node;
        const std::uint64_t there = 1'000 + this->random.below(6'000);
        this->schedule(there, [this, edge, program, order = std::move(order), tried, node] {
            this->answer(edge, program, order, tried, node);
        });
    }

    void answer(std::size_t edge, std::uint64_t program,
                const std::vector<directory::storage_member>& order, std::size_t tried,
                const base::node_id& node) {
        const auto member = this->members.find(node);
        const bool is_heard = member != this->members.end() && this->silent[node] <= this->now &&
                              !this->random.chance(0.02);
        quota_answer answer;
        if (member != this->members.end()) {
            // An answer that is lost was counted all the same.
            answer = member->second->take({tenant_name, program, false}, at(this->now));
        }
        if (!is_heard) {
            this->schedule(120'000, [this, edge, program, order, tried] {
                this->ask(edge, program, order, tried + 1);
            });
            return;
        }
        if (answer.outcome == quota_outcome::granted) {
            this->schedule(1'000 + this->random.below(6'000),
                           [this, edge] { this->use(edge, this->now); });
        } else {
            this->ask(edge, program, order, tried + 1);
        }
    }

    void use(std::size_t edge, std::int64_t granted_at) {
        const std::int64_t resumes = this->paused_until[edge];
        if (resumes > this->now) {
            this->schedule(static_cast<std::uint64_t>(resumes - this->now),
                           [this, edge, granted_at] { this->use(edge, granted_at); });
            return;
        }
        const std::int64_t lifetime =
            std::chrono::duration_cast<base::microseconds>(quota_client_options{}.grant_lifetime)
                .count();
        if (this->kept.grants_lapse && this->now - granted_at > lifetime) {
            return;
        }
        this->runs.push_back(this->now);
    }

    base::random_source random;
    safeguards kept;
    double rate = 0;
    double burst = 0;
    directory::storage_view view;
    std::vector<directory::storage_view> edge_views;
    std::vector<std::int64_t> paused_until;
    std::map<base::node_id, std::unique_ptr<quota_ledger>> members;
    std::map<base::node_id, std::int64_t> silent;
    /// Of members that read their disks, or have: one that is killed meanwhile begins anew.
    std::map<base::node_id, std::int64_t> began_at;
    std::vector<std::int64_t> runs;
};

std::uint64_t seed_count() {
    const char* text = std::getenv("PEARBARROW_QUOTA_SEEDS");
    return text == nullptr ? 60 : std::strtoull(text, nullptr, 10);
}

/// Seeds of which some window has too many; 0: none.
std::uint64_t broken_seeds(safeguards kept) {
    std::uint64_t broken = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, kept);
        fleet.run();
        cr_assert(fleet.run_count() > 50, "seed %llu", static_cast<unsigned long long>(seed));
        if (fleet.excess() > 0) {
            ++broken;
        }
    }
    return broken;
}

}  // namespace

Test(quota_simulation, no_window_ever_holds_more_than_the_limit_allows) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {});
        fleet.run();
        const double excess = fleet.excess();
        cr_assert(excess <= 0, "seed %llu: %.1f too many", static_cast<unsigned long long>(seed),
                  excess);
    }
}

// Nobody grants from a member's shares while it reads its disk, so what they gain then is its own.
Test(quota_simulation, members_that_count_from_their_start_keep_to_the_limit) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {.most_reading_us = 1'500'000});
        fleet.run();
        const double excess = fleet.excess();
        cr_assert(excess <= 0, "seed %llu: %.1f too many", static_cast<unsigned long long>(seed),
                  excess);
    }
}

Test(quota_simulation, a_tenant_at_its_limit_gets_nearly_all_of_it) {
    double total = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        simulation fleet(seed, {});
        fleet.run();
        total += fleet.share_used();
    }
    const double mean = total / static_cast<double>(seed_count());
    cr_assert(mean > 0.85, "%.3f of the limit was used", mean);
}

Test(quota_simulation, the_checker_reports_members_that_begin_with_a_full_share) {
    cr_assert(broken_seeds({.begins_empty = false}) > 0);
}

Test(quota_simulation, the_checker_reports_members_that_each_grant_the_whole_limit) {
    cr_assert(broken_seeds({.shares_divided = false}) == seed_count());
}
