/// Tells in the log, now and then, what a node has counted since the last time.
///
/// Where a fleet's work goes is then known from its logs alone, by role and cause
/// (`scripts/what-binds --work`), also where nobody fetches metrics.
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
    /// Between two lines of a node: 2 KB each.
    static constexpr base::seconds interval{10};

    work_log(net::event_loop& loop, const base::metrics_registry& registry,
             const net::peer_rpc& rpc, std::string role);

    /// Writes what has been counted since the last line.
    void write();

  private:
    /// All counters and the bytes of each call between nodes, by name.
    std::map<std::string, double> counts() const;
    void write_line(nlohmann::json counts) const;

    const base::metrics_registry& registry;
    const net::peer_rpc& rpc;
    std::string role;
    std::map<std::string, double> before;
    std::unique_ptr<net::timer_handle> timer;
};

}  // namespace pearbarrow::fleet
