/// An edge: takes callers' requests and forwards them. Keeps nothing that matters.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/fleet/node_parts.h"
#include "pearbarrow/forward/forward_service.h"
#include "pearbarrow/forward/load_reporter.h"
#include "pearbarrow/places/place_rules.h"
#include "pearbarrow/slowstart/cold_table.h"
#include "pearbarrow/slowstart/start_quota.h"
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
    /// Stops in good order: not ready at once, still serving until callers have been told to go
    /// elsewhere, then what is under way ends. `done` runs once.
    void stop(std::function<void()> done);
    bool is_ready() const;
    node_parts& parts() { return parts_; }

  private:
    void take_changes(const directory::directory_state::changes& changed);
    void answer_ready(const std::shared_ptr<net::http_exchange>& exchange) const;
    void end_when_idle();
    void collect(base::metrics_registry& registry) const;
    /// Looks for gaps in hearing of changes, where it matters.
    void check_hearing();
    /// Notes when news come again after a time without any.
    void watch_hearing();
    /// A node through which storage members may be reached.
    net::endpoint relay_peer();

    node_parts parts_;
    forward::forward_log log_;
    std::unique_ptr<net::http_client> client_;
    places::place_rules places_;
    slowstart::cold_table cold_;
    bool hears_peers_ = false;
    std::unique_ptr<net::timer_handle> hearing_check_;
    /// Some route or tenant is permitted some regions only.
    bool regions_bind_ = false;
    forward::backend_pool pool_;
    forward::load_reporter load_;
    std::unique_ptr<forward::program_gate> gate_;
    turns::call_relay relay_;
    turns::relaying_caller members_;
    turns::turn_client turns_;
    tenants::quota_client quotas_;
    tenants::quota_client permit_client_;
    slowstart::start_quota permits_;
    forward::forward_context context_;
    forward::forward_service service_;
    std::unique_ptr<net::http_server> callers_;
    std::unique_ptr<net::http_server> ready_;
    std::unique_ptr<net::timer_handle> stop_step_;
    std::function<void()> stopped_;
    base::instant stop_by_{};
    /// The list of back ends has come; it may be empty.
    bool knows_backends_ = false;
    bool stopping_ = false;
};

}  // namespace pearbarrow::fleet
