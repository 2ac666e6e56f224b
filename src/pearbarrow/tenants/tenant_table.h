/// Looks up the tenant of a key.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::tenants {

/// A key that is configured for two tenants. It identifies the first of them.
struct duplicate_key {
    std::string owner;
    std::string other;
};

class tenant_table {
  public:
    tenant_table() = default;
    explicit tenant_table(const directory::configuration& config);

    /// Returns whether requests need a key.
    bool requires_keys() const { return this->keys_required; }
    /// Returns the tenant of the key, or null if there is none. Valid while the table exists.
    const directory::tenant* find(std::string_view key) const;
    const directory::tenant* find_by_digest(std::string_view digest) const;
    /// Returns the tenant of that name, or null if there is none. Valid while the table exists.
    const directory::tenant* find_by_name(const std::string& name) const;
    const std::vector<duplicate_key>& duplicate_keys() const { return this->duplicates; }

  private:
    bool keys_required = false;
    std::vector<directory::tenant> tenants;
    /// Indices in `tenants` by the first bytes of a key digest.
    std::unordered_multimap<std::uint64_t, std::size_t> by_prefix;
    /// Indices in `tenants` by name.
    std::unordered_map<std::string, std::size_t> by_name;
    std::vector<duplicate_key> duplicates;
};

}  // namespace pearbarrow::tenants
