/// An edge: receives callers' requests and forwards them. An edge has no persistent state.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/fleet/caller_drain.h"
#include "pearbarrow/fleet/node_parts.h"
#include "pearbarrow/forward/backend_identity.h"
#include "pearbarrow/forward/forward_service.h"
#include "pearbarrow/forward/load_reporter.h"
#include "pearbarrow/places/zone_rules.h"
#include "pearbarrow/slowstart/cold_table.h"
#include "pearbarrow/slowstart/start_quota.h"
#include "pearbarrow/suspects/end_monitor.h"
#include "pearbarrow/suspects/isolation_plans.h"
#include "pearbarrow/turns/call_relay.h"
#include "pearbarrow/turns/relaying_caller.h"

namespace pearbarrow::fleet {

class edge_node {
  public:
    edge_node(net::event_loop& loop, const base::clock& clock,
              const settings::fleet_settings& settings, forward::forward_options options);
    ~edge_node();
    edge_node(const edge_node&) = delete;
    edge_node& operator=(const edge_node&) = delete;

    absl::Status start();
    /// Shuts down gracefully: reports not ready at once, accepts requests until callers have been
    /// redirected, then waits for the requests in flight. Calls `done` once.
    void stop(std::function<void()> done);
    bool is_ready() const;
    node_parts& parts() { return parts_; }

  private:
    void apply_changes(const directory::directory_state::changes& changed);
    /// Returns the path of the health check of the service; empty if it is unknown.
    std::string health_path_of(const std::string& service) const;
    void respond_readiness(const std::shared_ptr<net::http_exchange>& exchange) const;
    pending_node_work node_work();
    void collect(base::metrics_registry& registry) const;
    /// Starts or stops polling for gaps in updates. Only services with a cold rate need it.
    void update_gap_polling();
    /// Records the end of a time without updates.
    void poll_update_gap();
    /// Returns a random peer that may relay calls to storage members, or port 0 if there is none.
    net::endpoint relay_peer();

    node_parts parts_;
    forward::forward_log log_;
    std::unique_ptr<net::http_client> client_;
    places::zone_rules zone_rules_;
    slowstart::cold_table cold_;
    bool is_connected_ = false;
    std::unique_ptr<net::timer_handle> gap_poll_timer_;
    /// Whether some route or tenant is restricted to some regions.
    bool regions_restricted_ = false;
    forward::backend_pool pool_;
    forward::load_reporter load_;
    std::unique_ptr<forward::program_admission> admission_;
    turns::call_relay relay_;
    turns::relaying_caller members_;
    turns::turn_client turns_;
    tenants::quota_client quotas_;
    tenants::quota_client permit_client_;
    slowstart::start_quota permits_;
    forward::backend_identity identities_;
    suspects::end_monitor end_monitor_;
    forward::process_inquiry processes_;
    suspects::isolation_plans isolation_;
    forward::forward_context context_;
    forward::forward_service service_;
    std::unique_ptr<net::http_server> callers_;
    std::unique_ptr<net::http_server> ready_;
    std::unique_ptr<caller_drain> drain_;
    /// Whether the list of back ends has arrived. It may be empty.
    bool has_backends_ = false;
    bool stopping_ = false;
};

}  // namespace pearbarrow::fleet
