/// Server side of one request in a session. Internal to `net`.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "pearbarrow/net/http_session.h"

namespace pearbarrow::net {

class session_exchange final : public http_exchange {
  public:
    session_exchange(std::shared_ptr<http_server_core> core, std::shared_ptr<http_session> session,
                     http_request request);
    session_exchange(const session_exchange&) = delete;
    session_exchange& operator=(const session_exchange&) = delete;
    ~session_exchange() override;

    const http_request& request() const override { return request_; }
    void respond(http_response response) override;
    void start_stream(int status, http_headers headers) override;
    void start_until_close(int status, http_headers headers) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void abort_after_writes() override;
    std::size_t pending_bytes() const override;
    void on_closed(std::function<void()> callback) override;
    void on_progress(std::function<void()> callback) override;
    std::string lost_reason() const override { return lost_reason_; }
    body_framing framing() const override { return framing_; }

    /// Called by the session when the client has disconnected.
    void on_client_closed();
    /// Called by the session when the client has read some of the response.
    void on_client_progress();

  private:
    enum class stage { waiting, streaming, done };

    void start(int status, const http_headers& headers, body_framing framing);
    void complete();

    std::shared_ptr<http_server_core> core_;
    std::weak_ptr<http_session> session_;
    http_request request_;
    buffered_part body_;
    std::function<void()> on_closed_;
    std::function<void()> on_progress_;
    std::string lost_reason_;
    stage stage_ = stage::waiting;
    body_framing framing_ = body_framing::none;
    bool is_head_ = false;
};

}  // namespace pearbarrow::net
