#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

constexpr int draws = 1'000;

base::milliseconds longest_pause(const watch_company& company) {
    base::random_source random(7);
    watch_pacing pacing(random, {});
    base::milliseconds longest{0};
    for (int index = 0; index < draws; ++index) {
        longest = std::max(longest, pacing.pause_after_news(company));
    }
    return longest;
}

}  // namespace

Test(watch_pacing, a_node_without_peers_never_stays_away) {
    cr_assert(longest_pause({.peers = 0, .connected = true}).count() == 0);
    cr_assert(longest_pause({.peers = 80, .connected = false}).count() == 0);
}

Test(watch_pacing, who_told_the_others_comes_back_soon) {
    const auto after_news = longest_pause({.peers = 11, .connected = true});
    cr_assert(after_news < base::milliseconds{1'100} && after_news > base::milliseconds{900});
}

Test(watch_pacing, no_pause_grows_without_bound) {
    cr_assert(longest_pause({.peers = 400, .connected = true}) <=
              pacing_options().most_pause_after_news);
}

Test(watch_pacing, intervals_follow_each_other_without_a_gap) {
    base::random_source random(7);
    const watch_pacing pacing(random, {});
    std::int64_t now_us = 1'770'000'123'456'789;
    std::uint64_t interval = pacing.interval_at(now_us);
    for (int step = 0; step < 1'000; ++step) {
        const auto wait = pacing.until_next(now_us);
        cr_assert(wait.count() > 0 && wait <= pacing_options().check_interval);
        // Timers run a little late, clocks are read in microseconds.
        now_us += wait.count() * 1'000 + (step % 3) * 400;
        cr_assert(pacing.interval_at(now_us) == interval + 1, "step %d", step);
        interval = pacing.interval_at(now_us);
    }
}
