#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

namespace pearbarrow::directory {

watch_pacing::watch_pacing(base::random_source& random, pacing_options options)
    : random(random), options(options) {}

// A timer that runs a little early belongs to the interval that it was set for.
std::uint64_t watch_pacing::interval_at(std::int64_t unix_time) const {
    constexpr std::int64_t early_ms = 20;
    const std::int64_t now_ms = unix_time / 1'000 + early_ms;
    return static_cast<std::uint64_t>(now_ms / this->options.check_interval.count());
}

base::milliseconds watch_pacing::until_next(std::int64_t unix_time) const {
    const base::milliseconds interval = this->options.check_interval;
    return interval - base::milliseconds{unix_time / 1'000} % interval;
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
    return this->up_to(
        std::min(this->options.pause_after_news * static_cast<std::int64_t>(company.peers),
                 this->options.most_pause_after_news));
}

}  // namespace pearbarrow::directory
