/// Follows the platform's lagging list of machines: addresses to join through, and back ends that
/// leave. Hints only.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "pearbarrow/node/node_context.h"
#include "pearbarrow/platform/machine_list_client.h"

namespace pearbarrow::node {

class machine_list_follower {
  public:
    /// Runs after each list that was read.
    using list_handler = std::function<void(const std::vector<platform::machine>&)>;

    machine_list_follower(node_context& context, list_handler handler);
    /// Does nothing when the settings name no machine list.
    void start();

  private:
    void fetch();

    node_context& context_;
    list_handler handler_;
    std::unique_ptr<platform::machine_list_client> client_;
    std::unique_ptr<net::timer_handle> ticker_;
    bool pending_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
