/// Forwards calls from other nodes to storage members.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::turns {

/// Request to forward a call to a storage member.
struct relay_request {
    base::node_id member;
    net::method_number method = 0;
    std::string payload;

    MSGPACK_DEFINE(member, method, payload);
};

/// Error reasons. `relay_cut`: the relaying node itself does not reach a majority of the member's
/// group. `member_silent`: it does, but this member did not reply.
inline constexpr char relay_cut_reason[] = "relay_cut";
inline constexpr char member_silent_reason[] = "member_silent";

/// Returns whether a call failed because the other side is unreachable or did not reply in time. An
/// explicit rejection is a reply.
bool is_unresponsive(const absl::Status& status);

/// The relaying side. It forwards calls only to members of its own view, and always directly, never
/// through another relay.
class call_relay {
  public:
    /// Returns whether this node reaches less than a majority of a group's members.
    using majority_loss_check = std::function<bool(std::uint32_t group)>;

    call_relay(net::peer_rpc& rpc, majority_loss_check lacks_majority);
    call_relay(const call_relay&) = delete;
    call_relay& operator=(const call_relay&) = delete;

    void set_view(const directory::storage_view& view) { this->view = view; }

  private:
    void handle(const relay_request& request,
                const std::shared_ptr<net::peer_responder>& responder);

    net::peer_rpc& rpc;
    majority_loss_check lacks_majority;
    directory::storage_view view;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> calls;
    std::uint64_t last_call = 0;
};

}  // namespace pearbarrow::turns
