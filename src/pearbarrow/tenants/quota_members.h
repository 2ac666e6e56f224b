/// Which storage members count a tenant's requests.
#pragma once

#include <string_view>
#include <vector>

#include "pearbarrow/directory/snapshot.h"

namespace pearbarrow::tenants {

/// Members that share the count of one tenant. With three, two others go on granting two thirds of
/// the limit while one is down, which holds a tenant that uses up to that much (a sheet with limits
/// of 1.6 times the usual use has 62 %). A tenant at its limit asks them all.
constexpr std::size_t quota_shares = 3;

/// The members that count the tenant, in an order that all nodes with the same view agree on. Of as
/// many zones as there are: where there are three, the loss of one leaves two members.
/// Fewer than `quota_shares` only where the view has fewer that stay.
std::vector<directory::storage_member> quota_members(const directory::storage_view& view,
                                                     std::string_view tenant);

}  // namespace pearbarrow::tenants
