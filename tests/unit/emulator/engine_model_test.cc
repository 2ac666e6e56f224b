#include "pearbarrow/emulator/engine_model.h"

#include <map>

#include "engine_driver.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr base::instant start{};

/// Costs in round numbers: a step takes 1 ms, and 10 us more for each prompt token.
engine_options simple_options() {
    engine_options options;
    options.costs = {.step_base = 1'000,
                     .prefill_token = 10,
                     .decode_sequence = 0,
                     .decode_context_kilotoken = 0,
                     .import_block = 100};
    return options;
}

std::map<std::string, base::instant> ends_of(const std::vector<stream_progress>& progress) {
    std::map<std::string, base::instant> ends;
    for (const stream_progress& item : progress) {
        if (item.ended) {
            ends[item.attempt.value()] = item.at;
        }
    }
    return ends;
}

}  // namespace

Test(engine_model, time_is_prefill_then_a_step_a_token) {
    engine_model model(simple_options());
    cr_assert(model.start(make_generation("a", "p", "c", 100, 5), start).kind ==
              start_kind::accepted);
    cr_assert(run_until_idle(model, start) == start + base::milliseconds(2 + 4));
    cr_assert_eq(model.totals().generated_tokens, 5);
}

Test(engine_model, sequences_share_steps) {
    engine_model model(simple_options());
    model.start(make_generation("a", "p1", "c1", 100, 50), start);
    for (int index = 0; index < 7; ++index) {
        const std::string name = "b" + std::to_string(index);
        model.start(make_generation(name, name, name, 100, 50), start);
    }
    const auto end = run_until_idle(model, start);
    cr_assert_eq(model.totals().generated_tokens, 400);
    cr_assert_lt((end - start).count(), 70'000, "eight at once, not one after another");
}

Test(engine_model, a_batch_that_is_full_makes_others_wait) {
    auto options = simple_options();
    options.max_running = 1;
    engine_model model(options);
    model.start(make_generation("a", "p1", "c1", 100, 10), start);
    model.start(make_generation("b", "p2", "c2", 100, 10), start);
    cr_assert(model.find(base::attempt_id("b"))->state == stream_state::waiting);
    cr_assert(run_until_idle(model, start) == start + base::milliseconds(22));
}

Test(engine_model, a_cached_prefix_saves_its_prefill) {
    engine_model model(simple_options());
    auto first = make_generation("a", "p", "c", 1'600, 16);
    model.start(first, start);
    const auto first_end = run_until_idle(model, start);
    auto second = make_generation("b", "p", "c", 1'632, 1);
    model.start(second, first_end);
    const auto second_end = run_until_idle(model, first_end);
    const auto usage = model.find(base::attempt_id("b"))->usage;
    cr_assert_eq(usage.cached_tokens, 1'600, "the block of the answer's last token is not full");
    cr_assert_eq((second_end - first_end).count(), 1'000 + 32 * 10);
}

Test(engine_model, a_repeated_id_runs_once) {
    engine_model model(simple_options());
    const auto request = make_generation("a", "p", "c", 100, 5);
    model.start(request, start);
    cr_assert(model.start(request, start).kind == start_kind::attached);
    const auto end = run_until_idle(model, start);
    cr_assert(model.start(request, end).kind == start_kind::attached);
    run_until_idle(model, end);
    cr_assert_eq(model.totals().generated_tokens, 5);
    cr_assert_eq(model.totals().finished, 1);
}

Test(engine_model, an_id_outlives_its_stream) {
    auto options = simple_options();
    options.stream_retention = base::milliseconds(1'000);
    engine_model model(options);
    const auto request = make_generation("a", "p", "c", 100, 5);
    model.start(request, start);
    const auto end = run_until_idle(model, start);
    model.advance(end + base::milliseconds(999));
    cr_assert(model.find(request.attempt)->retained);
    model.advance(end + base::milliseconds(1'000));
    cr_assert_not(model.find(request.attempt)->retained);
    const auto again = model.start(request, end + base::milliseconds(1'000));
    cr_assert(again.kind == start_kind::refused);
    cr_assert(again.reason == refusal::attempt_already_ran);
    cr_assert(again.has_run);
}

Test(engine_model, cancel_stops_a_stream_and_is_idempotent) {
    engine_model model(simple_options());
    const auto request = make_generation("a", "p", "c", 100, 50);
    model.start(request, start);
    const auto later = start + base::milliseconds(10);
    model.advance(later);
    cr_assert(model.cancel(request.attempt, later).outcome == backend::cancel_outcome::cancelled);
    const auto again = model.cancel(request.attempt, later);
    cr_assert(again.outcome == backend::cancel_outcome::cancelled);
    cr_assert_eq(again.usage.completion_tokens, 9);
    run_until_idle(model, later);
    cr_assert_eq(model.totals().generated_tokens, 9);
    const auto refused = model.start(request, later);
    cr_assert(refused.reason == refusal::attempt_cancelled);
    cr_assert(refused.has_run);
}

Test(engine_model, a_cancel_that_overtakes_its_request_fences_it) {
    engine_model model(simple_options());
    const auto request = make_generation("a", "p", "c", 100, 5);
    cr_assert(model.cancel(request.attempt, start).outcome == backend::cancel_outcome::unknown);
    const auto refused = model.start(request, start);
    cr_assert(refused.reason == refusal::attempt_cancelled);
    cr_assert_not(refused.has_run);
    cr_assert_eq(model.totals().steps, 0);
}

Test(engine_model, a_cancelled_waiting_stream_has_not_run) {
    auto options = simple_options();
    options.max_running = 1;
    engine_model model(options);
    model.start(make_generation("a", "p1", "c1", 100, 10), start);
    const auto waiting = make_generation("b", "p2", "c2", 100, 10);
    model.start(waiting, start);
    cr_assert_eq(model.cancel(waiting.attempt, start).usage.prompt_tokens, 0);
    cr_assert_not(model.start(waiting, start).has_run);
}

Test(engine_model, better_priority_preempts_and_the_preempted_ends_whole) {
    auto options = simple_options();
    options.max_running = 1;
    engine_model model(options);
    auto slow = make_generation("slow", "p1", "c1", 160, 40);
    slow.priority = 5;
    model.start(slow, start);
    const auto later = start + base::milliseconds(10);
    model.advance(later);
    auto urgent = make_generation("urgent", "p2", "c2", 160, 5);
    urgent.priority = 1;
    model.start(urgent, later);
    std::vector<stream_progress> progress;
    run_until_idle(model, later, &progress);
    auto ends = ends_of(progress);
    cr_assert(ends.at("urgent") < ends.at("slow"));
    cr_assert_eq(model.totals().preemptions, 1);
    cr_assert_eq(model.find(slow.attempt)->produced, 40);
    cr_assert_eq(model.totals().generated_tokens, 45, "no token twice");
}

Test(engine_model, memory_pressure_preempts_the_latest_and_all_end) {
    auto options = simple_options();
    options.cache.total_blocks = 20;
    engine_model model(options);
    model.start(make_generation("a", "p1", "c1", 100, 160), start);
    model.start(make_generation("b", "p2", "c2", 100, 160), start);
    std::vector<stream_progress> progress;
    run_until_idle(model, start, &progress);
    auto ends = ends_of(progress);
    cr_assert_eq(ends.size(), 2);
    cr_assert(ends.at("a") < ends.at("b"));
    cr_assert_gt(model.totals().preemptions, 0);
    cr_assert_eq(model.totals().generated_tokens, 320);
}

Test(engine_model, a_pin_gives_way_rather_than_block_the_engine) {
    auto options = simple_options();
    options.cache.total_blocks = 20;
    engine_model model(options);
    auto pinned = make_generation("a", "p1", "c1", 160, 16);
    pinned.pin_lease = base::seconds(3'600);
    model.start(pinned, start);
    const auto end = run_until_idle(model, start);
    cr_assert_eq(model.listing(end).holdings.size(), 1);
    model.start(make_generation("b", "p2", "c2", 280, 16), end);
    run_until_idle(model, end);
    cr_assert_eq(model.totals().finished, 2);
}

Test(engine_model, refuses_what_it_cannot_run) {
    auto options = simple_options();
    options.max_waiting = 1;
    options.max_running = 1;
    options.cache.total_blocks = 100;
    engine_model model(options);
    auto other = make_generation("a", "p", "c", 100, 5);
    other.model = base::model_name("another");
    cr_assert(model.start(other, start).reason == refusal::model_not_loaded);
    auto adapted = make_generation("b", "p", "c", 100, 5);
    adapted.adapter = "wine";
    cr_assert(model.start(adapted, start).reason == refusal::adapter_not_loaded);
    const auto huge = make_generation("d", "p", "c", 1'600, 1);
    cr_assert(model.start(huge, start).reason == refusal::sequence_too_long);
    model.start(make_generation("e", "p", "c", 100, 5), start);
    model.start(make_generation("f", "p", "c", 100, 5), start);
    const auto full = model.start(make_generation("g", "p", "c", 100, 5), start);
    cr_assert(full.reason == refusal::queue_full);
    model.set_leaving(true);
    const auto late = model.start(make_generation("h", "p", "c", 100, 5), start);
    cr_assert(late.reason == refusal::leaving);
}

Test(engine_model, orders_are_fenced) {
    engine_model model(simple_options());
    backend::engine_order order{
        .fencing_token = 5, .kind = backend::order_kind::load_adapter, .adapter = "wine"};
    cr_assert(model.order(order, start));
    cr_assert(model.order(order, start), "a repeat is obeyed again");
    auto changed = order;
    changed.adapter = "beer";
    cr_assert_not(model.order(changed, start), "same token, other content");
    changed.fencing_token = 4;
    cr_assert_not(model.order(changed, start), "lower token");
    changed.fencing_token = 6;
    cr_assert(model.order(changed, start));
    cr_assert_eq(model.options().adapters.size(), 2);
}

Test(engine_model, loads_a_model_once_the_batch_is_empty) {
    engine_model model(simple_options());
    model.start(make_generation("a", "p", "c", 100, 5), start);
    const backend::engine_order order{.fencing_token = 1,
                                      .kind = backend::order_kind::load_model,
                                      .model = base::model_name("pearl-70b"),
                                      .version = "2"};
    cr_assert(model.order(order, start));
    auto next = make_generation("b", "p", "c", 100, 5);
    cr_assert(model.start(next, start).reason == refusal::model_loading);
    const auto end = run_until_idle(model, start);
    cr_assert_eq(model.find(base::attempt_id("a"))->produced, 5, "what ran is not cut off");
    next.model = order.model;
    cr_assert(model.start(next, end).reason == refusal::model_loading);
    const auto loaded = end + base::milliseconds(2'001);
    model.advance(loaded);
    cr_assert(model.start(next, loaded).kind == start_kind::accepted);
}

Test(engine_model, release_frees_a_programs_pin) {
    engine_model model(simple_options());
    auto request = make_generation("a", "p", "c", 160, 16);
    request.pin_lease = base::seconds(60);
    model.start(request, start);
    const auto end = run_until_idle(model, start);
    cr_assert_eq(model.listing(end).holdings.at(0).blocks, 10);
    cr_assert_eq(model.release_program(request.program, end), 10);
    cr_assert_eq(model.release_program(request.program, end), 0);
    cr_assert(model.listing(end).holdings.empty());
}

Test(engine_model, an_exported_prefix_is_cached_where_it_is_imported) {
    engine_model from(simple_options());
    engine_model to(simple_options());
    auto request = make_generation("a", "p", "c", 160, 16);
    request.pin_lease = base::seconds(60);
    from.start(request, start);
    const auto end = run_until_idle(from, start);
    const auto prefix = from.export_prefix(request.program);
    cr_assert_eq(prefix.blocks.size(), 10);
    cr_assert_eq(to.import_prefix(prefix, base::seconds(60), end), 10);
    to.start(make_generation("b", "p", "c", 192, 1), end);
    run_until_idle(to, end);
    cr_assert_eq(to.find(base::attempt_id("b"))->usage.cached_tokens, 160);
    auto foreign = prefix;
    foreign.model_version = "9";
    cr_assert_eq(to.import_prefix(foreign, base::seconds(60), end), 0);
}

Test(engine_model, the_load_report_lags) {
    auto options = simple_options();
    options.load_lag = base::milliseconds(100);
    engine_model model(options);
    model.advance(start + base::milliseconds(100));
    model.start(make_generation("a", "p", "c", 100, 500), start + base::milliseconds(110));
    model.advance(start + base::milliseconds(190));
    const auto stale = model.load(start + base::milliseconds(190));
    cr_assert_eq(stale.running, 0);
    cr_assert_eq(stale.age.count(), 90);
    model.advance(start + base::milliseconds(210));
    cr_assert_eq(model.load(start + base::milliseconds(210)).running, 1);
}

Test(engine_model, cache_events_come_late_and_with_gaps) {
    auto options = simple_options();
    options.events = {.lag = base::milliseconds(100), .gap_probability = 0.3};
    engine_model model(options);
    base::instant now = start;
    for (int index = 0; index < 100; ++index) {
        auto request = make_generation("a" + std::to_string(index), "p", "c", 160, 16);
        request.pin_lease = base::seconds(3'600);
        model.start(request, now);
        now = run_until_idle(model, now);
    }
    cr_assert_eq(model.listing(now).sequence, 100);
    const auto batch = model.cache_events(0, 1'000, now + base::milliseconds(100));
    cr_assert_gt(batch.events.size(), 40);
    cr_assert_lt(batch.events.size(), 100);
    for (std::size_t index = 1; index < batch.events.size(); ++index) {
        cr_assert_gt(batch.events[index].sequence, batch.events[index - 1].sequence);
    }
    const auto rest = model.cache_events(batch.next_after, 1'000, now + base::milliseconds(100));
    cr_assert(rest.events.empty());
    const auto newest = model.cache_events(98, 1'000, now);
    cr_assert(newest.events.empty(), "younger than the lag");
}
