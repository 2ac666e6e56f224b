/// Enforces a storage member's share of each tenant's limit.
///
/// A pure state machine. A tenant's limit is divided evenly among the members that enforce it
/// (`quota_members`), and each grants from its own share without coordination. All of them together
/// therefore never exceed the limit, even if some are partitioned, paused or dead. A share is a
/// token bucket and a count of the grants in the last window. A member that has just started, or
/// has just become responsible for a tenant, starts with both nearly exhausted, since it does not
/// know what was granted before.
///
/// Invariant: in any window w a member grants a tenant at most (rate x w + burst) / n + extra
/// requests, where n is the number of members that enforce the limit.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/tenants/quota_types.h"
#include "pearbarrow/tenants/recent_grants.h"

namespace pearbarrow::tenants {

struct quota_options {
    base::node_id self;
    /// Bucket tokens (one per grant) that a share holds beyond its part of the burst, since a
    /// tenant with few requests per second sends them in bursts. Three members with 4 each use 12
    /// of a slack of 20 requests per window.
    double extra_tokens = 4;
    /// Number of bucket tokens that a member has when it becomes responsible for a tenant.
    double initial_tokens = 1;
    /// Length of the windows in which the operator counts requests. Each window allows the rate
    /// times its length plus the burst, and a share refills at its part of that. With 0 a share
    /// refills at its part of the rate alone.
    base::milliseconds window{0};
    /// Fraction of the window whose rate a share holds besides the burst, since programs send in
    /// bursts. Together with trying all members before a rejection, it lowers the rejected share of
    /// a normal day from 0.040 to 0.021. With twice this fraction, a tenant that sends a burst just
    /// before all members are killed exceeds its limit by what they grant after their restart.
    double window_rate_fraction = 0.2;
    /// How long after it was issued a grant of the previous window may be used.
    base::milliseconds grant_lifetime{200};
    /// Fraction of a share that is reserved for programs in progress. A program that is rejected
    /// midway has wasted all requests that it has used.
    double reserved_for_programs = 0.3;
    /// A program without a request for this long counts as finished or idle.
    base::milliseconds program_idle_timeout{3'000};
};

class quota_ledger {
  public:
    explicit quota_ledger(quota_options options);

    void set_view(const directory::storage_view& view, base::instant now);
    void set_configuration(const directory::configuration& config, base::instant now);
    grant_reply try_acquire(const grant_request& request, base::instant now);

    std::size_t tenant_count() const { return this->shares.size(); }
    std::size_t program_count() const;
    std::uint64_t granted() const { return this->granted_total; }
    std::uint64_t refused() const { return this->refused_total; }

  private:
    /// The part of a tenant's limit that this member enforces.
    struct share {
        /// Tokens per second, including the part of the burst.
        double rate = 0;
        /// Tokens per second, without the part of the burst.
        double sustained_rate = 0;
        /// Maximum of `tokens`: the part of the burst and of the window's rate, and the extra.
        double capacity = 0;
        double tokens = 0;
        base::instant refilled_at;
        /// When this member became responsible for the tenant.
        base::instant responsible_since;
        recent_grants recent;
        /// Time of the last grant of each program.
        std::unordered_map<std::uint64_t, base::instant> programs;
    };

    void rebuild(base::instant now);
    static void refill(share& tenant_share, base::instant now);
    /// Requests that the current window still allows.
    double window_remaining(share& tenant_share, base::instant now) const;
    void erase_idle_programs(share& tenant_share, base::instant now) const;
    bool is_in_progress(const share& tenant_share, const grant_request& request) const;
    /// Tokens that must be left in the share after the request is granted.
    double min_tokens_left(const share& tenant_share, const grant_request& request) const;
    static std::uint32_t retry_after_for(const share& tenant_share, double missing);

    quota_options options;
    directory::storage_view view;
    directory::configuration config;
    std::unordered_map<std::string, share> shares;
    std::uint64_t granted_total = 0;
    std::uint64_t refused_total = 0;
};

}  // namespace pearbarrow::tenants
