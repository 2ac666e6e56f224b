/// Control of a fault-injecting TCP relay over HTTP.
#pragma once

#include <memory>

#include <absl/status/statusor.h>

#include "pearbarrow/net/http.h"
#include "pearbarrow/net/tcp_relay.h"

namespace pearbarrow::emulator {

/// Parses `{"mode": "pass|cut|stall_to_target|stall_to_client|stall_both", "delay_ms": N}`.
absl::StatusOr<net::relay_settings> parse_relay_settings(std::string_view text);

class relay_server {
  public:
    /// `relay` must outlive the server.
    explicit relay_server(net::tcp_relay& relay) : relay_(relay) {}

    /// `POST /admin/faults` sets the relay's mode, GET shows it and the counters.
    void handle(const std::shared_ptr<net::http_exchange>& exchange);

  private:
    net::tcp_relay& relay_;
};

}  // namespace pearbarrow::emulator
