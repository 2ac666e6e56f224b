/// Requests for grants under a tenant's limit, and the replies of the members that enforce it.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace pearbarrow::tenants {

/// Requests a grant to send one request of the tenant.
struct grant_request {
    std::string tenant;
    /// Identifies the program within the tenant. 0 if the request belongs to no program.
    std::uint64_t program = 0;
    /// Whether the request is known to continue a program in progress.
    bool continues = false;

    MSGPACK_DEFINE(tenant, program, continues);
};

enum class quota_outcome : std::uint8_t {
    granted,
    /// The tenant has reached its limit.
    refused,
    /// The replying member does not enforce this tenant's limit: its view or configuration differs.
    not_counted_here,
};

struct grant_reply {
    quota_outcome outcome = quota_outcome::not_counted_here;
    /// Time until the member can grant such a request if it grants no other.
    std::uint32_t retry_after_ms = 0;
    /// State behind the decision, for logs: the requests left in the member's share, the programs
    /// in progress that it knows, the version of the configuration.
    std::int32_t left = 0;
    std::uint32_t programs = 0;
    /// Refill rate of the share, in hundredths of a request per second, and the grants in its last
    /// window.
    std::uint32_t rate_hundredths = 0;
    std::uint32_t in_window = 0;
    std::uint64_t config = 0;

    MSGPACK_DEFINE(outcome, retry_after_ms, left, programs, rate_hundredths, in_window, config);
};

std::string_view to_string(quota_outcome outcome);

}  // namespace pearbarrow::tenants

MSGPACK_ADD_ENUM(pearbarrow::tenants::quota_outcome);
