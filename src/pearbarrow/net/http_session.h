/// One connection of the HTTP server, which processes requests sequentially. Internal to `net`.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pearbarrow/net/connection.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/http_codec.h"

namespace pearbarrow::net {

class http_session;
class session_exchange;

/// Returns the response to a client whose connection the server rejects.
std::string refusal_of_connection();

/// State shared by the sessions of one server.
struct http_server_core {
    http_server_core(http_server_options server_options, http_handler server_handler)
        : options(std::move(server_options)), handler(std::move(server_handler)) {}

    void stop_accepting();
    void reject_arriving(std::string_view reason, std::string_view detail);
    void shut_down();
    std::vector<undelivered_response> undelivered() const;

    http_server_options options;
    http_handler handler;
    std::set<std::shared_ptr<http_session>> sessions;
    /// Sessions that read no more requests and whose connections have not ended.
    std::set<std::shared_ptr<http_session>> ending_sessions;
    std::size_t open_exchanges = 0;
    /// Bytes of incomplete requests.
    std::size_t receiving_bytes = 0;
    bool stopping = false;
    /// Whether each connection closes after its next response.
    bool closing = false;
};

class http_session final : public connection_user,
                           public std::enable_shared_from_this<http_session> {
  public:
    http_session(boost::asio::io_context& context, std::shared_ptr<http_server_core> core,
                 std::shared_ptr<connection> link);

    /// Starts reading. If `overloaded` is set, the first request is rejected with status 503.
    void start(bool is_overloaded);
    void on_data(std::string_view bytes) override;
    void on_lost(const absl::Status& status) override;
    void on_progress() override;
    /// Closes the session, after the responses to requests that have begun to arrive.
    void close_when_idle();
    /// Rejects the next request with status 503 if it has begun to arrive. Closes the session
    /// unless a response is in progress.
    void reject_arriving(std::string_view reason, std::string_view detail);
    /// Closes the session immediately.
    void close();

    // Interface of the current exchange.
    void send(std::string bytes) { link_->write(std::move(bytes)); }
    void on_response_complete();
    void enable_reset_on_close() { link_->enable_reset_on_close(); }
    /// Closes the session once the queued bytes of an incomplete response are written.
    void abort_after_writes(body_framing framing);
    std::size_t pending_bytes() const { return link_->pending_bytes(); }
    /// Decides whether the connection stays open after the response that begins now, which must
    /// announce it. `is_possible` states whether the framing of the response allows it.
    bool announce_keep_alive(bool is_possible);
    bool supports_chunks() const { return supports_chunks_; }
    const std::string& lost_reason() const { return lost_reason_; }

    /// Returns the request whose response the client has not received as a whole, if there is one.
    std::optional<undelivered_response> undelivered() const;

  private:
    bool keeps_alive() const;
    void read_request();
    bool is_within_memory_limits() const;
    void on_head();
    void dispatch();
    void refuse(int status, std::string_view reason, std::string_view detail);
    void restart_idle_timeout();
    void on_request_timeout();
    /// Whether part of the next request has been read.
    bool has_request_bytes() const;
    /// Whether part of the next request has arrived.
    bool is_request_arriving();
    void unregister();
    /// Reads no more requests, and ends the connection once the queued bytes are written.
    void end_after_writes(body_framing framing);
    void on_connection_ended(const closed_connection& end);
    void release_received();

    std::shared_ptr<http_server_core> core_;
    std::shared_ptr<connection> link_;
    deadline request_deadline_;
    /// The timeout that `request_deadline_` was set with.
    base::milliseconds idle_timeout_{0};
    /// Whether the TLS handshake is complete, if there is one.
    bool is_established_ = false;
    std::unique_ptr<http_request_reader> reader_;
    std::string inbox_;
    /// Bytes of this session in `receiving_bytes`.
    std::size_t received_bytes_ = 0;
    buffered_part buffered_request_;
    std::weak_ptr<session_exchange> exchange_;
    /// Identifies the request that was read last.
    std::string request_id_;
    /// Whether the last response was written as a whole.
    bool is_response_complete_ = false;
    bool responding_ = false;
    bool client_keeps_alive_ = true;
    bool supports_chunks_ = true;
    bool close_when_idle_ = false;
    /// Whether the client knows that the connection closes after the response.
    bool is_close_announced_ = false;
    /// Whether any request was read on the connection.
    bool has_read_request_ = false;
    bool overloaded_ = false;
    bool ended_ = false;
    std::string lost_reason_;
};

}  // namespace pearbarrow::net
