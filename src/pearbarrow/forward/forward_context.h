/// What all requests under way on a forwarding node share.
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
#include "pearbarrow/forward/program_gate.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/places/place_rules.h"
#include "pearbarrow/slowstart/start_permit.h"
#include "pearbarrow/tenants/quota_client.h"
#include "pearbarrow/tenants/tenant_table.h"
#include "pearbarrow/turns/turn_client.h"

namespace pearbarrow::forward {

/// The configuration in force, in the form in which requests use it.
struct active_configuration {
    directory::configuration config;
    directory::route_table routes;
    tenants::tenant_table tenants;
};

struct forward_options {
    header_names headers;
    /// Bound of a request whose caller and route set none.
    base::milliseconds default_timeout{30'000};
    /// Told to a caller whose request was refused and may soon be served.
    base::milliseconds retry_after{100};
    /// Longest time to store a turn that has ended.
    base::milliseconds store_timeout{4'000};
    base::milliseconds connect_timeout{500};
    /// A permit for a cold back end is used within this time of its question, or not at all:
    /// members count their windows longer by it, and by some more for the connection
    /// (`start_quota.h`).
    base::milliseconds permit_lifetime{150};
    /// Engines are told how urgent a turn is (`engine_priority.h`).
    bool tells_priority = false;
};

struct forward_context {
    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    net::http_client& client;
    backend_pool& pool;
    turns::turn_client& turns;
    tenants::quota_client& quotas;
    program_gate& gate;
    forward_log& log;
    forward_options options;
    /// Null while no configuration is known.
    std::shared_ptr<const active_configuration> active;
    /// Whether somebody would have told of a newer configuration; empty: always.
    std::function<bool()> hears_of_changes;
    /// Where requests may go; null: anywhere.
    const places::place_rules* places = nullptr;
    /// Whether a cold back end bears a request; null: all are sent to at once.
    slowstart::permit_source* permits = nullptr;
    backend_traffic traffic = backend_traffic();
    /// What the node holds for others; null: without a bound.
    std::shared_ptr<net::held_bytes> held = nullptr;
};

}  // namespace pearbarrow::forward
