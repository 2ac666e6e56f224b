/// Back ends of one service in the orders in which a selection visits them.
///
/// A selection visits a bounded number of back ends, however many there are: with 6,666 engines,
/// each request goes to one of a few. There are two orders. The order of the node makes it reuse
/// the same few back ends and their connections. The hash rings, one for each zone, are the same on
/// all nodes, so that every node finds the engine of a program without communication. Starting at
/// the hash point of a program, the first `ring_window` back ends of the ring of each zone are
/// candidates. A back end that joins or leaves changes only the windows that contain it. Because
/// the points are hashes, no window covers only some racks or zones.
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

/// Number of candidates per zone from the hash point of a program on. The share of programs for
/// which a back end is first has a standard deviation of 1 / sqrt(64), or an eighth. Zones of up to
/// 64 back ends are compared completely.
inline constexpr std::size_t ring_window = 64;

class service_backends {
  public:
    /// Back ends of one zone.
    struct zone_backends {
        /// Back ends by hash point.
        std::set<std::pair<std::uint64_t, pool_entry*>> ring;
        /// Number of back ends that accept requests, and the sum of their slots.
        std::size_t usable = 0;
        std::uint64_t slots = 0;
    };

    explicit service_backends(std::string own_zone) : own_zone(std::move(own_zone)) {}

    /// Adds an entry, which must keep its address until it is removed. Call `remove` before
    /// changing one of the fields used here (zone, slots, listed, draining, order, point), and
    /// `add` after it.
    void add(pool_entry& entry);
    void remove(pool_entry& entry);
    /// Records that the back end left the list without draining.
    void record_vanished(pool_entry& entry) { this->vanished.emplace(entry.vanished_at, &entry); }

    bool is_empty() const { return this->by_order.empty(); }
    std::size_t listed_count() const { return this->listed; }
    const std::map<std::string, zone_backends, std::less<>>& zones() const { return this->by_zone; }
    /// Returns all back ends in the order of this node, those of the local zone first.
    const std::set<std::tuple<bool, std::uint64_t, pool_entry*>>& in_own_order() const {
        return this->by_order;
    }
    /// Returns up to `count` back ends of a zone in ring order from `point` on, after skipping the
    /// first `skip`.
    static std::vector<pool_entry*> from_point(const zone_backends& zone, std::uint64_t point,
                                               std::size_t skip, std::size_t count);
    /// Returns the number of back ends that vanished since `since`, and forgets earlier ones.
    std::size_t vanished_since(base::instant since) const;
    /// Returns the number of back ends that accept requests, over all zones.
    std::size_t usable_count() const;

  private:
    std::string own_zone;
    std::set<std::tuple<bool, std::uint64_t, pool_entry*>> by_order;
    std::map<std::string, zone_backends, std::less<>> by_zone;
    /// Pruned by `vanished_since`.
    mutable std::set<std::pair<base::instant, pool_entry*>> vanished;
    std::size_t listed = 0;
};

}  // namespace pearbarrow::forward
