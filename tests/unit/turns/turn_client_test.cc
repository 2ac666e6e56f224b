#include "pearbarrow/turns/turn_client.h"

#include "counting_caller.h"
#include "member_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using namespace pearbarrow::turns::testing;

Test(turn_client, reserves_and_reads_the_chain) {
    member_group group({{}, {}, {}});
    const auto prepared = group.prepare(request_of(10, 100, "before"));
    cr_assert(prepared.outcome == turn_outcome::may_run);
    cr_assert(prepared.chain_text == "said before");
}

Test(turn_client, the_chain_may_come_after_most_have_confirmed) {
    member_group group({{.reserve_delay = milliseconds(30)}, {}, {}});
    const auto prepared = group.prepare(request_of(10, 100, "before"));
    cr_assert(prepared.outcome == turn_outcome::may_run);
    cr_assert(prepared.chain_text == "said before");
    cr_assert(group.members.back().reads == 0, "no other member had to be asked");
}

Test(turn_client, a_silent_member_delays_nothing) {
    member_group group({{.silent = true}, {}, {}});
    const auto prepared = group.prepare(request_of(10, 100, "before"));
    cr_assert(prepared.outcome == turn_outcome::may_run);
    cr_assert(prepared.chain_text == "said before");
}

Test(turn_client, without_a_majority_no_turn_may_run) {
    member_group group({{.silent = true}, {.silent = true}, {}});
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::unavailable);
}

Test(turn_client, members_that_are_not_complete_do_not_count) {
    member_group group({{.complete = false}, {.complete = false}, {}});
    cr_assert(group.prepare(request_of(10, 100)).outcome == turn_outcome::unavailable);
}

Test(turn_client, a_chain_is_absent_only_when_every_member_says_so) {
    const member_script absent{.chain = chain_result::absent, .chain_text = ""};
    member_group all({absent, absent, absent});
    cr_assert(all.prepare(request_of(10, 100, "none")).outcome == turn_outcome::no_such_turn);

    member_script silent = absent;
    silent.silent = true;
    member_group most({absent, absent, silent});
    cr_assert(most.prepare(request_of(10, 100, "none")).outcome == turn_outcome::unavailable);

    member_script incomplete = absent;
    incomplete.complete = false;
    member_group one_new({absent, absent, incomplete});
    cr_assert(one_new.prepare(request_of(10, 100, "none")).outcome == turn_outcome::unavailable);

    member_group one_has({absent, absent, {}});
    const auto found = one_has.prepare(request_of(10, 100, "before"));
    cr_assert(found.outcome == turn_outcome::may_run);
    cr_assert(found.chain_text == "said before");
}

Test(turn_client, the_budget_is_judged_by_all_that_members_know) {
    const reservation other{
        .program = base::program_id("program"), .turn = turn_id("other"), .tokens = 60};
    const reservation another{
        .program = base::program_id("program"), .turn = turn_id("another"), .tokens = 31};
    member_group group({{.reservations = {other}}, {.reservations = {another}}, {}});
    cr_assert(group.prepare(request_of(9, 100)).outcome == turn_outcome::may_run);
    cr_assert(group.members.front().usage_questions > 0, "close to the bound: a second look");
    cr_assert(group.prepare(request_of(10, 100)).outcome != turn_outcome::may_run);
}

Test(turn_client, a_turn_is_stored_once_most_have_it_and_reaches_the_rest) {
    member_group group({{}, {}, {}});
    bool stored = false;
    finish_request request;
    request.records.push_back({.turn = turn_id("turn"), .input = "in", .output = "out"});
    auto step = group.client->store(request, milliseconds(2'000),
                                    [&](const absl::Status& status) { stored = status.ok(); });
    cr_assert(run_until(group.loop, [&] { return stored; }));
    step.reset();
    cr_assert(run_until(group.loop, [&] {
        return std::all_of(group.members.begin(), group.members.end(),
                           [](const auto& member) { return member.finished.size() == 1; });
    }));
}

Test(turn_client, a_turn_that_too_few_store_is_an_error) {
    member_group group({{.silent = true}, {.silent = true}, {}});
    std::optional<absl::Status> result;
    finish_request request;
    request.records.push_back({.turn = turn_id("turn")});
    const auto step = group.client->store(request, milliseconds(300),
                                          [&](const absl::Status& status) { result = status; });
    cr_assert(run_until(group.loop, [&] { return result.has_value(); }));
    cr_assert(!result->ok());
}

// A question that outlived the client would, when it ends, speak to a caller that is gone.
Test(turn_client, nothing_is_open_once_the_client_has_gone) {
    net::event_loop loop;
    counting_caller caller;
    const base::system_clock_source clock;
    auto client = std::make_unique<turn_client>(loop, clock, caller, client_options{});
    client->set_view(view_of_three());
    std::optional<int> left_open;
    const auto write = client->store({}, milliseconds(5), [&](const absl::Status& status) {
        cr_assert(!status.ok(), "no member answers");
        loop.post([&] {
            client.reset();
            left_open = *caller.open;
        });
    });
    cr_assert(*caller.open == 3);
    cr_assert(run_until(loop, [&] { return left_open.has_value(); }));
    cr_assert(*left_open == 0, "%d questions are open still", *left_open);
}
