/// Tracks which back ends are cold from the view of one node, and for how much longer.
///
/// A pure state machine; time is a parameter. A back end in an unknown state counts as cold: one
/// that appears for the first time, or again after a gap, has been idle, and all nodes see it
/// appear at the same time.
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
    /// How long the table keeps the state of a back end that has left the list, so that it detects
    /// its return.
    base::milliseconds retention{60'000};
};

class cold_table {
  public:
    explicit cold_table(cold_options options = {}) : options(options) {}

    void set_configuration(const directory::configuration& config);
    /// Applies changes of the list of back ends.
    void apply(const directory::backend_changes& changes, base::instant now);
    /// Replaces the whole list of back ends.
    void set_backends(const directory::backend_list& list, base::instant now);
    void set_emptied_zones(const directory::emptied_zone_list& list, base::instant now);
    /// Handles the end of a time without updates: any back end may have started meanwhile.
    void on_update_gap(base::instant now);
    /// Handles a failed connection: the process may have ended, and is cold when it is back.
    void on_unreachable(std::string_view id);
    /// Handles a response of the back end.
    void on_response(std::string_view id, base::instant now);

    /// Returns the cold start for which a request needs a permit. Empty if the back end is warm or
    /// its service has no cold rate.
    std::optional<cold_start> find(std::string_view id, base::instant now) const;
    bool is_cold(std::string_view id, base::instant now) const;
    std::size_t cold_count(base::instant now) const;
    /// Returns whether the configuration has services with a cold rate.
    bool has_cold_rates() const { return !this->bounds.empty(); }

  private:
    /// Configuration of a service whose back ends start cold.
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
        bool unreachable = false;
        /// End of the cold time that the back end reports.
        base::instant cold_until{};
        /// Time since which the back end may have started without an entry that reports it.
        std::optional<base::instant> possibly_cold_since;
    };

    void apply_backend(const directory::backend& backend, base::instant now);
    void erase_departed(base::instant now);
    /// Returns null if the back ends of the service are never cold.
    const service_bound* bound_of(const state& entry) const;
    bool is_cold(const state& entry, base::instant now) const;

    cold_options options;
    std::map<std::string, service_bound, std::less<>> bounds;
    std::map<std::string, state, std::less<>> states;
    std::set<std::string, std::less<>> emptied_zones;
    /// Ids that have left the list, in the order of their removal.
    std::deque<std::pair<base::instant, std::string>> departed;
};

}  // namespace pearbarrow::slowstart
