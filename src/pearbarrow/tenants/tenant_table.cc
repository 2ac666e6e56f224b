#include "pearbarrow/tenants/tenant_table.h"

#include <cstring>

#include "pearbarrow/base/sha256.h"

namespace pearbarrow::tenants {
namespace {

/// Longer keys are rejected, so that no caller can make the process hash megabytes.
constexpr std::size_t max_key_bytes = 512;

/// A caller cannot choose the digest of the key that it presents, so the duration of a lookup by
/// the first bytes of the digest reveals nothing about the configured keys.
std::uint64_t prefix_of(std::string_view digest) {
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), std::min(sizeof(prefix), digest.size()));
    return prefix;
}

bool has_key(const directory::tenant& tenant, std::string_view digest) {
    for (const std::string& key_digest : tenant.key_digests) {
        if (base::equal_in_constant_time(key_digest, digest)) {
            return true;
        }
    }
    return false;
}

}  // namespace

tenant_table::tenant_table(const directory::configuration& config)
    : keys_required(config.has_tenants), tenants(config.tenants) {
    for (std::size_t index = 0; index < this->tenants.size(); ++index) {
        this->by_name.emplace(this->tenants[index].name, index);
        for (const std::string& digest : this->tenants[index].key_digests) {
            const directory::tenant* holder = this->find_by_digest(digest);
            if (holder == nullptr) {
                this->by_prefix.emplace(prefix_of(digest), index);
            } else if (holder != &this->tenants[index]) {
                this->duplicates.push_back({holder->name, this->tenants[index].name});
            }
        }
    }
}

const directory::tenant* tenant_table::find(std::string_view key) const {
    if (key.empty() || key.size() > max_key_bytes) {
        return nullptr;
    }
    return this->find_by_digest(base::sha256(key));
}

const directory::tenant* tenant_table::find_by_name(const std::string& name) const {
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? nullptr : &this->tenants[found->second];
}

const directory::tenant* tenant_table::find_by_digest(std::string_view digest) const {
    const auto [first, last] = this->by_prefix.equal_range(prefix_of(digest));
    for (auto at = first; at != last; ++at) {
        const directory::tenant& candidate = this->tenants[at->second];
        if (has_key(candidate, digest)) {
            return &candidate;
        }
    }
    return nullptr;
}

}  // namespace pearbarrow::tenants
