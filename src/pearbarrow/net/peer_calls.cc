#include "pearbarrow/net/peer_calls.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {

call_timeouts::call_timeouts(boost::asio::io_context& context)
    : timer_(context, [this] { run_expired(); }) {}

call_timeouts::key call_timeouts::add(base::instant when, std::function<void()> task) {
    const key entry{when, ++last_serial_};
    const bool is_first = tasks_.empty() || entry < tasks_.begin()->first;
    tasks_.emplace(entry, std::move(task));
    if (is_first) {
        timer_.set(when);
    }
    return entry;
}

void call_timeouts::run_expired() {
    const base::instant current_time = now();
    while (!tasks_.empty() && tasks_.begin()->first.first <= current_time) {
        const auto node = tasks_.extract(tasks_.begin());
        node.mapped()();
    }
    if (!tasks_.empty()) {
        timer_.set(tasks_.begin()->first.first);
    }
}

void outgoing_call::expire_after(base::milliseconds timeout) {
    if (timeout.count() > 0) {
        timeout_ = timeouts_.add(now() + timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self != nullptr) {
                self->expire();
            }
        });
    }
}

void outgoing_call::part(std::string_view payload) {
    if (!done_ && callbacks_.on_part) {
        callbacks_.on_part(payload);
    }
}

void outgoing_call::complete(absl::StatusOr<std::string> result) {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    finish();
    if (callbacks_.on_done) {
        callbacks_.on_done(std::move(result));
    }
    callbacks_ = {};
}

void outgoing_call::expire() {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    const bool may_have_executed = withdraw_ && withdraw_();
    complete(base::make_error(
        absl::StatusCode::kDeadlineExceeded, "no answer in time",
        {.step = "peer_call",
         .peer = peer_,
         .reason = "deadline_exceeded",
         .was_executed = may_have_executed ? base::executed::unknown : base::executed::no}));
}

void outgoing_call::cancel() {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    const auto withdraw = withdraw_;
    finish();
    if (withdraw) {
        withdraw();
    }
    // `callbacks_` is kept until the call is destroyed because one of the callbacks may be running.
}

void outgoing_call::finish() {
    done_ = true;
    withdraw_ = nullptr;
    if (timeout_.has_value()) {
        timeouts_.remove(*timeout_);
        timeout_.reset();
    }
}

absl::Status queue_full(std::string_view peer) {
    return base::make_error(
        absl::StatusCode::kResourceExhausted, "too much waits to be sent to the node",
        {.step = "peer_call", .peer = std::string(peer), .reason = "peer_queue_full"});
}

void dispatch_method(peer_core& core, method_number method, std::string_view payload,
                     std::shared_ptr<peer_responder> responder) {
    const auto found = core.methods.find(method);
    if (found == core.methods.end()) {
        responder->fail(base::make_error(
            absl::StatusCode::kUnimplemented, "no method " + std::to_string(method),
            {.step = "peer_call", .peer = core.options.self.value(), .reason = "unknown_method"}));
        return;
    }
    found->second(payload, std::move(responder));
}

namespace {

class local_responder final : public peer_responder,
                              public std::enable_shared_from_this<local_responder> {
  public:
    local_responder(std::weak_ptr<peer_core> core, std::weak_ptr<outgoing_call> call,
                    base::node_id self, base::milliseconds timeout)
        : core_(std::move(core)),
          call_(std::move(call)),
          self_(std::move(self)),
          timeout_(timeout) {}
    local_responder(const local_responder&) = delete;
    local_responder& operator=(const local_responder&) = delete;
    ~local_responder() override {
        local_responder::fail(base::make_error(absl::StatusCode::kInternal,
                                               "the request was dropped without an answer",
                                               {.step = "peer_call",
                                                .peer = self_.value(),
                                                .reason = "unanswered",
                                                .was_executed = base::executed::unknown}));
    }

    base::node_id caller() const override { return self_; }
    base::milliseconds timeout() const override { return timeout_; }

    void send_part(std::string payload) override {
        if (!ended_) {
            to_caller([payload = std::move(payload)](peer_core&, outgoing_call& call) {
                call.part(payload);
            });
        }
    }
    void finish(std::string payload) override { reply(std::move(payload)); }
    void fail(absl::Status status) override { reply(std::move(status)); }
    void on_cancelled(std::function<void()> callback) override {
        if (!ended_) {
            on_cancelled_ = std::move(callback);
        }
    }
    // The backlog contains no requests of the node itself.
    void mark_as_long_poll() override {}

    void on_caller_cancelled() {
        if (std::exchange(ended_, true)) {
            return;
        }
        if (const auto callback = std::exchange(on_cancelled_, nullptr); callback) {
            callback();
        }
    }

  private:
    template <typename Task>
    void to_caller(Task task) {
        const auto core = core_.lock();
        if (core == nullptr || core->shut_down) {
            return;
        }
        boost::asio::post(core->context, [core, weak = call_, task = std::move(task)]() mutable {
            if (const auto call = weak.lock(); call != nullptr && !core->shut_down) {
                task(*core, *call);
            }
        });
    }

    void reply(absl::StatusOr<std::string> result) {
        if (std::exchange(ended_, true)) {
            return;
        }
        on_cancelled_ = nullptr;
        to_caller([result = std::move(result)](peer_core& core, outgoing_call& call) mutable {
            core.local_calls.erase(call.shared_from_this());
            call.complete(std::move(result));
        });
    }

    std::weak_ptr<peer_core> core_;
    std::weak_ptr<outgoing_call> call_;
    base::node_id self_;
    base::milliseconds timeout_;
    std::function<void()> on_cancelled_;
    bool ended_ = false;
};

}  // namespace

void start_local_call(const std::shared_ptr<peer_core>& core,
                      const std::shared_ptr<outgoing_call>& call, method_number method,
                      std::string payload, base::milliseconds timeout) {
    core->local_calls.insert(call);
    auto responder = std::make_shared<local_responder>(core, call, core->options.self, timeout);
    call->set_withdraw([weak_core = std::weak_ptr(core), weak_call = std::weak_ptr(call),
                        weak_responder = std::weak_ptr(responder)] {
        const auto owner = weak_core.lock();
        if (owner == nullptr) {
            return true;
        }
        owner->local_calls.erase(weak_call.lock());
        auto notify = [weak_responder] {
            if (const auto alive = weak_responder.lock(); alive != nullptr) {
                alive->on_caller_cancelled();
            }
        };
        if (owner->shut_down) {
            notify();
        } else {
            boost::asio::post(owner->context, std::move(notify));
        }
        return true;
    });
    boost::asio::post(core->context, [core, call, method, payload = std::move(payload),
                                      responder = std::move(responder)]() mutable {
        if (!core->shut_down && !call->is_done()) {
            dispatch_method(*core, method, payload, std::move(responder));
        }
    });
}

}  // namespace pearbarrow::net
