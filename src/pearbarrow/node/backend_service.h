/// Clients of the engines and tool services that the configuration in force names.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/backend/tool_client.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

class backend_service {
  public:
    explicit backend_service(node_context& context) : context_(context) {}
    backend_service(const backend_service&) = delete;
    backend_service& operator=(const backend_service&) = delete;

    /// Makes clients for new back ends and addresses. A client that is no longer named stays as
    /// long as a stream may use it: for the node's life.
    void configure(const config::configuration& configuration);

    /// Null when the configuration names no such engine.
    backend::engine_client* engine(const base::backend_id& id) const;
    /// Null when the configuration names no such tool service.
    backend::tool_client* tool(const base::backend_id& id) const;
    /// Engines that the configuration names, in order.
    std::vector<base::backend_id> engines() const;

  private:
    node_context& context_;
    std::map<base::backend_id, std::shared_ptr<backend::engine_client>> engines_;
    std::map<base::backend_id, std::shared_ptr<backend::tool_client>> tools_;
    std::vector<std::shared_ptr<void>> retired_;
};

}  // namespace pearbarrow::node
