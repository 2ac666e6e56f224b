#include "pearbarrow/directory/watch_pacing.h"

#include <algorithm>

namespace pearbarrow::directory {

watch_pacing::watch_pacing(base::random_source& random, pacing_options options)
    : random(random), options(options) {}

// A watch may miss a change without a word; then its end is what brings the change. The nodes'
// watches end at different times, and whichever learns of the change tells the others, so the more
// nodes there are the longer each may wait.
base::milliseconds watch_pacing::wait(const watch_company& company) {
    const auto sharers = std::min(company.peers, this->options.most_counted_peers) + 1;
    return this->options.least_wait +
           this->draw(this->options.wait_per_peer * static_cast<std::int64_t>(sharers));
}

// Each call to the service costs, and every change ends all watches that wait. So a node whose
// peers told it first stays away for a while: they watch well enough. A node that was first stays
// away for less, and for no longer than a change may take to be in force.
base::milliseconds watch_pacing::pause(const watch_company& company, bool was_news) {
    if (!company.connected) {
        return base::milliseconds{0};
    }
    const auto peers = static_cast<std::int64_t>(company.peers);
    const base::milliseconds most =
        was_news
            ? std::min(this->options.pause_after_news * peers, this->options.most_pause_after_news)
            : std::min(this->options.pause_when_told * peers, this->options.most_pause_when_told);
    return this->draw(most);
}

base::milliseconds watch_pacing::draw(base::milliseconds most) {
    if (most.count() <= 0) {
        return base::milliseconds{0};
    }
    return base::milliseconds{
        static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(most.count())))};
}

}  // namespace pearbarrow::directory
