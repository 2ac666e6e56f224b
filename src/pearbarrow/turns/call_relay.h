/// Passes calls of other nodes on to storage members.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

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

/// The relaying side. Calls only members of the view that it knows itself, and never by relay.
class call_relay {
  public:
    explicit call_relay(net::peer_rpc& rpc);
    call_relay(const call_relay&) = delete;
    call_relay& operator=(const call_relay&) = delete;

    void set_view(const directory::storage_view& view) { this->view = view; }

  private:
    void take(const relay_request& request, const std::shared_ptr<net::peer_responder>& answer);

    net::peer_rpc& rpc;
    directory::storage_view view;
    std::map<std::uint64_t, std::unique_ptr<net::peer_call_handle>> calls;
    std::uint64_t last_call = 0;
};

}  // namespace pearbarrow::turns
