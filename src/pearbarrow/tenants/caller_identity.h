/// Whose request it is, by the configuration in force at the moment of asking.
#pragma once

#include <string>
#include <string_view>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/tenants/tenant_table.h"

namespace pearbarrow::tenants {

/// What a request showed to say who sends it.
struct credentials {
    std::size_t key_count = 0;
    std::string_view key;
};

enum class identity_verdict {
    /// The request may go on, as that of `tenant` or of nobody in particular.
    accepted,
    missing_key,
    /// More than one key: which of them counts would be a guess.
    several_keys,
    unknown_key,
};

std::string_view to_string(identity_verdict verdict);

struct identity {
    identity_verdict verdict = identity_verdict::accepted;
    /// Null where the request is nobody's: there are no tenants, or the route is public and the
    /// request came without a key that somebody holds.
    const directory::tenant* tenant = nullptr;
};

identity identify(const tenant_table& table, const directory::route& route,
                  const credentials& shown);

/// The name under which a tenant's program or turn is kept: another tenant's of the same id is
/// another one, wherever it is asked for. Without a tenant it is the id itself.
std::string scoped_id(std::string_view tenant, std::string_view id);

}  // namespace pearbarrow::tenants
