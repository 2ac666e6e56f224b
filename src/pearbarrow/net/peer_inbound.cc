#include <algorithm>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/peer_link.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::net {

namespace {

/// Upper bound for the timeout of a frame. Longer timeouts are reduced to it.
constexpr base::milliseconds max_timeout = std::chrono::hours(24);

base::milliseconds bounded_timeout(std::uint64_t requested) {
    const auto limit = static_cast<std::uint64_t>(max_timeout.count());
    return base::milliseconds(static_cast<std::int64_t>(std::min(requested, limit)));
}

}  // namespace

class remote_responder final : public peer_responder {
  public:
    remote_responder(const std::shared_ptr<peer_inbound>& link, const peer_frame& request,
                     const peer_rpc_options& options)
        : link_(link),
          caller_(link->caller()),
          self_(options.self),
          call_(request.call),
          method_(request.method),
          timeout_(bounded_timeout(request.timeout_milliseconds)),
          max_payload_bytes_(options.max_frame_bytes - frame_overhead_bytes) {}
    remote_responder(const remote_responder&) = delete;
    remote_responder& operator=(const remote_responder&) = delete;
    ~remote_responder() override {
        remote_responder::fail(base::make_error(absl::StatusCode::kInternal,
                                                "the request was dropped without an answer",
                                                {.step = "peer_call",
                                                 .peer = self_.value(),
                                                 .reason = "unanswered",
                                                 .was_executed = base::executed::unknown}));
    }

    base::node_id caller() const override { return caller_; }
    base::milliseconds timeout() const override { return timeout_; }

    void send_part(std::string payload) override {
        if (fits_in_frame(payload)) {
            send(frame_kind::part, std::move(payload));
        }
    }

    void finish(std::string payload) override {
        if (fits_in_frame(payload)) {
            send(frame_kind::reply, std::move(payload));
            end();
        }
    }

    void fail(absl::Status status) override {
        if (status.ok()) {
            status = absl::InternalError("failed without an error");
        }
        send(frame_kind::error, wire::encode(to_error_message(status)));
        end();
    }

    void on_cancelled(std::function<void()> callback) override {
        if (!ended_) {
            on_cancelled_ = std::move(callback);
        }
    }

    void mark_as_long_poll() override { is_long_poll_ = true; }
    bool is_long_poll() const { return is_long_poll_; }

    /// Called when the caller disconnects or cancels the request.
    void on_caller_cancelled() {
        if (std::exchange(ended_, true)) {
            return;
        }
        if (const auto callback = std::exchange(on_cancelled_, nullptr); callback) {
            callback();
        }
    }

  private:
    /// Whether the payload fits into a frame. A reply that does not fit ends the request with an
    /// error.
    bool fits_in_frame(const std::string& payload) {
        if (payload.size() <= max_payload_bytes_) {
            return true;
        }
        fail(base::make_error(absl::StatusCode::kResourceExhausted, "the answer is too long",
                              {.step = "peer_call",
                               .peer = self_.value(),
                               .reason = "frame_too_large",
                               .was_executed = base::executed::unknown}));
        return false;
    }

    void send(frame_kind kind, std::string payload) {
        const auto link = link_.lock();
        if (!ended_ && link != nullptr) {
            link->send_reply({.kind = static_cast<std::uint8_t>(kind),
                              .call = call_,
                              .method = method_,
                              .payload = std::move(payload)});
        }
    }

    void end() {
        if (std::exchange(ended_, true)) {
            return;
        }
        on_cancelled_ = nullptr;
        if (const auto link = link_.lock(); link != nullptr) {
            link->remove_request(call_);
        }
    }

    std::weak_ptr<peer_inbound> link_;
    base::node_id caller_;
    base::node_id self_;
    std::uint64_t call_;
    wire::method_number method_;
    base::milliseconds timeout_;
    std::size_t max_payload_bytes_;
    std::function<void()> on_cancelled_;
    bool is_long_poll_ = false;
    bool ended_ = false;
};

void peer_inbound::start() {
    link_->accept([self = std::static_pointer_cast<peer_inbound>(shared_from_this())](
                      const absl::Status& status) {
        if (self->has_ended()) {
            return;
        }
        if (!status.ok()) {
            self->close_with_error(status);
            return;
        }
        self->begin();
        self->send_hello();
    });
}

absl::Status peer_inbound::on_hello(const hello_message& hello) {
    caller_ = hello.node;
    return absl::OkStatus();
}

absl::Status peer_inbound::on_frame(peer_frame frame) {
    switch (static_cast<frame_kind>(frame.kind)) {
        case frame_kind::request:
            return begin_request(frame);
        case frame_kind::cancel: {
            const auto node = requests_.extract(frame.call);
            if (const auto responder = node.empty() ? nullptr : node.mapped().lock();
                responder != nullptr) {
                responder->on_caller_cancelled();
            }
            return absl::OkStatus();
        }
        default:
            return base::make_error(
                absl::StatusCode::kInvalidArgument, "a frame that has no place here",
                {.step = "peer_frame", .peer = link_->peer(), .reason = "malformed_frame"});
    }
}

absl::Status peer_inbound::begin_request(const peer_frame& frame) {
    const bool is_full = requests_.size() >= core_->options.max_open_requests;
    auto self = std::static_pointer_cast<peer_inbound>(shared_from_this());
    auto responder = std::make_shared<remote_responder>(self, frame, core_->options);
    if (requests_.count(frame.call) > 0) {
        responder->on_caller_cancelled();
        return base::make_error(
            absl::StatusCode::kInvalidArgument, "a number of a call used twice",
            {.step = "peer_frame", .peer = link_->peer(), .reason = "malformed_frame"});
    }
    if (core_->stopping) {
        responder->fail(base::make_error(
            absl::StatusCode::kUnavailable, "the node is stopping",
            {.step = "peer_call", .peer = core_->options.self.value(), .reason = "node_stopping"}));
        return absl::OkStatus();
    }
    if (is_full) {
        responder->fail(queue_full(core_->options.self.value()));
        return absl::OkStatus();
    }
    requests_.emplace(frame.call, responder);
    start_silence_detection();
    dispatch_method(*core_, frame.method, frame.payload, std::move(responder));
    return absl::OkStatus();
}

std::size_t peer_inbound::open_requests() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
            const auto responder = entry.second.lock();
            return responder != nullptr && !responder->is_long_poll();
        }));
}

void peer_inbound::on_ended(const absl::Status& /*status*/) {
    core_->inbound.erase(std::static_pointer_cast<peer_inbound>(shared_from_this()));
    const auto requests = std::exchange(requests_, {});
    for (const auto& [call, weak] : requests) {
        if (const auto responder = weak.lock(); responder != nullptr) {
            responder->on_caller_cancelled();
        }
    }
}

}  // namespace pearbarrow::net
