#include "pearbarrow/net/http_session.h"

#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http_exchange.h"

namespace pearbarrow::net {
namespace {

/// Bytes of a next request kept while one is answered; beyond it reading stops.
constexpr std::size_t max_inbox_bytes = std::size_t{64} * 1024;
/// Told with 503, in seconds: callers that read slowly are ended within about a second.
constexpr char refused_retry_after[] = "0.500";

}  // namespace

void http_server_core::stop_accepting() {
    stopping = true;
    const auto current = sessions;
    for (const auto& session : current) {
        session->close_when_idle();
    }
}

void http_server_core::shut_down() {
    stopping = true;
    const auto current = std::exchange(sessions, {});
    for (const auto& session : current) {
        session->close();
    }
    handler = nullptr;
}

http_session::http_session(boost::asio::io_context& context, std::shared_ptr<http_server_core> core,
                           std::shared_ptr<connection> link)
    : core_(std::move(core)),
      link_(std::move(link)),
      arriving_(core_->options.held, holding::bodies),
      request_deadline_(context, [this] { request_overdue(); }) {}

void http_session::start(bool overloaded) {
    overloaded_ = overloaded;
    request_deadline_.set_after(core_->options.request_timeout);
    link_->accept([self = shared_from_this()](const absl::Status& status) {
        if (!status.ok()) {
            self->leave_server();
            return;
        }
        self->reader_ = std::make_unique<http_request_reader>(self->core_->options.max_header_bytes,
                                                              self->core_->options.max_body_bytes);
        self->link_->attach(self);
    });
}

void http_session::on_data(std::string_view bytes) {
    inbox_.append(bytes);
    received_bytes_ += bytes.size();
    core_->receiving_bytes += bytes.size();
    arriving_.add(bytes.size());
    if (!answering_) {
        if (!has_room()) {
            refuse(503, "too_many_requests_arriving",
                   "the server holds as many bytes of incomplete requests as it takes");
            return;
        }
        read_request();
    } else if (inbox_.size() > max_inbox_bytes) {
        link_->pause_reading();
    }
}

/// Whether what has arrived of this request may be kept.
bool http_session::has_room() const {
    const std::shared_ptr<held_bytes>& held = core_->options.held;
    return core_->receiving_bytes <= core_->options.max_receiving_bytes &&
           (held == nullptr || held->admits(arriving_.size(), arriving_.size()));
}

void http_session::read_request() {
    for (;;) {
        switch (reader_->feed(inbox_)) {
            case read_progress::need_more:
                return;
            case read_progress::head_complete:
                on_head();
                break;
            case read_progress::complete:
                dispatch();
                return;
            case read_progress::failed:
                refuse(reader_->refusal(), reader_->refusal_reason(),
                       "the request could not be read");
                return;
        }
        if (ended_) {
            return;
        }
    }
}

void http_session::on_head() {
    if (overloaded_) {
        refuse(503, "too_many_connections", "the server has as many connections as it takes");
    } else if (const auto& held = core_->options.held;
               held != nullptr && !held->admits(reader_->content_length())) {
        refuse(503, "memory_bound", "the server holds as many bytes as it may");
    } else if (reader_->expects_continue()) {
        link_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_session::dispatch() {
    request_deadline_.clear();
    release_received();
    answering_ = true;
    client_keeps_alive_ = reader_->keep_alive();
    can_take_chunks_ = reader_->can_take_chunks();
    http_request request = reader_->release();
    request.peer = link_->peer();
    reader_ = std::make_unique<http_request_reader>(core_->options.max_header_bytes,
                                                    core_->options.max_body_bytes);
    auto exchange =
        std::make_shared<session_exchange>(core_, shared_from_this(), std::move(request));
    exchange_ = exchange;
    // A copy, because the handler may destroy the server.
    const auto handler = core_->handler;
    handler(std::move(exchange));
}

void http_session::answer_complete() {
    answering_ = false;
    exchange_.reset();
    if (ended_) {
        return;
    }
    if (!keeps_alive()) {
        leave_server();
        link_->close_after_writes();
        return;
    }
    request_deadline_.set_after(core_->options.request_timeout);
    link_->resume_reading();
    if (!inbox_.empty()) {
        // From the loop, so that a handler that answers at once does not nest request in request.
        link_->post([self = shared_from_this()] {
            if (!self->answering_ && !self->ended_) {
                self->read_request();
            }
        });
    }
}

bool http_session::keeps_alive() const {
    return client_keeps_alive_ && !close_after_answer_ && !core_->stopping && !core_->closing;
}

void http_session::refuse(int status, std::string_view reason, std::string_view detail) {
    http_response response = problem_response(status, reason, detail);
    if (status == 503) {
        response.headers.add("Retry-After", refused_retry_after);
    }
    link_->write(format_response_head({.status = status,
                                       .headers = &response.headers,
                                       .body_size = response.body.size(),
                                       .keep_alive = false}) +
                 response.body);
    leave_server();
    link_->close_after_writes();
}

void http_session::request_overdue() {
    if (reader_ != nullptr && (reader_->has_begun() || !inbox_.empty())) {
        refuse(408, "request_timeout", "the whole request did not arrive in time");
        return;
    }
    close();
}

void http_session::on_progress() {
    if (const auto exchange = exchange_.lock(); exchange != nullptr) {
        exchange->progressed();
    }
}

void http_session::on_lost(const absl::Status& status) {
    lost_reason_ = base::details_of(status).reason;
    const auto exchange = exchange_.lock();
    exchange_.reset();
    leave_server();
    if (exchange != nullptr) {
        exchange->client_gone();
    }
}

void http_session::close_when_idle() {
    close_after_answer_ = true;
    if (!answering_) {
        leave_server();
        link_->close_after_writes();
    }
}

void http_session::close() {
    const auto exchange = exchange_.lock();
    exchange_.reset();
    leave_server();
    link_->close();
    if (exchange != nullptr) {
        exchange->client_gone();
    }
}

void http_session::release_received() {
    core_->receiving_bytes -= std::exchange(received_bytes_, 0);
    arriving_.set(0);
}

void http_session::leave_server() {
    ended_ = true;
    release_received();
    request_deadline_.clear();
    core_->sessions.erase(shared_from_this());
}

}  // namespace pearbarrow::net
