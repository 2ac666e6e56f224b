#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::directory;

namespace {

constexpr int draws = 1'000;

base::milliseconds longest_pause(const watch_company& company, bool was_news) {
    base::random_source random(7);
    watch_pacing pacing(random, {});
    base::milliseconds longest{0};
    for (int index = 0; index < draws; ++index) {
        longest = std::max(longest, pacing.pause(company, was_news));
    }
    return longest;
}

}  // namespace

Test(watch_pacing, a_node_without_peers_never_stays_away) {
    cr_assert(longest_pause({.peers = 0, .connected = true}, true).count() == 0);
    cr_assert(longest_pause({.peers = 80, .connected = false}, true).count() == 0);
    cr_assert(longest_pause({.peers = 80, .connected = false}, false).count() == 0);
}

Test(watch_pacing, who_told_the_others_comes_back_sooner) {
    const watch_company company{.peers = 11, .connected = true};
    const auto after_news = longest_pause(company, true);
    const auto when_told = longest_pause(company, false);
    cr_assert(after_news < base::milliseconds{1'100} && after_news > base::milliseconds{900});
    cr_assert(when_told < base::milliseconds{3'300} && when_told > base::milliseconds{2'900});
}

Test(watch_pacing, no_pause_grows_without_bound) {
    const watch_company company{.peers = 400, .connected = true};
    cr_assert(longest_pause(company, true) <= pacing_options().most_pause_after_news);
    cr_assert(longest_pause(company, false) <= pacing_options().most_pause_when_told);
}

Test(watch_pacing, a_watch_lasts_longer_the_more_nodes_watch) {
    base::random_source random(7);
    watch_pacing pacing(random, {});
    for (int index = 0; index < draws; ++index) {
        const auto alone = pacing.wait({.peers = 0, .connected = true});
        cr_assert(alone >= base::milliseconds{1'000} && alone < base::milliseconds{1'800});
        const auto among_many = pacing.wait({.peers = 400, .connected = true});
        cr_assert(among_many < base::milliseconds{17'800});
    }
}
