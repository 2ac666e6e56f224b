/// What every part of a node is built on.
#pragma once

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/peer_rpc.h"
#include "pearbarrow/settings/node_settings.h"

namespace pearbarrow::node {

/// References to the node's shared objects; all of them outlive every part.
struct node_context {
    net::event_loop& loop;
    const base::clock& clock;
    base::random_source& random;
    net::peer_rpc& rpc;
    net::http_client& http;
    base::metrics_registry& metrics;
    const settings::node_settings& settings;

    const base::node_id& self() const { return settings.node; }
    base::instant now() const { return clock.now(); }
};

}  // namespace pearbarrow::node
