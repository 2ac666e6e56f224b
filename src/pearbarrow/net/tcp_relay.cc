#include "pearbarrow/net/tcp_relay.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/net/deadline.h"
#include "pearbarrow/net/listener.h"

namespace pearbarrow::net {
namespace {

using boost::asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t read_bytes = std::size_t{64} * 1024;
/// Limit for the buffered bytes of one direction. The relay stops reading above it.
constexpr std::size_t max_buffered_bytes = std::size_t{4} * 1024 * 1024;

struct relay_state {
    relay_settings settings;
    relay_counters counters;

    bool stalls_to_target() const {
        return settings.mode == relay_mode::stall_to_target ||
               settings.mode == relay_mode::stall_both;
    }
    bool stalls_to_client() const {
        return settings.mode == relay_mode::stall_to_client ||
               settings.mode == relay_mode::stall_both;
    }
};

/// One direction of a relayed connection: reads chunks, delays each of them, and writes them.
class relay_direction final : public std::enable_shared_from_this<relay_direction> {
  public:
    struct hooks {
        std::function<bool()> stalled;
        std::function<base::milliseconds()> delay;
        std::function<void(std::size_t)> count;
        std::function<void()> broken;
    };

    relay_direction(tcp::socket& from, tcp::socket& to, hooks hooks)
        : from_(from),
          to_(to),
          hooks_(std::move(hooks)),
          timer_(from.get_executor()),
          buffer_(read_bytes) {}

    void read() {
        if (reading_ || ended_ || buffered_bytes_ > max_buffered_bytes) {
            return;
        }
        reading_ = true;
        from_.async_read_some(
            boost::asio::buffer(buffer_),
            [self = shared_from_this()](const error_code& error, std::size_t size) {
                self->take(error, size);
            });
    }

    /// Writes the next chunk if it is due and the direction is not stalled.
    void write() {
        if (writing_ || broken_ || hooks_.stalled()) {
            return;
        }
        if (chunks_.empty()) {
            end();
            return;
        }
        const base::microseconds wait = chunks_.front().due - now();
        if (wait.count() > 0) {
            wait_for(wait);
            return;
        }
        writing_ = true;
        boost::asio::async_write(to_, boost::asio::buffer(chunks_.front().bytes),
                                 [self = shared_from_this()](const error_code& error, std::size_t) {
                                     self->written(error);
                                 });
    }

    void close() {
        broken_ = true;
        timer_.cancel();
    }

  private:
    struct chunk {
        std::string bytes;
        base::instant due;
    };

    void take(const error_code& error, std::size_t size) {
        reading_ = false;
        if (broken_) {
            return;
        }
        if (error && error != boost::asio::error::eof) {
            hooks_.broken();
            return;
        }
        if (error) {
            ended_ = true;
        } else {
            hooks_.count(size);
            buffered_bytes_ += size;
            chunks_.push_back({std::string(buffer_.data(), size), now() + hooks_.delay()});
        }
        write();
        read();
    }

    void written(const error_code& error) {
        writing_ = false;
        if (broken_) {
            return;
        }
        if (error) {
            hooks_.broken();
            return;
        }
        buffered_bytes_ -= chunks_.front().bytes.size();
        chunks_.pop_front();
        read();
        write();
    }

    void wait_for(base::microseconds delay) {
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this()](const error_code& error) {
            if (!error && !self->broken_) {
                self->write();
            }
        });
    }

    /// Forwards an orderly close.
    void end() {
        if (ended_ && !end_passed_) {
            end_passed_ = true;
            error_code ignored;
            to_.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    tcp::socket& from_;
    tcp::socket& to_;
    hooks hooks_;
    boost::asio::steady_timer timer_;
    std::vector<char> buffer_;
    std::deque<chunk> chunks_;
    std::size_t buffered_bytes_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool ended_ = false;
    bool end_passed_ = false;
    bool broken_ = false;
};

/// The connection of a client and the connection to the target.
class relay_link final : public std::enable_shared_from_this<relay_link> {
  public:
    using closed_handler = std::function<void(const std::shared_ptr<relay_link>&)>;

    relay_link(tcp::socket client, std::shared_ptr<relay_state> state, closed_handler on_closed)
        : client_(std::move(client)),
          target_(client_.get_executor()),
          state_(std::move(state)),
          on_closed_(std::move(on_closed)) {}

    void start(const tcp::endpoint& target) {
        target_.async_connect(target, [self = shared_from_this()](const error_code& error) {
            error ? self->close() : self->connected();
        });
    }

    void settings_changed() {
        if (to_target_ != nullptr) {
            to_target_->write();
            to_client_->write();
        }
    }

    void close() {
        if (closed_) {
            return;
        }
        closed_ = true;
        error_code ignored;
        client_.close(ignored);
        target_.close(ignored);
        if (to_target_ != nullptr) {
            to_target_->close();
            to_client_->close();
        }
        on_closed_(shared_from_this());
    }

  private:
    void connected() {
        if (closed_) {
            return;
        }
        error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        target_.set_option(tcp::no_delay(true), ignored);
        const auto self = shared_from_this();
        const auto delay = [self] { return self->state_->settings.delay; };
        const auto broken = [self] { self->close(); };
        to_target_ = std::make_shared<relay_direction>(
            client_, target_,
            relay_direction::hooks{
                [self] { return self->state_->stalls_to_target(); }, delay,
                [self](std::size_t size) { self->state_->counters.bytes_to_target += size; },
                broken});
        to_client_ = std::make_shared<relay_direction>(
            target_, client_,
            relay_direction::hooks{
                [self] { return self->state_->stalls_to_client(); }, delay,
                [self](std::size_t size) { self->state_->counters.bytes_to_client += size; },
                broken});
        to_target_->read();
        to_client_->read();
    }

    tcp::socket client_;
    tcp::socket target_;
    std::shared_ptr<relay_state> state_;
    closed_handler on_closed_;
    std::shared_ptr<relay_direction> to_target_;
    std::shared_ptr<relay_direction> to_client_;
    bool closed_ = false;
};

class asio_tcp_relay final : public tcp_relay {
  public:
    asio_tcp_relay(event_loop& loop, endpoint listen, endpoint target)
        : listener_(loop.context()), listen_(std::move(listen)), target_(std::move(target)) {}
    asio_tcp_relay(const asio_tcp_relay&) = delete;
    asio_tcp_relay& operator=(const asio_tcp_relay&) = delete;
    ~asio_tcp_relay() override { close_all(); }

    absl::Status start() override {
        return listener_.start(listen_, [this](tcp::socket socket) { take(std::move(socket)); });
    }

    endpoint local_endpoint() const override { return listener_.local_endpoint(); }

    void set(relay_settings settings) override {
        state_->settings = settings;
        if (settings.mode == relay_mode::cut) {
            close_all();
            return;
        }
        for (const auto& link : std::vector(links_.begin(), links_.end())) {
            link->settings_changed();
        }
    }

    relay_settings settings() const override { return state_->settings; }
    relay_counters counters() const override { return state_->counters; }

  private:
    void take(tcp::socket socket) {
        ++state_->counters.connections;
        if (state_->settings.mode == relay_mode::cut) {
            return;
        }
        const auto link = std::make_shared<relay_link>(
            std::move(socket), state_, [this](const std::shared_ptr<relay_link>& closed) {
                links_.erase(closed);
                state_->counters.open_connections = links_.size();
            });
        links_.insert(link);
        state_->counters.open_connections = links_.size();
        error_code ignored;
        link->start({boost::asio::ip::make_address(target_.address, ignored), target_.port});
    }

    void close_all() {
        for (const auto& link : std::vector(links_.begin(), links_.end())) {
            link->close();
        }
    }

    listener listener_;
    endpoint listen_;
    endpoint target_;
    std::shared_ptr<relay_state> state_ = std::make_shared<relay_state>();
    std::set<std::shared_ptr<relay_link>> links_;
};

}  // namespace

std::unique_ptr<tcp_relay> make_tcp_relay(event_loop& loop, endpoint listen, endpoint target) {
    return std::make_unique<asio_tcp_relay>(loop, std::move(listen), std::move(target));
}

}  // namespace pearbarrow::net
