#include "pearbarrow/node/peer_prober.h"

#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/node/ownership_messages.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::node {

namespace {

constexpr base::milliseconds probe_timeout{500};

}  // namespace

void peer_prober::probe(const base::node_id& node) {
    const auto address = membership_.peer_address(node);
    if (!address.has_value() || probes_.contains(node)) {
        return;
    }
    net::peer_call_callbacks callbacks;
    callbacks.on_done = [this, node](const absl::StatusOr<std::string>& payload) {
        const auto handle = probes_.extract(node);
        if (!payload.ok() && base::details_of(payload.status()).reason == "connect_failed") {
            health_.connect_failed(node);
        }
    };
    probes_[node] = context_.rpc.call(node, *address, wire::ownership_locate,
                                      wire::encode(ownership_locate_request{}), probe_timeout,
                                      std::move(callbacks));
}

}  // namespace pearbarrow::node
