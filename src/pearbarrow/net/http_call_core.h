/// A client request and the pool of idle connections. Internal to `net`.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/http_codec.h"

namespace pearbarrow::net {

class http_call_core;
class idle_connection;

/// A process at an address, as identified by `http_call`.
struct server_process {
    endpoint address;
    std::uint64_t incarnation = 0;

    bool operator<(const server_process& other) const {
        return std::tie(address, incarnation) < std::tie(other.address, other.incarnation);
    }
};

/// State shared by the calls of one client.
struct http_client_core : std::enable_shared_from_this<http_client_core> {
    http_client_core(boost::asio::io_context& io_context, http_client_options client_options)
        : context(io_context), options(std::move(client_options)) {}

    /// Removes an idle connection from the pool and returns it, or null if there is none.
    std::shared_ptr<connection> take_idle(const server_process& server);
    /// `server_lifetime` is the idle lifetime announced by the server, if any.
    void keep_idle(const server_process& server, const std::shared_ptr<connection>& link,
                   std::optional<base::milliseconds> server_lifetime,
                   std::function<void()> on_lost);
    void remove_idle(const server_process& server, const idle_connection* idle);
    void close_idle();
    void shut_down();

    boost::asio::io_context& context;
    http_client_options options;
    std::shared_ptr<tls_context> tls;
    /// The error that prevents TLS if its files are unusable.
    absl::Status tls_status;
    std::map<server_process, std::list<std::shared_ptr<idle_connection>>> idle;
    std::set<std::shared_ptr<http_call_core>> calls;
    bool stopped = false;
};

/// Monitors a connection in the pool.
class idle_connection final : public connection_user,
                              public std::enable_shared_from_this<idle_connection> {
  public:
    idle_connection(std::weak_ptr<http_client_core> core, boost::asio::io_context& context,
                    server_process server, std::shared_ptr<connection> link,
                    std::function<void()> on_lost);

    void start(base::milliseconds lifetime);
    /// Closes the connection because unsolicited bytes make it unusable.
    void on_data(std::string_view bytes) override;
    void on_lost(const absl::Status& status) override;
    const std::shared_ptr<connection>& link() const { return link_; }

  private:
    void remove_from_pool();

    std::weak_ptr<http_client_core> core_;
    server_process server_;
    std::shared_ptr<connection> link_;
    std::function<void()> on_lost_;
    deadline expiry_;
};

class http_call_core final : public connection_user,
                             public std::enable_shared_from_this<http_call_core> {
  public:
    http_call_core(std::shared_ptr<http_client_core> core, http_call call,
                   http_call_callbacks callbacks);

    void start();
    void cancel();
    void pause();
    void resume();
    void on_data(std::string_view bytes) override;
    void on_lost(const absl::Status& status) override;
    body_framing framing() const;

  private:
    void connect();
    void send(std::shared_ptr<connection> link);
    /// Whether the caller withdrew the request; the call has then ended.
    bool is_withdrawn(const std::shared_ptr<connection>& link);
    void start_response();
    void read_response();
    void on_head();
    void complete();
    /// Whether the response is whole, once its framing or its connection has ended it.
    bool is_whole();
    void conclude();
    bool retry_request();
    void on_timeout();
    void fail(absl::StatusCode code, std::string_view message, std::string step,
              std::string_view reason);
    void end(const absl::Status& status);
    bool may_have_been_sent() const;
    /// Ends the call because no connection could be opened.
    void fail_to_connect(const absl::Status& status);

    std::shared_ptr<http_client_core> core_;
    http_call call_;
    http_call_callbacks callbacks_;
    deadline deadline_;
    deadline total_deadline_;
    std::shared_ptr<connection> link_;
    std::unique_ptr<http_response_reader> reader_;
    std::string inbox_;
    std::uint64_t request_position_ = 0;
    std::uint32_t interim_responses_ = 0;
    bool was_idle_ = false;
    /// Whether the request was sent on any connection, including one that broke.
    bool was_sent_ = false;
    /// Whether a connection that broke before the request was sent again may have carried it.
    bool may_have_run_before_ = false;
    bool head_seen_ = false;
    response_end end_;
    bool paused_ = false;
    bool done_ = false;
};

}  // namespace pearbarrow::net
