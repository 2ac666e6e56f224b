// A quarter of the engines return cold at the same time during a burst. An engine that receives
// more requests per second than it can serve while cold fails.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/dispatch/load_table.h"
#include "pearbarrow/emulator/engine_model.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/slowstart/cold_table.h"
#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/tenants/quota_members.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

namespace {

constexpr std::size_t engine_count = 16;
/// The first engines, all in one zone.
constexpr std::size_t returning_count = 4;
constexpr std::size_t edge_count = 30;
constexpr std::size_t member_count = 5;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t prompt_tokens = 512;
constexpr std::uint64_t answer_tokens = 12;
constexpr double cold_rate = 32;
constexpr slowstart::start_bound bound{.overage = 1.5, .slack = 5};
constexpr auto bears = static_cast<std::size_t>(cold_rate * 1.5 + 5);
constexpr int cold_ms = 3'000;
constexpr int down_ms = 3'000;
constexpr int gone_ms = 4'000;
constexpr int back_ms = 8'000;
constexpr int burst_from_ms = 6'000;
constexpr int burst_to_ms = 14'000;
constexpr int length_ms = 18'000;
/// An average of 14 per engine.
constexpr double requests_per_second = 224;
constexpr double burst_factor = 4;
constexpr int in_time_ms = 400;
constexpr int tries = 2;
constexpr int totals_age_ms = 100;

struct request {
    int number = 0;
    int came_ms = 0;
    std::size_t edge = 0;
    int tried = 0;
    int sent_ms = 0;
    std::size_t engine = 0;
    directory::backend_incarnation incarnation{""};
};

struct engine_state {
    std::unique_ptr<emulator::engine_model> model;
    int down_until_ms = 0;
    int cold_until_ms = 0;
    /// Arrival times of the requests of the last second.
    std::deque<int> arrivals;
};

struct edge_state {
    dispatch::shared_load remote_load{{}};
    slowstart::cold_table cold;
    std::unique_ptr<backend_pool> pool;
};

class zone_return {
  public:
    zone_return(bool asks_permits, std::uint64_t seed) : random(seed), asks_permits(asks_permits) {
        this->config.version = 1;
        this->config.services.push_back(
            {.name = "model", .cold_start_ms = cold_ms, .cold_rate = cold_rate});
        this->list.revision = 1;
        for (std::size_t index = 0; index < engine_count; ++index) {
            directory::backend backend;
            backend.id = "e" + std::to_string(index);
            backend.service = "model";
            backend.zone = index < returning_count ? "a" : "b";
            backend.slots = slots;
            backend.started_at = 1;
            this->list.backends[backend.id] = backend;
            this->engines.push_back({.model = new_engine()});
        }
        for (std::size_t index = 0; index < edge_count; ++index) {
            auto& edge = this->edges.emplace_back(std::make_unique<edge_state>());
            edge->cold.set_configuration(this->config);
            edge->cold.set_backends(this->list, this->instant() - milliseconds{60'000});
            edge->pool = std::make_unique<backend_pool>(
                pool_options{.node = "n" + std::to_string(index), .zone = "b"}, this->random);
            edge->pool->set_shared_load(edge->remote_load);
            edge->pool->set_backends(this->list, this->instant());
            if (asks_permits) {
                edge->pool->set_cold_table(edge->cold);
            }
        }
        this->start_members();
    }

    void run() {
        for (this->now_ms = 0; this->now_ms < length_ms; ++this->now_ms) {
            this->move_zone();
            const bool is_burst = this->now_ms >= burst_from_ms && this->now_ms < burst_to_ms;
            if (this->random.chance(requests_per_second * (is_burst ? burst_factor : 1) / 1'000)) {
                this->begin();
            }
            const auto due = this->timers.equal_range(this->now_ms);
            for (auto at = due.first; at != due.second; ++at) {
                this->send(at->second);
            }
            this->timers.erase(this->now_ms);
            this->run_engines();
            if (this->now_ms % totals_age_ms == 0) {
                this->tell_loads();
            }
        }
    }

    /// Share of the requests between the return of the zone and the end of the burst that were
    /// served in time.
    double in_time_after_return() const {
        return static_cast<double>(this->served_in_time) / this->came_after_return;
    }

    std::size_t worst_second = 0;
    int fallen = 0;

  private:
    static std::unique_ptr<emulator::engine_model> new_engine() {
        emulator::engine_options options;
        options.costs = {.step_base = 3'550,
                         .prefill_token = 6.4,
                         .decode_sequence = 46.2,
                         .decode_context_kilotoken = 1.15};
        options.cache.total_blocks = 138'450 / emulator::block_tokens;
        options.max_running = slots;
        options.max_waiting = 18;
        return std::make_unique<emulator::engine_model>(options);
    }

    base::instant instant() const { return base::instant(milliseconds{this->now_ms + 100'000}); }
    base::instant at(int time_ms) const { return base::instant(milliseconds{time_ms + 100'000}); }

    void start_members() {
        directory::storage_view view;
        for (std::size_t index = 0; index < member_count; ++index) {
            view.members.push_back({.node = base::node_id("m" + std::to_string(index))});
        }
        slowstart::start_limits limits(bound);
        limits.set_configuration(this->config);
        limits.set_backends(this->list, this->instant());
        for (const auto& member : view.members) {
            auto& ledger = this->members[member.node];
            ledger = std::make_unique<tenants::quota_ledger>(
                slowstart::permit_ledger_options(member.node));
            ledger->set_configuration(limits.limits(), this->instant());
            ledger->set_view(view, this->instant());
        }
        this->view = view;
    }

    /// Removes the entries of the zone while it is down, and restores them afterwards.
    void move_zone() {
        if (this->now_ms != gone_ms && this->now_ms != back_ms) {
            return;
        }
        directory::backend_list next = this->list;
        for (std::size_t index = 0; index < returning_count; ++index) {
            engine_state& one = this->engines[index];
            if (this->now_ms == gone_ms) {
                next.backends.erase("e" + std::to_string(index));
                this->fall(index, back_ms);
            } else {
                one.cold_until_ms = back_ms + cold_ms;
                next.backends["e" + std::to_string(index)].started_at = 2;
            }
        }
        for (auto& edge : this->edges) {
            edge->cold.set_backends(next, this->instant());
            edge->pool->set_backends(next, this->instant());
        }
    }

    void begin() {
        request one{.number = ++this->last_request, .came_ms = this->now_ms};
        one.edge = this->random.below(edge_count);
        this->came_after_return += this->counts(one) ? 1 : 0;
        this->send(one);
    }

    bool counts(const request& one) const {
        return one.came_ms >= back_ms && one.came_ms < burst_to_ms;
    }

    bool is_permitted(const std::string& id) {
        auto order = tenants::quota_members(this->view, slowstart::permit_limit_name(id));
        return std::any_of(order.begin(), order.end(), [&](const auto& member) {
            return this->members[member.node]
                       ->try_acquire({.tenant = slowstart::permit_limit_name(id), .program = 1},
                                     this->instant())
                       .outcome == tenants::quota_outcome::granted;
        });
    }

    void send(request one) {
        backend_pool& pool = *this->edges[one.edge]->pool;
        choice_request wanted{.service = "model"};
        auto chosen = pool.choose(wanted, this->instant());
        one.sent_ms = this->now_ms;
        while (chosen.has_value() && chosen->cold.has_value() &&
               !this->is_permitted(chosen->target.id)) {
            pool.on_response_head(chosen->target.incarnation(), this->instant());
            pool.on_attempt_ended(chosen->target.incarnation(), attempt_result::abandoned,
                                  milliseconds{0}, this->instant());
            wanted.without_permit.insert(chosen->target.id);
            chosen = pool.choose(wanted, this->instant());
        }
        if (!chosen.has_value()) {
            this->again(one);
            return;
        }
        one.incarnation = chosen->target.incarnation();
        one.engine = std::stoul(chosen->target.id.substr(1));
        engine_state& engine = this->engines[one.engine];
        if (engine.down_until_ms > this->now_ms) {
            this->end(one, attempt_result::unreachable);
            this->again(one);
            return;
        }
        this->arrive(one);
    }

    void arrive(const request& one) {
        engine_state& engine = this->engines[one.engine];
        emulator::generation work;
        work.attempt = base::attempt_id("a" + std::to_string(++this->last_attempt));
        work.program = base::program_id("p" + std::to_string(one.number));
        work.call = base::call_number(1);
        work.model = emulator::engine_options{}.model;
        work.prompt_tokens = prompt_tokens;
        work.output_tokens = answer_tokens;
        for (std::uint64_t index = 0;
             index < (prompt_tokens + answer_tokens) / emulator::block_tokens; ++index) {
            work.blocks.push_back(
                base::stable_hash(std::to_string(index), static_cast<std::uint64_t>(one.number)));
        }
        engine.model->advance(this->instant());
        if (engine.model->start(work, this->instant()).kind != emulator::start_kind::accepted) {
            this->end(one, attempt_result::refused);
            this->again(one);
            return;
        }
        this->open[work.attempt.value()] = one;
        this->count_arrival(one.engine);
    }

    void count_arrival(std::size_t index) {
        engine_state& engine = this->engines[index];
        if (engine.cold_until_ms <= this->now_ms) {
            return;
        }
        engine.arrivals.push_back(this->now_ms);
        while (engine.arrivals.front() < this->now_ms - 1'000) {
            engine.arrivals.pop_front();
        }
        this->worst_second = std::max(this->worst_second, engine.arrivals.size());
        if (engine.arrivals.size() > bears) {
            ++this->fallen;
            this->fall(index, this->now_ms + down_ms);
            engine.cold_until_ms = this->now_ms + down_ms + cold_ms;
        }
    }

    /// Drops all requests of the engine.
    void fall(std::size_t index, int until_ms) {
        this->engines[index].model = new_engine();
        this->engines[index].down_until_ms = until_ms;
        this->engines[index].arrivals.clear();
        std::vector<request> lost;
        std::erase_if(this->open, [&](const auto& item) {
            if (item.second.engine != index) {
                return false;
            }
            lost.push_back(item.second);
            return true;
        });
        for (const request& one : lost) {
            this->end(one, attempt_result::broken);
            this->again(one);
        }
    }

    void end(const request& one, attempt_result result) {
        backend_pool& pool = *this->edges[one.edge]->pool;
        pool.on_response_head(one.incarnation, this->at(one.sent_ms));
        pool.on_attempt_ended(one.incarnation, result, milliseconds{this->now_ms - one.sent_ms},
                              this->instant());
    }

    void again(request one) {
        if (++one.tried < tries) {
            this->timers.emplace(this->now_ms + 50, one);
        }
    }

    void run_engines() {
        for (engine_state& engine : this->engines) {
            engine.model->advance(this->instant());
            for (const auto& progress : engine.model->take_progress()) {
                const auto found = this->open.find(progress.attempt.value());
                if (!progress.ended || found == this->open.end()) {
                    continue;
                }
                const request one = found->second;
                this->open.erase(found);
                this->end(one, attempt_result::served);
                const bool in_time = this->now_ms - one.came_ms <= in_time_ms;
                this->served_in_time += in_time && this->counts(one) ? 1 : 0;
            }
        }
    }

    void tell_loads() {
        dispatch::load_table table({}, this->instant() - milliseconds{5'000});
        for (std::size_t index = 0; index < edge_count; ++index) {
            table.apply_report({.node = base::node_id("n" + std::to_string(index)),
                                .incarnation = 1,
                                .number = 1,
                                .loads = this->edges[index]->pool->own_loads(this->instant())},
                               this->instant());
        }
        for (std::size_t index = 0; index < edge_count; ++index) {
            this->edges[index]->remote_load.apply_totals(
                table.totals_excluding(base::node_id("n" + std::to_string(index)), this->instant()),
                this->instant());
        }
    }

    base::random_source random;
    bool asks_permits;
    int now_ms = 0;
    directory::configuration config;
    directory::backend_list list;
    directory::storage_view view;
    std::map<base::node_id, std::unique_ptr<tenants::quota_ledger>> members;
    std::vector<engine_state> engines;
    std::vector<std::unique_ptr<edge_state>> edges;
    std::map<std::string, request> open;
    std::multimap<int, request> timers;
    int last_request = 0;
    std::uint64_t last_attempt = 0;
    int came_after_return = 0;
    int served_in_time = 0;
};

struct outcome {
    std::size_t worst_second = 0;
    double fallen = 0;
    double in_time = 0;
};

outcome mean_of(bool asks_permits) {
    constexpr int seeds = 6;
    outcome mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        zone_return fleet(asks_permits, seed);
        fleet.run();
        mean.worst_second = std::max(mean.worst_second, fleet.worst_second);
        mean.fallen += static_cast<double>(fleet.fallen) / seeds;
        mean.in_time += fleet.in_time_after_return() / seeds;
    }
    std::printf("permits %d: %zu in the worst second, %.1f fallen, %.3f in time\n",
                asks_permits ? 1 : 0, mean.worst_second, mean.fallen, mean.in_time);
    return mean;
}

}  // namespace

Test(cold_return_simulation, zone_that_returns_during_burst_is_not_overloaded) {
    const outcome seen = mean_of(true);
    cr_assert(seen.worst_second <= bears, "%zu in a second", seen.worst_second);
    cr_assert(seen.fallen == 0);
    cr_assert(seen.in_time > 0.95, "%.3f in time", seen.in_time);
}

Test(cold_return_simulation, back_ends_fail_without_permits) {
    const outcome seen = mean_of(false);
    cr_assert(seen.fallen > 1, "%.1f fell over", seen.fallen);
    cr_assert(seen.in_time < mean_of(true).in_time);
}
