/// Interface for calls to storage members, either direct or through a relay.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::turns {

class member_caller {
  public:
    using reply_handler = std::function<void(const absl::StatusOr<std::string>&)>;

    virtual ~member_caller() = default;
    /// Runs `on_reply` exactly once, unless the returned handle is destroyed first.
    [[nodiscard]] virtual std::unique_ptr<net::peer_call_handle> call(
        const directory::storage_member& member, net::method_number method, std::string payload,
        base::milliseconds timeout, reply_handler on_reply) = 0;
    /// Returns for how long the member has replied to none of this node's calls; empty if unknown
    /// or if it has replied to the last one.
    virtual std::optional<base::milliseconds> silence_of(const base::node_id& /*member*/) const {
        return std::nullopt;
    }
};

}  // namespace pearbarrow::turns
