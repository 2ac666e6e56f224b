/// Passes calls of other nodes on to storage members.
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

/// "Call this member for me."
struct relay_request {
    base::node_id member;
    net::method_number method = 0;
    std::string payload;

    MSGPACK_DEFINE(member, method, payload);
};

/// Reasons of refusals: the relaying node can't reach most of the member's group itself; it can,
/// but this member has not answered.
inline constexpr char relay_cut_reason[] = "relay_cut";
inline constexpr char member_silent_reason[] = "member_silent";

/// Whether a call ended since the other side can't be reached or is late. One that refuses has
/// answered.
bool is_silence(const absl::Status& status);

/// The relaying side. Calls only members of the view that it knows itself, and never by relay.
class call_relay {
  public:
    /// Tells whether this node reaches fewer than a majority of a group's members.
    using cut_check = std::function<bool(std::uint32_t group)>;

    call_relay(net::peer_rpc& rpc, cut_check is_cut);
    call_relay(const call_relay&) = delete;
    call_relay& operator=(const call_relay&) = delete;

    void set_view(const directory::storage_view& view) { this->view = view; }

  private:
    void take(const relay_request& request, const std::shared_ptr<net::peer_responder>& answer);

    net::peer_rpc& rpc;
    cut_check is_cut;
    directory::storage_view view;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> calls;
    std::uint64_t last_call = 0;
};

}  // namespace pearbarrow::turns
