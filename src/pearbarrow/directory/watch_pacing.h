/// How often a node looks at the outside service itself, and when it leaves that to its peers.
#pragma once

#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::directory {

struct pacing_options {
    /// Between two checks by all nodes together.
    base::milliseconds check_interval{600};
    /// Most time between a watch that told something new and the next one, for each other node.
    base::milliseconds pause_after_news{100};
    base::milliseconds most_pause_after_news{1'200};
    /// The same after a watch that told only what peers had told before. So long that the calls of
    /// all nodes together don't grow with their number: of 300 nodes 7 a second come back.
    base::milliseconds pause_when_told{300};
    base::milliseconds most_pause_when_told{90'000};
    /// At its start a node waits up to so long whether its peers tell it everything: some round
    /// trips, since after a loss of power nothing is served until somebody knows the routes.
    base::milliseconds most_start_pause{150};
};

/// What a node knows of the others that look at the same service.
struct watch_company {
    /// Other nodes that this one has heard of.
    std::size_t peers = 0;
    /// This node's place among them all, from 0.
    std::size_t rank = 0;
    /// Whether peers answer this node.
    bool connected = false;
};

class watch_pacing {
  public:
    watch_pacing(base::random_source& random, pacing_options options);

    /// How long until this node's turn to read everything anew. `unix_time` in microseconds.
    base::milliseconds until_check(const watch_company& company, std::int64_t unix_time) const;
    /// How long to leave the watching to others after a watch that has told of changes;
    /// `was_news`: this node knew of them from nobody else.
    base::milliseconds pause(const watch_company& company, bool was_news);
    /// How long a node that has just started leaves it to its peers to tell it what there is.
    base::milliseconds start_pause();

  private:
    base::random_source& random;
    pacing_options options;
};

}  // namespace pearbarrow::directory
