/// Gauges that describe a node as a whole; brought up to date when /metrics is read.
#pragma once

#include "pearbarrow/base/metrics.h"
#include "pearbarrow/node/configuration_service.h"
#include "pearbarrow/node/dispatcher_service.h"
#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/ownership_director.h"
#include "pearbarrow/node/peer_router.h"

namespace pearbarrow::node {

class node_metrics {
  public:
    node_metrics(node_context& context, const membership_service& membership,
                 const configuration_service& configuration, const ownership_director& ownership,
                 const dispatcher_service& dispatchers, const peer_router& router);
    void refresh();

  private:
    const node_context& context_;
    const membership_service& membership_;
    const configuration_service& configuration_;
    const ownership_director& ownership_;
    const dispatcher_service& dispatchers_;
    const peer_router& router_;
    base::gauge members_live_;
    base::gauge config_version_;
    base::gauge shards_serving_;
    base::gauge programs_;
    base::gauge calls_running_;
    base::gauge cells_;
    base::gauge calls_waiting_;
    base::gauge routes_open_;
    base::gauge route_retries_;
    base::gauge peer_bytes_sent_;
    base::gauge peer_bytes_received_;
    base::gauge membership_bytes_sent_;
    base::gauge membership_bytes_received_;
};

}  // namespace pearbarrow::node
