/// Figures of a fleet node that are read when somebody asks for them.
#pragma once

#include <functional>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/directory/directory_exchange.h"
#include "pearbarrow/forward/backend_traffic.h"
#include "pearbarrow/net/held_bytes.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::fleet {

class node_gauges {
  public:
    /// Sets gauges of the registry to what holds now.
    using collector = std::function<void(base::metrics_registry&)>;

    node_gauges(base::metrics_registry& registry, const base::clock& clock);

    void add(collector one) { this->collectors.push_back(std::move(one)); }
    /// Keeps the time at which parts of the directory changed.
    void note_changes(const directory::directory_state::changes& changed);
    /// All metrics in the Prometheus text format, as of now.
    std::string text();

    /// Versions, their age, and whether peers answer.
    void collect_directory(const directory::directory_exchange& exchange);
    void collect_traffic(const net::peer_rpc& rpc);
    /// Bytes held for others, and how many of these were cut off for the memory that they took.
    void collect_held(const net::held_bytes& held);
    /// Bytes to and from back ends, by how far these are.
    void collect_traffic(const forward::backend_traffic& traffic);

  private:
    base::metrics_registry& registry;
    const base::clock& clock;
    std::vector<collector> collectors;
    base::instant config_at;
    base::instant backends_at;
    base::instant storage_at;
};

}  // namespace pearbarrow::fleet
