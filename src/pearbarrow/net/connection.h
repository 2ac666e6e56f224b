/// One TCP connection, plain or TLS, with a bounded write queue. Internal to `net`.
#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "pearbarrow/net/deadline.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/held_bytes.h"
#include "pearbarrow/net/tls.h"

namespace pearbarrow::net {

/// What a connection reports to. Kept alive by the connection while that is open.
class connection_user {
  public:
    virtual ~connection_user() = default;
    virtual void on_data(std::string_view bytes) = 0;
    /// The other side closed, the connection broke, or a limit cut it off. Not called after
    /// `close` or `close_after_writes`. Code kOutOfRange means an orderly end by the other side.
    virtual void on_lost(const absl::Status& status) = 0;
    /// The other side has taken some of what was queued.
    virtual void on_progress() {}
};

struct connection_options {
    std::size_t max_pending_bytes = std::size_t{64} * 1024 * 1024;
    base::milliseconds write_timeout{30'000};
    std::size_t read_buffer_bytes = std::size_t{8} * 1024;
    /// Whether a TLS server's certificate must name the IP number connected to.
    bool verify_address = true;
    /// Where queued bytes are counted, and as what; null: nowhere.
    std::shared_ptr<held_bytes> held = nullptr;
    holding held_as = holding::answers;
};

/// Total traffic of several connections.
struct traffic_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

class connection final : public std::enable_shared_from_this<connection>,
                         private held_bytes::holder {
  public:
    using tcp = boost::asio::ip::tcp;
    using ready_handler = std::function<void(const absl::Status&)>;

    /// A connection over `socket`, which `connect` opens when it is not open yet. Without `tls`
    /// the bytes go as they are.
    connection(boost::asio::io_context& context, tcp::socket socket,
               std::shared_ptr<tls_context> tls, connection_options options,
               std::shared_ptr<traffic_counters> counters = nullptr);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects, and does the TLS handshake. `ready` runs once, unless closed before. An error's
    /// reason is `connect_failed` or `tls_handshake_failed`.
    void connect(const endpoint& server, ready_handler ready);
    /// Server side: the TLS handshake if there is one.
    void accept(ready_handler ready);

    /// Sets who gets the data, and starts reading the first time.
    void attach(std::shared_ptr<connection_user> user);
    void pause_reading() { paused_ = true; }
    void resume_reading();

    /// Queues bytes; all of one loop turn go out together. Ignored once closed. Passing the bound
    /// cuts the connection off.
    void write(std::string bytes);
    std::size_t pending_bytes() const { return pending_; }
    /// Position in the stream at which the next queued byte will stand.
    std::uint64_t queued_position() const { return queued_position_; }
    /// Whether any byte from `position` on may have been given to the kernel.
    bool may_have_sent(std::uint64_t position) const { return submitted_position_ > position; }

    /// Runs `task` on the loop, after the present callback.
    void post(std::function<void()> task);

    /// Closes at once, without a callback.
    void close();
    /// Ends the user's part; closes when the queue is written and the other side has seen it.
    void close_after_writes();
    bool is_open() const { return open_ && !closing_; }
    /// The other side's address.
    std::string peer() const { return peer_; }

  private:
    struct tls_layer;
    using error_code = boost::system::error_code;

    // As one who holds bytes.
    std::size_t held() const override { return pending_; }
    base::instant progressed_at() const override { return progressed_at_; }
    void cut_off() override;
    /// Notes how many bytes are queued, here and in the ledger.
    void set_pending(std::size_t bytes);

    void remember_peer();
    void handshake(bool as_server, ready_handler ready);
    void read_next();
    void on_read(const error_code& error, std::size_t size);
    void schedule_flush();
    void flush();
    void on_written(const error_code& error, std::size_t size);
    void merge_small_writes();
    void end_gracefully();
    void lose(const absl::Status& status);
    void release_user();
    absl::Status broken(const error_code& error, std::string_view step) const;

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
    /// When the other side last took bytes, or the first of those that wait were queued.
    base::instant progressed_at_{};
    std::uint64_t queued_position_ = 0;
    std::uint64_t written_position_ = 0;
    std::uint64_t submitted_position_ = 0;
    deadline give_up_;
    std::string peer_;
    bool open_ = true;
    bool closing_ = false;
    bool lingering_ = false;
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool flush_scheduled_ = false;
};

}  // namespace pearbarrow::net
