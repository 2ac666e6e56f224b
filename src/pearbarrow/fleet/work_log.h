/// Periodically logs the increase of a node's counters.
///
/// The logs alone then show the load of a fleet by role and cause (`scripts/what-binds --work`),
/// even if no metrics are collected.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::fleet {

class work_log {
  public:
    /// Time between two lines of a node, which have 2 KB each.
    static constexpr base::seconds interval{10};

    work_log(net::event_loop& loop, const base::metrics_registry& registry,
             const net::peer_rpc& rpc, std::string role);

    /// Logs the increase of the counters since the last call.
    void write();

  private:
    /// Returns all counters, and the bytes and frames of each call between nodes, by name.
    std::map<std::string, double> counts() const;
    void write_line(nlohmann::json counts) const;

    const base::metrics_registry& registry;
    const net::peer_rpc& rpc;
    std::string role;
    std::map<std::string, double> last_counts;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
