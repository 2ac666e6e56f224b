/// Delays between the calls of a node to the directory service.
#pragma once

#include <cstddef>
#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"

namespace pearbarrow::directory {

struct pacing_options {
    /// Interval between two polls by all nodes together, which cover for watches that report
    /// nothing. It is a quarter of the time within which a change must take effect, so that the
    /// selected nodes of two successive intervals may fail. The time of day is divided into
    /// numbered intervals of this length.
    base::milliseconds check_interval{600};
    /// Maximum delay, per other node, between a watch that returned changes and the next watch.
    base::milliseconds delay_after_changes{100};
    base::milliseconds max_delay_after_changes{1'200};
    /// Bounds of the time that a starting node waits for its peers to send everything or to
    /// announce that they are reading. The processes of a common start begin up to 0.3 s apart. The
    /// delay is not longer because after a power failure no request is served until some node knows
    /// the routes.
    base::milliseconds min_start_delay{350};
    base::milliseconds max_start_delay{600};
    /// The same delay for a node that all others poll first.
    base::milliseconds contact_start_delay{20};
};

/// The peers that use the same directory service, as known to this node.
struct peer_connectivity {
    /// Number of other nodes that this node knows.
    std::size_t peers = 0;
    /// Whether peers reply to this node.
    bool connected = false;
};

class watch_pacing {
  public:
    watch_pacing(base::random_source& random, pacing_options options);

    /// Returns the time until the next interval. `unix_time` in microseconds.
    base::milliseconds until_next_interval(std::int64_t unix_time) const;
    /// Returns the number of the current interval.
    std::uint64_t interval_at(std::int64_t unix_time) const;
    /// Returns how long to collect changes after a watch that returned changes.
    base::milliseconds delay_after_changes(const peer_connectivity& connectivity);
    /// Returns how long a starting node waits for its peers to send the directory.
    base::milliseconds start_delay();

  private:
    base::milliseconds random_below(base::milliseconds max);

    base::random_source& random;
    pacing_options options;
};

}  // namespace pearbarrow::directory
