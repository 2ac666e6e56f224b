#include "pearbarrow/forward/program_gate.h"

#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/forward/engine_priority.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;

namespace {

/// Of so many programs that come at once, those that may begin.
int begun(program_gate& gate, const service_load& load, base::instant now, int programs = 400) {
    int count = 0;
    for (int index = 0; index < programs; ++index) {
        count += gate.judge(load, now).has_value() ? 0 : 1;
    }
    return count;
}

service_load filled(double fullness) {
    return {.places = 100, .requests = 100 * fullness, .is_known = true};
}

directory::backend_list engines(std::initializer_list<std::uint32_t> slots) {
    directory::backend_list list{.revision = 1};
    for (const std::uint32_t count : slots) {
        directory::backend backend;
        backend.id = "e" + std::to_string(list.backends.size());
        backend.service = "model";
        backend.zone = "a";
        backend.slots = count;
        list.backends[backend.id] = backend;
    }
    return list;
}

}  // namespace

Test(program_gate, the_open_gate_lets_everybody_in) {
    const auto gate = make_open_gate();
    cr_assert(begun(*gate, filled(50), {}) == 400);
}

Test(program_gate, nobody_is_turned_away_while_there_is_room) {
    base::random_source random(1);
    const auto gate = make_fullness_gate({}, random);
    cr_assert(begun(*gate, filled(0), {}) == 400);
    cr_assert(begun(*gate, filled(gate_options{}.narrows_at), {}) == 400);
}

Test(program_gate, full_engines_begin_nothing) {
    base::random_source random(1);
    const auto gate = make_fullness_gate({}, random);
    cr_assert(begun(*gate, filled(gate_options{}.closes_at), {}) == 0);
    cr_assert(begun(*gate, filled(9), {}) == 0);
    cr_assert(gate->judge(filled(9), {}) == gate_options{}.retry_after);
}

Test(program_gate, between_its_bounds_it_narrows) {
    base::random_source random(1);
    const gate_options options;
    const auto gate = make_fullness_gate(options, random);
    const int half = begun(*gate, filled((options.narrows_at + options.closes_at) / 2), {});
    cr_assert(half > 150 && half < 250, "%d of 400", half);
}

// After a common restart nobody knows the load, and everybody comes back.
Test(program_gate, while_the_load_is_not_known_neither_all_nor_none_begin) {
    base::random_source random(1);
    const gate_options options;
    const auto gate = make_fullness_gate(options, random);
    base::instant now(base::milliseconds{10'000});
    cr_assert(begun(*gate, {}, now) == static_cast<int>(options.unknown_programs));
    now += options.unknown_span;
    cr_assert(begun(*gate, {}, now) == static_cast<int>(options.unknown_programs));
}

Test(program_gate, a_service_without_back_ends_is_not_full) {
    cr_assert(service_load{}.fullness() == 0);
}

Test(service_load, adds_up_places_and_requests) {
    base::random_source random(1);
    backend_pool pool({}, random);
    pool.set_backends(engines({8, 8, 4}), {});
    pool.choose({.service = "model"}, {});
    pool.choose({.service = "model"}, {});
    const service_load load = pool.load_of("model", {});
    cr_assert(load.places == 20 && load.requests == 2 && !load.is_known);
    cr_assert(pool.load_of("other", {}).places == 0);
}

Test(service_load, leaving_back_ends_have_no_places) {
    base::random_source random(1);
    backend_pool pool({}, random);
    directory::backend_list list = engines({8, 8});
    list.backends["e1"].draining = true;
    pool.set_backends(list, {});
    cr_assert(pool.load_of("model", {}).places == 8);
}

Test(service_load, a_slow_back_end_counts_for_less) {
    base::random_source random(1);
    backend_pool pool({}, random);
    pool.set_backends(engines({8, 8, 8}), {});
    for (int round = 0; round < 100; ++round) {
        pool.note_event(directory::backend_run("e0"), base::milliseconds{40}, base::instant{});
        pool.note_event(directory::backend_run("e1"), base::milliseconds{40}, base::instant{});
        pool.note_event(directory::backend_run("e2"), base::milliseconds{200}, base::instant{});
    }
    const double places = pool.load_of("model", {}).places;
    cr_assert(places > 17 && places < 18, "%.1f", places);
}

Test(engine_priority, programs_under_way_go_before_new_ones_and_late_ones_last) {
    const std::uint32_t under_way = engine_priority({});
    const std::uint32_t first = engine_priority({.is_first = true});
    const std::uint32_t late = engine_priority({.is_late = true});
    cr_assert(under_way < first && first < late && late <= 9);
    cr_assert(engine_priority({.is_first = true, .is_late = true}) == late);
}

Test(engine_priority, a_rank_counts_among_equals_only) {
    cr_assert(engine_priority({.rank = 0}) < engine_priority({.rank = 1}));
    cr_assert(engine_priority({.rank = 1}) == engine_priority({.rank = 7}));
    cr_assert(engine_priority({.rank = 7}) < engine_priority({.rank = 0, .is_first = true}));
    cr_assert(engine_priority({.rank = 7, .is_first = true}) < engine_priority({.is_late = true}));
}

// At one bound engines that are just full enough to be late stay so for as long as callers return.
Test(program_gate, the_learning_gate_closes_earlier_while_turns_are_late) {
    base::random_source random(1);
    const gate_options options;
    const auto gate = make_learning_gate(options, random);
    base::instant now(base::milliseconds{10'000});
    const double full = options.least_closes_at;
    const int before = begun(*gate, filled(full), now);
    cr_assert(before > 200, "%d", before);
    const auto turns = [&](int count, bool in_time) {
        for (int index = 0; index < count; ++index) {
            now += base::milliseconds{50};
            gate->note_turn(in_time, now);
        }
    };
    turns(60, false);
    cr_assert(begun(*gate, filled(full), now) == 0);
    cr_assert(begun(*gate, filled(0.6), now) == 400, "engines with room are never closed");
    turns(400, true);
    const int after = begun(*gate, filled(full), now);
    cr_assert(after > 200, "%d: it opens again", after);
}
