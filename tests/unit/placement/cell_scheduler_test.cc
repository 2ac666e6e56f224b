#include <algorithm>
#include <map>
#include <string>

#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"
#include "scheduler_fixture.h"

#include <criterion/criterion.h>

namespace pearbarrow::placement {
namespace {

std::string place_call(scheduler_fixture& cell, const std::string& attempt,
                       const std::string& program) {
    return scheduler_fixture::result(cell.submit(scheduler_fixture::offer(attempt, program)));
}

Test(cell_scheduler, spreads_calls_over_idle_engines) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    const std::string first = place_call(cell, "1", "p1");
    const std::string second = place_call(cell, "2", "p2");
    cr_assert(!first.empty() && !second.empty());
    cr_assert(first != second);
}

Test(cell_scheduler, call_waits_while_engine_is_full_and_is_granted_when_a_call_ends) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    place_call(cell, "1", "p1");
    place_call(cell, "2", "p2");
    cr_assert(cell.submit(cell.offer("3", "p3")).empty());
    cr_assert_eq(cell.scheduler.load().waiting, 1);
    cr_assert_eq(scheduler_fixture::result(cell.finish("1", "p1", "a")), "a");
    cr_assert_eq(cell.scheduler.load().waiting, 0);
}

Test(cell_scheduler, full_queue_refuses_with_retry_after) {
    scheduler_fixture cell({.queue_limit = 1});
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2", "3"}) {
        place_call(cell, name, name);
    }
    const auto actions = cell.submit(cell.offer("4", "p4"));
    cr_assert_eq(scheduler_fixture::result(actions), reason::queue_full);
    const auto& refused = std::get<refuse_action>(actions.front());
    const auto details = base::details_of(refused.status);
    cr_assert(details.retry_after.has_value());
    cr_assert_eq(details.reason, "queue_full");
    cr_assert(details.was_executed == base::executed::no);
    cr_assert_eq(to_reply(actions.front()).reason, "queue_full");
}

Test(cell_scheduler, program_is_placed_on_its_cached_prefix) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b"), cell.engine("c")});
    const std::string first = place_call(cell, "1", "p1");
    cell.finish("1", "p1", first, 20'000);
    cell.advance(base::seconds(2));
    // Another program is placed on the same engine first.
    cr_assert_eq(place_call(cell, "2", "p2"), first);
    auto next = cell.offer("3", "p1");
    next.prompt_tokens = 20'100;
    cr_assert_eq(scheduler_fixture::result(cell.submit(next)), first);
}

Test(cell_scheduler, disabled_prefix_affinity_ignores_cached_prefix) {
    scheduler_fixture cell({.prefix_affinity = false});
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    const std::string first = place_call(cell, "1", "p1");
    cell.finish("1", "p1", first);
    place_call(cell, "2", "p2");
    cr_assert(place_call(cell, "3", "p1") != first);
}

Test(cell_scheduler, draining_or_unreachable_engine_is_skipped) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    cell.feed(engine_state_event{base::backend_id("a"), true, false});
    cr_assert_eq(place_call(cell, "1", "p1"), "b");
    cell.feed(engine_state_event{base::backend_id("b"), false, true});
    cr_assert(cell.submit(cell.offer("2", "p2")).empty());
    const auto actions = cell.feed(engine_state_event{base::backend_id("a"), false, false});
    cr_assert_eq(scheduler_fixture::result(actions), "a");
}

Test(cell_scheduler, registered_calls_use_capacity_after_take_over) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2"}) {
        wire::placement_registration registration;
        registration.offer = cell.offer(name, name);
        registration.backend = base::backend_id("a");
        cell.feed(in_flight_registered_event{registration});
    }
    cr_assert(cell.submit(cell.offer("3", "p3")).empty());
    cr_assert_eq(scheduler_fixture::result(cell.finish("2", "2", "a")), "a");
}

Test(cell_scheduler, reported_calls_use_capacity_until_take_over_ends) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    cell.feed(engine_report_event{base::backend_id("a"), base::milliseconds(300), 2, 0, 0, 1});
    cr_assert(cell.submit(cell.offer("1", "p1")).empty());
    cell.advance(base::seconds(11));
    cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), "a");
}

Test(cell_scheduler, withdrawn_call_is_refused_and_never_granted) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    place_call(cell, "1", "p1");
    place_call(cell, "2", "p2");
    place_call(cell, "3", "p3");
    cr_assert_eq(scheduler_fixture::result(cell.feed(withdraw_event{base::attempt_id("3")})),
                 reason::withdrawn);
    cr_assert(cell.finish("1", "p1", "a").empty());
    cr_assert(cell.feed(withdraw_event{base::attempt_id("3")}).empty());
}

Test(cell_scheduler, unreachable_deadline_is_refused_on_arrival) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    auto offer = cell.offer("1", "p1");
    offer.deadline_ms = 50;
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer)), reason::deadline_unreachable);
}

Test(cell_scheduler, waiting_call_past_its_deadline_is_refused) {
    scheduler_fixture cell({.early_refusal = false});
    cell.set_engines({cell.engine("a")});
    place_call(cell, "1", "p1");
    place_call(cell, "2", "p2");
    auto offer = cell.offer("3", "p3");
    offer.deadline_ms = 1000;
    cr_assert(cell.submit(offer).empty());
    cell.advance(base::milliseconds(1001));
    cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), reason::deadline_passed);
}

Test(cell_scheduler, unserved_models_and_long_prompts_are_refused) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    auto offer = cell.offer("1", "p1");
    offer.model = base::model_name("large");
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer)), reason::no_eligible_engine);
    offer = cell.offer("2", "p1");
    offer.prompt_tokens = 1'000'000;
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer)), reason::prompt_too_long);
}

Test(cell_scheduler, engine_that_failed_a_call_is_avoided) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    auto offer = cell.offer("1", "p1");
    offer.excluded_engines = {base::backend_id("a")};
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer)), "b");
    offer = cell.offer("2", "p2");
    offer.excluded_engines = {base::backend_id("a"), base::backend_id("b")};
    cr_assert(!scheduler_fixture::result(cell.submit(offer)).empty());
}

Test(cell_scheduler, tools_are_placed_by_load) {
    scheduler_fixture cell;
    cell_engine tool = cell.engine("t");
    tool.models.clear();
    tool.tools = {base::tool_name("lookup")};
    cell.set_engines({cell.engine("a"), tool});
    auto offer = cell.offer("1", "p1");
    offer.model = {};
    offer.tool = base::tool_name("lookup");
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer)), "t");
}

/// Returns the attempt that is granted first when a full engine becomes free and `older` and
/// `newer` wait.
std::string next_after(cell_options options, wire::placement_offer older,
                       wire::placement_offer newer, base::milliseconds wait) {
    scheduler_fixture cell(options);
    cell.set_engines({cell.engine("a")});
    place_call(cell, "1", "p1");
    place_call(cell, "2", "p2");
    cell.submit(std::move(older));
    cell.advance(wait);
    newer.program_age_ms = 0;
    cell.submit(std::move(newer));
    const auto actions = cell.finish("1", "p1", "a");
    return std::get<grant_action>(actions.front()).attempt.value();
}

Test(cell_scheduler, least_attained_service_goes_first) {
    auto older = scheduler_fixture::offer("older", "po");
    older.attained_tokens = 50'000;
    const auto newer = scheduler_fixture::offer("newer", "pn");
    const base::milliseconds soon(10);
    cr_assert_eq(next_after({.order = queue_order::least_attained}, older, newer, soon), "newer");
    cr_assert_eq(next_after({.order = queue_order::arrival}, older, newer, soon), "older");
}

Test(cell_scheduler, call_past_starvation_bound_goes_first) {
    auto older = scheduler_fixture::offer("older", "po");
    older.attained_tokens = 50'000;
    const auto newer = scheduler_fixture::offer("newer", "pn");
    cell_options options{.order = queue_order::least_attained};
    const base::milliseconds wait(31'000);
    cr_assert_eq(next_after(options, older, newer, wait), "older");
    // Without the starvation bound the same call keeps waiting.
    options.starvation_bound = base::milliseconds(1'000'000);
    cr_assert_eq(next_after(options, older, newer, wait), "newer");
}

Test(cell_scheduler, capacity_is_reserved_for_starved_long_call) {
    scheduler_fixture cell;
    cell_engine engine = cell.engine("a");
    engine.in_flight_limit = 4;
    engine.token_limit = 3000;
    cell.set_engines({engine});
    place_call(cell, "1", "p1");
    place_call(cell, "2", "p2");
    auto long_call = cell.offer("long", "pl");
    long_call.prompt_tokens = 2500;
    cr_assert(cell.submit(long_call).empty());
    cell.advance(base::seconds(31));
    cell.feed(tick_event{});
    cr_assert(cell.finish("1", "p1", "a").empty());
    cr_assert(place_call(cell, "3", "p3").empty(), "room is kept for the call that starves");
    const auto actions = cell.finish("2", "p2", "a");
    cr_assert_eq(std::get<grant_action>(actions.front()).attempt.value(), "long");
}

Test(cell_scheduler, new_program_waits_while_active_programs_fill_memory) {
    for (const bool limited : {true, false}) {
        scheduler_fixture cell({.working_set_limit = limited});
        cell_engine engine = cell.engine("a");
        engine.in_flight_limit = 8;
        engine.token_limit = 3000;
        cell.set_engines({engine});
        for (const char* name : {"1", "2"}) {
            place_call(cell, name, name);
            cell.finish(name, name, "a");
        }
        // Both programs pause; the prefix of a third one would evict theirs.
        const std::string opened = place_call(cell, "3", "3");
        cr_assert_eq(opened, limited ? "" : "a");
        auto next_call = cell.offer("4", "1");
        next_call.calls_done = 1;
        next_call.prompt_tokens = 1300;
        cr_assert_eq(scheduler_fixture::result(cell.submit(next_call)), "a", "goes on past it");
        if (limited) {
            cell.advance(base::seconds(31));
            cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), "a");
        }
    }
}

Test(cell_scheduler, tenant_over_its_share_goes_after_others) {
    for (const bool fair : {true, false}) {
        scheduler_fixture cell({.order = queue_order::arrival, .tenant_fairness = fair});
        cell.set_engines({cell.engine("a")});
        for (int round = 0; round < 20; ++round) {
            const std::string name = "h" + std::to_string(round);
            place_call(cell, name, name);
            cell.finish(name, name, "a");
        }
        place_call(cell, "x1", "x1");
        place_call(cell, "x2", "x2");
        cell.submit(cell.offer("heavy", "ph"));
        auto light = cell.offer("light", "pl");
        light.tenant = base::tenant_id("other");
        cell.submit(light);
        const auto actions = cell.finish("x1", "x1", "a");
        const std::string first = std::get<grant_action>(actions.front()).attempt.value();
        cr_assert_eq(first, fair ? "light" : "heavy");
    }
}

Test(cell_scheduler, slow_engine_receives_fewer_calls) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    std::map<std::string, int> count;
    for (int round = 0; round < 200; ++round) {
        const std::string name = std::to_string(round);
        const std::string engine = place_call(cell, name, name);
        count[engine] += 1;
        wire::placement_finished finished;
        finished.attempt = base::attempt_id(name);
        finished.program = base::program_id(name);
        finished.backend = base::backend_id(engine);
        finished.output_tokens = 100;
        finished.service_us = engine == "a" ? 20'000'000 : 2'000'000;
        finished.program_ended = true;
        cell.feed(finished_event{finished});
    }
    cr_assert(count["a"] < 40, "the slow engine got %d of 200", count["a"]);
}

Test(cell_scheduler, engine_with_overdue_calls_is_avoided) {
    scheduler_fixture cell;
    cell_engine first = cell.engine("a");
    first.in_flight_limit = 16;
    cell_engine second = first;
    second.backend = base::backend_id("b");
    cell.set_engines({first, second});
    const std::string stuck = place_call(cell, "1", "p1");
    cell.advance(base::seconds(600));
    cell.feed(tick_event{});
    for (int round = 2; round < 6; ++round) {
        cr_assert(place_call(cell, std::to_string(round), "p" + std::to_string(round)) != stuck);
    }
}

Test(cell_scheduler, same_events_give_same_actions) {
    const std::uint64_t seed = 7;
    const auto run = [&] {
        base::random_source random(seed);
        scheduler_fixture cell;
        cell.set_engines({cell.engine("a"), cell.engine("b"), cell.engine("c")});
        std::map<std::string, std::string> running;
        std::string trace;
        for (int step = 0; step < 2000; ++step) {
            cell.advance(base::milliseconds(random.below(400)));
            std::vector<cell_action> actions;
            if (random.chance(0.5) || running.empty()) {
                auto offer = cell.offer(std::to_string(step), std::to_string(random.below(40)));
                offer.attained_tokens = random.below(10'000);
                offer.prompt_tokens = static_cast<std::uint32_t>(random.below(5'000));
                actions = cell.submit(offer);
            } else {
                const auto ended = running.begin();
                actions = cell.finish(ended->first, "p", ended->second);
                running.erase(ended);
            }
            for (const cell_action& action : actions) {
                if (const auto* granted = std::get_if<grant_action>(&action)) {
                    running[granted->attempt.value()] = granted->backend.value();
                    trace += granted->attempt.value() + granted->backend.value() + ";";
                    cr_assert(verify(*granted->decision).ok());
                }
            }
            for (const char* engine : {"a", "b", "c"}) {
                const auto on_engine =
                    std::count_if(running.begin(), running.end(),
                                  [&](const auto& entry) { return entry.second == engine; });
                cr_assert(on_engine <= 2);
            }
        }
        return trace;
    };
    cr_assert_eq(run(), run(), "seed %lu", seed);
}

}  // namespace
}  // namespace pearbarrow::placement
