/// One member's count of tenants' limits.
///
/// A pure state machine. A tenant's limit is divided evenly among the members that count it
/// (`quota_members`), and each grants from its own share without asking anybody: what all of them
/// grant together never passes the limit, whoever is cut off, paused or dead. A share is a token
/// bucket and a count of the last window. A member that has just started, or has just come to count
/// a tenant, begins with both as good as used up, since it does not know what was granted before.
///
/// Invariant: in any window w a member grants a tenant at most (rate x w + burst) / n + extra
/// requests, n members counting the tenant.
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
    /// Requests that a share holds beyond its part of the burst. Three members with 4 each use 12
    /// of a slack of 20 requests a window: a tenant of few requests a second sends them in clumps.
    double extra = 4;
    /// Of these, what a member that begins to count a tenant has at once.
    double at_start = 1;
    /// The operator counts requests in windows of this length, each of which may hold the rate
    /// times the window and the burst: what a share gains a second is a part of that. 0: the rate
    /// alone.
    base::milliseconds window{0};
    /// Part of the window whose rate a share holds besides the burst: programs send in clumps. With
    /// it, and with all members asked before a refusal, 0.021 of a calm day was refused, 0.040
    /// before. With twice as much a tenant that comes with a burst just before all members are
    /// killed passes its limit by what they grant after (calculated).
    double held_part = 0.2;
    /// Grants of the window before may be used this late.
    base::milliseconds grant_lifetime{200};
    /// Part of a share that is left to programs under way: a program that is refused midway has
    /// wasted all that it took.
    double kept_for_programs = 0.3;
    /// A program that has asked for nothing for this long is over, or idle.
    base::milliseconds program_idle{3'000};
};

class quota_ledger {
  public:
    explicit quota_ledger(quota_options options);

    void set_view(const directory::storage_view& view, base::instant now);
    void set_configuration(const directory::configuration& config, base::instant now);
    quota_answer take(const quota_question& question, base::instant now);

    std::size_t tenant_count() const { return this->shares.size(); }
    std::size_t program_count() const;
    std::uint64_t granted() const { return this->granted_total; }
    std::uint64_t refused() const { return this->refused_total; }

  private:
    /// This member's part of a tenant's limit.
    struct share {
        /// A second.
        double rate = 0;
        /// Without the burst's part.
        double own_rate = 0;
        /// Most that it holds: its part of the burst and of the window's rate, and the extra.
        double most = 0;
        double left = 0;
        base::instant filled_at;
        /// Since when this member has counted the tenant.
        base::instant counts_since;
        recent_grants recent;
        /// By program: when it last asked.
        std::unordered_map<std::uint64_t, base::instant> programs;
    };

    void rebuild(base::instant now);
    static void fill(share& one, base::instant now);
    /// Requests that the window of the moment still holds.
    double room_in_window(share& one, base::instant now) const;
    void forget_idle(share& one, base::instant now) const;
    bool is_under_way(const share& one, const quota_question& question) const;
    /// What must be left of the share once the request is granted.
    double least_left(const share& one, const quota_question& question) const;
    static std::uint32_t wait_for(const share& one, double missing);

    quota_options options;
    directory::storage_view view;
    directory::configuration config;
    std::unordered_map<std::string, share> shares;
    std::uint64_t granted_total = 0;
    std::uint64_t refused_total = 0;
};

}  // namespace pearbarrow::tenants
