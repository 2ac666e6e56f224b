/// This node's journal replicas: the store in the data folder behind the peer methods `journal_*`.
#pragma once

#include <memory>
#include <string_view>

#include <absl/status/status.h>

#include "pearbarrow/journal/replica.h"
#include "pearbarrow/journal/replica_store.h"
#include "pearbarrow/node/node_context.h"

namespace pearbarrow::node {

class replica_service {
  public:
    explicit replica_service(node_context& context);
    ~replica_service();
    replica_service(const replica_service&) = delete;
    replica_service& operator=(const replica_service&) = delete;

    /// Opens the store of the settings' data folder and registers the peer methods. Without a data
    /// folder the methods are registered too, and refuse with reason `no_journal_storage`.
    absl::Status open();

    bool has_store() const { return replica_ != nullptr; }
    /// Only with a store.
    journal::replica& replica() { return *replica_; }

  private:
    void register_method(net::method_number method);
    void handle(net::method_number method, std::string_view payload,
                std::shared_ptr<net::peer_responder> responder);
    void reset_shard(std::string_view payload, std::shared_ptr<net::peer_responder> responder);
    void flush_soon();

    node_context& context_;
    std::unique_ptr<journal::replica_store> store_;
    std::unique_ptr<journal::replica> replica_;
    bool flush_posted_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pearbarrow::node
