#include "pearbarrow/node/peer_health.h"

#include <algorithm>
#include <iterator>

#include "pearbarrow/base/log.h"

namespace pearbarrow::node {

namespace {

/// About the time in which membership comes to its own conclusion.
constexpr base::milliseconds impression_lifetime{3'000};

}  // namespace

void peer_health::connect_failed(const base::node_id& node) {
    const bool known = is_unreachable(node);
    unreachable_until_[node] = clock_.now() + impression_lifetime;
    if (known) {
        return;
    }
    base::log(base::log_level::info, "peer_unreachable", {{"peer", node.value()}});
    for (const auto& callback : callbacks_) {
        callback(node);
    }
}

bool peer_health::is_unreachable(const base::node_id& node) const {
    const auto found = unreachable_until_.find(node);
    return found != unreachable_until_.end() && clock_.now() < found->second;
}

std::vector<membership::member> peer_health::reachable(
    const std::vector<membership::member>& members) const {
    std::vector<membership::member> result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result),
                 [this](const membership::member& each) { return !is_unreachable(each.id); });
    return result;
}

}  // namespace pearbarrow::node
