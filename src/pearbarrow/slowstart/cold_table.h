/// Which back ends are cold, as one node knows it, and for how much longer.
///
/// A pure state machine: time is given. What isn't known counts as cold: a back end that is heard
/// of for the first time, or again after a gap, has just been idle, and all nodes see that at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/slowstart/start_permit.h"

namespace pearbarrow::slowstart {

struct cold_options {
    /// A back end that has left the list is remembered this long, so that its return is told from
    /// its going on.
    base::milliseconds memory{60'000};
};

class cold_table {
  public:
    explicit cold_table(cold_options options = {}) : options(options) {}

    void set_configuration(const directory::configuration& config);
    /// Takes what has changed in the list of back ends.
    void apply(const directory::backend_changes& step, base::instant now);
    /// The same from a whole list.
    void set_backends(const directory::backend_list& list, base::instant now);
    void set_emptied_zones(const directory::emptied_zone_list& list, base::instant now);
    /// News come again after a time without any: whatever has started meanwhile may be cold.
    void note_gap(base::instant now);
    /// No connection came up: it may have ended, and be cold when it is there again.
    void note_unreachable(std::string_view id);
    /// It has answered.
    void note_reached(std::string_view id, base::instant now);

    /// What a permit is asked for; absent while the back end is warm, or its service bears any
    /// rate.
    std::optional<cold_start> find(std::string_view id, base::instant now) const;
    bool is_cold(std::string_view id, base::instant now) const;
    std::size_t cold_count(base::instant now) const;
    /// Whether the configuration has services whose back ends are ever cold.
    bool is_needed() const { return !this->bounds.empty(); }

  private:
    /// What the operator says of a service whose back ends start cold.
    struct service_bound {
        base::milliseconds cold_time{0};
        double rate = 0;
    };

    struct state {
        std::string service;
        std::string zone;
        std::uint64_t started_at = 0;
        std::uint32_t cold_left_ms = 0;
        bool listed = false;
        base::instant vanished_at{};
        bool out_of_reach = false;
        /// By its own word.
        base::instant cold_until{};
        /// Since when it may be in a start that nobody has told of.
        std::optional<base::instant> suspected_at;
    };

    void take(const directory::backend& backend, base::instant now);
    void forget_departed(base::instant now);
    /// Null: the service's back ends are never cold.
    const service_bound* bound_of(const state& one) const;
    bool is_cold(const state& one, base::instant now) const;

    cold_options options;
    std::map<std::string, service_bound, std::less<>> bounds;
    std::map<std::string, state, std::less<>> states;
    std::set<std::string, std::less<>> emptied;
    /// Ids that have left the list, by when.
    std::deque<std::pair<base::instant, std::string>> departed;
};

}  // namespace pearbarrow::slowstart
