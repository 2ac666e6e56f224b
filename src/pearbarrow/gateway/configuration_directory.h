/// The gateway's view of the operators' configuration.
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "pearbarrow/config/configuration.h"
#include "pearbarrow/gateway/gateway.h"

namespace pearbarrow::gateway {

/// Looks tenants and models up in the configuration that `current` gives at the time of each
/// request, so that a change is in force with the next one. A null configuration is not ready.
class configuration_directory final : public tenant_directory {
  public:
    explicit configuration_directory(std::function<config::configuration_ptr()> current);

    std::optional<base::tenant_id> find_by_key_hash(std::string_view key_hash) const override;
    /// Models of the pools, each once, in order of name.
    std::vector<base::model_name> models(const base::tenant_id& tenant) const override;
    /// False at version 0, which holds no tenant.
    bool ready() const override;

  private:
    std::function<config::configuration_ptr()> current_;
};

}  // namespace pearbarrow::gateway
