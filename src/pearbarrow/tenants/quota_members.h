/// Selects the storage members that enforce a tenant's limit.
#pragma once

#include <string_view>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::tenants {

/// Number of members that enforce the limit of one tenant. With three, the other two still grant
/// two thirds of the limit while one is down, which suffices for a tenant that uses no more than
/// that: limits of 1.6 times the usual use mean a use of 62 %. A tenant at its limit sends requests
/// to all of them.
constexpr std::size_t quota_shares = 3;

/// Returns the members that enforce the tenant's limit, in an order on which all nodes with the
/// same view agree. The members are in as many zones as possible: with three zones, the loss of one
/// leaves two members. Returns fewer than `quota_shares` only if the view has fewer members that
/// are not retiring.
std::vector<directory::storage_member> quota_members(const directory::storage_view& view,
                                                     std::string_view tenant);

}  // namespace pearbarrow::tenants
