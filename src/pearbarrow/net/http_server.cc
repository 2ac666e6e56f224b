#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <set>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/http_session.h"
#include "pearbarrow/net/listener.h"

namespace pearbarrow::net {
namespace {

/// Limit for the excess connections whose first request is awaited. Further connections get the
/// response at once and are closed.
constexpr std::size_t max_waiting_rejections = 64;
/// Bytes of a request that are read before a connection is closed. A connection that is closed with
/// unread bytes is reset, and its client may lose the response.
constexpr std::size_t max_discarded_bytes = std::size_t{16} * 1024;
constexpr std::string_view too_many_connections = "too_many_connections";
constexpr std::string_view too_few_descriptors = "too_few_descriptors";

class asio_http_server final : public http_server {
  public:
    asio_http_server(event_loop& loop, http_server_options options, http_handler handler)
        : context_(loop.context()),
          core_(std::make_shared<http_server_core>(std::move(options), std::move(handler))),
          listener_(context_) {}

    asio_http_server(const asio_http_server&) = delete;
    asio_http_server& operator=(const asio_http_server&) = delete;

    ~asio_http_server() override {
        listener_.stop();
        core_->shut_down();
    }

    absl::Status start() override {
        if (auto status = reload_tls(); !status.ok()) {
            return status;
        }
        return listener_.start(core_->options.listen, [this](boost::asio::ip::tcp::socket socket) {
            accept(std::move(socket));
        });
    }

    endpoint local_endpoint() const override { return listener_.local_endpoint(); }

    void disable_keep_alive() override { core_->closing = true; }

    void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                    base::milliseconds request_timeout) override {
        core_->options.max_header_bytes = max_header_bytes;
        core_->options.max_body_bytes = max_body_bytes;
        core_->options.request_timeout = request_timeout;
    }

    void stop_accepting() override {
        core_->stop_accepting();
        listener_.drain();
    }

    void reject_arriving(std::string_view reason, std::string_view detail) override {
        core_->reject_arriving(reason, detail);
    }

    bool is_drained() const override {
        return core_->stopping && !listener_.is_open() && core_->sessions.empty() &&
               core_->ending_sessions.empty() && core_->open_exchanges == 0;
    }

    std::size_t open_exchanges() const override { return core_->open_exchanges; }

    std::vector<undelivered_response> undelivered() const override { return core_->undelivered(); }

    absl::Status reload_tls() override {
        if (!core_->options.tls.has_value()) {
            return absl::OkStatus();
        }
        auto loaded = load_tls(*core_->options.tls, tls_role::server);
        if (!loaded.ok()) {
            return loaded.status();
        }
        tls_ = *std::move(loaded);
        return absl::OkStatus();
    }

  private:
    using decision = descriptor_limit::decision;
    using tcp = boost::asio::ip::tcp;

    void accept(tcp::socket socket) {
        const decision decided = decide(socket);
        if (decided == decision::reject_connection) {
            reject(std::move(socket));
            return;
        }
        const connection_options limits{.max_pending_bytes = core_->options.max_pending_bytes,
                                        .write_timeout = core_->options.write_timeout,
                                        .buffered = core_->options.buffered,
                                        .kind = buffer_kind::responses};
        auto link = std::make_shared<connection>(context_, std::move(socket), tls_, limits);
        auto session = std::make_shared<http_session>(context_, core_, std::move(link));
        core_->sessions.insert(session);
        session->start(decided == decision::reject_first_request);
        if (core_->stopping) {
            session->close_when_idle();
        }
    }

    decision decide(tcp::socket& socket) const {
        const http_server_options& options = core_->options;
        const decision by_count = decide_by_count();
        const decision decided =
            std::max(by_count, options.descriptors.decide(socket.native_handle()));
        if (decided != decision::serve && options.on_connection_rejected) {
            options.on_connection_rejected(by_count == decision::serve ? too_few_descriptors
                                                                       : too_many_connections);
        }
        return decided;
    }

    decision decide_by_count() const {
        const std::size_t open = core_->sessions.size();
        const std::size_t limit = core_->options.max_connections;
        if (open < limit) {
            return decision::serve;
        }
        return open < limit + max_waiting_rejections ? decision::reject_first_request
                                                     : decision::reject_connection;
    }

    /// Sends the response without waiting for a request, and closes.
    void reject(tcp::socket socket) {
        if (tls_ != nullptr) {
            return;  // The client could not read a response before the handshake.
        }
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        std::array<char, max_discarded_bytes> discarded;
        socket.read_some(boost::asio::buffer(discarded), ignored);
        socket.write_some(boost::asio::buffer(refusal_of_connection()), ignored);
    }

    boost::asio::io_context& context_;
    std::shared_ptr<http_server_core> core_;
    listener listener_;
    std::shared_ptr<tls_context> tls_;
};

}  // namespace

std::unique_ptr<http_server> make_http_server(event_loop& loop, http_server_options options,
                                              http_handler handler) {
    return std::make_unique<asio_http_server>(loop, std::move(options), std::move(handler));
}

}  // namespace pearbarrow::net
