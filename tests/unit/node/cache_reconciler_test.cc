#include "pearbarrow/node/cache_reconciler.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace pearbarrow;
using node::cache_orphan;
using node::cache_reconciler;

namespace {

using program_list = std::vector<base::program_id>;

const base::backend_id engine_1("engine-1");
const base::backend_id engine_2("engine-2");
const base::program_id old_program("old");
const base::program_id new_program("new");
constexpr base::milliseconds interval{1'000};
const base::instant start = base::instant{} + base::milliseconds(60'000);

cache_reconciler with_engines(base::milliseconds grace = interval) {
    cache_reconciler core({interval, grace});
    core.set_engines({engine_1, engine_2});
    return core;
}

/// An engine that loses the first `lost` releases, and an owner that is away for `away` rounds.
/// Returns what the engine still holds after ten rounds.
std::set<base::program_id> rounds(bool mechanism, int lost, int away,
                                  const std::set<base::program_id>& live) {
    cache_reconciler core = with_engines();
    std::set<base::program_id> held = {old_program, new_program};
    for (int round = 0; round < 10 && mechanism; ++round) {
        const program_list listing(held.begin(), held.end());
        const program_list asked = core.take_listing(engine_1, listing, start + round * interval);
        program_list ended;
        std::copy_if(asked.begin(), asked.end(), std::back_inserter(ended),
                     [&](const auto& program) { return !live.contains(program); });
        if (round < away) {
            continue;  // Nobody answered.
        }
        for (const cache_orphan& orphan : core.take_ended(ended)) {
            if (lost-- <= 0) {
                held.erase(orphan.program);
            }
        }
    }
    return held;
}

}  // namespace

Test(cache_reconciler, orphans_are_freed_until_the_listing_confirms_it) {
    cr_assert((rounds(true, 3, 0, {new_program}) == std::set{new_program}));
    cr_assert((rounds(false, 0, 0, {new_program}) == std::set{new_program, old_program}));
}

Test(cache_reconciler, nothing_is_freed_while_the_owner_does_not_answer) {
    cr_assert((rounds(true, 0, 10, {}) == std::set{new_program, old_program}));
    cr_assert(rounds(true, 0, 5, {}).empty());
}

Test(cache_reconciler, a_program_is_not_asked_about_before_its_grace) {
    cache_reconciler core = with_engines();
    cr_assert(core.take_listing(engine_1, {old_program}, start).empty());
    cr_assert((core.take_listing(engine_1, {old_program, new_program}, start + interval) ==
               program_list{old_program}));
    // It went and came back: the grace begins anew.
    cr_assert(core.take_listing(engine_1, {}, start + 2 * interval).empty());
    cr_assert(core.take_listing(engine_1, {old_program}, start + 3 * interval).empty());
    // Without a grace the check sees a question at once.
    cache_reconciler hasty = with_engines(base::milliseconds(0));
    cr_assert((hasty.take_listing(engine_1, {old_program}, start) == program_list{old_program}));
}

Test(cache_reconciler, an_engine_is_listed_once_an_interval_by_the_node_that_dispatches_it) {
    cache_reconciler core = with_engines();
    cr_assert((core.due(start) == std::vector{engine_1, engine_2}));
    cr_assert(core.due(start + interval / 2).empty());
    core.set_engines({engine_2});
    cr_assert((core.due(start + interval) == std::vector{engine_2}));
    cr_assert(core.take_listing(engine_1, {old_program}, start + interval).empty());
    cr_assert(core.take_ended({old_program}).empty());
}
