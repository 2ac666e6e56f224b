#include "pearbarrow/turns/turn_admission.h"

#include "../net/net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using base::milliseconds;
using net::testing::run_for;
using net::testing::run_until;

namespace {

constexpr base::instant start{};

/// A window whose turns have a fixed duration.
struct steady_window {
    explicit steady_window(window_options options) : window(options) {}
    void turn(milliseconds took, bool confirmed = true) {
        this->window.begin();
        const base::instant started_at = this->now;
        this->now += took;
        this->window.end(started_at, confirmed, this->now);
    }
    /// Runs as many concurrent turns as the window admits.
    void windowful(milliseconds took) {
        std::size_t begun = 0;
        for (; this->window.has_room(); ++begun) {
            this->window.begin();
        }
        const base::instant started_at = this->now;
        this->now += took;
        for (; begun > 0; --begun) {
            this->window.end(started_at, true, this->now);
        }
    }
    preparation_window window;
    base::instant now = start + milliseconds{1'000};
};

/// Members that reply when the test says so.
class admission_fixture {
  public:
    explicit admission_fixture(admission_options options)
        : admission(this->loop, this->clock, options, [this](turn_request request, auto done) {
              this->begun.push_back(request.wanted.turn.value());
              this->pending.push_back(std::move(done));
              return std::make_unique<turn_operation>();
          }) {}

    std::unique_ptr<turn_operation> admit(const std::string& turn,
                                          base::instant deadline = base::instant::max()) {
        turn_request request;
        request.wanted.turn = turn_id(turn);
        request.deadline = deadline;
        return this->admission.admit(std::move(request), [this, turn](const prepared_turn& result) {
            this->ended.push_back(turn + " " + std::string(to_string(result.outcome)));
            this->last = result;
        });
    }
    void reply_next() {
        const auto done = std::move(this->pending.front());
        this->pending.erase(this->pending.begin());
        prepared_turn result;
        result.outcome = turn_outcome::may_run;
        done(result);
    }

    net::event_loop loop;
    base::manual_clock clock;
    std::vector<std::string> begun;
    std::vector<std::string> ended;
    std::vector<turn_admission::done_callback> pending;
    prepared_turn last;
    turn_admission admission;
};

admission_options one_at_a_time() {
    return {.window = {.initial = 1, .min_size = 1, .max_size = 1}};
}

}  // namespace

Test(preparation_window, shrinks_while_members_are_slow_and_grows_again) {
    steady_window steady({.initial = 16, .min_size = 2});
    for (int index = 0; index < 20; ++index) {
        steady.turn(milliseconds{400});
    }
    cr_assert(steady.window.size() == 2, "%zu", steady.window.size());
    for (int index = 0; index < 60; ++index) {
        steady.windowful(milliseconds{10});
    }
    cr_assert(steady.window.size() > 16, "%zu", steady.window.size());
}

Test(preparation_window, concurrent_slow_turns_shrink_it_once) {
    preparation_window window({.initial = 10, .shrink_factor = 0.7});
    for (int index = 0; index < 5; ++index) {
        window.begin();
    }
    for (int index = 0; index < 5; ++index) {
        window.end(start + milliseconds{100}, false, start + milliseconds{1'600 + index});
    }
    cr_assert(window.size() == 7, "%zu", window.size());
}

Test(preparation_window, does_not_grow_while_unused) {
    steady_window steady({.initial = 64});
    for (int index = 0; index < 100; ++index) {
        steady.turn(milliseconds{5});
    }
    cr_assert(steady.window.size() == 64);
}

Test(turn_admission, waiting_turns_begin_as_members_reply) {
    admission_fixture fixture(one_at_a_time());
    const auto first = fixture.admit("a");
    const auto second = fixture.admit("b");
    cr_assert(first->has_begun() && !second->has_begun());
    cr_assert(fixture.begun == std::vector<std::string>{"a"});
    fixture.clock.advance(milliseconds{20});
    fixture.reply_next();
    cr_assert(second->has_begun());
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "b"}));
    fixture.reply_next();
    cr_assert(fixture.last.was_sent && fixture.last.queue_time == milliseconds{20});
}

Test(turn_admission, program_within_deadline_precedes_late_program) {
    admission_fixture fixture(one_at_a_time());
    fixture.clock.advance(milliseconds{5'000});
    const auto under_way = fixture.admit("a");
    const auto late = fixture.admit("late", fixture.clock.now() - milliseconds{1});
    const auto in_time = fixture.admit("in time", fixture.clock.now() + milliseconds{500});
    fixture.reply_next();
    fixture.reply_next();
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "in time", "late"}));
}

Test(turn_admission, cancelled_turn_frees_its_slot) {
    admission_fixture fixture(one_at_a_time());
    auto under_way = fixture.admit("a");
    auto leaves = fixture.admit("b");
    const auto stays = fixture.admit("c");
    leaves.reset();
    cr_assert(fixture.admission.waiting() == 1);
    under_way.reset();
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "c"}));
    cr_assert(fixture.ended.empty(), "cancelled turns run no callback");
}

Test(turn_admission, turn_over_max_queue_time_is_rejected_without_requests) {
    admission_options options = one_at_a_time();
    options.max_queue_time = milliseconds{20};
    admission_fixture fixture(options);
    const auto under_way = fixture.admit("a");
    const auto waits = fixture.admit("b");
    cr_assert(run_until(fixture.loop, [&] { return !fixture.ended.empty(); }));
    cr_assert(fixture.ended.front() == "b storage_overloaded");
    cr_assert(!fixture.last.was_sent && fixture.last.retry_after.count() > 0);
    cr_assert(fixture.begun == std::vector<std::string>{"a"});
    cr_assert(fixture.admission.rejected() == 1);
}

// Turns end every 100 ms and eleven turns wait: the twelfth would exceed the maximum queue time.
Test(turn_admission, turn_with_excessive_expected_wait_is_rejected_at_once) {
    admission_fixture fixture(one_at_a_time());
    std::vector<std::unique_ptr<turn_operation>> turns;
    turns.push_back(fixture.admit("first"));
    turns.push_back(fixture.admit("second"));
    turns.push_back(fixture.admit("third"));
    for (int index = 0; index < 2; ++index) {
        fixture.clock.advance(milliseconds{100});
        fixture.reply_next();
    }
    for (int index = 0; index < 11; ++index) {
        turns.push_back(fixture.admit("more"));
    }
    fixture.ended.clear();
    run_for(fixture.loop, milliseconds{20});
    cr_assert(fixture.ended.size() == 1, "%zu were rejected", fixture.ended.size());
    cr_assert(fixture.last.outcome == turn_outcome::overloaded);
    cr_assert(fixture.last.retry_after == milliseconds{100});
}
