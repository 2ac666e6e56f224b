/// The parts that edges and storage members share: event loop, links, directory and metrics.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/directory_exchange.h"
#include "pearbarrow/fleet/missing_parts.h"
#include "pearbarrow/fleet/node_gauges.h"
#include "pearbarrow/fleet/work_log.h"
#include "pearbarrow/net/buffered_bytes.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/settings/fleet_settings.h"
#include "pearbarrow/suspects/suspect_exchange.h"

namespace pearbarrow::fleet {

net::endpoint to_endpoint(const settings::ip_endpoint& value);

class node_parts {
  public:
    using change_handler = std::function<void(const directory::directory_state::changes&)>;

    node_parts(net::event_loop& loop, const base::clock& clock,
               const settings::fleet_settings& settings, change_handler on_change);
    ~node_parts();
    node_parts(const node_parts&) = delete;
    node_parts& operator=(const node_parts&) = delete;

    /// Opens the links and the metrics listener. Peer methods must be registered before.
    absl::Status start();
    /// Applies the settings that may change at run time.
    void apply_settings(const settings::fleet_settings& next);

    net::event_loop& loop() { return loop_; }
    const base::clock& clock() const { return clock_; }
    base::random_source& random() { return random_; }
    base::metrics_registry& metrics() { return metrics_; }
    node_gauges& gauges() { return gauges_; }
    net::peer_rpc& rpc() { return *rpc_; }
    /// Returns the account of the bytes that the node buffers for callers, back ends and peers.
    const std::shared_ptr<net::buffered_bytes>& buffered() const { return buffered_; }
    directory::directory_exchange& directory() { return *exchange_; }
    suspects::suspect_exchange& suspects() { return *suspects_; }
    const suspects::suspect_exchange& suspects() const { return *suspects_; }
    const settings::fleet_settings& settings() const { return settings_; }

  private:
    void count_changes(const directory::directory_state::changes& changed);
    void collect_suspects();
    /// Lets requests pass again that an operator has released.
    void release_requests();

    net::event_loop& loop_;
    const base::clock& clock_;
    settings::fleet_settings settings_;
    base::random_source random_;
    base::metrics_registry metrics_;
    node_gauges gauges_;
    std::shared_ptr<net::buffered_bytes> buffered_;
    std::unique_ptr<net::peer_rpc> rpc_;
    std::unique_ptr<directory::directory_exchange> exchange_;
    missing_parts missing_parts_;
    std::unique_ptr<suspects::suspect_exchange> suspects_;
    std::unique_ptr<net::http_server> metrics_server_;
    work_log work_log_;
};

}  // namespace pearbarrow::fleet
