/// What the configuration says about a program in one cell: engines permitted, priority, weights
/// and limits. Remembers its answers until the configuration changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/placement/call_queue.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

struct program_rules {
    /// Engines that scheduling rules permit.
    engine_mask permitted = 0;
    /// Rules that gave the answer, one for each kind of pool in the cell, sorted by name.
    std::vector<std::string> matched;
    std::int32_t priority = 0;
    double latency_weight = 1;
    double cache_weight = 0.5;
    double tenant_weight = 1;
    /// Tightest bounds of tenant, class and matching `limit` objects; 0 for none. A dispatcher
    /// counts only what passes through its own cell.
    std::uint64_t token_limit = 0;
    std::uint32_t queue_limit = 0;
};

class rule_table {
  public:
    /// `engine_labels` has the pool labels of each engine of the cell, in the cell's order.
    void set(config::configuration_ptr configuration, base::region_name region,
             std::vector<config::label_set> engine_labels);

    /// Valid until the next call of `set` or `find`.
    const program_rules& find(const wire::placement_offer& offer);
    base::config_version version() const;

  private:
    program_rules match(const wire::placement_offer& offer) const;
    void apply_limits(const wire::placement_offer& offer, const config::label_set& labels,
                      program_rules& rules) const;

    config::configuration_ptr configuration_;
    base::region_name region_;
    std::vector<config::label_set> engine_labels_;
    absl::flat_hash_map<std::string, program_rules> known_;
};

}  // namespace pearbarrow::placement
