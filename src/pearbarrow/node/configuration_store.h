/// Where the configuration log is kept: in the platform's service, or, for a node that has none, in
/// the node's own data folder.
#pragma once

#include <functional>

#include "pearbarrow/config/log_core.h"

namespace pearbarrow::node {

/// Takes the answers, as events for the log's core; runs from the event loop, never inside a call.
using configuration_event_sink = std::function<void(config::log_event)>;

/// Carries out those actions of `config::log_core` that concern the store.
class configuration_store {
  public:
    virtual ~configuration_store() = default;
    /// Call once, before anything else.
    virtual void connect(configuration_event_sink sink) = 0;
    virtual void carry_out(const config::create_entry& action) = 0;
    virtual void carry_out(const config::read_log& action) = 0;
    virtual void carry_out(const config::watch_log& action) = 0;
    virtual void carry_out(const config::cancel_watch& action) = 0;
    virtual void carry_out(const config::write_snapshot& action) = 0;
};

}  // namespace pearbarrow::node
