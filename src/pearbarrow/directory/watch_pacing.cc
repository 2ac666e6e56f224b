#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

namespace pearbarrow::directory {

watch_pacing::watch_pacing(base::random_source& random, pacing_options options)
    : random(random), options(options) {}

// The service's watches may miss changes without a word, all of them at once and for seconds, so
// somebody has to look now and then. Nodes take turns by the time of day, in the order of their
// addresses: no message is needed, and where clocks or lists of peers differ turns only shift.
base::milliseconds watch_pacing::until_check(const watch_company& company,
                                             std::int64_t unix_time) const {
    const base::milliseconds interval = this->options.check_interval;
    if (!company.connected || company.peers == 0) {
        return interval;
    }
    const base::milliseconds round = interval * static_cast<std::int64_t>(company.peers + 1);
    const base::milliseconds turn = interval * static_cast<std::int64_t>(company.rank);
    const base::milliseconds now{unix_time / 1'000};
    const base::milliseconds wait = (turn - now % round + round) % round;
    // A timer that ran a little early has had this turn.
    return wait < interval / 2 ? wait + round : wait;
}

bool watch_pacing::is_turn(const watch_company& company, std::int64_t unix_time) const {
    const base::milliseconds interval = this->options.check_interval;
    if (!company.connected || company.peers == 0) {
        return true;
    }
    const base::milliseconds round = interval * static_cast<std::int64_t>(company.peers + 1);
    const base::milliseconds turn = interval * static_cast<std::int64_t>(company.rank);
    const base::milliseconds now{unix_time / 1'000};
    const base::milliseconds past = (now % round - turn + round) % round;
    return past <= interval / 2 || past >= round - interval / 2;
}

base::milliseconds watch_pacing::up_to(base::milliseconds most) {
    if (most.count() <= 0) {
        return base::milliseconds{0};
    }
    return base::milliseconds{
        static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(most.count())))};
}

// When all nodes start at once, the first few ask the service and tell the others.
base::milliseconds watch_pacing::start_pause() {
    const base::milliseconds least = this->options.least_start_pause;
    return least + this->up_to(this->options.most_start_pause - least);
}

// Each call to the service costs, and every change ends all watches that wait: what changes within
// the pause comes with one answer. It is no longer than a change may take to be in force.
base::milliseconds watch_pacing::pause_after_news(const watch_company& company) {
    if (!company.connected) {
        return base::milliseconds{0};
    }
    return this->up_to(std::min(
        this->options.pause_after_news * static_cast<std::int64_t>(company.peers),
        this->options.most_pause_after_news));
}

}  // namespace pearbarrow::directory
