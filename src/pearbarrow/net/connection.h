/// One plain or TLS TCP connection with a bounded write queue. Internal to `net`.
#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/net/buffered_bytes.h"
#include "pearbarrow/net/deadline.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/tls.h"

namespace pearbarrow::net {

/// Receives the events of a connection. An open connection keeps its user alive.
class connection_user {
  public:
    virtual ~connection_user() = default;
    virtual void on_data(std::string_view bytes) = 0;
    /// Runs when the peer closes, the connection breaks, or a limit ends it. Does not run after
    /// `close` or `close_after_writes`. Code kOutOfRange means that the peer closed the connection
    /// in an orderly way.
    virtual void on_lost(const absl::Status& status) = 0;
    /// Runs after the kernel accepts queued bytes.
    virtual void on_progress() {}
};

/// State of the sent bytes when a connection ends.
struct closed_connection {
    /// Queued bytes that the kernel had not accepted.
    std::size_t unsent_bytes = 0;
    /// Bytes that the kernel had accepted and the peer had not acknowledged.
    std::size_t unacknowledged_bytes = 0;
    /// Why the connection ended. Empty if the user closed it.
    std::string reason;
};

struct connection_options {
    std::size_t max_pending_bytes = std::size_t{64} * 1024 * 1024;
    base::milliseconds write_timeout{30'000};
    std::size_t read_buffer_bytes = std::size_t{8} * 1024;
    /// Whether the certificate of a TLS server must contain the IP address of the connection.
    bool verify_address = true;
    /// Counts the queued bytes; null disables the accounting.
    std::shared_ptr<buffered_bytes> buffered = nullptr;
    buffer_kind kind = buffer_kind::responses;
};

/// Total traffic of several connections.
struct traffic_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

class connection final : public std::enable_shared_from_this<connection>,
                         private buffered_bytes::buffer_owner {
  public:
    using tcp = boost::asio::ip::tcp;
    using ready_handler = std::function<void(const absl::Status&)>;

    /// Wraps `socket`; `connect` opens the socket if it is closed. A null `tls` selects plain TCP.
    connection(boost::asio::io_context& context, tcp::socket socket,
               std::shared_ptr<tls_context> tls, connection_options options,
               std::shared_ptr<traffic_counters> counters = nullptr);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects and performs the TLS handshake. `ready` runs once, unless the connection is closed
    /// first. The reason of an error is `connect_failed` or `tls_handshake_failed`.
    void connect(const endpoint& server, ready_handler ready);
    /// Performs the server side of the TLS handshake, if TLS is enabled.
    void accept(ready_handler ready);

    /// Sets the receiver of the data. The first call starts reading.
    void attach(std::shared_ptr<connection_user> user);
    void pause_reading() { paused_ = true; }
    void resume_reading();

    /// Queues bytes. All writes of one event loop iteration are sent together. A closed connection
    /// ignores the call; exceeding `max_pending_bytes` closes the connection.
    void write(std::string bytes);
    std::size_t pending_bytes() const { return pending_; }
    /// Number of bytes that the kernel has accepted and the peer has not acknowledged; 0 if the
    /// system does not tell.
    std::size_t unacknowledged_bytes();
    /// Whether the kernel has bytes that were not read yet.
    bool has_unread_bytes();
    /// Stream position of the next byte to be queued.
    std::uint64_t queued_position() const { return queued_position_; }
    /// Whether a byte at or after `position` may have reached the kernel.
    bool may_have_sent(std::uint64_t position) const { return submitted_position_ > position; }

    /// Sets a callback that runs once, from the event loop, after the connection has ended. Bytes
    /// that the kernel has accepted by then are still delivered if the peer takes them.
    void on_ended(std::function<void(const closed_connection&)> callback) {
        on_ended_ = std::move(callback);
    }

    /// Runs `task` on the event loop after the current callback.
    void post(std::function<void()> task);

    /// Closes the connection immediately, without a callback.
    void close();
    /// Detaches the user, and closes the connection once the queue is written and the peer has
    /// acknowledged the end, or has acknowledged nothing for some time.
    void close_after_writes();
    /// Detaches the user, and resets the connection once the queue is written. The peer may lose
    /// bytes that it has not received by then.
    void reset_after_writes();
    /// From now on, every end of the connection other than `close_after_writes` is a reset,
    /// including the end of this process.
    void enable_reset_on_close() { set_reset_on_close(true); }
    bool is_open() const { return open_ && !closing_; }
    /// Address of the peer.
    std::string peer() const { return peer_; }
    /// Returns the time since the first bytes were received; 0 if there are none yet.
    base::microseconds time_since_first_bytes() const;

  private:
    struct tls_layer;
    using error_code = boost::system::error_code;

    // Implementation of the buffer owner interface.
    std::size_t buffered() const override { return pending_; }
    base::instant progressed_at() const override { return progressed_at_; }
    void cut_off() override;
    /// Updates the number of queued bytes and the shared accounting.
    void set_pending(std::size_t bytes);

    void record_peer_address();
    void handshake(bool as_server, ready_handler ready);
    void read_next();
    void on_read(const error_code& error, std::size_t size);
    void schedule_flush();
    void flush();
    void on_written(const error_code& error, std::size_t size);
    void merge_small_writes();
    void set_reset_on_close(bool is_enabled);
    void end_gracefully();
    void on_write_deadline();
    void close_with_error(const absl::Status& status);
    void close_because(std::string reason);
    void release_user();
    absl::Status connection_error(const error_code& error, std::string_view step) const;

    boost::asio::io_context& context_;
    tcp::socket socket_;
    std::shared_ptr<tls_context> tls_context_;
    std::unique_ptr<tls_layer> tls_;
    connection_options options_;
    std::shared_ptr<traffic_counters> counters_;
    std::shared_ptr<connection_user> user_;
    std::vector<char> read_buffer_;
    std::deque<std::string> queue_;
    std::size_t front_offset_ = 0;
    std::size_t pending_ = 0;
    /// Time at which the peer last accepted bytes, or at which the oldest pending bytes were
    /// queued.
    base::instant progressed_at_{};
    std::uint64_t queued_position_ = 0;
    std::uint64_t written_position_ = 0;
    std::uint64_t submitted_position_ = 0;
    deadline write_deadline_;
    std::function<void(const closed_connection&)> on_ended_;
    std::string peer_;
    std::optional<std::chrono::steady_clock::time_point> first_bytes_at_;
    bool open_ = true;
    bool closing_ = false;
    bool lingering_ = false;
    /// Unacknowledged bytes when the write deadline last expired; empty before.
    std::optional<std::size_t> unacknowledged_at_check_;
    bool received_while_lingering_ = false;
    int linger_times_while_sending_ = 0;
    bool resets_after_writes_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool flush_scheduled_ = false;
};

}  // namespace pearbarrow::net
