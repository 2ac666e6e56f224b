#include "pearbarrow/net/datagram.h"

#include <utility>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

using boost::asio::ip::udp;
using error_code = boost::system::error_code;

endpoint from_udp(const udp::endpoint& value) {
    return {value.address().to_string(), value.port()};
}

/// Holds the member tables that several peers of a large fleet send at the same time while the
/// event loop is busy. With the kernel default (208 KiB), 380 nodes on one machine lost two thirds
/// of all datagrams, declared each other dead and never converged.
constexpr int receive_buffer_bytes = 2 * 1024 * 1024;

/// State that pending operations keep alive.
class socket_core final : public std::enable_shared_from_this<socket_core> {
  public:
    socket_core(boost::asio::io_context& context, datagram_socket::receive_handler handler)
        : socket_(context), handler_(std::move(handler)) {}

    absl::Status open(const endpoint& listen) {
        error_code error;
        const auto address = boost::asio::ip::make_address(listen.address, error);
        const udp::endpoint local(address, listen.port);
        if (!error) {
            socket_.open(local.protocol(), error);
        }
        if (!error) {
            socket_.bind(local, error);
        }
        if (!error) {
            socket_.non_blocking(true, error);
        }
        if (error) {
            return base::make_error(
                absl::StatusCode::kUnavailable, error.message(),
                {.step = "bind_datagram", .peer = to_string(listen), .reason = "bind_failed"});
        }
        // The kernel limits the size to net.core.rmem_max. A smaller buffer is not an error.
        socket_.set_option(udp::socket::receive_buffer_size(receive_buffer_bytes), error);
        receive();
        return absl::OkStatus();
    }

    void close() {
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
    }

    endpoint local() const {
        error_code error;
        const auto local = socket_.local_endpoint(error);
        return error ? endpoint{} : from_udp(local);
    }

    void send(const endpoint& to, const std::string& payload) {
        error_code error;
        const auto address = boost::asio::ip::make_address(to.address, error);
        if (error || closed_ || payload.size() > max_datagram_bytes) {
            return;
        }
        const std::size_t sent = socket_.send_to(boost::asio::buffer(payload),
                                                 udp::endpoint(address, to.port), 0, error);
        bytes_sent_ += error ? 0 : sent;
    }

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

  private:
    void receive() {
        socket_.async_receive_from(
            boost::asio::buffer(buffer_), sender_,
            [self = shared_from_this()](const error_code& error, std::size_t size) {
                self->received(error, size);
            });
    }

    void received(const error_code& error, std::size_t size) {
        if (closed_ || error == boost::asio::error::operation_aborted) {
            return;
        }
        // Other errors result from earlier sends (ICMP port unreachable). The kernel truncates a
        // datagram that exceeds the largest size sent here, and it is dropped.
        if (!error && size <= max_datagram_bytes) {
            bytes_received_ += size;
            handler_(from_udp(sender_), std::string_view(buffer_.data(), size));
        }
        if (!closed_) {
            receive();
        }
    }

    udp::socket socket_;
    datagram_socket::receive_handler handler_;
    std::array<char, max_datagram_bytes + 1> buffer_{};
    udp::endpoint sender_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool closed_ = false;
};

class udp_datagram_socket final : public datagram_socket {
  public:
    udp_datagram_socket(event_loop& loop, endpoint listen, receive_handler handler)
        : listen_(std::move(listen)),
          core_(std::make_shared<socket_core>(loop.context(), std::move(handler))) {}
    udp_datagram_socket(const udp_datagram_socket&) = delete;
    udp_datagram_socket& operator=(const udp_datagram_socket&) = delete;
    ~udp_datagram_socket() override { core_->close(); }

    absl::Status start() override { return core_->open(listen_); }
    endpoint local_endpoint() const override { return core_->local(); }
    void send(const endpoint& to, std::string payload) override { core_->send(to, payload); }
    std::uint64_t bytes_sent() const override { return core_->bytes_sent(); }
    std::uint64_t bytes_received() const override { return core_->bytes_received(); }

  private:
    endpoint listen_;
    std::shared_ptr<socket_core> core_;
};

}  // namespace

std::unique_ptr<datagram_socket> make_datagram_socket(event_loop& loop, endpoint listen,
                                                      datagram_socket::receive_handler handler) {
    return std::make_unique<udp_datagram_socket>(loop, std::move(listen), std::move(handler));
}

}  // namespace pearbarrow::net
