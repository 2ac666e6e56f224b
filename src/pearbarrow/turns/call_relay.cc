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
constexpr base::milliseconds most_time{1'000};

/// Of the asker's time the relay waits this part for the member: what is left tells the asker that
/// it is the member that is silent, and not the relay.
constexpr double waiting_part = 0.75;

absl::Status unreached(const base::node_id& member, std::string reason) {
    return base::make_error(absl::StatusCode::kUnavailable, "the member was not reached",
                            {.step = "relay", .peer = member.value(), .reason = std::move(reason)});
}

absl::Status refused(std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, "the call is not passed on",
                            {.step = "relay", .reason = std::move(reason)});
}

}  // namespace

bool is_silence(const absl::Status& status) {
    return status.code() == absl::StatusCode::kUnavailable ||
           status.code() == absl::StatusCode::kDeadlineExceeded;
}

call_relay::call_relay(net::peer_rpc& rpc, cut_check is_cut) : rpc(rpc), is_cut(std::move(is_cut)) {
    rpc.register_method(wire::turn_relay, [this](std::string_view payload, auto answer) {
        const auto request = wire::decode<relay_request>(payload);
        if (!request.ok()) {
            answer->fail(request.status());
            return;
        }
        this->take(*request, answer);
    });
}

void call_relay::take(const relay_request& request,
                      const std::shared_ptr<net::peer_responder>& answer) {
    const bool is_known = std::find(relayed_methods.begin(), relayed_methods.end(),
                                    request.method) != relayed_methods.end();
    const directory::storage_member* member = this->view.find(request.member);
    if (!is_known || member == nullptr) {
        answer->fail(refused(is_known ? "unknown_member" : "unknown_method"));
        return;
    }
    if (this->is_cut(member->group)) {
        answer->fail(unreached(member->node, relay_cut_reason));
        return;
    }
    const base::milliseconds asked = answer->timeout();
    const base::milliseconds given = asked.count() > 0 ? std::min(asked, most_time) : most_time;
    const base::milliseconds timeout{std::max<std::int64_t>(
        1, static_cast<std::int64_t>(waiting_part * static_cast<double>(given.count())))};
    const std::uint64_t number = ++this->last_call;
    answer->on_cancelled([this, number] { this->calls.erase(number); });
    this->calls[number] = this->rpc.call(
        member->node, member->address, request.method, request.payload, timeout,
        {.on_part = nullptr,
         .on_done = [this, number, answer, node = member->node](absl::StatusOr<std::string> reply) {
             this->calls.erase(number);
             if (reply.ok()) {
                 answer->finish(*std::move(reply));
             } else if (is_silence(reply.status())) {
                 answer->fail(unreached(node, member_silent_reason));
             } else {
                 answer->fail(reply.status());
             }
         }});
}

}  // namespace pearbarrow::turns
