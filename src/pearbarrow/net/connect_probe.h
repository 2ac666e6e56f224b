/// Tests whether a process listens at an address.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net {

enum class probe_result {
    /// A process accepted the connection.
    accepted,
    /// The machine replied that no process listens.
    refused,
    /// There was no reply in time, or the address cannot be reached.
    no_reply,
};

/// A probe in progress. Destroying it cancels it without running its callback.
class connect_probe {
  public:
    virtual ~connect_probe() = default;
};

/// Opens a connection and closes it at once. `done` runs once, never inside this call, and must not
/// destroy the probe.
[[nodiscard]] std::unique_ptr<connect_probe> probe_connection(
    event_loop& loop, const endpoint& server, base::milliseconds timeout,
    std::function<void(probe_result)> done);

}  // namespace pearbarrow::net
