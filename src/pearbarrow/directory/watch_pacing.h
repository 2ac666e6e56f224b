/// How long a node leaves the outside service to the others.
#pragma once

#include <cstddef>
#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::directory {

struct pacing_options {
    /// Between two looks by all nodes together, where watches tell nothing. A quarter of the time
    /// in which a change is to be in force, so that two nodes in turn may fail. Times of day are
    /// counted in it: each interval has a number.
    base::milliseconds check_interval{600};
    /// Most time between a watch that told something new and the next one, for each other node.
    base::milliseconds pause_after_news{100};
    base::milliseconds most_pause_after_news{1'200};
    /// At its start a node waits so long whether its peers tell it everything, or that they read:
    /// processes of a common start begin up to 0.3 s apart. Not longer, since after a loss of power
    /// nothing is served until somebody knows the routes.
    base::milliseconds least_start_pause{350};
    base::milliseconds most_start_pause{600};
    /// The same for a node that all others ask first.
    base::milliseconds contact_start_pause{20};
};

/// What a node knows of the others that look at the same service.
struct watch_company {
    /// Other nodes that this one has heard of.
    std::size_t peers = 0;
    /// Whether peers answer this node.
    bool connected = false;
};

class watch_pacing {
  public:
    watch_pacing(base::random_source& random, pacing_options options);

    /// How long until the next interval begins. `unix_time` in microseconds.
    base::milliseconds until_next(std::int64_t unix_time) const;
    /// The number of the present interval.
    std::uint64_t interval_at(std::int64_t unix_time) const;
    /// How long to gather changes after a watch that has told of something new.
    base::milliseconds pause_after_news(const watch_company& company);
    /// How long a node that has just started leaves it to its peers to tell it what there is.
    base::milliseconds start_pause();

  private:
    base::milliseconds up_to(base::milliseconds most);

    base::random_source& random;
    pacing_options options;
};

}  // namespace pearbarrow::directory
