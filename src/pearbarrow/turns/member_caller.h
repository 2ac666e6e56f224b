/// Calls to storage members, by whichever way there is.
#pragma once

#include <functional>
#include <memory>
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
    /// `on_reply` runs once, unless the handle is destroyed before.
    [[nodiscard]] virtual std::unique_ptr<net::peer_call_handle> call(
        const directory::storage_member& member, net::method_number method, std::string payload,
        base::milliseconds timeout, reply_handler on_reply) = 0;
};

}  // namespace pearbarrow::turns
