#include "pearbarrow/emulator/block_cache.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

constexpr base::instant start{};
constexpr base::seconds lease{60};
const base::program_id first_program("p1");
const base::program_id second_program("p2");

base::instant at(int seconds_after) {
    return start + base::seconds(seconds_after);
}

/// Computes the blocks not cached yet, as a running sequence does, and ends the sequence.
bool run_sequence(block_cache& cache, const base::program_id& program,
                  const std::vector<block_hash>& blocks, base::instant now) {
    const std::size_t cached = cache.match(blocks);
    cache.acquire(std::span(blocks).first(cached), program, now);
    if (!cache.reserve(blocks.size() - cached, now)) {
        cache.release(std::span(blocks).first(cached), now);
        return false;
    }
    for (std::size_t index = cached; index < blocks.size(); ++index) {
        cache.publish(blocks[index], program, now);
    }
    cache.release(blocks, now);
    return true;
}

}  // namespace

Test(block_cache, evicts_the_least_recently_used_and_deepest_first) {
    block_cache cache({.total_blocks = 4});
    run_sequence(cache, first_program, {1, 2}, at(0));
    run_sequence(cache, second_program, {11, 12}, at(1));
    run_sequence(cache, first_program, {1, 2}, at(2));
    run_sequence(cache, second_program, {21}, at(3));
    const std::vector<block_hash> older{11, 12};
    const std::vector<block_hash> newer{1, 2};
    cr_assert_eq(cache.match(older), 1, "only the deeper block has gone");
    cr_assert_eq(cache.match(newer), 2);
}

Test(block_cache, referenced_and_pinned_blocks_are_not_evicted) {
    block_cache cache({.total_blocks = 4, .max_pinned_fraction = 1});
    const std::vector<block_hash> pinned{1, 2};
    const std::vector<block_hash> held{3};
    run_sequence(cache, first_program, pinned, at(0));
    cache.pin(first_program, pinned, at(0) + lease, at(0));
    run_sequence(cache, second_program, held, at(0));
    cache.acquire(held, second_program, at(0));
    cr_assert(cache.reserve(1, at(1)));
    cr_assert_not(cache.reserve(1, at(1)));
    cr_assert_eq(cache.match(pinned), 2);
    cr_assert_eq(cache.match(held), 1);
}

Test(block_cache, a_lapsed_lease_unpins_and_says_so) {
    block_cache cache({.total_blocks = 4});
    const std::vector<block_hash> blocks{1, 2};
    run_sequence(cache, first_program, blocks, at(0));
    cache.pin(first_program, blocks, at(10), at(0));
    cr_assert_eq(cache.renew(first_program, at(20)), 2);
    cache.expire_pins(at(15));
    cr_assert_eq(cache.pinned_blocks(), 2);
    cache.take_changes();
    cache.expire_pins(at(20));
    cr_assert_eq(cache.pinned_blocks(), 0);
    const auto changes = cache.take_changes();
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes[0].kind == backend::cache_event_kind::lease_lapsed);
    cr_assert(changes[0].program == first_program);
}

Test(block_cache, release_gives_back_all_but_what_others_use) {
    block_cache cache({.total_blocks = 8});
    run_sequence(cache, first_program, {1, 2, 3}, at(0));
    run_sequence(cache, second_program, {1, 12}, at(0));
    cache.pin(first_program, std::vector<block_hash>{1, 2, 3}, at(0) + lease, at(0));
    cr_assert_eq(cache.release_program(first_program, at(5)), 3);
    cr_assert_eq(cache.release_program(first_program, at(5)), 0, "idempotent");
    cr_assert(cache.holdings(at(5)).empty());
    cr_assert_eq(cache.used_blocks(), 2, "block 1 is shared, block 12 the other program's");
    cr_assert_eq(cache.accounting().abandoned_blocks, 2);
    cr_assert_float_eq(cache.accounting().abandoned_block_seconds, 10.0, 1e-6);
}

Test(block_cache, tells_reused_from_wasted_time) {
    block_cache cache({.total_blocks = 2});
    run_sequence(cache, first_program, {1, 2}, at(0));
    run_sequence(cache, first_program, {1, 2}, at(3));
    cr_assert_float_eq(cache.accounting().reused_block_seconds, 6.0, 1e-6);
    run_sequence(cache, second_program, {11, 12}, at(7));
    cr_assert_float_eq(cache.accounting().evicted_block_seconds, 8.0, 1e-6);
    cr_assert_eq(cache.accounting().evicted_blocks, 2);
    cr_assert_float_eq(cache.accounting().wasted_block_seconds(), 8.0, 1e-6);
}

Test(block_cache, pins_keep_to_their_part_of_the_memory) {
    block_cache cache({.total_blocks = 10, .max_pinned_fraction = 0.5});
    const std::vector<block_hash> first{1, 2, 3};
    const std::vector<block_hash> second{11, 12, 13};
    run_sequence(cache, first_program, first, at(0));
    run_sequence(cache, second_program, second, at(0));
    cache.pin(first_program, first, at(50), at(0));
    cache.pin(second_program, second, at(60), at(0));
    cr_assert_eq(cache.pinned_blocks(), 3);
    cr_assert(cache.pinned_sequence(first_program).empty());
    cr_assert(cache.pinned_sequence(second_program) == second);
}

Test(block_cache, two_sequences_that_compute_a_block_share_it) {
    block_cache cache({.total_blocks = 4});
    cr_assert(cache.reserve(2, at(0)));
    cache.publish(1, first_program, at(0));
    cache.publish(1, second_program, at(0));
    cr_assert_eq(cache.used_blocks(), 1);
}

Test(block_cache, imports_what_fits) {
    block_cache cache({.total_blocks = 4, .max_pinned_fraction = 1});
    const std::vector<block_hash> prefix{1, 2, 3, 4, 5, 6};
    cr_assert_eq(cache.import(first_program, prefix, at(60), at(0)), 4);
    cr_assert_eq(cache.match(prefix), 4);
    cr_assert_eq(cache.pinned_blocks(), 4);
}
