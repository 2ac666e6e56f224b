#include "pearbarrow/net/peer_rpc.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/net/listener.h"
#include "pearbarrow/net/peer_link.h"

namespace pearbarrow::net {
namespace {

class call_owner final : public peer_call_handle {
  public:
    explicit call_owner(std::weak_ptr<outgoing_call> call) : call_(std::move(call)) {}
    call_owner(const call_owner&) = delete;
    call_owner& operator=(const call_owner&) = delete;
    ~call_owner() override { call_owner::cancel(); }

    void cancel() override {
        if (const auto call = call_.lock(); call != nullptr) {
            call->cancel();
        }
    }

  private:
    std::weak_ptr<outgoing_call> call_;
};

class asio_peer_rpc final : public peer_rpc {
  public:
    asio_peer_rpc(event_loop& loop, peer_rpc_options options)
        : loop_(loop),
          core_(std::make_shared<peer_core>(loop.context(), std::move(options))),
          listener_(loop.context()) {
        tls_status_ = asio_peer_rpc::reload_tls();
    }
    asio_peer_rpc(const asio_peer_rpc&) = delete;
    asio_peer_rpc& operator=(const asio_peer_rpc&) = delete;
    ~asio_peer_rpc() override { shut_down(); }

    absl::Status start() override {
        if (!tls_status_.ok()) {
            return tls_status_;
        }
        return listener_.start(core_->options.listen,
                               [core = core_](boost::asio::ip::tcp::socket socket) {
                                   accept(core, std::move(socket));
                               });
    }

    endpoint local_endpoint() const override { return listener_.local_endpoint(); }

    void register_method(method_number method, peer_method_handler handler) override {
        core_->methods[method] = std::move(handler);
    }

    std::unique_ptr<peer_call_handle> call(const base::node_id& node, const endpoint& address,
                                           method_number method, std::string payload,
                                           base::milliseconds timeout,
                                           peer_call_callbacks callbacks) override {
        auto call =
            std::make_shared<outgoing_call>(core_->timeouts, node.value(), std::move(callbacks));
        call->expire_after(timeout);
        const absl::Status status = send(node, address, call, method, std::move(payload), timeout);
        if (!status.ok()) {
            // Posted to the event loop so that no callback runs inside this call.
            loop_.post([core = core_, call, status] {
                if (!core->shut_down) {
                    call->complete(status);
                }
            });
        }
        return std::make_unique<call_owner>(call);
    }

    void stop_accepting() override { core_->stopping = true; }

    peer_backlog backlog() const override {
        peer_backlog total;
        for (const auto& link : core_->inbound) {
            total.open_requests += link->open_requests();
            total.queued_bytes += link->queued_bytes();
        }
        return total;
    }

    std::uint64_t bytes_sent() const override { return core_->counters->sent; }
    std::uint64_t bytes_received() const override { return core_->counters->received; }
    std::vector<traffic_row> traffic() const override { return core_->traffic.rows(); }

    absl::Status reload_tls() override {
        const auto& files = core_->options.tls;
        if (!files.has_value()) {
            return absl::OkStatus();
        }
        if (files->client_authorities.empty() || files->certificate_chain.empty()) {
            return base::make_error(absl::StatusCode::kFailedPrecondition,
                                    "links between nodes need a certificate and authorities",
                                    {.step = "load_tls", .reason = "tls_files_unusable"});
        }
        auto server = load_tls(*files, tls_role::server);
        auto client = load_tls(*files, tls_role::client);
        if (!server.ok() || !client.ok()) {
            return server.ok() ? client.status() : server.status();
        }
        core_->server_tls = *std::move(server);
        core_->client_tls = *std::move(client);
        tls_status_ = absl::OkStatus();
        return absl::OkStatus();
    }

  private:
    absl::Status send(const base::node_id& node, const endpoint& address,
                      const std::shared_ptr<outgoing_call>& call, method_number method,
                      std::string payload, base::milliseconds timeout) {
        const auto& options = core_->options;
        if (payload.size() + frame_overhead_bytes > options.max_frame_bytes) {
            return base::make_error(
                absl::StatusCode::kInvalidArgument, "the request is too long",
                {.step = "peer_call", .peer = node.value(), .reason = "frame_too_large"});
        }
        if (node == options.self) {
            if (core_->local_calls.size() >= options.max_open_requests) {
                return queue_full(node.value());
            }
            start_local_call(core_, call, method, std::move(payload), timeout);
            return absl::OkStatus();
        }
        if (!tls_status_.ok()) {
            return tls_status_;
        }
        return link_to(node, address)
            ->send_request(call,
                           {.kind = static_cast<std::uint8_t>(frame_kind::request),
                            .call = ++core_->last_call,
                            .method = method,
                            .timeout_milliseconds = static_cast<std::uint64_t>(timeout.count()),
                            .payload = std::move(payload)});
    }

    std::shared_ptr<peer_link> link_to(const base::node_id& node, const endpoint& address) {
        auto& entry = core_->outbound[{node, address}];
        if (entry == nullptr) {
            entry = std::make_shared<peer_link>(core_, node, address);
            entry->start();
        }
        return entry;
    }

    static void accept(const std::shared_ptr<peer_core>& core,
                       boost::asio::ip::tcp::socket socket) {
        const auto& options = core->options;
        if (core->inbound.size() >= options.max_inbound_links) {
            base::log(base::log_level::warning, "peer_link_refused",
                      {{"reason", "too_many_links"}});
            return;
        }
        constexpr std::size_t read_bytes = std::size_t{16} * 1024;
        auto link = std::make_shared<connection>(
            core->context, std::move(socket), core->server_tls,
            connection_options{.max_pending_bytes = options.max_queued_bytes,
                               .write_timeout = options.write_timeout,
                               .read_buffer_bytes = read_bytes,
                               .buffered = options.buffered,
                               .kind = buffer_kind::frames},
            core->counters);
        auto inbound = std::make_shared<peer_inbound>(core, std::move(link));
        core->inbound.insert(inbound);
        inbound->start();
    }

    void shut_down() {
        listener_.stop();
        core_->shut_down = true;
        const auto status =
            base::make_error(absl::StatusCode::kCancelled, "the node ended its links",
                             {.step = "peer_call",
                              .reason = "links_closed",
                              .was_executed = base::executed::unknown});
        // Calls end without callbacks because their owners are being destroyed too.
        for (const auto& call : std::exchange(core_->local_calls, {})) {
            call->cancel();
        }
        const auto outbound = std::exchange(core_->outbound, {});
        for (const auto& [key, link] : outbound) {
            link->cancel_calls();
            link->close_with_error(status);
        }
        const auto inbound = std::exchange(core_->inbound, {});
        for (const auto& link : inbound) {
            link->close_with_error(status);
        }
        core_->methods.clear();
    }

    event_loop& loop_;
    std::shared_ptr<peer_core> core_;
    listener listener_;
    absl::Status tls_status_;
};

}  // namespace

std::unique_ptr<peer_rpc> make_peer_rpc(event_loop& loop, peer_rpc_options options) {
    return std::make_unique<asio_peer_rpc>(loop, std::move(options));
}

}  // namespace pearbarrow::net
