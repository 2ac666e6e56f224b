#include "pearbarrow/net/http_exchange.h"

#include <utility>

namespace pearbarrow::net {

session_exchange::session_exchange(std::shared_ptr<http_server_core> core,
                                   std::shared_ptr<http_session> session, http_request request)
    : core_(std::move(core)),
      session_(session),
      request_(std::move(request)),
      body_(core_->options.buffered, buffer_kind::bodies),
      is_head_(request_.method == "HEAD") {
    body_.set(request_.body.size());
    ++core_->open_exchanges;
}

session_exchange::~session_exchange() {
    if (stage_ == stage::waiting) {
        respond(problem_response(500, "unanswered", "the request was dropped without an answer"));
    } else if (stage_ == stage::streaming) {
        abort();
    }
}

void session_exchange::respond(http_response response) {
    const auto session = session_.lock();
    if (stage_ != stage::waiting || session == nullptr) {
        return;
    }
    const bool bodiless = response.status == 204 || response.status == 304;
    framing_ = is_head_ || bodiless ? body_framing::none : body_framing::length;
    std::string bytes = format_response_head({.status = response.status,
                                              .headers = &response.headers,
                                              .body_size = bodiless ? 0 : response.body.size(),
                                              .keep_alive = session->announce_keep_alive(true)});
    if (is_head_ || bodiless) {
        session->send(std::move(bytes));
    } else if (response.body.size() <= bytes.capacity()) {
        session->send(bytes.append(response.body));
    } else {
        session->send(std::move(bytes));
        session->send(std::move(response.body));
    }
    complete();
}

void session_exchange::start_stream(int status, http_headers headers) {
    const auto session = session_.lock();
    const bool has_chunks = session != nullptr && session->supports_chunks();
    start(status, headers, has_chunks ? body_framing::chunks : body_framing::until_close);
}

void session_exchange::start_until_close(int status, http_headers headers) {
    start(status, headers, body_framing::until_close);
}

void session_exchange::start(int status, const http_headers& headers, body_framing framing) {
    const auto session = session_.lock();
    if (stage_ != stage::waiting || session == nullptr) {
        return;
    }
    stage_ = stage::streaming;
    framing_ = framing;
    // An orderly end of the connection would mark the response as whole.
    if (framing_ == body_framing::until_close) {
        session->enable_reset_on_close();
    }
    session->send(format_response_head(
        {.status = status,
         .headers = &headers,
         .framing = framing_,
         .keep_alive = session->announce_keep_alive(framing_ == body_framing::chunks)}));
}

void session_exchange::write(std::string chunk) {
    const auto session = session_.lock();
    if (stage_ != stage::streaming || session == nullptr || chunk.empty() || is_head_) {
        return;
    }
    session->send(framing_ == body_framing::chunks ? format_chunk(chunk) : std::move(chunk));
}

void session_exchange::finish() {
    const auto session = session_.lock();
    if (stage_ != stage::streaming || session == nullptr) {
        return;
    }
    if (framing_ == body_framing::chunks && !is_head_) {
        session->send(std::string(last_chunk()));
    }
    complete();
}

void session_exchange::abort() {
    const auto session = session_.lock();
    if (stage_ == stage::done) {
        return;
    }
    // The caller of `abort` needs no notification that the connection is closed.
    on_closed_ = nullptr;
    if (session != nullptr) {
        session->close();
    }
    on_client_closed();
}

void session_exchange::abort_after_writes() {
    const auto session = session_.lock();
    if (stage_ == stage::done) {
        return;
    }
    on_closed_ = nullptr;
    if (session != nullptr) {
        session->abort_after_writes(framing_);
    }
    on_client_closed();
}

std::size_t session_exchange::pending_bytes() const {
    const auto session = session_.lock();
    return session == nullptr || stage_ == stage::done ? 0 : session->pending_bytes();
}

void session_exchange::on_closed(std::function<void()> callback) {
    if (stage_ != stage::done) {
        on_closed_ = std::move(callback);
    }
}

void session_exchange::on_progress(std::function<void()> callback) {
    if (stage_ != stage::done) {
        on_progress_ = std::move(callback);
    }
}

void session_exchange::on_client_progress() {
    // The copy is needed because the callback may end the response.
    if (const auto callback = on_progress_; callback) {
        callback();
    }
}

void session_exchange::complete() {
    stage_ = stage::done;
    on_closed_ = nullptr;
    on_progress_ = nullptr;
    --core_->open_exchanges;
    if (const auto session = session_.lock(); session != nullptr) {
        session->on_response_complete();
    }
}

void session_exchange::on_client_closed() {
    if (stage_ == stage::done) {
        return;
    }
    stage_ = stage::done;
    on_progress_ = nullptr;
    if (const auto session = session_.lock(); session != nullptr) {
        lost_reason_ = session->lost_reason();
    }
    --core_->open_exchanges;
    if (const auto callback = std::exchange(on_closed_, nullptr); callback) {
        callback();
    }
}

}  // namespace pearbarrow::net
