/// The back ends of one service, in the orders in which a choice looks at them.
///
/// A choice looks at a bounded number of back ends, whatever their number is: 6,666 engines of
/// which each request goes to one of a handful. Two orders: a node's own, so that it comes back to
/// the same few and their connections are used again; and one that is the same on all nodes, a ring
/// of hash points for each zone, so that every node finds a program's engine without asking. From a
/// program's point on, the first `ring_window` back ends of a zone's ring are weighed. A back end
/// that leaves or comes changes the windows that it stands in and no others; of two zones or racks
/// no window lies in one, since the points are hashes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/pool_entry.h"

namespace pearbarrow::forward {

/// Back ends of a zone that a program's point leads to. The share of programs that a back end is
/// first for has a standard deviation of 1 / sqrt(64), an eighth; zones of up to 64 are weighed
/// whole.
inline constexpr std::size_t ring_window = 64;

class service_backends {
  public:
    /// Back ends of one zone.
    struct zone_backends {
        /// By point.
        std::set<std::pair<std::uint64_t, pool_entry*>> ring;
        /// Those that take requests, and how many these work on at once.
        std::size_t usable = 0;
        std::uint64_t slots = 0;
    };

    explicit service_backends(std::string own_zone) : own_zone(std::move(own_zone)) {}

    /// `one` stays where it is until it is removed. Call `remove` before a change of what counts
    /// here (zone, slots, listed, draining, order, point), and `add` after it.
    void add(pool_entry& one);
    void remove(pool_entry& one);
    /// The back end has left the list without a word.
    void note_vanished(pool_entry& one) { this->vanished.emplace(one.vanished_at, &one); }

    bool is_empty() const { return this->by_order.empty(); }
    std::size_t listed_count() const { return this->listed; }
    const std::map<std::string, zone_backends, std::less<>>& zones() const { return this->by_zone; }
    /// All of them, those of the own zone first, in this node's own order.
    const std::set<std::tuple<bool, std::uint64_t, pool_entry*>>& in_own_order() const {
        return this->by_order;
    }
    /// `count` of a zone from a program's point on; fewer where the zone has fewer. `skip`: as many
    /// of them are left out at the beginning.
    static std::vector<pool_entry*> from_point(const zone_backends& zone, std::uint64_t point,
                                               std::size_t skip, std::size_t count);
    /// Those that have vanished since `since`; earlier ones are forgotten.
    std::size_t vanished_since(base::instant since) const;
    /// Those that take requests, over all zones.
    std::size_t usable_count() const;

  private:
    std::string own_zone;
    std::set<std::tuple<bool, std::uint64_t, pool_entry*>> by_order;
    std::map<std::string, zone_backends, std::less<>> by_zone;
    /// Forgets, when it is asked, whoever has vanished too long ago to count.
    mutable std::set<std::pair<base::instant, pool_entry*>> vanished;
    std::size_t listed = 0;
};

}  // namespace pearbarrow::forward
