#include "pearbarrow/slowstart/start_limits.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/tenants/quota_members.h"

namespace pearbarrow::slowstart {
namespace {

/// Part of the bound that is granted. While a member is replaced, nodes with the old view and with
/// the new one ask four members in place of three, each of which grants a third.
constexpr double granted_part =
    static_cast<double>(tenants::quota_shares) / (tenants::quota_shares + 1);
/// A share holds this many permits beyond its rate: requests come in clumps.
constexpr double share_extra = 1;
/// The least rate of all members together. Shares that hold less than one permit a second grant
/// none.
constexpr double least_rate = 0.001;
/// A back end that vanishes and comes back goes on with the same count.
constexpr base::milliseconds memory{60'000};

}  // namespace

std::string limit_name(std::string_view backend) {
    return "start/" + std::string(backend);
}

tenants::quota_options permit_ledger_options(base::node_id self) {
    tenants::quota_options options{.self = std::move(self)};
    options.extra = share_extra;
    // Who has just begun to count does not know what was granted before.
    options.initial_tokens = 0;
    options.window = base::milliseconds{1'000};
    // A permit belongs to no program.
    options.reserved_for_programs = 0;
    return options;
}

double granted_in_second(double rate, const start_bound& bound) {
    return granted_part * (rate * bound.overage + bound.slack);
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
    directory::backend_changes step{.revision = list.revision};
    for (const auto& [id, one] : this->backends) {
        if (one.listed && list.backends.count(id) == 0) {
            step.gone.push_back(id);
        }
    }
    for (const auto& [id, backend] : list.backends) {
        step.present.push_back(backend);
    }
    this->apply(step, now);
}

void start_limits::apply(const directory::backend_changes& step, base::instant now) {
    for (const std::string& id : step.gone) {
        const auto found = this->backends.find(id);
        if (found != this->backends.end() && std::exchange(found->second.listed, false)) {
            found->second.vanished_at = now;
            this->departed.emplace_back(now, id);
        }
    }
    for (const directory::backend& backend : step.present) {
        this->backends[backend.id] = {.service = backend.service, .listed = true};
    }
    this->forget_departed(now);
    ++this->version;
}

void start_limits::forget_departed(base::instant now) {
    while (!this->departed.empty() && now - this->departed.front().first > memory) {
        const auto found = this->backends.find(this->departed.front().second);
        if (found != this->backends.end() && !found->second.listed &&
            now - found->second.vanished_at > memory) {
            this->backends.erase(found);
        }
        this->departed.pop_front();
    }
}

/// Shares are made for all back ends, warm ones too: one that turns cold finds them filled.
directory::configuration start_limits::limits() const {
    constexpr double extras = share_extra * tenants::quota_shares;
    directory::configuration config;
    config.version = this->version;
    for (const auto& [id, one] : this->backends) {
        const auto rate = this->rates.find(one.service);
        if (rate == this->rates.end()) {
            continue;
        }
        directory::tenant limit;
        limit.name = limit_name(id);
        limit.rate = std::max(granted_in_second(rate->second, this->bound) - extras, least_rate);
        config.tenants.push_back(std::move(limit));
    }
    return config;
}

}  // namespace pearbarrow::slowstart
