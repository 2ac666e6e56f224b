#include "pearbarrow/net/listener.h"

#include <utility>

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

}  // namespace

struct listener::core : std::enable_shared_from_this<listener::core> {
    explicit core(boost::asio::io_context& context) : acceptor(context), retry(context) {}

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
            if (!stopped) {
                accept();
            }
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

    tcp::acceptor acceptor;
    boost::asio::steady_timer retry;
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
    core_->stopped = true;
    error_code ignored;
    core_->acceptor.close(ignored);
    core_->retry.cancel();
}

endpoint listener::local_endpoint() const {
    return {core_->bound.address().to_string(), core_->bound.port()};
}

}  // namespace pearbarrow::net
