#include "pearbarrow/node/node_metrics.h"

namespace pearbarrow::node {

node_metrics::node_metrics(node_context& context, const membership_service& membership,
                           const configuration_service& configuration,
                           const ownership_director& ownership,
                           const dispatcher_service& dispatchers, const peer_router& router)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      ownership_(ownership),
      dispatchers_(dispatchers),
      router_(router) {
    base::metrics_registry& registry = context.metrics;
    members_live_ = registry.add_gauge("pearbarrow_members_live",
                                       "Nodes alive or suspected, this one included");
    config_version_ = registry.add_gauge("pearbarrow_config_version",
                                         "Version of the configuration in force on this node");
    shards_serving_ =
        registry.add_gauge("pearbarrow_shards_serving", "Shards that this node owns and serves");
    programs_ = registry.add_gauge("pearbarrow_programs", "Programs in the shards owned here");
    calls_running_ =
        registry.add_gauge("pearbarrow_calls_running", "Attempts under way at engines and tools");
    cells_ = registry.add_gauge("pearbarrow_cells", "Cells whose queue this node runs");
    calls_waiting_ = registry.add_gauge("pearbarrow_calls_waiting",
                                        "Calls waiting in the queues of these cells");
    routes_open_ = registry.add_gauge("pearbarrow_routes_open",
                                      "Requests on their way to the owners of programs");
    route_retries_ = registry.add_gauge("pearbarrow_route_retries_total",
                                        "Requests sent again to another owner");
    peer_bytes_sent_ =
        registry.add_gauge("pearbarrow_peer_bytes_sent_total", "Bytes sent to other nodes");
    peer_bytes_received_ = registry.add_gauge("pearbarrow_peer_bytes_received_total",
                                              "Bytes received from other nodes");
    membership_bytes_sent_ = registry.add_gauge("pearbarrow_membership_bytes_sent_total",
                                                "Bytes of membership datagrams sent");
    membership_bytes_received_ = registry.add_gauge("pearbarrow_membership_bytes_received_total",
                                                    "Bytes of membership datagrams received");
}

void node_metrics::refresh() {
    std::size_t serving = 0;
    std::size_t programs = 0;
    std::size_t running = 0;
    for (const auto& [shard, host] : ownership_.hosts()) {
        serving += host->state() == shard_state::serving ? 1 : 0;
        programs += host->program_count();
        running += host->running_calls();
    }
    const membership::swim_statistics swim = membership_.statistics();
    members_live_.set(static_cast<double>(membership_.live_members().size()));
    config_version_.set(static_cast<double>(configuration_.current()->version().value()));
    shards_serving_.set(static_cast<double>(serving));
    programs_.set(static_cast<double>(programs));
    calls_running_.set(static_cast<double>(running));
    cells_.set(static_cast<double>(dispatchers_.cell_count()));
    calls_waiting_.set(dispatchers_.load().waiting);
    routes_open_.set(static_cast<double>(router_.open_requests()));
    route_retries_.set(static_cast<double>(router_.retries()));
    peer_bytes_sent_.set(static_cast<double>(context_.rpc.bytes_sent()));
    peer_bytes_received_.set(static_cast<double>(context_.rpc.bytes_received()));
    membership_bytes_sent_.set(static_cast<double>(swim.bytes_sent));
    membership_bytes_received_.set(static_cast<double>(swim.bytes_received));
}

}  // namespace pearbarrow::node
