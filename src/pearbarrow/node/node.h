/// One node of the fleet: every part, wired together, and its life from start to stop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/gateway/configuration_directory.h"
#include "pearbarrow/gateway/gateway.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/node/backend_service.h"
#include "pearbarrow/node/cache_reconciliation.h"
#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/dispatcher_client.h"
#include "pearbarrow/node/dispatcher_service.h"
#include "pearbarrow/node/machine_list_follower.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/node_metrics.h"
#include "pearbarrow/node/operator_service.h"
#include "pearbarrow/node/ownership_director.h"
#include "pearbarrow/node/peer_health.h"
#include "pearbarrow/node/peer_router.h"
#include "pearbarrow/node/replica_repair.h"
#include "pearbarrow/node/replica_service.h"
#include "pearbarrow/node/shard_host.h"
#include "pearbarrow/node/shard_map_bootstrap.h"
#include "pearbarrow/operator/operator_api.h"

namespace pearbarrow::node {

/// Addresses that a node listens on.
struct node_addresses {
    net::endpoint caller;
    net::endpoint operators;
    net::endpoint peer;
    net::endpoint datagram;
};

struct node_callbacks {
    /// The listeners are open.
    std::function<void(const node_addresses&)> on_listening;
    /// Runs once, when /readyz first answers ok.
    std::function<void(const node_addresses&)> on_ready;
    /// The node has stopped in good order: end the event loop.
    std::function<void()> on_stopped;
};

class node {
  public:
    /// The settings have been checked. Everything passed by reference outlives the node.
    node(net::event_loop& loop, const base::clock& clock, const settings::node_settings& settings,
         node_callbacks callbacks);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    absl::Status start();
    /// Planned stop: marks this node as draining, hands shards and cells over, delivers what its
    /// callers wait for, takes its leave and runs `on_stopped`.
    void stop();
    /// Reads the TLS files again.
    void reload();

    const node_addresses& addresses() const { return addresses_; }
    /// Empty when ready.
    std::string not_ready_reason() const;

  private:
    absl::Status open_storage();
    absl::Status open_listeners();
    void register_methods();
    void connect_parts();
    void start_parts();
    membership::member_metadata describe_self() const;
    gateway::gateway_options gateway_options();
    operators::operator_api_options operator_options();
    net::http_server_options listener_options(const settings::ip_endpoint& listen) const;
    net::http_server_options caller_options() const;
    std::unique_ptr<configuration_store> make_store(absl::Status& status);
    base::program_id draw_program_id();
    /// Whether the program hashes to a shard of this node's region.
    bool in_own_region(const base::program_id& program) const;
    void take_machine_list(const std::vector<platform::machine>& machines);
    void check_ready();
    void check_stopped();
    /// Whether another node of the region can take this node's work over.
    bool has_successor() const;
    /// New requests of callers get 503 `node_stopping` from here on.
    void refuse_requests();
    /// Ends the listeners of callers and then of operators. Returns whether all responses of both
    /// have been delivered.
    bool deliver_responses();
    /// Ends requests in progress with an error response, and rejects those that are still arriving,
    /// since the time for the stop is nearly over.
    void give_up();
    void log_undelivered() const;
    void say_farewell();

    base::random_source random_;
    base::metrics_registry metrics_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::peer_rpc> rpc_;
    node_context context_;
    node_callbacks callbacks_;
    node_addresses addresses_;

    replica_service replicas_;
    membership_service membership_;
    peer_health health_;
    peer_prober prober_;
    std::unique_ptr<configuration_service> configuration_;
    backend_service backends_;
    std::unique_ptr<dispatcher_service> dispatchers_;
    std::unique_ptr<dispatcher_client> dispatcher_client_;
    std::unique_ptr<peer_router> router_;
    std::unique_ptr<quota_service> quotas_;
    std::unique_ptr<shard_services> shard_services_;
    std::unique_ptr<ownership_director> ownership_;
    std::unique_ptr<shard_map_bootstrap> bootstrap_;
    std::unique_ptr<replica_repair> repair_;
    std::unique_ptr<cache_reconciliation> caches_;
    std::unique_ptr<machine_list_follower> machines_;
    std::unique_ptr<operator_service> operator_service_;
    std::unique_ptr<gateway::configuration_directory> tenants_;
    std::unique_ptr<gateway::caller_gateway> gateway_;
    std::unique_ptr<operators::operator_api> operator_api_;
    std::unique_ptr<net::http_server> caller_server_;
    std::unique_ptr<net::http_server> operator_server_;
    std::unique_ptr<node_metrics> node_metrics_;

    std::unique_ptr<net::timer_handle> ready_timer_;
    std::unique_ptr<net::timer_handle> stop_timer_;
    bool ready_announced_ = false;
    bool stopping_ = false;
    bool refusing_ = false;
    bool delivering_ = false;
    bool has_given_up_ = false;
    bool operators_stopping_ = false;
    base::instant stop_started_;
    base::instant last_offer_;
};

}  // namespace pearbarrow::node
