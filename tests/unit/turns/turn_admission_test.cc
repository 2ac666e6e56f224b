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

/// A window whose turns all take as long.
struct steady_window {
    explicit steady_window(window_options options) : window(options) {}
    void turn(milliseconds took, bool confirmed = true) {
        this->window.begin();
        const base::instant began = this->now;
        this->now += took;
        this->window.end(began, confirmed, this->now);
    }
    /// As many as the window lets through, all at once.
    void windowful(milliseconds took) {
        std::size_t begun = 0;
        for (; this->window.has_room(); ++begun) {
            this->window.begin();
        }
        const base::instant began = this->now;
        this->now += took;
        for (; begun > 0; --begun) {
            this->window.end(began, true, this->now);
        }
    }
    preparation_window window;
    base::instant now = start + milliseconds{1'000};
};

/// Members that answer when the test says so.
class admission_fixture {
  public:
    explicit admission_fixture(admission_options options)
        : admission(this->loop, this->clock, options, [this](turn_request request, auto done) {
              this->begun.push_back(request.wanted.turn.value());
              this->answers.push_back(std::move(done));
              return std::make_unique<turn_operation>();
          }) {}

    std::unique_ptr<turn_operation> ask(const std::string& turn,
                                        base::instant aim = base::instant::max()) {
        turn_request request;
        request.wanted.turn = turn_id(turn);
        request.aim = aim;
        return this->admission.admit(std::move(request), [this, turn](const prepared_turn& result) {
            this->ended.push_back(turn + " " + std::string(to_string(result.outcome)));
            this->last = result;
        });
    }
    void answer_next() {
        const auto done = std::move(this->answers.front());
        this->answers.erase(this->answers.begin());
        prepared_turn result;
        result.outcome = turn_outcome::may_run;
        done(result);
    }

    net::event_loop loop;
    base::manual_clock clock;
    std::vector<std::string> begun;
    std::vector<std::string> ended;
    std::vector<turn_admission::done_callback> answers;
    prepared_turn last;
    turn_admission admission;
};

admission_options one_at_a_time() {
    return {.window = {.initial = 1, .least = 1, .most = 1}};
}

}  // namespace

Test(preparation_window, shrinks_while_the_members_are_slow_and_opens_again) {
    steady_window steady({.initial = 16, .least = 2});
    for (int index = 0; index < 20; ++index) {
        steady.turn(milliseconds{400});
    }
    cr_assert(steady.window.size() == 2, "%zu", steady.window.size());
    for (int index = 0; index < 60; ++index) {
        steady.windowful(milliseconds{10});
    }
    cr_assert(steady.window.size() > 16, "%zu", steady.window.size());
}

Test(preparation_window, turns_that_were_under_way_together_shrink_it_once) {
    preparation_window window({.initial = 10, .shrink_factor = 0.7});
    for (int index = 0; index < 5; ++index) {
        window.begin();
    }
    for (int index = 0; index < 5; ++index) {
        window.end(start + milliseconds{100}, false, start + milliseconds{1'600 + index});
    }
    cr_assert(window.size() == 7, "%zu", window.size());
}

Test(preparation_window, does_not_open_while_it_is_not_used) {
    steady_window steady({.initial = 64});
    for (int index = 0; index < 100; ++index) {
        steady.turn(milliseconds{5});
    }
    cr_assert(steady.window.size() == 64);
}

Test(turn_admission, waiting_turns_begin_as_the_members_answer) {
    admission_fixture fixture(one_at_a_time());
    const auto first = fixture.ask("a");
    const auto second = fixture.ask("b");
    cr_assert(first->has_begun() && !second->has_begun());
    cr_assert(fixture.begun == std::vector<std::string>{"a"});
    fixture.clock.advance(milliseconds{20});
    fixture.answer_next();
    cr_assert(second->has_begun());
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "b"}));
    fixture.answer_next();
    cr_assert(fixture.last.was_asked && fixture.last.waited == milliseconds{20});
}

Test(turn_admission, a_program_that_can_be_in_time_goes_before_one_that_is_late) {
    admission_fixture fixture(one_at_a_time());
    fixture.clock.advance(milliseconds{5'000});
    const auto under_way = fixture.ask("a");
    const auto late = fixture.ask("late", fixture.clock.now() - milliseconds{1});
    const auto in_time = fixture.ask("in time", fixture.clock.now() + milliseconds{500});
    fixture.answer_next();
    fixture.answer_next();
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "in time", "late"}));
}

Test(turn_admission, who_leaves_makes_room) {
    admission_fixture fixture(one_at_a_time());
    auto under_way = fixture.ask("a");
    auto leaves = fixture.ask("b");
    const auto stays = fixture.ask("c");
    leaves.reset();
    cr_assert(fixture.admission.waiting() == 1);
    under_way.reset();
    cr_assert(fixture.begun == (std::vector<std::string>{"a", "c"}));
    cr_assert(fixture.ended.empty(), "nobody waits for their ends");
}

Test(turn_admission, a_turn_that_waited_too_long_is_turned_away_unasked) {
    admission_options options = one_at_a_time();
    options.longest_wait = milliseconds{20};
    admission_fixture fixture(options);
    const auto under_way = fixture.ask("a");
    const auto waits = fixture.ask("b");
    cr_assert(run_until(fixture.loop, [&] { return !fixture.ended.empty(); }));
    cr_assert(fixture.ended.front() == "b storage_overloaded");
    cr_assert(!fixture.last.was_asked && fixture.last.retry_after.count() > 0);
    cr_assert(fixture.begun == std::vector<std::string>{"a"});
    cr_assert(fixture.admission.turned_away() == 1);
}

// Turns end every 100 ms and eleven wait: the twelfth would wait for longer than is of use.
Test(turn_admission, where_waiting_is_in_vain_a_turn_is_turned_away_at_once) {
    admission_fixture fixture(one_at_a_time());
    std::vector<std::unique_ptr<turn_operation>> turns;
    turns.push_back(fixture.ask("first"));
    turns.push_back(fixture.ask("second"));
    turns.push_back(fixture.ask("third"));
    for (int index = 0; index < 2; ++index) {
        fixture.clock.advance(milliseconds{100});
        fixture.answer_next();
    }
    for (int index = 0; index < 11; ++index) {
        turns.push_back(fixture.ask("more"));
    }
    fixture.ended.clear();
    run_for(fixture.loop, milliseconds{20});
    cr_assert(fixture.ended.size() == 1, "%zu were turned away", fixture.ended.size());
    cr_assert(fixture.last.outcome == turn_outcome::overloaded);
    cr_assert(fixture.last.retry_after == milliseconds{100});
}
