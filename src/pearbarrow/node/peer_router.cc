#include "pearbarrow/node/peer_router.h"

#include <algorithm>
#include <array>
#include <utility>

#include "pearbarrow/base/log.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/membership/rendezvous.h"
#include "pearbarrow/node/backoff.h"
#include "pearbarrow/node/shard_hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::node {

namespace {

/// Reasons that mean: the request found no owner, or lost it. It may be sent again elsewhere.
constexpr std::array<std::string_view, 11> retryable_reasons = {
    "not_owner",       "owner_lost",           "node_stopping", "connect_failed",
    "connection_lost", "peer_silent",          "slow_reader",   "peer_queue_full",
    "unanswered",      "tls_handshake_failed", "links_closed"};

bool is_retryable(const base::error_details& details) {
    return details.step == "peer_hello" ||
           std::find(retryable_reasons.begin(), retryable_reasons.end(), details.reason) !=
               retryable_reasons.end();
}

std::uint64_t milliseconds_left(base::instant deadline, base::instant now) {
    const auto left = std::chrono::duration_cast<base::milliseconds>(deadline - now).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(left, 1));
}

}  // namespace

/// One request on its way, through as many owners as it takes.
class routed_request : public std::enable_shared_from_this<routed_request> {
  public:
    routed_request(peer_router& router, std::uint64_t id, wire::program_request request,
                   base::milliseconds timeout, gateway::program_route_callbacks callbacks);

    void begin();
    void cancel();
    /// Sends the request elsewhere when it waits for a node that is gone.
    void reconsider();
    /// Ends the request with an error, since the node stops.
    void give_up();

  private:
    void send();
    void refresh_deadline();
    void take_part(std::string_view payload);
    void take_end(absl::StatusOr<std::string> payload);
    void retry_later();
    void finish(absl::StatusOr<wire::program_reply> reply);
    absl::Status out_of_time() const;
    absl::Status failure(std::string_view message, std::string_view reason) const;

    peer_router& router_;
    std::uint64_t id_;
    wire::program_request request_;
    gateway::program_route_callbacks callbacks_;
    base::shard_id shard_;
    base::instant started_;
    base::milliseconds timeout_;
    base::milliseconds call_deadline_{0};
    base::node_id target_;
    std::unique_ptr<net::peer_call_handle> call_;
    std::unique_ptr<net::timer_handle> retry_timer_;
    std::unique_ptr<net::timer_handle> deadline_timer_;
    backoff backoff_{base::milliseconds(10), base::milliseconds(250)};
    absl::Status last_error_;
    bool may_have_run_ = false;
    bool done_ = false;
};

routed_request::routed_request(peer_router& router, std::uint64_t id, wire::program_request request,
                               base::milliseconds timeout,
                               gateway::program_route_callbacks callbacks)
    : router_(router),
      id_(id),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      shard_(shard_of(wire::routing_program(request_), router.context_.settings.shard_count)),
      started_(router.context_.now()),
      timeout_(timeout) {
    if (!request_.submit.has_value()) {
        return;
    }
    call_deadline_ = base::milliseconds(request_.submit->deadline_ms);
    if (request_.submit->number.value() == 0 && request_.submit->idempotency_key.empty()) {
        request_.submit->idempotency_key = "route-" + router_.context_.random.hex_id();
    }
}

void routed_request::begin() {
    if (timeout_.count() > 0) {
        deadline_timer_ = router_.context_.loop.after(timeout_, [self = weak_from_this()] {
            if (const auto request = self.lock()) {
                request->finish(request->out_of_time());
            }
        });
    }
    router_.budget_.first_try();
    // No callback runs inside the router's `start`.
    retry_timer_ = router_.context_.loop.after(base::microseconds(0), [self = weak_from_this()] {
        if (const auto request = self.lock()) {
            request->send();
        }
    });
}

void routed_request::cancel() {
    done_ = true;
    call_.reset();
    retry_timer_.reset();
    deadline_timer_.reset();
    callbacks_ = {};
    router_.open_.erase(id_);
}

void routed_request::reconsider() {
    if (done_ || call_ == nullptr || !router_.is_gone(target_)) {
        return;
    }
    may_have_run_ = true;
    call_.reset();
    router_.owner_denied(shard_, target_, {});
    retry_later();
}

void routed_request::refresh_deadline() {
    if (request_.submit.has_value() && call_deadline_.count() > 0) {
        request_.submit->deadline_ms =
            milliseconds_left(started_ + call_deadline_, router_.context_.now());
    }
}

void routed_request::send() {
    const auto target = router_.target_for(shard_);
    const auto address =
        target.has_value() ? router_.membership_.peer_address(*target) : std::nullopt;
    if (!address.has_value()) {
        retry_later();
        return;
    }
    target_ = *target;
    refresh_deadline();
    net::peer_call_callbacks callbacks;
    callbacks.on_part = [self = weak_from_this()](std::string_view payload) {
        if (const auto request = self.lock()) {
            request->take_part(payload);
        }
    };
    callbacks.on_done = [self = weak_from_this()](absl::StatusOr<std::string> payload) {
        if (const auto request = self.lock()) {
            request->take_end(std::move(payload));
        }
    };
    base::milliseconds timeout{0};
    if (timeout_.count() > 0) {
        timeout =
            base::milliseconds(milliseconds_left(started_ + timeout_, router_.context_.now()));
    }
    call_ = router_.context_.rpc.call(target_, *address, wire::route_program_request,
                                      wire::encode(request_), timeout, std::move(callbacks));
}

void routed_request::take_part(std::string_view payload) {
    const auto part = wire::decode<wire::reply_part>(payload);
    if (done_ || !part.ok()) {
        return;
    }
    if (request_.submit.has_value()) {
        request_.submit->last_event_id = part->event_id;
        // From now on the call has a number, whoever owns the shard.
        if (request_.submit->number.value() == 0) {
            request_.submit->number = part->call;
        }
    } else if (request_.attach.has_value()) {
        request_.attach->last_event_id = part->event_id;
    }
    if (callbacks_.on_part) {
        callbacks_.on_part(*part);
    }
}

void routed_request::take_end(absl::StatusOr<std::string> payload) {
    if (done_) {
        return;
    }
    call_.reset();
    if (payload.ok()) {
        router_.owner_answered(shard_, target_);
        finish(wire::decode<wire::program_reply>(*payload));
        return;
    }
    const base::error_details details = base::details_of(payload.status());
    if (!is_retryable(details)) {
        router_.owner_answered(shard_, target_);
        finish(payload.status());
        return;
    }
    last_error_ = payload.status();
    may_have_run_ = may_have_run_ || details.was_executed != base::executed::no;
    if (details.reason == "connect_failed") {
        router_.health_.connect_failed(target_);
    }
    router_.owner_denied(shard_, target_, details.reason == "not_owner" ? details.peer : "");
    retry_later();
}

void routed_request::retry_later() {
    ++router_.retries_;
    const base::microseconds wait = backoff_.next(router_.context_.random);
    retry_timer_ = router_.context_.loop.after(
        wait + router_.budget_.take(router_.context_.now()), [self = weak_from_this()] {
            if (const auto request = self.lock(); request != nullptr && !request->done_) {
                request->send();
            }
        });
}

void routed_request::give_up() {
    finish(failure("this node stops before the program's owner has replied", "node_stopping"));
}

absl::Status routed_request::out_of_time() const {
    return failure("the program's owner gave no answer in time", "owner_unavailable");
}

absl::Status routed_request::failure(std::string_view message, std::string_view reason) const {
    base::error_details details = base::details_of(last_error_);
    details.step = "route";
    details.peer = target_.value();
    details.reason = std::string(reason);
    const bool in_doubt = may_have_run_ || call_ != nullptr;
    details.was_executed = in_doubt ? base::executed::unknown : base::executed::no;
    details.retry_after = base::milliseconds(1'000);
    return base::make_error(absl::StatusCode::kUnavailable, message, details);
}

void routed_request::finish(absl::StatusOr<wire::program_reply> reply) {
    if (done_) {
        return;
    }
    const auto callbacks = std::move(callbacks_);
    const auto keep_alive = shared_from_this();
    cancel();
    if (callbacks.on_done) {
        callbacks.on_done(std::move(reply));
    }
}

namespace {

class route_handle final : public gateway::program_route {
  public:
    explicit route_handle(std::shared_ptr<routed_request> request) : request_(std::move(request)) {}
    ~route_handle() override { request_->cancel(); }
    void cancel() override { request_->cancel(); }

  private:
    std::shared_ptr<routed_request> request_;
};

}  // namespace

peer_router::peer_router(node_context& context, membership_service& membership,
                         const configuration_view& configuration, peer_health& health)
    : context_(context),
      membership_(membership),
      configuration_(configuration),
      health_(health),
      budget_(context.now()) {
    health_.on_unreachable([this, alive = std::weak_ptr<int>(alive_)](const base::node_id&) {
        if (!alive.expired()) {
            context_.loop.post([this, alive] {
                if (!alive.expired()) {
                    update();
                }
            });
        }
    });
}

peer_router::~peer_router() = default;

std::unique_ptr<gateway::program_route> peer_router::start(
    wire::program_request request, base::milliseconds timeout,
    gateway::program_route_callbacks callbacks) {
    const std::uint64_t id = ++last_id_;
    auto routed = std::make_shared<routed_request>(*this, id, std::move(request), timeout,
                                                   std::move(callbacks));
    open_[id] = routed;
    routed->begin();
    return std::make_unique<route_handle>(std::move(routed));
}

void peer_router::update() {
    const auto open = open_;
    for (const auto& [id, weak] : open) {
        if (const auto request = weak.lock()) {
            request->reconsider();
        }
    }
}

void peer_router::give_up() {
    const auto open = open_;
    for (const auto& [id, weak] : open) {
        if (const auto request = weak.lock()) {
            request->give_up();
        }
    }
}

bool peer_router::is_gone(const base::node_id& node) const {
    const auto member = membership_.find(node);
    return health_.is_unreachable(node) || !member.has_value() || !member->is_live();
}

std::optional<base::node_id> peer_router::target_for(base::shard_id shard) const {
    const auto known = known_owners_.find(shard);
    if (known != known_owners_.end() && !is_gone(known->second)) {
        return known->second;
    }
    const config::configuration_ptr configuration = configuration_.current();
    const config::shard_assignment* assignment = configuration->shard(shard);
    if (assignment == nullptr) {
        return std::nullopt;
    }
    return membership::preferred_owner(shard, assignment->region,
                                       health_.reachable(membership_.live_members()));
}

void peer_router::owner_answered(base::shard_id shard, const base::node_id& owner) {
    health_.connected(owner);
    known_owners_[shard] = owner;
}

void peer_router::owner_denied(base::shard_id shard, const base::node_id& asked,
                               const std::string& hint) {
    known_owners_.erase(shard);
    const base::node_id named(hint);
    if (!hint.empty() && named != asked && !is_gone(named)) {
        known_owners_[shard] = named;
    }
}

}  // namespace pearbarrow::node
