// Tests requests that end their back ends, over all tries of their callers.
#include "lethal_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

namespace {

/// Back ends that may end under one request.
constexpr std::uint32_t max_ends = 3;

}  // namespace

ParameterizedTestParameters(lethal_requests, repeated_turn_ends_at_most_three_back_ends) {
    static crash_moment moments[] = {crash_moment::queued, crash_moment::after_head,
                                     crash_moment::after_first_event,
                                     crash_moment::after_last_event};
    return cr_make_param_array(crash_moment, moments, 4);
}

ParameterizedTest(crash_moment* moment, lethal_requests,
                  repeated_turn_ends_at_most_three_back_ends) {
    lethal_fixture callers;
    callers.set_lethal(*moment);
    callers.repeat({.target = "/turn/x", .program = "p", .body = lethal_marker}, "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

Test(lethal_requests, resumed_stream_ends_at_most_three_back_ends) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_first_event);
    callers.repeat(
        {.target = "/stream/x", .program = "p", .body = lethal_marker, .resumes = true}, "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

Test(lethal_requests, repeated_idempotent_request_ends_at_most_three_back_ends) {
    lethal_fixture callers(1, 9);
    callers.set_lethal(crash_moment::queued);
    callers.repeat({.target = "/plain/lethal", .program = "p", .body = ""}, "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

// The route allows two attempts.
Test(lethal_requests, get_on_a_kept_connection_counts_as_an_attempt) {
    lethal_fixture callers(1, 9);
    for (int index = 0; index < 60; ++index) {
        const auto response =
            callers.fleet.call(0, "/plain/x", "warm" + std::to_string(index));
        cr_assert(response.status == 200);
    }
    callers.set_lethal(crash_moment::queued);
    callers.fleet.call(0, "/plain/lethal", "a");
    cr_assert(callers.runs_of("a") <= 2, "sent to %zu back ends", callers.runs_of("a"));
}
