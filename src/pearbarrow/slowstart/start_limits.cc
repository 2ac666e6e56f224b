#include "pearbarrow/slowstart/start_limits.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/tenants/quota_members.h"

namespace pearbarrow::slowstart {
namespace {

/// Fraction of the bound that members grant. While a member is replaced, nodes with the old view
/// and nodes with the new view call four members instead of three, and each member grants a third.
constexpr double granted_fraction =
    static_cast<double>(tenants::quota_shares) / (tenants::quota_shares + 1);
/// Permits that a share holds beyond its rate, since requests arrive in bursts.
constexpr double extra_permits_per_share = 1;
/// Minimum rate of all members together. Shares that hold less than one permit per second grant
/// none.
constexpr double min_rate = 0.001;
/// How long the limit of a back end that has left the list is kept, so that its count continues
/// when it returns.
constexpr base::milliseconds retention{60'000};

}  // namespace

std::string permit_limit_name(std::string_view backend) {
    return "start/" + std::string(backend);
}

tenants::quota_options permit_ledger_options(base::node_id self) {
    tenants::quota_options options{.self = std::move(self)};
    options.extra_tokens = extra_permits_per_share;
    // A member that has just become responsible does not know what was granted before.
    options.initial_tokens = 0;
    options.window = base::milliseconds{1'000};
    // Permits belong to no program.
    options.reserved_for_programs = 0;
    return options;
}

double max_permits_per_second(double rate, const start_bound& bound) {
    return granted_fraction * (rate * bound.overage + bound.slack);
}

void start_limits::set_configuration(const directory::configuration& config) {
    this->rates.clear();
    for (const directory::service& service : config.services) {
        if (service.cold_rate > 0) {
            this->rates[service.name] = service.cold_rate;
        }
    }
    ++this->version;
}

void start_limits::set_backends(const directory::backend_list& list, base::instant now) {
    directory::backend_changes changes{.revision = list.revision};
    for (const auto& [id, entry] : this->backends) {
        if (entry.listed && list.backends.count(id) == 0) {
            changes.gone.push_back(id);
        }
    }
    for (const auto& [id, backend] : list.backends) {
        changes.present.push_back(backend);
    }
    this->apply(changes, now);
}

void start_limits::apply(const directory::backend_changes& changes, base::instant now) {
    for (const std::string& id : changes.gone) {
        const auto found = this->backends.find(id);
        if (found != this->backends.end() && std::exchange(found->second.listed, false)) {
            found->second.vanished_at = now;
            this->departed.emplace_back(now, id);
        }
    }
    for (const directory::backend& backend : changes.present) {
        this->backends[backend.id] = {.service = backend.service, .listed = true};
    }
    this->erase_departed(now);
    ++this->version;
}

void start_limits::erase_departed(base::instant now) {
    while (!this->departed.empty() && now - this->departed.front().first > retention) {
        const auto found = this->backends.find(this->departed.front().second);
        if (found != this->backends.end() && !found->second.listed &&
            now - found->second.vanished_at > retention) {
            this->backends.erase(found);
        }
        this->departed.pop_front();
    }
}

/// Includes warm back ends, so that their shares are full when they become cold.
directory::configuration start_limits::limits() const {
    constexpr double extra_permits = extra_permits_per_share * tenants::quota_shares;
    directory::configuration config;
    config.version = this->version;
    for (const auto& [id, entry] : this->backends) {
        const auto rate = this->rates.find(entry.service);
        if (rate == this->rates.end()) {
            continue;
        }
        directory::tenant limit;
        limit.name = permit_limit_name(id);
        limit.rate =
            std::max(max_permits_per_second(rate->second, this->bound) - extra_permits, min_rate);
        config.tenants.push_back(std::move(limit));
    }
    return config;
}

}  // namespace pearbarrow::slowstart
