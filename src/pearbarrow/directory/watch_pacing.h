/// How long a node leaves the outside service to the others.
#pragma once

#include <cstddef>
#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::directory {

struct pacing_options {
    /// Between two looks by all nodes together, where watches tell nothing. A quarter of the time
    /// in which a change is to be in force, so that two nodes in turn may fail.
    base::milliseconds check_interval{600};
    /// Most time between a watch that told something new and the next one, for each other node.
    base::milliseconds pause_after_news{100};
    base::milliseconds most_pause_after_news{1'200};
    /// At its start a node waits so long whether its peers tell it everything, or that they read:
    /// a connection and some round trips, since after a loss of power nothing is served until
    /// somebody knows the routes.
    base::milliseconds least_start_pause{100};
    base::milliseconds most_start_pause{250};
    /// The same for a node that all others ask first.
    base::milliseconds contact_start_pause{20};
    /// How often a node that rests makes sure that peers still answer it.
    base::milliseconds company_check{500};
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

    /// How long until this node's turn to look. `unix_time` in microseconds.
    base::milliseconds until_check(const watch_company& company, std::int64_t unix_time) const;
    /// Whether it is this node's turn now, give or take half of the interval.
    bool is_turn(const watch_company& company, std::int64_t unix_time) const;
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
