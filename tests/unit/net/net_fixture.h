/// Helpers for the network tests: an event loop that runs until a condition holds, and plain TCP
/// clients and servers.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"

namespace pearbarrow::net::testing {

inline const endpoint loopback{"127.0.0.1", 0};

/// Runs the event loop until `done` returns true. Returns false after the time limit, which only a
/// failing test reaches.
inline bool run_until(event_loop& loop, const std::function<bool()>& done,
                      std::chrono::milliseconds limit = std::chrono::seconds(20)) {
    const auto give_up = std::chrono::steady_clock::now() + limit;
    const auto poll = loop.every(std::chrono::milliseconds(1), [&] {
        if (done() || std::chrono::steady_clock::now() > give_up) {
            loop.stop();
        }
    });
    loop.run();
    return done();
}

/// Runs the event loop for a fixed time, for tests that expect no event.
inline void run_for(event_loop& loop, std::chrono::milliseconds time) {
    const auto timer = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

/// A plain TCP client.
class raw_client {
  public:
    explicit raw_client(const endpoint& server, int receive_buffer = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        if (receive_buffer > 0) {
            ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        connected_ =
            ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::fcntl(socket_, F_SETFL, O_NONBLOCK);
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client() { close(); }

    bool connected() const { return connected_; }
    /// Sends as many bytes as the kernel accepts and returns their number.
    std::size_t send(std::string_view bytes) const {
        const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }
    /// Appends the available bytes to `received`.
    void receive() {
        while (receive(65536)) {
        }
    }
    /// Appends up to `max_bytes` available bytes to `received`. Returns whether there were any.
    bool receive(std::size_t max_bytes) {
        std::string buffer(max_bytes, '\0');
        const auto size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            was_reset = was_reset || (size < 0 && errno == ECONNRESET);
            closed_ = closed_ || size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return false;
        }
        received.append(buffer.data(), static_cast<std::size_t>(size));
        return true;
    }
    /// Whether the server was seen to close the connection.
    bool is_closed() const { return closed_; }
    /// Receives the available bytes and returns whether the server closed the connection.
    bool closed() {
        receive();
        return closed_;
    }
    bool has(std::string_view text) {
        receive();
        return received.find(text) != std::string::npos;
    }
    void close() {
        if (socket_ >= 0) {
            ::close(std::exchange(socket_, -1));
        }
    }

    std::string received;
    bool was_reset = false;

  private:
    int socket_;
    bool connected_ = false;
    bool closed_ = false;
};

/// A plain TCP server with one connection at a time.
class raw_server {
  public:
    raw_server() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        ::listen(listener_, 16);
        ::fcntl(listener_, F_SETFL, O_NONBLOCK);
        socklen_t size = sizeof(address);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        local_ = {"127.0.0.1", ntohs(address.sin_port)};
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server() {
        close_connection();
        ::close(listener_);
    }

    const endpoint& local_endpoint() const { return local_; }
    /// Accepts a pending connection and closes the previous one. Returns false if no connection is
    /// pending.
    bool accept() {
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0) {
            return false;
        }
        close_connection();
        socket_ = socket;
        ::fcntl(socket_, F_SETFL, O_NONBLOCK);
        ++accepted;
        return true;
    }
    /// Whether the current connection has received `text`. Accepts a connection first if there is
    /// none.
    bool has(std::string_view text) {
        if (socket_ < 0 && !accept()) {
            return false;
        }
        char buffer[65536];
        for (;;) {
            const auto size = ::recv(socket_, buffer, sizeof(buffer), 0);
            if (size <= 0) {
                peer_closed = peer_closed || size == 0;
                break;
            }
            received.append(buffer, static_cast<std::size_t>(size));
        }
        return received.find(text) != std::string::npos;
    }
    void send(std::string_view bytes) const {
        [[maybe_unused]] const auto sent =
            ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void close_connection() {
        if (socket_ >= 0) {
            ::close(std::exchange(socket_, -1));
        }
        received.clear();
    }
    void reset_connection() {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close_connection();
    }

    std::string received;
    int accepted = 0;
    bool peer_closed = false;

  private:
    int listener_;
    int socket_ = -1;
    endpoint local_;
};

}  // namespace pearbarrow::net::testing
