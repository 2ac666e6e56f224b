// Schedule of an edge that stops.
#include "pearbarrow/fleet/caller_drain.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using fleet::make_drain_schedule;
using std::chrono::milliseconds;

Test(caller_drain, steps_are_in_order_and_before_the_timeout) {
    for (const int timeout : {100, 500, 1'000, 3'000, 5'000, 7'500, 8'000, 60'000, 86'400'000}) {
        const auto schedule = make_drain_schedule(milliseconds(timeout));
        cr_assert(schedule.stop_accepting > milliseconds(0));
        cr_assert(schedule.stop_accepting < schedule.reject_streams);
        cr_assert(schedule.reject_streams < schedule.give_up);
        cr_assert(schedule.give_up < schedule.end);
        cr_assert(schedule.end < milliseconds(timeout));
    }
}

Test(caller_drain, long_timeout_leaves_time_for_requests_in_progress) {
    const auto schedule = make_drain_schedule(milliseconds(8'000));
    cr_assert(schedule.stop_accepting == milliseconds(2'600));
    // Back ends that respond within five sixths of the timeout are waited for.
    cr_assert(schedule.give_up >= milliseconds(8'000 * 5 / 6));
}
