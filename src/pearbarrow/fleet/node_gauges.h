/// Gauges of a fleet node that are updated when the metrics are read.
#pragma once

#include <functional>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/directory_exchange.h"
#include "pearbarrow/forward/backend_traffic.h"
#include "pearbarrow/net/buffered_bytes.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::fleet {

class node_gauges {
  public:
    /// Sets gauges of the registry to their current values.
    using collector = std::function<void(base::metrics_registry&)>;

    node_gauges(base::metrics_registry& registry, const base::clock& clock);

    void add(collector added) { this->collectors.push_back(std::move(added)); }
    /// Records the time at which parts of the directory changed.
    void record_changes(const directory::directory_state::changes& changed);
    /// Returns all current metrics in the Prometheus text format.
    std::string text();

    /// Collects the versions of the directory, their age, and whether a peer is connected.
    void collect_directory(const directory::directory_exchange& exchange);
    void collect_traffic(const net::peer_rpc& rpc);
    /// Collects the buffered bytes, and the connections that were closed to limit them.
    void collect_buffered_bytes(const net::buffered_bytes& buffered);
    /// Collects the bytes to and from back ends, by distance.
    void collect_traffic(const forward::backend_traffic& traffic);

  private:
    base::metrics_registry& registry;
    const base::clock& clock;
    std::vector<collector> collectors;
    base::instant config_changed_at;
    base::instant backends_changed_at;
    base::instant storage_changed_at;
};

}  // namespace pearbarrow::fleet
