/// UDP datagrams for membership probes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net {

/// Largest payload that is sent. It fits into an Ethernet frame with its headers.
inline constexpr std::size_t max_datagram_bytes = 1400;

class datagram_socket {
  public:
    using receive_handler = std::function<void(const endpoint& from, std::string_view payload)>;

    virtual ~datagram_socket() = default;
    virtual absl::Status start() = 0;
    virtual endpoint local_endpoint() const = 0;
    /// Sends without blocking. A datagram that the kernel does not accept is lost.
    virtual void send(const endpoint& to, std::string payload) = 0;
    virtual std::uint64_t bytes_sent() const = 0;
    virtual std::uint64_t bytes_received() const = 0;
};

std::unique_ptr<datagram_socket> make_datagram_socket(event_loop& loop, endpoint listen,
                                                      datagram_socket::receive_handler handler);

}  // namespace pearbarrow::net
