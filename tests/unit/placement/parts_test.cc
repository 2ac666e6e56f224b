#include <set>
#include <string>

#include "pearbarrow/base/random.h"
#include "pearbarrow/placement/call_queue.h"
#include "pearbarrow/placement/class_statistics.h"
#include "pearbarrow/placement/prefix_directory.h"

#include <criterion/criterion.h>

namespace pearbarrow::placement {
namespace {

Test(class_statistics, expected_remaining_work_decreases_with_finished_calls) {
    class_statistics statistics;
    for (int program = 0; program < 50; ++program) {
        for (std::uint32_t call = 0; call < 5; ++call) {
            statistics.add_offer(call);
            statistics.add_call(1'000'000, 100);
        }
    }
    cr_assert_float_eq(statistics.expected_remaining_us(0), 5e6, 1e5);
    cr_assert_float_eq(statistics.expected_remaining_us(4), 1e6, 1e5);
    cr_assert_float_eq(statistics.expected_output_tokens(1000), 100, 1);
    cr_assert_float_eq(statistics.expected_output_tokens(20), 20, 1);
}

Test(pause_distribution, retention_time_covers_likely_returns_only) {
    pause_distribution quick;
    pause_distribution mostly_ended;
    for (int count = 0; count < 100; ++count) {
        quick.add_return(base::seconds(2));
        if (count % 50 == 0) {
            mostly_ended.add_return(base::seconds(20));
        } else {
            mostly_ended.add_end();
        }
    }
    const base::microseconds longest = base::seconds(60);
    const auto wait = quick.retention_time(0.02, longest);
    cr_assert(wait >= base::seconds(2) && wait < base::seconds(5));
    cr_assert_eq(mostly_ended.retention_time(0.02, longest).count(), 0);
}

Test(prefix_directory, oldest_prefix_is_evicted_beyond_token_limit) {
    prefix_directory directory;
    directory.set_engines({1000, 1000});
    const base::instant start{};
    directory.record_program(base::program_id("old"), 0, 600, 0, start);
    directory.record_program(base::program_id("new"), 0, 600, 0, start + base::seconds(1));
    cr_assert_eq(directory.program_tokens(base::program_id("old"), 0), 0);
    cr_assert_eq(directory.program_tokens(base::program_id("new"), 0), 600);
    directory.set_tokens_left(base::program_id("new"), 0, 100);
    cr_assert_eq(directory.tokens_held(0), 100);
    directory.clear_engine(0);
    cr_assert_eq(directory.size(), 0);
}

Test(call_queue, order_matches_sorted_set) {
    const std::uint64_t seed = 11;
    base::random_source random(seed);
    call_queue queue;
    std::set<std::pair<queue_key, std::string>> expected;
    for (std::uint64_t step = 1; step < 3000; ++step) {
        if (random.chance(0.6) || expected.empty()) {
            waiting_call call;
            call.offer.attempt = base::attempt_id(std::to_string(step));
            call.key.order = static_cast<double>(random.below(50));
            call.key.sequence = step;
            call.permitted = 1 + random.below(3);
            expected.emplace(call.key, call.offer.attempt.value());
            cr_assert(queue.insert(std::move(call)));
        } else {
            auto chosen = expected.begin();
            std::advance(chosen, random.below(expected.size()));
            cr_assert(queue.remove(base::attempt_id(chosen->second)).has_value());
            expected.erase(chosen);
        }
        if (step % 50 != 0) {
            continue;
        }
        call_queue::cursor cursor(queue, 3);
        std::size_t position = 0;
        for (const auto& [key, attempt] : expected) {
            const waiting_call* next = cursor.next(3);
            cr_assert(next != nullptr && next->offer.attempt.value() == attempt, "seed %lu", seed);
            cr_assert_eq(queue.ahead_of(key), position);
            ++position;
        }
        cr_assert(cursor.next(3) == nullptr);
    }
}

}  // namespace
}  // namespace pearbarrow::placement
