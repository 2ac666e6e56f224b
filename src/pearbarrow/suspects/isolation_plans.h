/// The current isolation plan of each service on an edge (`suspect_table::plan`).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/suspects/suspect_table.h"

namespace pearbarrow::suspects {

class isolation_plans {
  public:
    /// Returns the ids of the back ends of a service that accept requests, sorted.
    using backend_source = std::function<std::vector<std::string>(const std::string& service)>;

    isolation_plans(const base::clock& clock, const suspect_table& table, backend_source backends)
        : clock(clock), table(table), backends(std::move(backends)) {}

    /// Returns the plan of the service. It is made anew after a change of the suspects, and when it
    /// is older than `lifetime`.
    const isolation_plan& of(const std::string& service);

  private:
    /// The list of back ends and the end of an isolation change a plan too.
    static constexpr base::milliseconds lifetime{100};

    struct made_plan {
        isolation_plan plan;
        std::uint64_t revision = 0;
        base::instant made_at{};
    };

    const base::clock& clock;
    const suspect_table& table;
    backend_source backends;
    std::map<std::string, made_plan> plans;
};

}  // namespace pearbarrow::suspects
