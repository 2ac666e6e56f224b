/// Nodes that this node could not connect to a moment ago.
///
/// A refused connection tells of a dead process sooner than membership does. It is this node's own
/// impression and lapses by itself; like membership it is a hint that no safety rests on.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/membership/member.h"

namespace pearbarrow::node {

class peer_health {
  public:
    explicit peer_health(const base::clock& clock) : clock_(clock) {}

    /// Runs when a node turns unreachable.
    void on_unreachable(std::function<void(const base::node_id&)> callback) {
        callbacks_.push_back(std::move(callback));
    }

    void connect_failed(const base::node_id& node);
    void connected(const base::node_id& node) { unreachable_until_.erase(node); }
    bool is_unreachable(const base::node_id& node) const;

    /// The members without those that are unreachable.
    std::vector<membership::member> reachable(const std::vector<membership::member>& members) const;

  private:
    const base::clock& clock_;
    std::map<base::node_id, base::instant> unreachable_until_;
    std::vector<std::function<void(const base::node_id&)>> callbacks_;
};

}  // namespace pearbarrow::node
