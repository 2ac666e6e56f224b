#include "pearbarrow/tenants/tenant_table.h"

#include <cstring>

#include "pearbarrow/base/sha256.h"

namespace pearbarrow::tenants {
namespace {

/// Longer keys belong to nobody: a digest of megabytes would be work that anybody can ask for.
constexpr std::size_t max_key_bytes = 512;

/// A caller does not choose the digest of a key that it tries, so what a look-up by the digest's
/// first bytes takes tells nothing about the keys that there are.
std::uint64_t prefix_of(std::string_view digest) {
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), std::min(sizeof(prefix), digest.size()));
    return prefix;
}

bool holds(const directory::tenant& tenant, std::string_view digest) {
    for (const std::string& own : tenant.key_digests) {
        if (base::equal_in_constant_time(own, digest)) {
            return true;
        }
    }
    return false;
}

}  // namespace

tenant_table::tenant_table(const directory::configuration& config)
    : needed(config.has_tenants), tenants(config.tenants) {
    for (std::size_t index = 0; index < this->tenants.size(); ++index) {
        this->by_name.emplace(this->tenants[index].name, index);
        for (const std::string& digest : this->tenants[index].key_digests) {
            const directory::tenant* holder = this->find_by_digest(digest);
            if (holder == nullptr) {
                this->by_prefix.emplace(prefix_of(digest), index);
            } else if (holder != &this->tenants[index]) {
                this->shared.push_back({holder->name, this->tenants[index].name});
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
        if (holds(candidate, digest)) {
            return &candidate;
        }
    }
    return nullptr;
}

}  // namespace pearbarrow::tenants
