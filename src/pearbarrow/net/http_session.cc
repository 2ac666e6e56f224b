#include "pearbarrow/net/http_session.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http_exchange.h"

namespace pearbarrow::net {
namespace {

/// Limit for the bytes of a pipelined request that are buffered during a response. Reading stops
/// above it.
constexpr std::size_t max_inbox_bytes = std::size_t{64} * 1024;
/// Value of `Retry-After` with status 503, in seconds. Slow readers are disconnected within about a
/// second.
constexpr char refused_retry_after[] = "0.500";
/// How long a server that stops waits for the first request on a new connection.
constexpr base::milliseconds first_request_timeout{1'000};
/// After the idle timeout of a connection that is not idle: time until the next check.
constexpr base::milliseconds busy_check_interval{1'000};
constexpr char connection_refused_reason[] = "too_many_connections";
constexpr char connection_refused_detail[] = "the server has as many connections as it takes";

/// Formats an error response after which the connection ends.
std::string format_refusal(int status, std::string_view reason, std::string_view detail) {
    http_response response = problem_response(status, reason, detail);
    if (status == 503) {
        response.headers.add("Retry-After", refused_retry_after);
    }
    return format_response_head({.status = status,
                                 .headers = &response.headers,
                                 .body_size = response.body.size(),
                                 .keep_alive = false}) +
           response.body;
}

}  // namespace

std::string refusal_of_connection() {
    return format_refusal(503, connection_refused_reason, connection_refused_detail);
}

std::string_view to_string(delivery_stage stage) {
    switch (stage) {
        case delivery_stage::request_arriving:
            return "request_arriving";
        case delivery_stage::in_progress:
            return "in_progress";
        case delivery_stage::unsent:
            return "unsent";
        case delivery_stage::unacknowledged:
            return "unacknowledged";
    }
    return "unknown";
}

void http_server_core::stop_accepting() {
    stopping = true;
    const auto current = sessions;
    for (const auto& session : current) {
        session->close_when_idle();
    }
}

std::vector<undelivered_response> http_server_core::undelivered() const {
    std::vector<undelivered_response> all;
    for (const auto* group : {&sessions, &ending_sessions}) {
        for (const auto& session : *group) {
            if (auto found = session->undelivered(); found.has_value()) {
                all.push_back(*std::move(found));
            }
        }
    }
    return all;
}

void http_server_core::reject_arriving(std::string_view reason, std::string_view detail) {
    const auto current = sessions;
    for (const auto& session : current) {
        session->reject_arriving(reason, detail);
    }
}

void http_server_core::shut_down() {
    stopping = true;
    const auto current = std::exchange(sessions, {});
    for (const auto& session : current) {
        session->close();
    }
    ending_sessions.clear();
    handler = nullptr;
    options.on_undelivered = nullptr;
}

http_session::http_session(boost::asio::io_context& context, std::shared_ptr<http_server_core> core,
                           std::shared_ptr<connection> link)
    : core_(std::move(core)),
      link_(std::move(link)),
      buffered_request_(core_->options.buffered, buffer_kind::bodies),
      request_deadline_(context, [this] { on_request_timeout(); }) {}

void http_session::start(bool is_overloaded) {
    overloaded_ = is_overloaded;
    link_->on_ended([session = weak_from_this()](const closed_connection& end) {
        if (const auto self = session.lock(); self != nullptr) {
            self->on_connection_ended(end);
        }
    });
    restart_idle_timeout();
    link_->accept([self = shared_from_this()](const absl::Status& status) {
        if (!status.ok()) {
            self->unregister();
            return;
        }
        self->is_established_ = true;
        self->link_->attach(self);
    });
}

void http_session::restart_idle_timeout() {
    idle_timeout_ = core_->options.request_timeout;
    request_deadline_.set_after(idle_timeout_);
}

void http_session::on_data(std::string_view bytes) {
    if (!responding_ && !has_request_bytes()) {
        // The time since the previous response does not count.
        restart_idle_timeout();
    }
    inbox_.append(bytes);
    received_bytes_ += bytes.size();
    core_->receiving_bytes += bytes.size();
    buffered_request_.add(bytes.size());
    if (!responding_) {
        if (!is_within_memory_limits()) {
            refuse(503, "too_many_requests_arriving",
                   "the server holds as many bytes of incomplete requests as it takes");
            return;
        }
        read_request();
    } else if (inbox_.size() > max_inbox_bytes) {
        link_->pause_reading();
    }
}

/// Whether the bytes received for this request are within the memory limits.
bool http_session::is_within_memory_limits() const {
    const std::shared_ptr<buffered_bytes>& buffered = core_->options.buffered;
    return core_->receiving_bytes <= core_->options.max_receiving_bytes &&
           (buffered == nullptr ||
            buffered->admits(buffered_request_.size(), buffered_request_.size()));
}

void http_session::read_request() {
    if (reader_ == nullptr) {
        // Created with the first bytes, so that the limits in force now apply.
        reader_ = std::make_unique<http_request_reader>(core_->options.max_header_bytes,
                                                        core_->options.max_body_bytes);
    }
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
        refuse(503, connection_refused_reason, connection_refused_detail);
    } else if (const auto& buffered = core_->options.buffered;
               buffered != nullptr && !buffered->admits(reader_->content_length())) {
        refuse(503, "memory_bound", "the server holds as many bytes as it may");
    } else if (reader_->expects_continue()) {
        link_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_session::dispatch() {
    request_deadline_.clear();
    release_received();
    responding_ = true;
    is_response_complete_ = false;
    has_read_request_ = true;
    client_keeps_alive_ = reader_->keep_alive();
    supports_chunks_ = reader_->supports_chunks();
    http_request request = reader_->release();
    request.peer = link_->peer();
    request_id_ = request.headers.find(core_->options.request_id_header).value_or("");
    reader_ = nullptr;
    auto exchange =
        std::make_shared<session_exchange>(core_, shared_from_this(), std::move(request));
    exchange_ = exchange;
    // The copy is needed because the handler may destroy the server.
    const auto handler = core_->handler;
    handler(std::move(exchange));
}

void http_session::on_response_complete() {
    responding_ = false;
    is_response_complete_ = true;
    exchange_.reset();
    if (ended_) {
        return;
    }
    if (is_close_announced_ || (close_when_idle_ && !is_request_arriving())) {
        end_after_writes(body_framing::length);
        return;
    }
    restart_idle_timeout();
    link_->resume_reading();
    if (!inbox_.empty()) {
        // Posted to the event loop so that handlers that respond immediately do not nest requests.
        link_->post([self = shared_from_this()] {
            if (!self->responding_ && !self->ended_) {
                self->read_request();
            }
        });
    }
}

bool http_session::keeps_alive() const {
    return client_keeps_alive_ && !close_when_idle_ && !core_->stopping && !core_->closing;
}

bool http_session::announce_keep_alive(bool is_possible) {
    // A request that has arrived already is answered on its connection.
    const bool is_open_after = keeps_alive() || (client_keeps_alive_ && is_request_arriving());
    is_close_announced_ = !is_possible || !is_open_after;
    return !is_close_announced_;
}

void http_session::refuse(int status, std::string_view reason, std::string_view detail) {
    link_->write(format_refusal(status, reason, detail));
    request_id_.clear();
    is_response_complete_ = true;
    end_after_writes(body_framing::length);
}

void http_session::on_request_timeout() {
    if (has_request_bytes()) {
        refuse(408, "request_timeout", "the whole request did not arrive in time");
        return;
    }
    if (!close_when_idle_ && idle_timeout_ < core_->options.request_timeout) {
        // The limits have changed meanwhile.
        const base::milliseconds rest = core_->options.request_timeout - idle_timeout_;
        idle_timeout_ = core_->options.request_timeout;
        request_deadline_.set_after(rest);
        return;
    }
    if (link_->has_unread_bytes() || link_->pending_bytes() > 0) {
        // The request has arrived during a pause of the process, or the client still reads the
        // previous response, which has timeouts of its own.
        request_deadline_.set_after(busy_check_interval);
        return;
    }
    close();
}

void http_session::on_progress() {
    if (const auto exchange = exchange_.lock(); exchange != nullptr) {
        exchange->on_client_progress();
    }
    if (!responding_ && !ended_ && !has_request_bytes() && link_->pending_bytes() == 0) {
        // The response has left the process only now.
        restart_idle_timeout();
    }
}

void http_session::on_lost(const absl::Status& status) {
    lost_reason_ = base::details_of(status).reason;
    const auto exchange = exchange_.lock();
    exchange_.reset();
    unregister();
    if (exchange != nullptr) {
        exchange->on_client_closed();
    }
}

void http_session::close_when_idle() {
    close_when_idle_ = true;
    if (responding_ || is_request_arriving()) {
        return;
    }
    if (has_read_request_) {
        end_after_writes(body_framing::length);
    } else {
        request_deadline_.set_after(
            std::min(core_->options.request_timeout, first_request_timeout));
    }
}

void http_session::reject_arriving(std::string_view reason, std::string_view detail) {
    if (responding_) {
        return;
    }
    if (is_request_arriving()) {
        refuse(503, reason, detail);
    } else {
        end_after_writes(body_framing::length);
    }
}

void http_session::close() {
    const auto exchange = exchange_.lock();
    exchange_.reset();
    unregister();
    link_->close();
    if (exchange != nullptr) {
        exchange->on_client_closed();
    }
}

void http_session::abort_after_writes(body_framing framing) {
    exchange_.reset();
    responding_ = false;
    end_after_writes(framing);
}

void http_session::end_after_writes(body_framing framing) {
    const auto self = shared_from_this();
    unregister();
    if (!link_->is_open()) {
        return;
    }
    core_->ending_sessions.insert(self);
    if (framing == body_framing::until_close) {
        link_->reset_after_writes();
    } else {
        link_->close_after_writes();
    }
}

void http_session::on_connection_ended(const closed_connection& end) {
    core_->ending_sessions.erase(shared_from_this());
    if (is_response_complete_ && end.unsent_bytes > 0 && core_->options.on_undelivered) {
        core_->options.on_undelivered({.request = request_id_,
                                       .peer = link_->peer(),
                                       .stage = delivery_stage::unsent,
                                       .bytes = end.unsent_bytes + end.unacknowledged_bytes,
                                       .reason = end.reason});
    }
}

bool http_session::has_request_bytes() const {
    return !inbox_.empty() || (reader_ != nullptr && reader_->has_begun());
}

bool http_session::is_request_arriving() {
    return has_request_bytes() || (is_established_ && link_->has_unread_bytes());
}

std::optional<undelivered_response> http_session::undelivered() const {
    undelivered_response found{.request = request_id_,
                               .peer = link_->peer(),
                               .bytes = link_->pending_bytes() + link_->unacknowledged_bytes()};
    if (responding_) {
        found.stage = delivery_stage::in_progress;
        return found;
    }
    if (!ended_ && has_request_bytes()) {
        found.request.clear();
        found.stage = delivery_stage::request_arriving;
        return found;
    }
    if (!is_response_complete_ || found.bytes == 0) {
        return std::nullopt;
    }
    found.stage =
        link_->pending_bytes() > 0 ? delivery_stage::unsent : delivery_stage::unacknowledged;
    return found;
}

void http_session::release_received() {
    core_->receiving_bytes -= std::exchange(received_bytes_, 0);
    buffered_request_.set(0);
}

void http_session::unregister() {
    ended_ = true;
    release_received();
    // The session exists until its connection has ended, which may take seconds.
    reader_ = nullptr;
    std::string().swap(inbox_);
    request_deadline_.clear();
    core_->sessions.erase(shared_from_this());
}

}  // namespace pearbarrow::net
