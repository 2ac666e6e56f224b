// Tests a request that a back end completes after an earlier one has ended under it.
#include "lethal_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

namespace {

const repeated_request lethal_turn{.target = "/turn/x", .program = "p", .body = lethal_marker};

}  // namespace

Test(lethal_requests, completed_request_is_not_blocked_by_later_crashes) {
    lethal_fixture callers(6);
    for (int round = 0; round < 3; ++round) {
        callers.set_lethal(crash_moment::after_head);
        const std::string id = "a" + std::to_string(round);
        callers.fleet.call(0, "/turn/x", id, callers.headers_of(lethal_turn), lethal_marker);
        for (emulator::runner& runner : callers.fleet.runners) {
            runner.set_lethal(std::nullopt);
        }
        const auto response = callers.fleet.call(1, "/turn/x", id + "r",
                                                 callers.headers_of(lethal_turn), lethal_marker);
        cr_assert(response.status == 200 && response.whole, "%s", response.body.c_str());
    }
    cr_assert(callers.ended() == 3);
}
