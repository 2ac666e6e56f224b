#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

using namespace pearbarrow::base;

Test(status, details_are_preserved) {
    const auto status = make_error(absl::StatusCode::kUnavailable, "no majority",
                                   {.step = "append",
                                    .peer = "node-2",
                                    .reason = "no_quorum",
                                    .was_executed = executed::unknown,
                                    .retry_after = milliseconds(1500)});
    const error_details details = details_of(status);
    cr_assert(details.step == "append");
    cr_assert(details.peer == "node-2");
    cr_assert(details.reason == "no_quorum");
    cr_assert(details.was_executed == executed::unknown);
    cr_assert(details.retry_after == milliseconds(1500));
}

Test(status, first_step_is_kept) {
    const auto inner =
        make_error(absl::StatusCode::kInternal, "x", {.step = "read", .peer = "disk"});
    cr_assert(details_of(with_step(inner, "outer", "node")).step == "read");
    const auto plain = with_step(absl::InternalError("y"), "outer", "node");
    cr_assert(details_of(plain).step == "outer");
    cr_assert(details_of(plain).peer == "node");
}
