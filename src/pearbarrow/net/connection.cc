#include "pearbarrow/net/connection.h"

#include <utility>

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/ssl/stream.hpp>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/tls_context.h"

namespace pearbarrow::net {
namespace {

namespace ssl = boost::asio::ssl;

constexpr std::size_t max_gathered_buffers = 64;
constexpr std::size_t max_gathered_bytes = std::size_t{1024} * 1024;
/// Smaller writes are merged before TLS, which accepts one buffer at a time.
constexpr std::size_t tls_merge_bytes = std::size_t{16} * 1024;
/// Time for which a closing connection waits for the peer to acknowledge more of the last bytes.
constexpr base::milliseconds linger_time{1'000};
/// The same for a peer that still sends. It may read only after it has sent its whole request.
constexpr int max_linger_times_while_sending = 5;
/// A connection with a smaller queue is never cut off because of memory: closing a thousand of them
/// would free only 16 MB.
constexpr std::size_t min_cut_off_bytes = std::size_t{16} * 1024;

template <int Level, int Name>
using integer_option = boost::asio::detail::socket_option::integer<Level, Name>;

/// Disables Nagle's algorithm, and configures the keep-alive probes of the kernel to detect a
/// vanished peer within about 15 s, also on an idle connection.
void set_socket_options(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPIDLE>(6), ignored);
    socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPINTVL>(3), ignored);
    socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPCNT>(3), ignored);
}

}  // namespace

struct connection::tls_layer {
    tls_layer(tcp::socket& socket, ssl::context& context) : stream(socket, context) {}
    ssl::stream<tcp::socket&> stream;
};

connection::connection(boost::asio::io_context& context, tcp::socket socket,
                       std::shared_ptr<tls_context> tls, connection_options options,
                       std::shared_ptr<traffic_counters> counters)
    : context_(context),
      socket_(std::move(socket)),
      tls_context_(std::move(tls)),
      options_(std::move(options)),
      counters_(counters ? std::move(counters) : std::make_shared<traffic_counters>()),
      write_deadline_(context, [this] { on_write_deadline(); }) {
    if (tls_context_ != nullptr) {
        tls_ = std::make_unique<tls_layer>(socket_, tls_context_->context);
    }
}

connection::~connection() {
    set_pending(0);
    // The destructor of the socket would disable a reset.
    error_code ignored;
    socket_.close(ignored);
}

void connection::set_pending(std::size_t bytes) {
    const std::size_t before = std::exchange(pending_, bytes);
    if (options_.buffered == nullptr) {
        return;
    }
    options_.buffered->remove(options_.kind, before);
    options_.buffered->add(options_.kind, bytes);
    if (bytes >= min_cut_off_bytes && before < min_cut_off_bytes) {
        options_.buffered->add_owner(*this);
    } else if (bytes < min_cut_off_bytes && before >= min_cut_off_bytes) {
        options_.buffered->remove_owner(*this);
    }
}

void connection::cut_off() {
    close_with_error(base::make_error(absl::StatusCode::kResourceExhausted,
                                      "the node holds as many bytes as it may",
                                      {.step = "write",
                                       .peer = peer_,
                                       .reason = "memory_bound",
                                       .was_executed = base::executed::unknown}));
}

void connection::connect(const endpoint& server, ready_handler ready) {
    error_code error;
    const auto address = boost::asio::ip::make_address(server.address, error);
    peer_ = to_string(server);
    if (tls_ != nullptr && options_.verify_address) {
        tls_->stream.set_verify_callback(ssl::host_name_verification(server.address), error);
    }
    auto connected = [self = shared_from_this(),
                      ready = std::move(ready)](const error_code& failed) {
        if (!self->open_) {
            return;
        }
        if (failed) {
            const auto status = base::make_error(
                absl::StatusCode::kUnavailable, failed.message(),
                {.step = "connect", .peer = self->peer_, .reason = "connect_failed"});
            self->close();
            ready(status);
            return;
        }
        set_socket_options(self->socket_);
        self->handshake(false, ready);
    };
    if (error) {
        boost::asio::post(context_,
                          [connected = std::move(connected), error] { connected(error); });
        return;
    }
    socket_.async_connect(tcp::endpoint(address, server.port), std::move(connected));
}

void connection::accept(ready_handler ready) {
    record_peer_address();
    set_socket_options(socket_);
    handshake(true, std::move(ready));
}

base::microseconds connection::time_since_first_bytes() const {
    if (!first_bytes_at_.has_value()) {
        return base::microseconds{0};
    }
    return std::chrono::duration_cast<base::microseconds>(std::chrono::steady_clock::now() -
                                                          *first_bytes_at_);
}

void connection::record_peer_address() {
    error_code error;
    const auto remote = socket_.remote_endpoint(error);
    peer_ =
        error ? std::string() : to_string(endpoint{remote.address().to_string(), remote.port()});
}

void connection::handshake(bool as_server, ready_handler ready) {
    if (tls_ == nullptr) {
        ready(absl::OkStatus());
        return;
    }
    const auto type = as_server ? ssl::stream_base::server : ssl::stream_base::client;
    tls_->stream.async_handshake(type, [self = shared_from_this(),
                                        ready = std::move(ready)](const error_code& error) {
        if (!self->open_) {
            return;
        }
        if (error) {
            const auto status = base::make_error(
                absl::StatusCode::kUnavailable, error.message(),
                {.step = "tls_handshake", .peer = self->peer_, .reason = "tls_handshake_failed"});
            self->close();
            ready(status);
            return;
        }
        ready(absl::OkStatus());
    });
}

void connection::attach(std::shared_ptr<connection_user> user) {
    if (!is_open()) {
        return;
    }
    user_ = std::move(user);
    read_buffer_.resize(options_.read_buffer_bytes);
    read_next();
}

void connection::resume_reading() {
    paused_ = false;
    read_next();
}

void connection::read_next() {
    if (!open_ || paused_ || reading_) {
        return;
    }
    reading_ = true;
    auto done = [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->on_read(error, size);
    };
    if (tls_ != nullptr) {
        tls_->stream.async_read_some(boost::asio::buffer(read_buffer_), std::move(done));
    } else {
        socket_.async_read_some(boost::asio::buffer(read_buffer_), std::move(done));
    }
}

void connection::on_read(const error_code& error, std::size_t size) {
    reading_ = false;
    if (!open_) {
        return;
    }
    if (error) {
        if (closing_ && !lingering_) {
            return;  // The last bytes are still being written.
        }
        close_with_error(connection_error(error, "read"));
        return;
    }
    counters_->received += size;
    received_while_lingering_ = lingering_;
    if (!first_bytes_at_.has_value()) {
        first_bytes_at_ = std::chrono::steady_clock::now();
    }
    // The copy keeps the user alive if it calls `close`.
    if (const auto user = user_; user != nullptr) {
        user->on_data(std::string_view(read_buffer_.data(), size));
    }
    read_next();
}

absl::Status connection::connection_error(const error_code& error, std::string_view step) const {
    const bool orderly = error == boost::asio::error::eof;
    return base::make_error(
        orderly ? absl::StatusCode::kOutOfRange : absl::StatusCode::kUnavailable, error.message(),
        {.step = std::string(step),
         .peer = peer_,
         .reason = orderly ? "connection_closed" : "connection_lost",
         .was_executed = base::executed::unknown});
}

void connection::write(std::string bytes) {
    if (!is_open() || bytes.empty()) {
        return;
    }
    if (pending_ == 0) {
        progressed_at_ = now();
    }
    set_pending(pending_ + bytes.size());
    queued_position_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (pending_ > options_.max_pending_bytes) {
        const auto status =
            base::make_error(absl::StatusCode::kResourceExhausted, "too many bytes wait to be sent",
                             {.step = "write",
                              .peer = peer_,
                              .reason = "slow_reader",
                              .was_executed = base::executed::unknown});
        // The error is reported from the event loop because the user may be inside one of its own
        // calls.
        auto user = user_;
        close_because("slow_reader");
        boost::asio::post(context_, [user = std::move(user), status] {
            if (user != nullptr) {
                user->on_lost(status);
            }
        });
        return;
    }
    if (options_.buffered != nullptr && options_.buffered->is_over_bound()) {
        // Posted to the event loop because the connection that is cut off may be inside one of its
        // own calls.
        boost::asio::post(context_, [buffered = options_.buffered] { buffered->enforce(); });
    }
    schedule_flush();
}

void connection::schedule_flush() {
    if (writing_ || flush_scheduled_) {
        return;
    }
    flush_scheduled_ = true;
    boost::asio::post(context_, [self = shared_from_this()] {
        self->flush_scheduled_ = false;
        self->flush();
    });
}

void connection::merge_small_writes() {
    std::string& front = queue_.front();
    while (queue_.size() > 1 &&
           front.size() + queue_[1].size() <= front_offset_ + tls_merge_bytes) {
        front.append(queue_[1]);
        queue_.erase(queue_.begin() + 1);
    }
}

void connection::flush() {
    if (!open_ || writing_) {
        return;
    }
    if (queue_.empty()) {
        if (closing_ && resets_after_writes_) {
            close();
        } else if (closing_) {
            end_gracefully();
        }
        return;
    }
    writing_ = true;
    unacknowledged_at_check_.reset();
    write_deadline_.set_after(options_.write_timeout / 2);
    auto done = [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->on_written(error, size);
    };
    if (tls_ != nullptr) {
        merge_small_writes();
        const auto part = boost::asio::buffer(queue_.front()) + front_offset_;
        submitted_position_ = written_position_ + part.size();
        tls_->stream.async_write_some(part, std::move(done));
        return;
    }
    std::vector<boost::asio::const_buffer> parts;
    std::size_t total = 0;
    for (const std::string& bytes : queue_) {
        if (parts.size() == max_gathered_buffers || total >= max_gathered_bytes) {
            break;
        }
        parts.push_back(boost::asio::buffer(bytes) + (parts.empty() ? front_offset_ : 0));
        total += parts.back().size();
    }
    submitted_position_ = written_position_ + total;
    socket_.async_write_some(parts, std::move(done));
}

void connection::on_written(const error_code& error, std::size_t size) {
    writing_ = false;
    if (!open_) {
        queue_.clear();
        return;
    }
    if (error) {
        close_with_error(connection_error(error, "write"));
        return;
    }
    counters_->sent += size;
    written_position_ += size;
    progressed_at_ = now();
    set_pending(pending_ - size);
    front_offset_ += size;
    while (!queue_.empty() && front_offset_ >= queue_.front().size()) {
        front_offset_ -= queue_.front().size();
        queue_.pop_front();
    }
    if (queue_.empty()) {
        write_deadline_.clear();
    }
    flush();
    // The copy keeps the user alive if it calls `close`.
    if (const auto user = user_; user != nullptr) {
        user->on_progress();
    }
}

void connection::post(std::function<void()> task) {
    boost::asio::post(context_, std::move(task));
}

void connection::close_after_writes() {
    if (!is_open()) {
        return;
    }
    closing_ = true;
    release_user();
    schedule_flush();
}

void connection::reset_after_writes() {
    resets_after_writes_ = true;
    set_reset_on_close(true);
    close_after_writes();
}

void connection::set_reset_on_close(bool is_enabled) {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(is_enabled, 0), ignored);
}

bool connection::has_unread_bytes() {
    error_code error;
    return open_ && socket_.available(error) > 0;
}

void connection::on_write_deadline() {
    // The kernel accepts more only when a good part of its buffer is free, so the peer may read
    // for longer than the timeout before a write succeeds.
    const std::size_t left = unacknowledged_bytes();
    const bool is_read = !unacknowledged_at_check_.has_value() || left < *unacknowledged_at_check_;
    const bool is_sending = std::exchange(received_while_lingering_, false) &&
                            ++linger_times_while_sending_ < max_linger_times_while_sending;
    if (is_read || is_sending) {
        unacknowledged_at_check_ = left;
        write_deadline_.set_after(lingering_ ? linger_time : options_.write_timeout / 2);
        return;
    }
    close_with_error(base::make_error(absl::StatusCode::kUnavailable,
                                      "the other side takes no bytes",
                                      {.step = "write",
                                       .peer = peer_,
                                       .reason = "slow_reader",
                                       .was_executed = base::executed::unknown}));
}

void connection::end_gracefully() {
    set_reset_on_close(false);
    // Received bytes are read and discarded: closing a socket with unread bytes would make the
    // kernel discard the last response.
    lingering_ = true;
    unacknowledged_at_check_ = unacknowledged_bytes();
    write_deadline_.set_after(linger_time);
    if (tls_ != nullptr) {
        tls_->stream.async_shutdown(
            [self = shared_from_this()](const error_code& /*error*/) { self->close(); });
        return;
    }
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (read_buffer_.empty()) {
        read_buffer_.resize(options_.read_buffer_bytes);
    }
    resume_reading();
}

std::size_t connection::unacknowledged_bytes() {
    int bytes = 0;
    const bool is_known = ::ioctl(socket_.native_handle(), TIOCOUTQ, &bytes) == 0;
    return is_known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void connection::close() {
    close_because({});
}

void connection::close_because(std::string reason) {
    if (!open_) {
        return;
    }
    open_ = false;
    if (on_ended_) {
        closed_connection end{.unsent_bytes = pending_,
                              .unacknowledged_bytes = unacknowledged_bytes(),
                              .reason = std::move(reason)};
        boost::asio::post(context_, [callback = std::exchange(on_ended_, nullptr),
                                     end = std::move(end)] { callback(end); });
    }
    write_deadline_.clear();
    error_code ignored;
    socket_.close(ignored);
    release_user();
    // A pending operation still refers to the bytes that it writes. They are freed with the
    // connection.
    if (!writing_) {
        queue_.clear();
    }
    set_pending(0);
}

void connection::release_user() {
    if (user_ != nullptr) {
        boost::asio::post(context_, [user = std::move(user_)] {});
        user_ = nullptr;
    }
}

void connection::close_with_error(const absl::Status& status) {
    if (!open_) {
        return;
    }
    const auto self = shared_from_this();
    const auto user = user_;
    close_because(base::details_of(status).reason);
    if (user != nullptr) {
        user->on_lost(status);
    }
}

}  // namespace pearbarrow::net
