#include <algorithm>
#include <map>
#include <string>

#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"
#include "scheduler_fixture.h"

#include <criterion/criterion.h>

namespace pearbarrow::placement {
namespace {

std::string placed(scheduler_fixture& cell, const std::string& attempt,
                   const std::string& program) {
    return scheduler_fixture::result(cell.give(scheduler_fixture::offer(attempt, program)));
}

Test(cell_scheduler, spreads_calls_over_idle_engines) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    const std::string first = placed(cell, "1", "p1");
    const std::string second = placed(cell, "2", "p2");
    cr_assert(!first.empty() && !second.empty());
    cr_assert(first != second);
}

Test(cell_scheduler, waits_when_full_and_goes_on_when_a_call_ends) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    placed(cell, "1", "p1");
    placed(cell, "2", "p2");
    cr_assert(cell.give(cell.offer("3", "p3")).empty());
    cr_assert_eq(cell.scheduler.load().waiting, 1);
    cr_assert_eq(scheduler_fixture::result(cell.finish("1", "p1", "a")), "a");
    cr_assert_eq(cell.scheduler.load().waiting, 0);
}

Test(cell_scheduler, a_full_queue_refuses_with_a_time_to_come_back) {
    scheduler_fixture cell({.queue_limit = 1});
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2", "3"}) {
        placed(cell, name, name);
    }
    const auto actions = cell.give(cell.offer("4", "p4"));
    cr_assert_eq(scheduler_fixture::result(actions), reason::queue_full);
    const auto& refused = std::get<refuse_action>(actions.front());
    const auto details = base::details_of(refused.status);
    cr_assert(details.retry_after.has_value());
    cr_assert_eq(details.reason, "queue_full");
    cr_assert(details.was_executed == base::executed::no);
    cr_assert_eq(to_reply(actions.front()).reason, "queue_full");
}

Test(cell_scheduler, a_program_returns_to_its_prefix) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b"), cell.engine("c")});
    const std::string first = placed(cell, "1", "p1");
    cell.finish("1", "p1", first, 20'000);
    cell.advance(base::seconds(2));
    // Another comes first and takes the same engine.
    cr_assert_eq(placed(cell, "2", "p2"), first);
    auto next = cell.offer("3", "p1");
    next.prompt_tokens = 20'100;
    cr_assert_eq(scheduler_fixture::result(cell.give(next)), first);
}

Test(cell_scheduler, prefix_affinity_can_be_switched_off) {
    scheduler_fixture cell({.prefix_affinity = false});
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    const std::string first = placed(cell, "1", "p1");
    cell.finish("1", "p1", first);
    placed(cell, "2", "p2");
    cr_assert(placed(cell, "3", "p1") != first);
}

Test(cell_scheduler, a_draining_or_unreachable_engine_gets_nothing_new) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    cell.feed(engine_state_event{base::backend_id("a"), true, false});
    cr_assert_eq(placed(cell, "1", "p1"), "b");
    cell.feed(engine_state_event{base::backend_id("b"), false, true});
    cr_assert(cell.give(cell.offer("2", "p2")).empty());
    const auto actions = cell.feed(engine_state_event{base::backend_id("a"), false, false});
    cr_assert_eq(scheduler_fixture::result(actions), "a");
}

Test(cell_scheduler, registered_calls_fill_places_after_a_take_over) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    for (const char* name : {"1", "2"}) {
        wire::placement_registration registration;
        registration.offer = cell.offer(name, name);
        registration.backend = base::backend_id("a");
        cell.feed(in_flight_registered_event{registration});
    }
    cr_assert(cell.give(cell.offer("3", "p3")).empty());
    cr_assert_eq(scheduler_fixture::result(cell.finish("2", "2", "a")), "a");
}

Test(cell_scheduler, load_reports_fill_places_until_calls_are_registered) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    cell.feed(engine_report_event{base::backend_id("a"), base::milliseconds(300), 2, 0, 0, 1});
    cr_assert(cell.give(cell.offer("1", "p1")).empty());
    cell.advance(base::seconds(11));
    cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), "a");
}

Test(cell_scheduler, a_withdrawn_call_is_refused_and_never_granted) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    placed(cell, "1", "p1");
    placed(cell, "2", "p2");
    placed(cell, "3", "p3");
    cr_assert_eq(scheduler_fixture::result(cell.feed(withdraw_event{base::attempt_id("3")})),
                 reason::withdrawn);
    cr_assert(cell.finish("1", "p1", "a").empty());
    cr_assert(cell.feed(withdraw_event{base::attempt_id("3")}).empty());
}

Test(cell_scheduler, unreachable_deadlines_are_refused_at_once) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    auto offer = cell.offer("1", "p1");
    offer.deadline_ms = 50;
    cr_assert_eq(scheduler_fixture::result(cell.give(offer)), reason::deadline_unreachable);
}

Test(cell_scheduler, a_waiting_call_past_its_deadline_is_refused) {
    scheduler_fixture cell({.early_refusal = false});
    cell.set_engines({cell.engine("a")});
    placed(cell, "1", "p1");
    placed(cell, "2", "p2");
    auto offer = cell.offer("3", "p3");
    offer.deadline_ms = 1000;
    cr_assert(cell.give(offer).empty());
    cell.advance(base::milliseconds(1001));
    cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), reason::deadline_passed);
}

Test(cell_scheduler, unserved_models_and_long_prompts_are_refused) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a")});
    auto offer = cell.offer("1", "p1");
    offer.model = base::model_name("large");
    cr_assert_eq(scheduler_fixture::result(cell.give(offer)), reason::no_eligible_engine);
    offer = cell.offer("2", "p1");
    offer.prompt_tokens = 1'000'000;
    cr_assert_eq(scheduler_fixture::result(cell.give(offer)), reason::prompt_too_long);
}

Test(cell_scheduler, an_engine_that_failed_a_call_is_avoided) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    auto offer = cell.offer("1", "p1");
    offer.excluded_engines = {base::backend_id("a")};
    cr_assert_eq(scheduler_fixture::result(cell.give(offer)), "b");
    offer = cell.offer("2", "p2");
    offer.excluded_engines = {base::backend_id("a"), base::backend_id("b")};
    cr_assert(!scheduler_fixture::result(cell.give(offer)).empty());
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
    cr_assert_eq(scheduler_fixture::result(cell.give(offer)), "t");
}

/// The attempt granted after both engines' places were full and `older` and `newer` wait.
std::string next_after(cell_options options, wire::placement_offer older,
                       wire::placement_offer newer, base::milliseconds wait) {
    scheduler_fixture cell(options);
    cell.set_engines({cell.engine("a")});
    placed(cell, "1", "p1");
    placed(cell, "2", "p2");
    cell.give(std::move(older));
    cell.advance(wait);
    newer.program_age_ms = 0;
    cell.give(std::move(newer));
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

Test(cell_scheduler, no_call_starves) {
    auto older = scheduler_fixture::offer("older", "po");
    older.attained_tokens = 50'000;
    const auto newer = scheduler_fixture::offer("newer", "pn");
    cell_options options{.order = queue_order::least_attained};
    const base::milliseconds wait(31'000);
    cr_assert_eq(next_after(options, older, newer, wait), "older");
    // Without the bound the same call would go on waiting.
    options.starvation_bound = base::milliseconds(1'000'000);
    cr_assert_eq(next_after(options, older, newer, wait), "newer");
}

Test(cell_scheduler, a_long_call_is_not_overtaken_for_ever) {
    scheduler_fixture cell;
    cell_engine engine = cell.engine("a");
    engine.in_flight_limit = 4;
    engine.token_limit = 3000;
    cell.set_engines({engine});
    placed(cell, "1", "p1");
    placed(cell, "2", "p2");
    auto long_call = cell.offer("long", "pl");
    long_call.prompt_tokens = 2500;
    cr_assert(cell.give(long_call).empty());
    cell.advance(base::seconds(31));
    cell.feed(tick_event{});
    cr_assert(cell.finish("1", "p1", "a").empty());
    cr_assert(placed(cell, "3", "p3").empty(), "room is kept for the call that starves");
    const auto actions = cell.finish("2", "p2", "a");
    cr_assert_eq(std::get<grant_action>(actions.front()).attempt.value(), "long");
}

Test(cell_scheduler, new_programs_wait_while_those_under_way_fill_the_memory) {
    for (const bool limited : {true, false}) {
        scheduler_fixture cell({.working_set_limit = limited});
        cell_engine engine = cell.engine("a");
        engine.in_flight_limit = 8;
        engine.token_limit = 3000;
        cell.set_engines({engine});
        for (const char* name : {"1", "2"}) {
            placed(cell, name, name);
            cell.finish(name, name, "a");
        }
        // Both programs pause; a third one's prefix would drive theirs out.
        const std::string opened = placed(cell, "3", "3");
        cr_assert_eq(opened, limited ? "" : "a");
        auto going_on = cell.offer("4", "1");
        going_on.calls_done = 1;
        going_on.prompt_tokens = 1300;
        cr_assert_eq(scheduler_fixture::result(cell.give(going_on)), "a", "goes on past it");
        if (limited) {
            cell.advance(base::seconds(31));
            cr_assert_eq(scheduler_fixture::result(cell.feed(tick_event{})), "a");
        }
    }
}

Test(cell_scheduler, a_heavy_tenant_goes_behind_a_light_one) {
    for (const bool fair : {true, false}) {
        scheduler_fixture cell({.order = queue_order::arrival, .tenant_fairness = fair});
        cell.set_engines({cell.engine("a")});
        for (int round = 0; round < 20; ++round) {
            const std::string name = "h" + std::to_string(round);
            placed(cell, name, name);
            cell.finish(name, name, "a");
        }
        placed(cell, "x1", "x1");
        placed(cell, "x2", "x2");
        cell.give(cell.offer("heavy", "ph"));
        auto light = cell.offer("light", "pl");
        light.tenant = base::tenant_id("other");
        cell.give(light);
        const auto actions = cell.finish("x1", "x1", "a");
        const std::string first = std::get<grant_action>(actions.front()).attempt.value();
        cr_assert_eq(first, fair ? "light" : "heavy");
    }
}

Test(cell_scheduler, a_slow_engine_gets_less) {
    scheduler_fixture cell;
    cell.set_engines({cell.engine("a"), cell.engine("b")});
    std::map<std::string, int> count;
    for (int round = 0; round < 200; ++round) {
        const std::string name = std::to_string(round);
        const std::string engine = placed(cell, name, name);
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

Test(cell_scheduler, an_engine_whose_calls_hang_gets_less) {
    scheduler_fixture cell;
    cell_engine first = cell.engine("a");
    first.in_flight_limit = 16;
    cell_engine second = first;
    second.backend = base::backend_id("b");
    cell.set_engines({first, second});
    const std::string stuck = placed(cell, "1", "p1");
    cell.advance(base::seconds(600));
    cell.feed(tick_event{});
    for (int round = 2; round < 6; ++round) {
        cr_assert(placed(cell, std::to_string(round), "p" + std::to_string(round)) != stuck);
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
                actions = cell.give(offer);
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
