#include "pearbarrow/gateway/configuration_directory.h"

#include <set>
#include <utility>
#include <variant>

namespace pearbarrow::gateway {

configuration_directory::configuration_directory(std::function<config::configuration_ptr()> current)
    : current_(std::move(current)) {}

std::optional<base::tenant_id> configuration_directory::find_by_key_hash(
    std::string_view key_hash) const {
    const auto configuration = current_();
    const auto* tenant =
        configuration == nullptr ? nullptr : configuration->tenant_by_key_digest(key_hash);
    return tenant == nullptr ? std::nullopt : std::optional(base::tenant_id(tenant->name));
}

std::vector<base::model_name> configuration_directory::models(const base::tenant_id&) const {
    const auto configuration = current_();
    std::set<base::model_name> models;
    if (configuration != nullptr) {
        for (const auto* pool : configuration->all(config::object_kind::pool)) {
            models.insert(std::get<config::pool_spec>(pool->spec).model);
        }
    }
    return {models.begin(), models.end()};
}

bool configuration_directory::ready() const {
    const auto configuration = current_();
    return configuration != nullptr && configuration->version().value() > 0;
}

}  // namespace pearbarrow::gateway
