#include "pearbarrow/forward/program_admission.h"

#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/forward/engine_priority.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;

namespace {

/// Returns how many of `programs` simultaneous programs are admitted.
int admitted_count(program_admission& admission, const service_load& load, base::instant now,
                   int programs = 400) {
    int count = 0;
    for (int index = 0; index < programs; ++index) {
        count += admission.check(load, now).has_value() ? 0 : 1;
    }
    return count;
}

service_load load_with_fullness(double fullness) {
    return {.slots = 100, .requests = 100 * fullness, .is_known = true};
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

Test(program_admission, open_admission_admits_all_programs) {
    const auto admission = make_unlimited_admission();
    cr_assert(admitted_count(*admission, load_with_fullness(50), {}) == 400);
}

Test(program_admission, all_programs_are_admitted_below_lower_bound) {
    base::random_source random(1);
    const auto admission = make_fullness_admission({}, random);
    cr_assert(admitted_count(*admission, load_with_fullness(0), {}) == 400);
    cr_assert(admitted_count(*admission, load_with_fullness(admission_options{}.narrows_at), {}) ==
              400);
}

Test(program_admission, all_programs_are_rejected_above_upper_bound) {
    base::random_source random(1);
    const auto admission = make_fullness_admission({}, random);
    cr_assert(admitted_count(*admission, load_with_fullness(admission_options{}.closes_at), {}) ==
              0);
    cr_assert(admitted_count(*admission, load_with_fullness(9), {}) == 0);
    cr_assert(admission->check(load_with_fullness(9), {}) == admission_options{}.retry_after);
}

Test(program_admission, some_programs_are_admitted_between_bounds) {
    base::random_source random(1);
    const admission_options options;
    const auto admission = make_fullness_admission(options, random);
    const int half = admitted_count(
        *admission, load_with_fullness((options.narrows_at + options.closes_at) / 2), {});
    cr_assert(half > 150 && half < 250, "%d of 400", half);
}

// After a simultaneous restart no node knows the load, and all callers return.
Test(program_admission, limited_number_is_admitted_while_load_is_unknown) {
    base::random_source random(1);
    const admission_options options;
    const auto admission = make_fullness_admission(options, random);
    base::instant now(base::milliseconds{10'000});
    cr_assert(admitted_count(*admission, {}, now) == static_cast<int>(options.unknown_programs));
    now += options.unknown_span;
    cr_assert(admitted_count(*admission, {}, now) == static_cast<int>(options.unknown_programs));
}

Test(program_admission, service_without_back_ends_is_not_full) {
    cr_assert(service_load{}.fullness() == 0);
}

Test(service_load, adds_up_slots_and_requests) {
    base::random_source random(1);
    backend_pool pool({}, random);
    pool.set_backends(engines({8, 8, 4}), {});
    pool.choose({.service = "model"}, {});
    pool.choose({.service = "model"}, {});
    const service_load load = pool.load_of("model", {});
    cr_assert(load.slots == 20 && load.requests == 2 && !load.is_known);
    cr_assert(pool.load_of("other", {}).slots == 0);
}

Test(service_load, draining_back_ends_have_no_slots) {
    base::random_source random(1);
    backend_pool pool({}, random);
    directory::backend_list list = engines({8, 8});
    list.backends["e1"].draining = true;
    pool.set_backends(list, {});
    cr_assert(pool.load_of("model", {}).slots == 8);
}

Test(service_load, slow_back_end_has_fewer_slots) {
    base::random_source random(1);
    backend_pool pool({}, random);
    pool.set_backends(engines({8, 8, 8}), {});
    for (int round = 0; round < 100; ++round) {
        pool.record_event(directory::backend_incarnation("e0"), base::milliseconds{40},
                          base::instant{});
        pool.record_event(directory::backend_incarnation("e1"), base::milliseconds{40},
                          base::instant{});
        pool.record_event(directory::backend_incarnation("e2"), base::milliseconds{200},
                          base::instant{});
    }
    const double slots = pool.load_of("model", {}).slots;
    cr_assert(slots > 17 && slots < 18, "%.1f", slots);
}

Test(engine_priority, running_programs_precede_new_ones_and_late_ones_are_last) {
    const std::uint32_t under_way = engine_priority({});
    const std::uint32_t first = engine_priority({.is_first = true});
    const std::uint32_t late = engine_priority({.is_late = true});
    cr_assert(under_way < first && first < late && late <= 9);
    cr_assert(engine_priority({.is_first = true, .is_late = true}) == late);
}

Test(engine_priority, rank_orders_only_within_group) {
    cr_assert(engine_priority({.rank = 0}) < engine_priority({.rank = 1}));
    cr_assert(engine_priority({.rank = 1}) == engine_priority({.rank = 7}));
    cr_assert(engine_priority({.rank = 7}) < engine_priority({.rank = 0, .is_first = true}));
    cr_assert(engine_priority({.rank = 7, .is_first = true}) < engine_priority({.is_late = true}));
}

// With a fixed bound, engines that are just full enough to be late remain so for as long as callers
// return.
Test(program_admission, adaptive_admission_closes_earlier_while_turns_are_late) {
    base::random_source random(1);
    const admission_options options;
    const auto admission = make_adaptive_admission(options, random);
    base::instant now(base::milliseconds{10'000});
    const double full = options.min_closes_at;
    const int before = admitted_count(*admission, load_with_fullness(full), now);
    cr_assert(before > 200, "%d", before);
    const auto turns = [&](int count, bool in_time) {
        for (int index = 0; index < count; ++index) {
            now += base::milliseconds{50};
            admission->record_turn(in_time, now);
        }
    };
    turns(60, false);
    cr_assert(admitted_count(*admission, load_with_fullness(full), now) == 0);
    cr_assert(admitted_count(*admission, load_with_fullness(0.6), now) == 400,
              "engines with spare capacity are never closed");
    turns(400, true);
    const int after = admitted_count(*admission, load_with_fullness(full), now);
    cr_assert(after > 200, "%d: admission reopens", after);
}
