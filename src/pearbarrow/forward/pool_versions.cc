// Software versions of the back ends of a service.
#include <optional>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

void backend_pool::remove_departed_versions(base::instant now) {
    for (auto& [service, versions] : versions_) {
        std::erase_if(versions, [&](const auto& item) {
            const version_backends& version = item.second;
            return version.backends.is_empty() && now - version.left_at > options_.version_memory;
        });
    }
}

const service_backends* backend_pool::find_backends(
    const std::string& service, const std::optional<directory::software_version>& version) const {
    if (!version.has_value()) {
        const auto found = services_.find(service);
        return found == services_.end() ? nullptr : &found->second;
    }
    const auto versions = versions_.find(service);
    if (versions == versions_.end()) {
        return nullptr;
    }
    const auto found = versions->second.find(*version);
    return found == versions->second.end() ? nullptr : &found->second.backends;
}

/// Ranks the back ends only while several versions serve.
std::optional<version_choice> backend_pool::version_for(const choice_request& request,
                                                        base::instant now) const {
    if (const auto versions = versions_.find(request.service);
        versions != versions_.end() && versions->second.size() == 1) {
        return version_choice{.version = versions->second.begin()->first};
    }
    const auto ranked = rank(request, now);
    if (!ranked.has_value()) {
        return std::nullopt;
    }
    const pool_entry& selected = ranked->entry();
    return version_choice{.version = selected.backend.version,
                          .is_provisional = !has_proven_process(selected, now),
                          .backend = selected.backend.id,
                          .key = selected.key};
}

std::optional<directory::software_version> backend_pool::sole_version(const std::string& service,
                                                                      base::milliseconds period,
                                                                      base::instant now) const {
    const auto versions = versions_.find(service);
    if (versions == versions_.end()) {
        return std::nullopt;
    }
    std::optional<directory::software_version> sole;
    for (const auto& [version, known] : versions->second) {
        if (known.backends.is_empty() && now - known.left_at >= period) {
            continue;
        }
        if (sole.has_value() || !version.is_known) {
            return std::nullopt;
        }
        sole = version;
    }
    return sole;
}

bool backend_pool::has_restarted_with_other_version(const directory::backend& backend) const {
    const auto found = entries_.find(backend.id);
    return found != entries_.end() &&
           !(found->second.backend.incarnation() == backend.incarnation()) &&
           found->second.backend.version != backend.version;
}

version_status backend_pool::status_of(const std::string& service,
                                       const directory::software_version& version,
                                       base::instant now) const {
    const service_backends* backends = find_backends(service, version);
    if (backends == nullptr) {
        return {};
    }
    return {.usable = backends->usable_count(),
            .may_return = backends->vanished_since(now - options_.lapse_grace) > 0};
}

}  // namespace pearbarrow::forward
