// The bytes of an answer on their way from the back end to the caller.
#include <utility>

#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {
namespace {

/// An answer is gathered up to here, and passed on as it comes from then on: until then another
/// attempt may replace it. Answers of tools are some hundred bytes to a few KB.
constexpr std::size_t most_gathered = std::size_t{64} * 1024;

}  // namespace

void forwarded_request::on_chunk(std::string_view bytes) {
    context_.traffic.received(target_.zone, bytes.size());
    if (stage_ != answer_stage::streaming) {
        gather(bytes);
        return;
    }
    if (is_stream()) {
        events_.feed(bytes);
    }
    exchange_->write(std::string(bytes));
    hold_back();
}

void forwarded_request::gather(std::string_view bytes) {
    if (is_refusal_) {
        // Its body goes to nobody.
        return;
    }
    body_.append(bytes);
    gathered_.set(body_.size());
    if (body_.size() <= most_gathered) {
        return;
    }
    stage_ = answer_stage::streaming;
    exchange_->start_stream(status_, passed_back(headers_));
    exchange_->write(std::exchange(body_, {}));
    gathered_.set(0);
    hold_back();
}

/// A back end's place is dear, so its answer is taken at once; a caller that doesn't read keeps the
/// place only once the node holds as much for it as it may.
void forwarded_request::hold_back() {
    if (held_back_ || context_.held == nullptr ||
        exchange_->pending_bytes() <= context_.held->share()) {
        return;
    }
    held_back_ = true;
    context_.log.count_held_back();
    exchange_->on_progress([this] { read_on(); });
    call_->pause();
}

void forwarded_request::read_on() {
    // Half of the share: a connection is not stopped and started for every few bytes.
    if (!held_back_ || call_ == nullptr ||
        exchange_->pending_bytes() > context_.held->share() / 2) {
        return;
    }
    held_back_ = false;
    was_held_back_ = true;
    call_->resume();
}

/// The connection's end tells whether the caller left or was left: one that takes nothing, or for
/// which too much is held, is cut off.
std::string_view forwarded_request::why_caller_went() const {
    const std::string reason = exchange_->lost_reason();
    if (reason == "slow_reader") {
        return "slow_reader";
    }
    return reason == "memory_bound" ? "memory_bound" : "caller_gone";
}

}  // namespace pearbarrow::forward
