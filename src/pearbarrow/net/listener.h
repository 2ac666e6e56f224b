/// Accepts TCP connections. Internal to `net`.
#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "pearbarrow/net/endpoint.h"

namespace pearbarrow::net {

class listener {
  public:
    using socket_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    explicit listener(boost::asio::io_context& context);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Fails with reason `bind_failed` and the address as the peer.
    absl::Status start(const endpoint& listen, socket_handler handler);
    /// Closes immediately. Connections that were not accepted yet are reset.
    void stop();
    /// Establishes no more connections, accepts the established ones, and then closes.
    void drain();
    bool is_open() const;
    endpoint local_endpoint() const;

  private:
    struct core;
    std::shared_ptr<core> core_;
};

}  // namespace pearbarrow::net
