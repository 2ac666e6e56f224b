/// TCP relay that injects network faults between two processes, for tests.
#pragma once

#include <cstdint>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net {

enum class relay_mode {
    /// Forwards all bytes after the delay.
    pass,
    /// Closes all connections, and each new connection immediately.
    cut,
    /// Buffers bytes of one direction or both, as during a network partition, and forwards them
    /// later.
    stall_to_target,
    stall_to_client,
    stall_both,
};

struct relay_settings {
    relay_mode mode = relay_mode::pass;
    /// Latency that is added in each direction.
    base::milliseconds delay{0};
};

struct relay_counters {
    std::uint64_t connections = 0;
    std::uint64_t open_connections = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_client = 0;
};

class tcp_relay {
  public:
    virtual ~tcp_relay() = default;
    virtual absl::Status start() = 0;
    virtual endpoint local_endpoint() const = 0;
    /// Applies the settings immediately, including to open connections.
    virtual void set(relay_settings settings) = 0;
    virtual relay_settings settings() const = 0;
    virtual relay_counters counters() const = 0;
};

/// Forwards connections accepted at `listen` to `target`.
std::unique_ptr<tcp_relay> make_tcp_relay(event_loop& loop, endpoint listen, endpoint target);

}  // namespace pearbarrow::net
