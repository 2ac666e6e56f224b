/// Finds the tenant of a key.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::tenants {

/// Two tenants that name the same key; the first one has it.
struct shared_key {
    std::string holder;
    std::string other;
};

class tenant_table {
  public:
    tenant_table() = default;
    explicit tenant_table(const directory::configuration& config);

    /// Whether requests need a key at all.
    bool is_needed() const { return this->needed; }
    /// The tenant that holds the key; null when none does. Valid while the table lives.
    const directory::tenant* find(std::string_view key) const;
    const directory::tenant* find_by_digest(std::string_view digest) const;
    /// The tenant of that name; null when there is none. Valid while the table lives.
    const directory::tenant* find_by_name(const std::string& name) const;
    const std::vector<shared_key>& shared_keys() const { return this->shared; }

  private:
    bool needed = false;
    std::vector<directory::tenant> tenants;
    /// Index in `tenants` by the first bytes of a digest.
    std::unordered_multimap<std::uint64_t, std::size_t> by_prefix;
    /// Index in `tenants`.
    std::unordered_map<std::string, std::size_t> by_name;
    std::vector<shared_key> shared;
};

}  // namespace pearbarrow::tenants
