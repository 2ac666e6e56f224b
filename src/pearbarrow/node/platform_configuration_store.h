/// The configuration log in the platform's key-value service.
#pragma once

#include <memory>

#include "pearbarrow/node/configuration_store.h"
#include "pearbarrow/node/node_context.h"
#include "pearbarrow/platform/config_log_store.h"
#include "pearbarrow/platform/key_value_client.h"

namespace pearbarrow::node {

class platform_configuration_store final : public configuration_store {
  public:
    explicit platform_configuration_store(node_context& context);
    ~platform_configuration_store() override;

    void connect(configuration_event_sink sink) override;
    void carry_out(const config::create_entry& action) override { log_->carry_out(action); }
    void carry_out(const config::read_log& action) override { log_->carry_out(action); }
    void carry_out(const config::watch_log& action) override { log_->carry_out(action); }
    void carry_out(const config::cancel_watch& action) override { log_->carry_out(action); }
    void carry_out(const config::write_snapshot& action) override { log_->carry_out(action); }

  private:
    node_context& context_;
    std::unique_ptr<platform::key_value_client> client_;
    std::unique_ptr<platform::config_log_store> log_;
};

}  // namespace pearbarrow::node
