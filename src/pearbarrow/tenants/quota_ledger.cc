#include "pearbarrow/tenants/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pearbarrow/tenants/quota_members.h"

namespace pearbarrow::tenants {
namespace {

/// Idle programs are erased once there are this many more programs than grants per second.
constexpr std::size_t min_programs_before_cleanup = 64;

double seconds_of(base::milliseconds time) {
    return std::chrono::duration<double>(time).count();
}

double seconds_between(base::instant from, base::instant to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

std::string_view to_string(quota_outcome outcome) {
    switch (outcome) {
        case quota_outcome::granted:
            return "granted";
        case quota_outcome::refused:
            return "refused";
        case quota_outcome::not_counted_here:
            return "not_counted_here";
    }
    return "unknown";
}

quota_ledger::quota_ledger(quota_options options) : options(std::move(options)) {}

void quota_ledger::set_view(const directory::storage_view& next, base::instant now) {
    this->view = next;
    this->rebuild(now);
}

void quota_ledger::set_configuration(const directory::configuration& next, base::instant now) {
    this->config.version = next.version;
    this->config.tenants = next.tenants;
    this->rebuild(now);
}

/// Creates the shares of all tenants, not only on a first request: an empty share is full again
/// after burst / rate seconds, usually before the first request arrives.
void quota_ledger::rebuild(base::instant now) {
    std::unordered_map<std::string, share> next;
    for (const directory::tenant& tenant : this->config.tenants) {
        if (!tenant.is_limited()) {
            continue;
        }
        const auto members = quota_members(this->view, tenant.name);
        const bool is_responsible =
            std::any_of(members.begin(), members.end(),
                        [&](const auto& member) { return member.node == this->options.self; });
        if (!is_responsible) {
            continue;
        }
        const auto member_count = static_cast<double>(members.size());
        share& tenant_share = next[tenant.name];
        tenant_share.tokens = this->options.initial_tokens;
        tenant_share.responsible_since = now;
        if (const auto existing = this->shares.find(tenant.name); existing != this->shares.end()) {
            tenant_share = std::move(existing->second);
            refill(tenant_share, now);
        }
        const double window = seconds_of(this->options.window);
        tenant_share.sustained_rate = tenant.rate / member_count;
        tenant_share.rate =
            tenant_share.sustained_rate + (window > 0 ? tenant.burst / member_count / window : 0);
        tenant_share.capacity =
            std::max(tenant.burst / member_count + this->options.extra_tokens +
                         tenant_share.sustained_rate * window * this->options.window_rate_fraction,
                     1.0);
        tenant_share.tokens = std::min(tenant_share.tokens, tenant_share.capacity);
        tenant_share.refilled_at = now;
    }
    this->shares = std::move(next);
}

void quota_ledger::refill(share& tenant_share, base::instant now) {
    tenant_share.tokens = std::min(
        tenant_share.capacity,
        tenant_share.tokens + tenant_share.rate * seconds_between(tenant_share.refilled_at, now));
    tenant_share.refilled_at = now;
}

/// Assumes that the grants from before this member became responsible for the tenant are spread
/// evenly over the window, as they are for a tenant at its limit.
double quota_ledger::window_remaining(share& tenant_share, base::instant now) const {
    if (this->options.window.count() == 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double window = seconds_of(this->options.window);
    const double responsible_seconds = seconds_between(tenant_share.responsible_since, now);
    const double allowed =
        (responsible_seconds < window
             ? tenant_share.sustained_rate * responsible_seconds + this->options.initial_tokens
             : tenant_share.rate * window + this->options.extra_tokens);
    const auto span = this->options.window + this->options.grant_lifetime;
    return allowed - tenant_share.recent.count_within(span, now);
}

void quota_ledger::erase_idle_programs(share& tenant_share, base::instant now) const {
    std::erase_if(tenant_share.programs, [&](const auto& program) {
        return now - program.second > this->options.program_idle_timeout;
    });
}

bool quota_ledger::is_in_progress(const share& tenant_share, const grant_request& request) const {
    return request.continues ||
           (request.program != 0 && tenant_share.programs.count(request.program) > 0);
}

/// A new program leaves a part of the share to programs in progress. A request that belongs to no
/// program may use the whole share.
double quota_ledger::min_tokens_left(const share& tenant_share,
                                     const grant_request& request) const {
    if (request.program == 0 || this->is_in_progress(tenant_share, request)) {
        return 0;
    }
    return (tenant_share.capacity - 1) * this->options.reserved_for_programs;
}

std::uint32_t quota_ledger::retry_after_for(const share& tenant_share, double missing) {
    return static_cast<std::uint32_t>(std::ceil(missing / tenant_share.rate * 1'000));
}

grant_reply quota_ledger::try_acquire(const grant_request& request, base::instant now) {
    grant_reply reply{.config = this->config.version};
    const auto found = this->shares.find(request.tenant);
    if (found == this->shares.end()) {
        return reply;
    }
    share& tenant_share = found->second;
    refill(tenant_share, now);
    if (tenant_share.programs.size() >
        min_programs_before_cleanup + static_cast<std::size_t>(tenant_share.rate)) {
        this->erase_idle_programs(tenant_share, now);
    }
    const double min_left = this->min_tokens_left(tenant_share, request);
    reply.rate_hundredths = static_cast<std::uint32_t>(tenant_share.rate * 100);
    reply.in_window = tenant_share.recent.count_within(this->options.window, now);
    reply.programs = static_cast<std::uint32_t>(tenant_share.programs.size());
    const double remaining = this->window_remaining(tenant_share, now);
    if (tenant_share.tokens - 1 < min_left || remaining < 1) {
        ++this->refused_total;
        reply.outcome = quota_outcome::refused;
        reply.retry_after_ms = retry_after_for(
            tenant_share, std::max(min_left - (tenant_share.tokens - 1), 1 - remaining));
    } else {
        ++this->granted_total;
        tenant_share.tokens -= 1;
        tenant_share.recent.record(now);
        reply.outcome = quota_outcome::granted;
        if (request.program != 0) {
            tenant_share.programs[request.program] = now;
        }
    }
    reply.left = static_cast<std::int32_t>(std::floor(tenant_share.tokens));
    return reply;
}

std::size_t quota_ledger::program_count() const {
    std::size_t count = 0;
    for (const auto& [tenant, tenant_share] : this->shares) {
        count += tenant_share.programs.size();
    }
    return count;
}

}  // namespace pearbarrow::tenants
