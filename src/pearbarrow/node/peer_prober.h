/// Knocks at another node's door, to find out whether its process is there at all.
#pragma once

#include <map>
#include <memory>

#include "pearbarrow/node/membership_service.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/node/peer_health.h"

namespace pearbarrow::node {

class peer_prober {
  public:
    peer_prober(node_context& context, membership_service& membership, peer_health& health)
        : context_(context), membership_(membership), health_(health) {}

    /// A refused connection marks the node as unreachable in `peer_health`. One probe of a node
    /// runs at a time.
    void probe(const base::node_id& node);

  private:
    node_context& context_;
    membership_service& membership_;
    peer_health& health_;
    std::map<base::node_id, std::unique_ptr<net::peer_call_handle>> probes_;
};

}  // namespace pearbarrow::node
