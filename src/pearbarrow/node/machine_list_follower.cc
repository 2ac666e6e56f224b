#include "pearbarrow/node/machine_list_follower.h"

#include <utility>

namespace pearbarrow::node {

machine_list_follower::machine_list_follower(node_context& context, list_handler handler)
    : context_(context), handler_(std::move(handler)) {}

void machine_list_follower::start() {
    const auto& server = context_.settings.platform.machine_list;
    if (!server.has_value()) {
        return;
    }
    client_ = std::make_unique<platform::machine_list_client>(
        context_.http, net::endpoint{server->address, server->port});
    ticker_ =
        context_.loop.every(context_.settings.timing.machine_list_interval, [this] { fetch(); });
    fetch();
}

void machine_list_follower::fetch() {
    if (pending_) {
        return;
    }
    pending_ = true;
    client_->fetch([this, alive = std::weak_ptr<int>(alive_)](
                       const absl::StatusOr<std::vector<platform::machine>>& machines) {
        if (alive.expired()) {
            return;
        }
        pending_ = false;
        if (machines.ok()) {
            handler_(*machines);
        }
    });
}

}  // namespace pearbarrow::node
