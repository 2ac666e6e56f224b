#include "pearbarrow/turns/call_relay.h"

#include <algorithm>
#include <array>
#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {
namespace {

constexpr std::array relayed_methods{wire::turn_reserve, wire::turn_read,    wire::turn_finish,
                                     wire::turn_usage,   wire::tenant_quota, wire::start_permit};
constexpr base::milliseconds max_timeout{1'000};

/// Share of the caller's timeout that the relay waits for the member. The rest lets the relay
/// report that the member is silent before the caller considers the relay itself silent.
constexpr double member_timeout_share = 0.75;

absl::Status unreachable(const base::node_id& member, std::string reason) {
    return base::make_error(absl::StatusCode::kUnavailable, "the member was not reached",
                            {.step = "relay", .peer = member.value(), .reason = std::move(reason)});
}

absl::Status rejection(std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, "the call is not passed on",
                            {.step = "relay", .reason = std::move(reason)});
}

}  // namespace

bool is_unresponsive(const absl::Status& status) {
    return status.code() == absl::StatusCode::kUnavailable ||
           status.code() == absl::StatusCode::kDeadlineExceeded;
}

call_relay::call_relay(net::peer_rpc& rpc, majority_loss_check lacks_majority)
    : rpc(rpc), lacks_majority(std::move(lacks_majority)) {
    rpc.register_method(wire::turn_relay, [this](std::string_view payload, auto responder) {
        const auto request = wire::decode<relay_request>(payload);
        if (!request.ok()) {
            responder->fail(request.status());
            return;
        }
        this->handle(*request, responder);
    });
}

void call_relay::handle(const relay_request& request,
                        const std::shared_ptr<net::peer_responder>& responder) {
    const bool is_known = std::find(relayed_methods.begin(), relayed_methods.end(),
                                    request.method) != relayed_methods.end();
    const directory::storage_member* member = this->view.find(request.member);
    if (!is_known || member == nullptr) {
        responder->fail(rejection(is_known ? "unknown_member" : "unknown_method"));
        return;
    }
    if (this->lacks_majority(member->group)) {
        responder->fail(unreachable(member->node, relay_cut_reason));
        return;
    }
    const base::milliseconds requested = responder->timeout();
    const base::milliseconds allowed =
        requested.count() > 0 ? std::min(requested, max_timeout) : max_timeout;
    const base::milliseconds timeout{std::max<std::int64_t>(
        1, static_cast<std::int64_t>(member_timeout_share * static_cast<double>(allowed.count())))};
    const std::uint64_t number = ++this->last_call;
    responder->on_cancelled([this, number] { this->calls.erase(number); });
    this->calls[number] =
        this->rpc.call(member->node, member->address, request.method, request.payload, timeout,
                       {.on_part = nullptr,
                        .on_done = [this, number, responder,
                                    node = member->node](absl::StatusOr<std::string> reply) {
                            this->calls.erase(number);
                            if (reply.ok()) {
                                responder->finish(*std::move(reply));
                            } else if (is_unresponsive(reply.status())) {
                                responder->fail(unreachable(node, member_silent_reason));
                            } else {
                                responder->fail(reply.status());
                            }
                        }});
}

}  // namespace pearbarrow::turns
