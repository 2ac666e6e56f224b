/// The limits under which storage members grant permits for back ends that have just started.
///
/// A back end's start is one more name whose requests are counted in shares
/// (`tenants/quota_ledger.h`): this gives the names and their rates.
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

/// The operator's bound: a cold back end gets at most rate x overage + slack requests in a second.
struct start_bound {
    double overage = 1.0;
    double slack = 0;
};

/// The name under which a back end's permits are counted.
std::string limit_name(std::string_view backend);

/// Options of the ledger that counts permits: its window is the second of the operator's bound.
tenants::quota_options permit_ledger_options(base::node_id self);

/// Most permits of all members together in any second, while they agree on the view.
double granted_in_second(double rate, const start_bound& bound);

/// Pure: follows configuration and back ends of a storage member.
class start_limits {
  public:
    explicit start_limits(start_bound bound) : bound(bound) {}

    void set_configuration(const directory::configuration& config);
    /// Takes what has changed in the list of back ends.
    void apply(const directory::backend_changes& step, base::instant now);
    /// The same from a whole list.
    void set_backends(const directory::backend_list& list, base::instant now);
    /// Whether any service's back ends are ever cold.
    bool is_needed() const { return !this->rates.empty(); }
    /// For `tenants::quota_ledger::set_configuration`.
    directory::configuration limits() const;

  private:
    struct known_backend {
        std::string service;
        bool listed = false;
        base::instant vanished_at{};
    };

    void forget_departed(base::instant now);

    start_bound bound;
    std::uint64_t version = 0;
    std::map<std::string, double, std::less<>> rates;
    std::map<std::string, known_backend, std::less<>> backends;
    /// Ids that have left the list, by when.
    std::deque<std::pair<base::instant, std::string>> departed;
};

}  // namespace pearbarrow::slowstart
