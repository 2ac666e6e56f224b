/// Matches programs against the configuration: permitted engines, priority, weights and limits in
/// one cell. Results are cached until the configuration changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/config/configuration.h"
#include "pearbarrow/placement/program_rules.h"
#include "pearbarrow/wire/placement_messages.h"

namespace pearbarrow::placement {

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
    absl::flat_hash_map<std::string, program_rules> cached_rules_;
};

}  // namespace pearbarrow::placement
