#include <algorithm>
#include <utility>

#include "pearbarrow/net/http_call_core.h"

namespace pearbarrow::net {
namespace {

/// Margin before the lifetime announced by the server during which a connection is no longer used.
/// The outcome of a request sent while the server closes would be unknown.
constexpr base::milliseconds keep_alive_margin{700};

}  // namespace

std::shared_ptr<connection> http_client_core::take_idle(const server_process& server) {
    const auto found = idle.find(server);
    if (found == idle.end()) {
        return nullptr;
    }
    std::shared_ptr<connection> link;
    while (link == nullptr && !found->second.empty()) {
        // The newest connection comes first because the server may be about to close the oldest.
        auto candidate = found->second.back()->link();
        found->second.pop_back();
        if (candidate->is_open()) {
            link = std::move(candidate);
        }
    }
    if (found->second.empty()) {
        idle.erase(found);
    }
    return link;
}

void http_client_core::keep_idle(const server_process& server,
                                 const std::shared_ptr<connection>& link,
                                 std::optional<base::milliseconds> server_lifetime,
                                 std::function<void()> on_lost) {
    base::milliseconds lifetime = options.idle_lifetime;
    if (server_lifetime.has_value()) {
        lifetime = std::min(lifetime, *server_lifetime - keep_alive_margin);
    }
    if (stopped || lifetime.count() <= 0) {
        link->close();
        return;
    }
    auto& list = idle[server];
    if (list.size() >= options.max_idle_connections_per_server) {
        list.front()->link()->close();
        list.pop_front();
    }
    auto entry = std::make_shared<idle_connection>(weak_from_this(), context, server, link,
                                                   std::move(on_lost));
    list.push_back(entry);
    entry->start(lifetime);
}

void http_client_core::remove_idle(const server_process& server, const idle_connection* entry) {
    const auto found = idle.find(server);
    if (found == idle.end()) {
        return;
    }
    found->second.remove_if([&](const auto& candidate) { return candidate.get() == entry; });
    if (found->second.empty()) {
        idle.erase(found);
    }
}

void http_client_core::close_idle() {
    const auto current = std::exchange(idle, {});
    for (const auto& [server, list] : current) {
        for (const auto& entry : list) {
            entry->link()->close();
        }
    }
}

void http_client_core::shut_down() {
    stopped = true;
    const auto current = std::exchange(calls, {});
    for (const auto& call : current) {
        call->cancel();
    }
    close_idle();
}

idle_connection::idle_connection(std::weak_ptr<http_client_core> core,
                                 boost::asio::io_context& context, server_process server,
                                 std::shared_ptr<connection> link, std::function<void()> on_lost)
    : core_(std::move(core)),
      server_(std::move(server)),
      link_(std::move(link)),
      on_lost_(std::move(on_lost)),
      expiry_(context, [this] { remove_from_pool(); }) {}

void idle_connection::start(base::milliseconds lifetime) {
    expiry_.set_after(lifetime);
    link_->attach(shared_from_this());
}

void idle_connection::on_data(std::string_view /*bytes*/) {
    remove_from_pool();
}

void idle_connection::on_lost(const absl::Status& /*status*/) {
    const auto self = shared_from_this();
    remove_from_pool();
    if (on_lost_) {
        on_lost_();
    }
}

void idle_connection::remove_from_pool() {
    const auto self = shared_from_this();
    link_->close();
    if (const auto core = core_.lock(); core != nullptr) {
        core->remove_idle(server_, this);
    }
}

namespace {

class call_handle final : public http_call_handle {
  public:
    explicit call_handle(std::weak_ptr<http_call_core> core) : core_(std::move(core)) {}
    call_handle(const call_handle&) = delete;
    call_handle& operator=(const call_handle&) = delete;
    ~call_handle() override { call_handle::cancel(); }

    void cancel() override {
        if (const auto core = core_.lock(); core != nullptr) {
            core->cancel();
        }
    }

    void pause() override {
        if (const auto core = core_.lock(); core != nullptr) {
            core->pause();
        }
    }

    void resume() override {
        if (const auto core = core_.lock(); core != nullptr) {
            core->resume();
        }
    }

    body_framing framing() const override {
        const auto core = core_.lock();
        return core == nullptr ? body_framing::none : core->framing();
    }

  private:
    std::weak_ptr<http_call_core> core_;
};

class asio_http_client final : public http_client {
  public:
    asio_http_client(event_loop& loop, http_client_options options)
        : loop_(loop),
          core_(std::make_shared<http_client_core>(loop.context(), std::move(options))) {
        core_->tls_status = asio_http_client::reload_tls();
    }
    asio_http_client(const asio_http_client&) = delete;
    asio_http_client& operator=(const asio_http_client&) = delete;
    ~asio_http_client() override { core_->shut_down(); }

    std::unique_ptr<http_call_handle> start(http_call call,
                                            http_call_callbacks callbacks) override {
        return std::make_unique<call_handle>(begin(std::move(call), std::move(callbacks)));
    }

    void fetch(http_call call,
               std::function<void(absl::StatusOr<http_response>)> callback) override {
        auto response = std::make_shared<http_response>();
        begin(std::move(call),
              {.on_head =
                   [response](int status, const http_headers& headers) {
                       response->status = status;
                       response->headers = headers;
                   },
               .on_chunk = [response](std::string_view part) { response->body.append(part); },
               .on_done =
                   [response, callback = std::move(callback)](const absl::Status& status) {
                       if (status.ok()) {
                           callback(std::move(*response));
                       } else {
                           callback(status);
                       }
                   }});
    }

    absl::Status reload_tls() override {
        if (!core_->options.tls.has_value()) {
            return absl::OkStatus();
        }
        auto loaded = load_tls(*core_->options.tls, tls_role::client);
        if (!loaded.ok()) {
            return loaded.status();
        }
        core_->tls = *std::move(loaded);
        core_->tls_status = absl::OkStatus();
        core_->close_idle();
        return absl::OkStatus();
    }

  private:
    std::shared_ptr<http_call_core> begin(http_call call, http_call_callbacks callbacks) {
        auto core = std::make_shared<http_call_core>(core_, std::move(call), std::move(callbacks));
        core_->calls.insert(core);
        // Posted to the event loop so that no callback runs inside this call.
        loop_.post([core] { core->start(); });
        return core;
    }

    event_loop& loop_;
    std::shared_ptr<http_client_core> core_;
};

}  // namespace

std::unique_ptr<http_client> make_http_client(event_loop& loop, http_client_options options) {
    return std::make_unique<asio_http_client>(loop, std::move(options));
}

}  // namespace pearbarrow::net
