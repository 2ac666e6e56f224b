/// State shared by all in-flight requests of an edge.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/route_table.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/forward/backend_pool.h"
#include "pearbarrow/forward/backend_traffic.h"
#include "pearbarrow/forward/forward_log.h"
#include "pearbarrow/forward/header_names.h"
#include "pearbarrow/forward/process_inquiry.h"
#include "pearbarrow/forward/program_admission.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/places/zone_rules.h"
#include "pearbarrow/slowstart/start_permit.h"
#include "pearbarrow/suspects/end_monitor.h"
#include "pearbarrow/suspects/isolation_plans.h"
#include "pearbarrow/tenants/quota_client.h"
#include "pearbarrow/tenants/tenant_table.h"
#include "pearbarrow/turns/turn_client.h"

namespace pearbarrow::forward {

/// The active configuration with the lookup tables derived from it.
/// Reason of requests that are rejected or ended because the node stops.
inline constexpr char stopping_reason[] = "node_stopping";

struct active_configuration {
    directory::configuration config;
    directory::route_table routes;
    tenants::tenant_table tenants;
};

struct forward_options {
    header_names headers;
    /// Timeout of a request whose caller and route set none.
    base::milliseconds default_timeout{30'000};
    /// Retry delay sent to a caller whose request was rejected and may soon be served.
    base::milliseconds retry_after{100};
    /// Minimum of the timeout for storing a turn that has ended. The timeout is longer if the
    /// request has more time left.
    base::milliseconds store_timeout{4'000};
    base::milliseconds connect_timeout{500};
    /// Time after a permit request within which a permit for a cold back end must be used. Members
    /// extend their windows by this value and by a margin for the connection (`start_quota.h`).
    base::milliseconds permit_lifetime{150};
    /// Retry delay of a suspect that waits because trials have ended too many back ends.
    base::milliseconds paused_trial_retry{1'000};
    process_inquiry_options processes = {};
    /// Whether requests to engines carry a priority (`engine_priority.h`).
    bool sends_priority = false;
};

struct forward_context {
    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    net::http_client& client;
    backend_pool& pool;
    turns::turn_client& turns;
    tenants::quota_client& quotas;
    program_admission& admission;
    forward_log& log;
    forward_options options;
    /// Null while no configuration is known.
    std::shared_ptr<const active_configuration> active;
    /// Returns whether this node would be notified of a newer configuration. If empty, always true.
    std::function<bool()> receives_updates;
    /// Zone rules. If null, requests may go anywhere.
    const places::zone_rules* zone_rules = nullptr;
    /// Source of permits for cold back ends. If null, requests are sent without permits.
    slowstart::permit_source* permits = nullptr;
    /// Finds ends of back ends under requests. If null, no request is suspected.
    suspects::end_monitor* suspects = nullptr;
    /// Reserves back ends for suspects. If null, suspects are placed like other requests.
    suspects::isolation_plans* isolation = nullptr;
    /// Asks processes for their start times. If null, none is asked.
    process_inquiry* processes = nullptr;
    backend_traffic traffic = backend_traffic();
    /// Accounting of buffered bytes. If null, buffers are unbounded.
    std::shared_ptr<net::buffered_bytes> buffered = nullptr;
};

}  // namespace pearbarrow::forward
