/// Identifies the tenant that sends a request, by the active configuration.
#pragma once

#include <string>
#include <string_view>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/tenants/tenant_table.h"

namespace pearbarrow::tenants {

/// The keys that a request presents.
struct credentials {
    std::size_t key_count = 0;
    std::string_view key;
};

enum class identity_verdict {
    /// The request is forwarded, on behalf of `tenant` or without a tenant.
    accepted,
    missing_key,
    /// The request has more than one key, and nothing says which of them is valid.
    several_keys,
    unknown_key,
};

std::string_view to_string(identity_verdict verdict);

struct identity {
    identity_verdict verdict = identity_verdict::accepted;
    /// Null if the request belongs to no tenant: none are configured, or the route is public and
    /// the request has no key of a tenant.
    const directory::tenant* tenant = nullptr;
};

identity identify(const tenant_table& table, const directory::route& route,
                  const credentials& presented);

/// Returns the name under which a tenant's program or turn is stored, so that equal ids of two
/// tenants stay distinct. Without a tenant the name is the id itself.
std::string scoped_id(std::string_view tenant, std::string_view id);

}  // namespace pearbarrow::tenants
