#include "pearbarrow/tenants/caller_identity.h"

namespace pearbarrow::tenants {
namespace {

/// Neither a tenant's name nor a header's value can contain this character, so scoped ids are
/// unique.
constexpr char scope_separator = '\x1f';

}  // namespace

std::string_view to_string(identity_verdict verdict) {
    switch (verdict) {
        case identity_verdict::accepted:
            return "accepted";
        case identity_verdict::missing_key:
            return "missing_key";
        case identity_verdict::several_keys:
            return "several_keys";
        case identity_verdict::unknown_key:
            return "unknown_key";
    }
    return "unknown";
}

identity identify(const tenant_table& table, const directory::route& route,
                  const credentials& presented) {
    if (!table.requires_keys()) {
        return {};
    }
    const directory::tenant* holder =
        presented.key_count == 1 ? table.find(presented.key) : nullptr;
    if (holder != nullptr || route.is_public) {
        return {.tenant = holder};
    }
    if (presented.key_count > 1) {
        return {.verdict = identity_verdict::several_keys};
    }
    const bool is_missing = presented.key_count == 0 || presented.key.empty();
    return {.verdict = is_missing ? identity_verdict::missing_key : identity_verdict::unknown_key};
}

std::string scoped_id(std::string_view tenant, std::string_view id) {
    if (tenant.empty() || id.empty()) {
        return std::string(id);
    }
    std::string scoped(tenant);
    scoped.push_back(scope_separator);
    scoped.append(id);
    return scoped;
}

}  // namespace pearbarrow::tenants
