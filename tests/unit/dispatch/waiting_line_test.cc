#include "pearbarrow/dispatch/waiting_line.h"

#include <criterion/criterion.h>

#include <string>

using namespace pearbarrow;
using namespace pearbarrow::dispatch;
using base::milliseconds;

namespace {

struct line_fixture {
    waiting_line::place enter(const std::string& name, urgency order,
                              milliseconds longest = milliseconds{1'000}) {
        return line.enter(
            {.order = order, .since = now, .at_latest = now + longest, .on_turn = [this, name] {
                 last = name;
             }});
    }
    std::string next() {
        last.clear();
        if (auto taken = line.take_next(now, turn_time); taken.has_value()) {
            taken->on_turn();
        }
        return last;
    }
    urgency in_time(milliseconds left = milliseconds{2'000}) const {
        return {.priority = 0, .turns_left = 1, .wanted_by = now + left};
    }
    base::instant now{};
    base::microseconds turn_time = milliseconds{300};
    waiting_line line;
    std::string last;
};

}  // namespace

Test(waiting_line, the_more_urgent_route_goes_first) {
    line_fixture fixture;
    urgency lesser = fixture.in_time();
    lesser.priority = 1;
    fixture.enter("lesser", lesser);
    fixture.enter("urgent", fixture.in_time());
    cr_assert(fixture.next() == "urgent");
    cr_assert(fixture.next() == "lesser");
    cr_assert(fixture.next().empty());
}

Test(waiting_line, the_program_with_fewer_turns_left_goes_first) {
    line_fixture fixture;
    urgency begins = fixture.in_time(milliseconds{1'200});
    begins.turns_left = 3;
    fixture.enter("begins", begins);
    urgency ends = fixture.in_time(milliseconds{1'500});
    ends.turns_left = 1.5;
    fixture.enter("ends", ends);
    cr_assert(fixture.next() == "ends");
}

Test(waiting_line, a_program_whose_turns_take_longer_than_it_has_is_late) {
    line_fixture fixture;
    urgency hopeless = fixture.in_time(milliseconds{1'000});
    hopeless.turns_left = 4;
    fixture.enter("hopeless", hopeless);
    cr_assert(fixture.line.count_in_time(fixture.now, fixture.turn_time) == 0);
    urgency possible = fixture.in_time(milliseconds{1'300});
    possible.turns_left = 4;
    fixture.enter("possible", possible);
    cr_assert(fixture.next() == "possible");
}

Test(waiting_line, what_can_still_be_in_time_goes_before_what_cannot) {
    line_fixture fixture;
    fixture.enter("late", fixture.in_time(milliseconds{200}));
    urgency lesser = fixture.in_time(milliseconds{400});
    lesser.priority = 3;
    fixture.enter("lesser", lesser);
    cr_assert(fixture.line.count_in_time(fixture.now, fixture.turn_time) == 1);
    cr_assert(fixture.next() == "lesser");
    cr_assert(fixture.next() == "late", "served all the same");
}

Test(waiting_line, lateness_is_judged_when_the_choice_is_made) {
    line_fixture fixture;
    fixture.enter("tight", fixture.in_time(milliseconds{400}));
    fixture.enter("ample", fixture.in_time(milliseconds{2'000}));
    fixture.now += milliseconds{150};
    cr_assert(fixture.next() == "ample");
}

Test(waiting_line, the_earlier_end_goes_first) {
    line_fixture fixture;
    fixture.enter("later", fixture.in_time(milliseconds{900}));
    fixture.enter("sooner", fixture.in_time(milliseconds{600}));
    cr_assert(fixture.next() == "sooner");
}

Test(waiting_line, nobody_waits_beyond_the_limit) {
    line_fixture fixture;
    urgency last = fixture.in_time(milliseconds{0});
    last.priority = 9;
    fixture.enter("last", last, milliseconds{500});
    cr_assert(!fixture.line.take_overdue(fixture.now).has_value());
    cr_assert(fixture.line.next_limit() == fixture.now + milliseconds{500});
    fixture.now += milliseconds{500};
    auto overdue = fixture.line.take_overdue(fixture.now);
    cr_assert(overdue.has_value());
    overdue->on_turn();
    cr_assert(fixture.last == "last");
    cr_assert(fixture.line.is_empty());
}

Test(waiting_line, one_whose_caller_has_gone_is_passed_over) {
    line_fixture fixture;
    const auto gone = fixture.enter("gone", fixture.in_time(milliseconds{600}));
    fixture.enter("here", fixture.in_time(milliseconds{900}));
    fixture.line.leave(gone);
    cr_assert(fixture.line.size() == 1);
    cr_assert(fixture.next() == "here");
    fixture.line.leave(gone);
    cr_assert(fixture.line.is_empty());
}
