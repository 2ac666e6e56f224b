#include "pearbarrow/net/http_call_core.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

constexpr std::size_t client_read_bytes = std::size_t{16} * 1024;
/// A server that sends more interim responses (1xx) to one request is taken for malfunctioning.
constexpr std::uint32_t max_interim_responses = 32;

}  // namespace

http_call_core::http_call_core(std::shared_ptr<http_client_core> core, http_call call,
                               http_call_callbacks callbacks)
    : core_(std::move(core)),
      call_(std::move(call)),
      callbacks_(std::move(callbacks)),
      deadline_(core_->context, [this] { on_timeout(); }),
      total_deadline_(core_->context, [this] { on_timeout(); }) {}

void http_call_core::start() {
    if (done_) {
        return;
    }
    if (call_.head_timeout.count() > 0) {
        deadline_.set_after(call_.head_timeout);
    }
    if (call_.total_timeout.count() > 0) {
        total_deadline_.set_after(call_.total_timeout);
    }
    if (!core_->tls_status.ok()) {
        end(core_->tls_status);
        return;
    }
    if (auto link = core_->take_idle({call_.server, call_.server_incarnation}); link != nullptr) {
        was_idle_ = true;
        send(std::move(link));
        return;
    }
    connect();
}

void http_call_core::connect() {
    was_idle_ = false;
    if (call_.connect_timeout.count() > 0) {
        deadline_.set_after(call_.connect_timeout);
    }
    const connection_options limits{.read_buffer_bytes = client_read_bytes,
                                    .buffered = core_->options.buffered,
                                    .kind = buffer_kind::requests};
    link_ = std::make_shared<connection>(core_->context, connection::tcp::socket(core_->context),
                                         core_->tls, limits);
    const auto started_at = std::chrono::steady_clock::now();
    link_->connect(
        call_.server, [self = shared_from_this(), started_at](const absl::Status& status) {
            if (self->done_) {
                return;
            }
            if (!status.ok()) {
                self->fail_to_connect(status);
                return;
            }
            if (self->callbacks_.on_connected) {
                self->callbacks_.on_connected(std::chrono::duration_cast<base::microseconds>(
                    std::chrono::steady_clock::now() - started_at));
            }
            self->send(self->link_);
        });
}

void http_call_core::start_response() {
    reader_ = std::make_unique<http_response_reader>(
        http_response_reader::options{.for_head_request = call_.method == "HEAD",
                                      .max_body_bytes = call_.max_body_bytes,
                                      .on_body = [this](std::string_view part) {
                                          if (!done_ && callbacks_.on_chunk) {
                                              callbacks_.on_chunk(part);
                                          }
                                      }});
}

bool http_call_core::is_withdrawn(const std::shared_ptr<connection>& link) {
    const bool may_send = !call_.may_send || call_.may_send();
    if (may_send &&
        (!call_.may_use_connection || call_.may_use_connection(link->time_since_first_bytes()))) {
        return false;
    }
    core_->keep_idle({call_.server, call_.server_incarnation}, link, std::nullopt,
                     std::move(call_.on_idle_lost));
    link_ = nullptr;
    end(base::make_error(
        absl::StatusCode::kAborted, "the request may not be sent any more",
        {.step = "send",
         .peer = to_string(call_.server),
         .reason = std::string(withdrawn_reason),
         .was_executed = was_sent_ ? base::executed::unknown : base::executed::no}));
    return true;
}

void http_call_core::send(std::shared_ptr<connection> link) {
    if (is_withdrawn(link)) {
        return;
    }
    was_sent_ = true;
    end_ = {};
    link_ = std::move(link);
    inbox_.clear();
    if (call_.head_timeout.count() > 0) {
        deadline_.set_after(call_.head_timeout);
    } else {
        deadline_.clear();
    }
    start_response();
    request_position_ = link_->queued_position();
    link_->write(format_request_head(call_));
    // The request is kept for a retry only if a retry is possible.
    link_->write(was_idle_ && call_.method == "GET" && call_.resend_when_stale
                     ? call_.body
                     : std::move(call_.body));
    link_->attach(shared_from_this());
}

void http_call_core::on_data(std::string_view bytes) {
    if (done_) {
        return;
    }
    if (head_seen_ && !paused_ && call_.idle_timeout.count() > 0) {
        deadline_.set_after(call_.idle_timeout);
    }
    inbox_.append(bytes);
    read_response();
}

void http_call_core::read_response() {
    const auto self = shared_from_this();
    while (!done_) {
        // The reader stays alive if a callback cancels the call.
        switch (reader_->feed(inbox_)) {
            case read_progress::need_more:
                return;
            case read_progress::head_complete:
                on_head();
                break;
            case read_progress::complete:
                if (reader_->status() >= 200) {
                    complete();
                    return;
                }
                // "100 Continue" or "103 Early Hints": the final response follows.
                if (++interim_responses_ > max_interim_responses) {
                    end_.connection = connection_end::malformed;
                    fail(absl::StatusCode::kUnavailable, "too many interim responses", "read",
                         "malformed_response");
                    return;
                }
                start_response();
                break;
            case read_progress::failed:
                end_.connection = connection_end::malformed;
                if (reader_->body_too_large()) {
                    fail(absl::StatusCode::kResourceExhausted, "the answer is too long", "read",
                         "body_too_large");
                } else {
                    fail(absl::StatusCode::kUnavailable, reader_->failure(), "read",
                         "malformed_response");
                }
                return;
        }
    }
}

void http_call_core::on_head() {
    const int status = reader_->status();
    if (status < 200) {
        return;
    }
    head_seen_ = true;
    end_.framing = reader_->framing();
    if (call_.idle_timeout.count() > 0) {
        deadline_.set_after(call_.idle_timeout);
    } else {
        deadline_.clear();
    }
    if (callbacks_.on_head) {
        callbacks_.on_head(status, reader_->headers());
    }
}

void http_call_core::complete() {
    // The response is complete even if the call was paused during its last part. The next call must
    // be able to read from the connection.
    resume();
    end_.has_announced_bytes = true;
    if (is_whole() && reader_->keep_alive() && inbox_.empty() && link_->is_open()) {
        core_->keep_idle({call_.server, call_.server_incarnation}, link_, reader_->idle_lifetime(),
                         std::move(call_.on_idle_lost));
        link_ = nullptr;
    }
    conclude();
}

bool http_call_core::is_whole() {
    end_.is_inside_event = call_.is_inside_event && call_.is_inside_event();
    return verdict_of(end_) == response_verdict::whole;
}

void http_call_core::conclude() {
    if (is_whole()) {
        end(absl::OkStatus());
        return;
    }
    fail(absl::StatusCode::kUnavailable, "the response ended inside an event", "read",
         to_string(verdict_of(end_)));
}

body_framing http_call_core::framing() const {
    return end_.framing;
}

void http_call_core::on_lost(const absl::Status& status) {
    if (done_) {
        return;
    }
    const bool orderly = status.code() == absl::StatusCode::kOutOfRange;
    end_.connection = orderly ? connection_end::closed : connection_end::lost;
    if (orderly && reader_->end() == read_progress::complete) {
        conclude();
        return;
    }
    if (retry_request()) {
        return;
    }
    fail(absl::StatusCode::kUnavailable,
         head_seen_ ? "the connection broke in the middle of the answer"
                    : "the connection broke before the answer",
         "read", "connection_lost");
}

bool http_call_core::retry_request() {
    if (!was_idle_ || reader_->has_begun() || call_.method != "GET" || !call_.resend_when_stale) {
        return false;
    }
    may_have_run_before_ = may_have_run_before_ || may_have_been_sent();
    connect();
    return true;
}

void http_call_core::fail_to_connect(const absl::Status& status) {
    base::error_details details = base::details_of(status);
    if (may_have_run_before_) {
        details.was_executed = base::executed::unknown;
    }
    end(base::make_error(status.code(), std::string(status.message()), std::move(details)));
}

bool http_call_core::may_have_been_sent() const {
    return may_have_run_before_ ||
           (link_ != nullptr && reader_ != nullptr && link_->may_have_sent(request_position_));
}

void http_call_core::on_timeout() {
    end_.connection = connection_end::timed_out;
    fail(absl::StatusCode::kDeadlineExceeded,
         head_seen_ ? "the answer stopped coming" : "no answer in time",
         reader_ == nullptr ? "connect" : "read",
         head_seen_ ? "idle_timeout" : (reader_ == nullptr ? "connect_timeout" : "head_timeout"));
}

void http_call_core::fail(absl::StatusCode code, std::string_view message, std::string step,
                          std::string_view reason) {
    end(base::make_error(
        code, message,
        {.step = std::move(step),
         .peer = to_string(call_.server),
         .reason = std::string(reason),
         .was_executed = may_have_been_sent() ? base::executed::unknown : base::executed::no}));
}

void http_call_core::end(const absl::Status& status) {
    if (done_) {
        return;
    }
    if (head_seen_ && callbacks_.on_end) {
        end_.is_inside_event = call_.is_inside_event && call_.is_inside_event();
        callbacks_.on_end(end_);
    }
    const auto on_done = std::move(callbacks_.on_done);
    cancel();
    if (on_done) {
        on_done(status);
    }
}

void http_call_core::pause() {
    if (done_ || !head_seen_ || std::exchange(paused_, true)) {
        return;
    }
    deadline_.clear();
    link_->pause_reading();
}

void http_call_core::resume() {
    if (done_ || !std::exchange(paused_, false)) {
        return;
    }
    if (call_.idle_timeout.count() > 0) {
        deadline_.set_after(call_.idle_timeout);
    }
    link_->resume_reading();
}

void http_call_core::cancel() {
    if (done_) {
        return;
    }
    done_ = true;
    deadline_.clear();
    total_deadline_.clear();
    if (link_ != nullptr) {
        link_->close();
    }
    const auto self = shared_from_this();
    core_->calls.erase(self);
    // The captures of the callbacks are freed from the event loop because one of the callbacks may
    // be running.
    boost::asio::post(core_->context, [self] { self->callbacks_ = {}; });
}

}  // namespace pearbarrow::net
