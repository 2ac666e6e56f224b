#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

namespace pearbarrow::directory {

watch_pacing::watch_pacing(base::random_source& random, pacing_options options)
    : random(random), options(options) {}

// A timer that fires a little early belongs to the interval that it was set for.
std::uint64_t watch_pacing::interval_at(std::int64_t unix_time) const {
    constexpr std::int64_t timer_tolerance_ms = 20;
    const std::int64_t now_ms = unix_time / 1'000 + timer_tolerance_ms;
    return static_cast<std::uint64_t>(now_ms / this->options.check_interval.count());
}

base::milliseconds watch_pacing::until_next_interval(std::int64_t unix_time) const {
    const base::milliseconds interval = this->options.check_interval;
    return interval - base::milliseconds{unix_time / 1'000} % interval;
}

base::milliseconds watch_pacing::random_below(base::milliseconds max) {
    if (max.count() <= 0) {
        return base::milliseconds{0};
    }
    return base::milliseconds{
        static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(max.count())))};
}

// When all nodes start at once, the first few read the service and send the result to the others.
base::milliseconds watch_pacing::start_delay() {
    const base::milliseconds min_delay = this->options.min_start_delay;
    return min_delay + this->random_below(this->options.max_start_delay - min_delay);
}

// Every call to the service has a cost, and every change ends all open watches. The delay collects
// several changes into one response. It is bounded by the time within which a change must take
// effect.
base::milliseconds watch_pacing::delay_after_changes(const peer_connectivity& connectivity) {
    if (!connectivity.connected) {
        return base::milliseconds{0};
    }
    return this->random_below(
        std::min(this->options.delay_after_changes * static_cast<std::int64_t>(connectivity.peers),
                 this->options.max_delay_after_changes));
}

}  // namespace pearbarrow::directory
