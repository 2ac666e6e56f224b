/// The limits under which storage members grant permits for back ends that have just started.
///
/// The ledger of tenants' quotas (`tenants/quota_ledger.h`) also counts these permits: each back
/// end is one more name with a limit. This file defines the names and their rates.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/tenants/quota_ledger.h"

namespace pearbarrow::slowstart {

/// The operator's bound: a cold back end receives at most rate x overage + slack requests in a
/// second.
struct start_bound {
    double overage = 1.0;
    double slack = 0;
};

/// Returns the name under which the ledger counts a back end's permits.
std::string permit_limit_name(std::string_view backend);

/// Returns options of the ledger that counts permits. Its window is the second of the operator's
/// bound.
tenants::quota_options permit_ledger_options(base::node_id self);

/// Returns the maximum number of permits that all members together grant in any second, while they
/// agree on the view.
double max_permits_per_second(double rate, const start_bound& bound);

/// Derives the limits from the configuration and the back ends that a storage member knows. A pure
/// state machine.
class start_limits {
  public:
    explicit start_limits(start_bound bound) : bound(bound) {}

    void set_configuration(const directory::configuration& config);
    /// Applies changes of the list of back ends.
    void apply(const directory::backend_changes& changes, base::instant now);
    /// Replaces the whole list of back ends.
    void set_backends(const directory::backend_list& list, base::instant now);
    /// Returns whether any service has a cold rate.
    bool has_cold_rates() const { return !this->rates.empty(); }
    /// Returns the limits, in the form that `tenants::quota_ledger::set_configuration` takes.
    directory::configuration limits() const;

  private:
    struct known_backend {
        std::string service;
        bool listed = false;
        base::instant vanished_at{};
    };

    void erase_departed(base::instant now);

    start_bound bound;
    std::uint64_t version = 0;
    std::map<std::string, double, std::less<>> rates;
    std::map<std::string, known_backend, std::less<>> backends;
    /// Ids that have left the list, in the order of their removal.
    std::deque<std::pair<base::instant, std::string>> departed;
};

}  // namespace pearbarrow::slowstart
