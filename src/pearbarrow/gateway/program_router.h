/// The gateway's way to the owner of a program, wherever that is.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::gateway {

/// A request under way. Destroying it, or calling `cancel`, ends the callbacks: the gateway no
/// longer listens. The call itself goes on at its owner (a `cancel_call` request stops that).
/// May be destroyed inside its own callbacks.
class program_route {
  public:
    virtual ~program_route() = default;
    virtual void cancel() = 0;
};

struct program_route_callbacks {
    /// Runs for each part of a streamed answer, in order and without a gap. May be empty. After a
    /// change of owner the router goes on behind the last part delivered.
    std::function<void(const wire::reply_part&)> on_part;
    /// Runs exactly once, unless cancelled. An error's details hold step, peer, reason, whether the
    /// request was executed, and when to come back.
    std::function<void(absl::StatusOr<wire::program_reply>)> on_done;
};

/// Routes requests to the program's owner; asks again elsewhere, within `timeout`, when a node is
/// not the owner or was lost before it took the request. Implemented in `node`.
class program_router {
  public:
    virtual ~program_router() = default;
    /// `timeout` zero: no limit. No callback runs inside `start`.
    [[nodiscard]] virtual std::unique_ptr<program_route> start(
        wire::program_request request, base::milliseconds timeout,
        program_route_callbacks callbacks) = 0;
};

}  // namespace pearbarrow::gateway
