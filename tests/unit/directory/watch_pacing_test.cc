#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

constexpr int samples = 1'000;

base::milliseconds longest_delay(const peer_connectivity& connectivity) {
    base::random_source random(7);
    watch_pacing pacing(random, {});
    base::milliseconds longest{0};
    for (int index = 0; index < samples; ++index) {
        longest = std::max(longest, pacing.delay_after_changes(connectivity));
    }
    return longest;
}

}  // namespace

Test(watch_pacing, delay_without_connected_peers_is_zero) {
    cr_assert(longest_delay({.peers = 0, .connected = true}).count() == 0);
    cr_assert(longest_delay({.peers = 80, .connected = false}).count() == 0);
}

Test(watch_pacing, delay_after_changes_grows_with_number_of_peers) {
    const auto after_changes = longest_delay({.peers = 11, .connected = true});
    cr_assert(after_changes < base::milliseconds{1'100} && after_changes > base::milliseconds{900});
}

Test(watch_pacing, delay_after_changes_is_bounded) {
    cr_assert(longest_delay({.peers = 400, .connected = true}) <=
              pacing_options().max_delay_after_changes);
}

Test(watch_pacing, intervals_are_contiguous) {
    base::random_source random(7);
    const watch_pacing pacing(random, {});
    std::int64_t now_us = 1'770'000'123'456'789;
    std::uint64_t interval = pacing.interval_at(now_us);
    for (int step = 0; step < 1'000; ++step) {
        const auto wait = pacing.until_next_interval(now_us);
        cr_assert(wait.count() > 0 && wait <= pacing_options().check_interval);
        // Timers fire a little late, and clocks have a resolution of microseconds.
        now_us += wait.count() * 1'000 + (step % 3) * 400;
        cr_assert(pacing.interval_at(now_us) == interval + 1, "step %d", step);
        interval = pacing.interval_at(now_us);
    }
}
