// Forwarding of response bytes from the back end to the caller.
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// Maximum size of a response that is buffered completely. Larger responses are streamed, after
/// which a retry can no longer replace the attempt. Responses of tools have some hundred bytes to a
/// few KB.
constexpr std::size_t max_buffered_response = std::size_t{64} * 1024;

}  // namespace

void forwarded_request::on_chunk(std::string_view bytes) {
    context_.traffic.received(target_.zone, bytes.size());
    if (is_verifying_) {
        unverified_bytes_.append(bytes);
        return;
    }
    if (stage_ != response_stage::streaming) {
        buffer_response(bytes);
        return;
    }
    if (is_from_other_software()) {
        break_off("the back end restarted with another software version", "version_changed");
        return;
    }
    if (is_stream()) {
        record_process();
        events_.feed(bytes);
    }
    if (route_.keeps_history && events_.overflowed()) {
        // The output that would be stored lacks the event.
        break_off("an event is too long to be stored", "event_too_long");
        return;
    }
    exchange_->write(std::string(bytes));
    pause_reading();
}

void forwarded_request::break_off(std::string_view message, std::string_view reason) {
    call_.reset();
    on_attempt_failed(base::make_error(absl::StatusCode::kUnavailable, message,
                                       {.step = "read",
                                        .peer = target_.id,
                                        .reason = std::string(reason),
                                        .was_executed = base::executed::unknown}));
}

void forwarded_request::buffer_response(std::string_view bytes) {
    if (is_rejection_) {
        // The body of a rejection is discarded.
        return;
    }
    body_.append(bytes);
    buffered_bytes_.set(body_.size());
    if (body_.size() <= max_buffered_response) {
        return;
    }
    stage_ = response_stage::streaming;
    exchange_->start_stream(status_, returned_headers(headers_));
    exchange_->write(std::exchange(body_, {}));
    buffered_bytes_.set(0);
    pause_reading();
}

/// A slot at a back end is expensive, so its response is read immediately. A slow caller occupies
/// the slot only once its buffered bytes reach its share.
void forwarded_request::pause_reading() {
    if (is_reading_paused_ || context_.buffered == nullptr ||
        exchange_->pending_bytes() <= context_.buffered->share()) {
        return;
    }
    is_reading_paused_ = true;
    context_.log.count_paused_reading();
    exchange_->on_progress([this] { resume_reading(); });
    call_->pause();
}

void forwarded_request::resume_reading() {
    // The threshold is half of the share, so that reading does not pause and resume every few
    // bytes.
    if (!is_reading_paused_ || call_ == nullptr ||
        exchange_->pending_bytes() > context_.buffered->share() / 2) {
        return;
    }
    is_reading_paused_ = false;
    was_reading_paused_ = true;
    call_->resume();
}

/// The exchange reports whether the caller closed the connection or was disconnected because it
/// reads too slowly or has too many buffered bytes.
std::string_view forwarded_request::caller_gone_reason() const {
    const std::string reason = exchange_->lost_reason();
    if (reason == "slow_reader") {
        return "slow_reader";
    }
    return reason == "memory_bound" ? "memory_bound" : "caller_gone";
}

}  // namespace pearbarrow::forward
