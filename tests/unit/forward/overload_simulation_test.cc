// Programs on engines with little memory, in virtual time: ten seconds with twice the load and some
// slow engines, and the results of the programs during and after that time.
#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/dispatch/load_table.h"
#include "pearbarrow/emulator/engine_model.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/forward/engine_priority.h"
#include "pearbarrow/forward/program_admission.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

namespace {

constexpr std::size_t engine_count = 8;
constexpr std::size_t edge_count = 12;
constexpr std::uint32_t slots = 8;
constexpr std::uint64_t memory_tokens = 43'874;
constexpr std::uint64_t shared_tokens = 512;
constexpr std::uint64_t turn_tokens = 327;
constexpr std::uint64_t answer_tokens = 72;
constexpr int turns_of_program = 11;
constexpr int pause_ms = 20;
/// Approximate duration of a program on idle engines. The deadline is 1.4 times that plus 200 ms.
constexpr int idle_program_ms = turns_of_program * (260 + pause_ms);
constexpr int aim_ms = idle_program_ms * 14 / 10 + 200;
constexpr int objective_ms = 200;
constexpr int turn_deadline_ms = 4'000;
constexpr int tries_of_turn = 6;
constexpr int length_ms = 34'000;
constexpr int burst_from_ms = 5'000;
constexpr int burst_to_ms = 15'000;
constexpr int totals_age_ms = 100;
/// Keeps 0.45 of the slots in use on average.
constexpr double programs_per_second = 9.3;
constexpr double burst_factor = 4;

enum class admission_kind { open, fullness, learning };

struct policy {
    admission_kind kind = admission_kind::learning;
    bool sends_priority = true;
    admission_options admission;
};

struct program {
    int number = 0;
    int began_ms = 0;
    int turn = 0;
    int tries = 0;
    std::size_t edge = 0;
    std::string attempt;
    int sent_ms = 0;
    std::size_t engine = 0;
    bool over = false;
};

class overload {
  public:
    explicit overload(policy kept, std::uint64_t seed) : random(seed), kept(kept) {
        for (std::size_t index = 0; index < engine_count; ++index) {
            emulator::engine_options options;
            options.costs = {.step_base = 3'060,
                             .prefill_token = 15.4,
                             .decode_sequence = 11.7,
                             .decode_context_kilotoken = 6.5};
            options.cache.total_blocks = memory_tokens / emulator::block_tokens;
            options.max_running = slots;
            options.max_waiting = 24;
            this->engines.push_back(std::make_unique<emulator::engine_model>(options));
            directory::backend backend;
            backend.id = "e" + std::to_string(index);
            backend.service = "model";
            backend.zone = "a";
            backend.slots = slots;
            this->backends.backends[backend.id] = backend;
        }
        this->backends.revision = 1;
        for (std::size_t index = 0; index < edge_count; ++index) {
            auto& edge = this->edges.emplace_back(std::make_unique<edge_state>());
            edge->pool = std::make_unique<backend_pool>(
                pool_options{.node = "n" + std::to_string(index), .zone = "a"}, this->random);
            edge->pool->set_shared_load(edge->remote_load);
            edge->pool->set_backends(this->backends, this->instant());
            edge->admission = this->make_admission();
        }
    }

    void run() {
        for (this->now_ms = 0; this->now_ms < length_ms; ++this->now_ms) {
            this->set_trouble();
            this->begin_programs();
            this->run_engines();
            this->give_up();
            const auto due = this->timers.equal_range(this->now_ms);
            std::vector<std::size_t> turns;
            std::for_each(due.first, due.second,
                          [&](const auto& item) { turns.push_back(item.second); });
            this->timers.erase(this->now_ms);
            for (const std::size_t one : turns) {
                this->send_turn(this->programs[one]);
            }
            if (this->now_ms % totals_age_ms == 0) {
                this->tell_loads();
            }
        }
    }

    /// Share of the programs started in a span that completed in time.
    double in_time(int from_ms, int to_ms) const {
        const int count = this->began_between(from_ms, to_ms);
        return static_cast<double>(this->timely_between(from_ms, to_ms)) / std::max(1, count);
    }
    int began_between(int from_ms, int to_ms) const {
        return static_cast<int>(std::count_if(
            this->programs.begin(), this->programs.end(),
            [&](const program& one) { return one.began_ms >= from_ms && one.began_ms < to_ms; }));
    }
    int timely_between(int from_ms, int to_ms) const {
        return static_cast<int>(std::count_if(
            this->timely.begin(), this->timely.end(),
            [&](int started_at) { return started_at >= from_ms && started_at < to_ms; }));
    }

  private:
    struct edge_state {
        dispatch::shared_load remote_load{{}};
        std::unique_ptr<backend_pool> pool;
        std::unique_ptr<program_admission> admission;
    };

    std::unique_ptr<program_admission> make_admission() {
        switch (this->kept.kind) {
            case admission_kind::open:
                return make_unlimited_admission();
            case admission_kind::fullness:
                return make_fullness_admission(this->kept.admission, this->random);
            case admission_kind::learning:
                break;
        }
        return make_adaptive_admission(this->kept.admission, this->random);
    }

    base::instant instant() const { return base::instant(milliseconds{this->now_ms + 1'000}); }
    bool is_burst() const { return this->now_ms >= burst_from_ms && this->now_ms < burst_to_ms; }

    void set_trouble() {
        for (std::size_t index = 0; index < engine_count / 4; ++index) {
            this->engines[index]->set_slowdown(this->is_burst() ? 5 : 1);
        }
    }

    void begin_programs() {
        const double rate = programs_per_second * (this->is_burst() ? burst_factor : 1);
        if (!this->random.chance(rate / 1'000)) {
            return;
        }
        program one;
        one.number = static_cast<int>(this->programs.size());
        one.began_ms = this->now_ms;
        one.edge = this->random.below(edge_count);
        this->programs.push_back(one);
        this->send_turn(this->programs.back());
    }

    std::vector<emulator::block_hash> blocks_of(const program& one, std::uint64_t tokens) const {
        std::vector<emulator::block_hash> blocks;
        for (std::uint64_t index = 0; index < tokens / emulator::block_tokens; ++index) {
            const bool is_shared = index < shared_tokens / emulator::block_tokens;
            const auto owner = is_shared ? one.number % 3 : 1'000 + one.number;
            blocks.push_back(
                base::stable_hash(std::to_string(index), static_cast<std::uint64_t>(owner)));
        }
        return blocks;
    }

    bool is_late(const program& one) const { return this->now_ms - one.began_ms > aim_ms; }

    void send_turn(program& one) {
        edge_state& edge = *this->edges[one.edge];
        const base::instant now = this->instant();
        if (one.turn == 0) {
            const auto wait = edge.admission->check(edge.pool->load_of("model", now), now);
            if (wait.has_value()) {
                this->fail_turn(one, static_cast<int>(wait->count()) +
                                         static_cast<int>(this->random.below(500)));
                return;
            }
        }
        const auto chosen = edge.pool->choose(
            {.service = "model", .affinity_key = "p" + std::to_string(one.number), .excluded = {}},
            now);
        one.engine = std::stoul(chosen->target.id.substr(1));
        one.sent_ms = this->now_ms;
        one.attempt = "a" + std::to_string(++this->last_attempt);
        emulator::generation request;
        request.attempt = base::attempt_id(one.attempt);
        request.program = base::program_id("p" + std::to_string(one.number));
        request.call = base::call_number(static_cast<std::uint64_t>(one.turn) + 1);
        request.model = emulator::engine_options{}.model;
        const auto turn = static_cast<std::uint64_t>(one.turn);
        request.prompt_tokens = shared_tokens + turn_tokens * (turn + 1) + answer_tokens * turn;
        request.output_tokens = answer_tokens;
        request.blocks = this->blocks_of(one, request.prompt_tokens + answer_tokens);
        request.priority = this->kept.sends_priority
                               ? static_cast<std::int32_t>(engine_priority(
                                     {.is_first = one.turn == 0, .is_late = this->is_late(one)}))
                               : 5;
        emulator::engine_model& engine = *this->engines[one.engine];
        engine.advance(now);
        if (engine.start(request, now).kind != emulator::start_kind::accepted) {
            this->end_attempt(one, attempt_result::refused);
            this->fail_turn(one, 100 + static_cast<int>(this->random.below(100)));
            return;
        }
        this->open[one.attempt] = static_cast<std::size_t>(one.number);
    }

    void end_attempt(program& one, attempt_result result) {
        backend_pool& pool = *this->edges[one.edge]->pool;
        const std::string id = "e" + std::to_string(one.engine);
        const base::instant sent = base::instant(milliseconds{one.sent_ms + 1'000});
        pool.on_response_head(directory::backend_incarnation(id), sent);
        pool.on_attempt_ended(directory::backend_incarnation(id), result,
                              milliseconds{this->now_ms - one.sent_ms}, this->instant());
    }

    void fail_turn(program& one, int wait_ms) {
        one.over = ++one.tries >= tries_of_turn;
        if (!one.over) {
            this->timers.emplace(this->now_ms + wait_ms, one.number);
        }
    }

    void run_engines() {
        for (auto& engine : this->engines) {
            const auto next = engine->next_event();
            if (!next.has_value() || *next > this->instant()) {
                continue;
            }
            engine->advance(this->instant());
            for (const auto& progress : engine->take_progress()) {
                const auto found = this->open.find(progress.attempt.value());
                if (progress.first == 1 && found != this->open.end()) {
                    const program& one = this->programs[found->second];
                    this->edges[one.edge]->admission->record_turn(
                        this->now_ms - one.sent_ms <= objective_ms, this->instant());
                }
                if (progress.ended && found != this->open.end()) {
                    program& one = this->programs[found->second];
                    this->open.erase(found);
                    this->end_turn(one);
                }
            }
        }
    }

    void end_turn(program& one) {
        const auto gap = milliseconds{this->now_ms - one.sent_ms} / answer_tokens * 12;
        this->edges[one.edge]->pool->record_event(
            directory::backend_incarnation("e" + std::to_string(one.engine)), gap, this->instant());
        this->end_attempt(one, attempt_result::served);
        one.tries = 0;
        if (++one.turn < turns_of_program) {
            this->timers.emplace(this->now_ms + pause_ms, one.number);
            return;
        }
        one.over = true;
        if (!this->is_late(one)) {
            this->timely.push_back(one.began_ms);
        }
    }

    void give_up() {
        std::vector<std::string> late;
        for (const auto& [attempt, number] : this->open) {
            if (this->now_ms - this->programs[number].sent_ms >= turn_deadline_ms) {
                late.push_back(attempt);
            }
        }
        for (const std::string& attempt : late) {
            program& one = this->programs[this->open[attempt]];
            this->open.erase(attempt);
            this->engines[one.engine]->cancel(base::attempt_id(attempt), this->instant());
            this->end_attempt(one, attempt_result::abandoned);
            this->fail_turn(one, 100 + static_cast<int>(this->random.below(300)));
        }
    }

    /// Shares the load of all edges with each edge.
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
    policy kept;
    int now_ms = 0;
    std::vector<std::unique_ptr<emulator::engine_model>> engines;
    directory::backend_list backends;
    std::vector<std::unique_ptr<edge_state>> edges;
    std::vector<program> programs;
    std::map<std::string, std::size_t> open;
    std::multimap<int, std::size_t> timers;
    std::vector<int> timely;
    std::uint64_t last_attempt = 0;
};

/// Results before, during and after the burst.
struct outcome {
    double before = 0;
    int timely_in_burst = 0;
    int began_in_burst = 0;
    double after = 0;
};

outcome play(policy kept, std::uint64_t seed) {
    overload fleet(kept, seed);
    fleet.run();
    return {.before = fleet.in_time(1'000, 4'000),
            .timely_in_burst = fleet.timely_between(burst_from_ms, burst_to_ms),
            .began_in_burst = fleet.began_between(burst_from_ms, burst_to_ms),
            .after = fleet.in_time(burst_to_ms + 2'000, length_ms - 5'000)};
}

outcome mean_of(policy kept) {
    constexpr int seeds = 4;
    outcome mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome one = play(kept, seed);
        mean.before += one.before / seeds;
        mean.after += one.after / seeds;
        mean.timely_in_burst += one.timely_in_burst / seeds;
        mean.began_in_burst += one.began_in_burst / seeds;
    }
    return mean;
}

}  // namespace

// Without program admission, the overload persists: 0 of 100 programs are in time even 14 s after
// the burst. With it, 0.90 of them are in time. During the burst 63 of 379 (77 with priorities) are
// in time, compared to 85 of 93 under normal load for the same time without slow engines.
Test(overload_simulation, programs_are_in_time_two_seconds_after_burst) {
    const outcome seen = mean_of({});
    cr_assert(seen.before > 0.85, "%.3f before the burst", seen.before);
    cr_assert(seen.after > 0.8, "%.3f after it", seen.after);
    cr_assert(seen.timely_in_burst > 50, "%d of %d in it", seen.timely_in_burst,
              seen.began_in_burst);
}

Test(overload_simulation, overload_persists_without_admission) {
    const outcome seen = mean_of({.kind = admission_kind::open, .sends_priority = false});
    cr_assert(seen.before > 0.85, "%.3f before the burst", seen.before);
    cr_assert(seen.after < 0.2, "%.3f after it", seen.after);
}

Test(overload_simulation, priorities_alone_do_not_end_overload) {
    cr_assert(mean_of({.kind = admission_kind::open}).after < 0.2);
}
