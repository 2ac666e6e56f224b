#include "pearbarrow/net/listener.h"

#include <utility>

#include <linux/filter.h>
#include <sys/socket.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

using boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Delay after a failed accept, e.g. because no file descriptor is available.
constexpr std::chrono::milliseconds accept_retry_delay{100};
/// Time for handshakes that have begun to end.
constexpr std::chrono::milliseconds handshake_time{50};

/// Makes the kernel drop the first packet of each new connection, which its client repeats after a
/// second. Without this, a connection that is established between the last accept and the close is
/// reset. Has no effect if the system does not support it.
void drop_handshakes(int listening_socket) {
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_flag = 0x02;
    constexpr std::uint32_t drop = 0;
    constexpr std::uint32_t keep = 0xffff'ffff;
    std::array<sock_filter, 4> code{
        sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        sock_filter BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, syn_flag, 0, 1),
        sock_filter BPF_STMT(BPF_RET | BPF_K, drop),
        sock_filter BPF_STMT(BPF_RET | BPF_K, keep),
    };
    const sock_fprog program{.len = static_cast<unsigned short>(code.size()),
                             .filter = code.data()};
    ::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

}  // namespace

struct listener::core : std::enable_shared_from_this<listener::core> {
    explicit core(boost::asio::io_context& context)
        : acceptor(context), retry(context), drain_timer(context) {}

    absl::Status open(const endpoint& listen) {
        error_code error;
        const auto address = boost::asio::ip::make_address(listen.address, error);
        const tcp::endpoint local(address, listen.port);
        if (!error) {
            acceptor.open(local.protocol(), error);
        }
        if (!error) {
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            acceptor.bind(local, error);
        }
        if (!error) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (!error) {
            bound = acceptor.local_endpoint(error);
        }
        if (error) {
            return base::make_error(
                absl::StatusCode::kUnavailable, error.message(),
                {.step = "listen", .peer = to_string(listen), .reason = "bind_failed"});
        }
        return absl::OkStatus();
    }

    void accept() {
        acceptor.async_accept(
            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                self->accepted(error, std::move(socket));
            });
    }

    void accepted(const error_code& error, tcp::socket socket) {
        if (stopped) {
            return;
        }
        if (!error) {
            handler(std::move(socket));
        }
        if (stopped || !acceptor.is_open()) {
            return;
        }
        if (!error) {
            accept();
            return;
        }
        base::log(base::log_level::warning, "accept_failed", {{"message", error.message()}});
        retry.expires_after(accept_retry_delay);
        retry.async_wait([self = shared_from_this()](const error_code& failed) {
            if (!failed && !self->stopped) {
                self->accept();
            }
        });
    }

    void drain() {
        drop_handshakes(acceptor.native_handle());
        close_after(handshake_time);
    }

    /// Accepts the established connections and closes. Tries again later if an accept fails, e.g.
    /// because no file descriptor is available.
    void close_after(std::chrono::milliseconds delay) {
        drain_timer.expires_after(delay);
        drain_timer.async_wait([self = shared_from_this()](const error_code& failed) {
            if (failed || self->stopped) {
                return;
            }
            if (!self->accept_established()) {
                self->close_after(accept_retry_delay);
                return;
            }
            // A connection whose accept has completed is still passed on.
            error_code ignored;
            self->acceptor.close(ignored);
        });
    }

    /// Returns whether no established connection is left.
    bool accept_established() {
        error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(acceptor.get_executor());
            acceptor.accept(socket, error);
            if (!error) {
                handler(std::move(socket));
            }
        }
        return error == boost::asio::error::would_block;
    }

    void close() {
        stopped = true;
        error_code ignored;
        acceptor.close(ignored);
        retry.cancel();
        drain_timer.cancel();
    }

    tcp::acceptor acceptor;
    boost::asio::steady_timer retry;
    boost::asio::steady_timer drain_timer;
    tcp::endpoint bound;
    socket_handler handler;
    bool stopped = false;
};

listener::listener(boost::asio::io_context& context) : core_(std::make_shared<core>(context)) {}

listener::~listener() {
    stop();
}

absl::Status listener::start(const endpoint& listen, socket_handler handler) {
    core_->handler = std::move(handler);
    if (auto status = core_->open(listen); !status.ok()) {
        return status;
    }
    core_->accept();
    return absl::OkStatus();
}

void listener::stop() {
    core_->close();
}

void listener::drain() {
    if (is_open()) {
        core_->drain();
    }
}

bool listener::is_open() const {
    return core_->acceptor.is_open();
}

endpoint listener::local_endpoint() const {
    return {core_->bound.address().to_string(), core_->bound.port()};
}

}  // namespace pearbarrow::net
