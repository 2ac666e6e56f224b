/// Load of the other nodes at the back ends, as known to a forwarding node.
///
/// A pure state machine. The totals expire: if none have arrived for a while, the node decides by
/// its own load only.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"

namespace pearbarrow::dispatch {

struct shared_load_options {
    /// Totals older than this are ignored: a turn lasts about as long, so all requests that they
    /// counted may have ended.
    base::milliseconds max_age{1'000};
    /// Totals of a load table that has collected reports for less time are ignored, because not
    /// every node has reported yet.
    base::milliseconds min_collection_time{500};
};

class shared_load {
  public:
    explicit shared_load(shared_load_options options) : options(options) {}

    void apply_totals(const load_totals& totals, base::instant now);
    /// Whether recent totals are available.
    bool is_known(base::instant now) const;
    /// Returns the load of the other nodes at the back end, or zeros if it is unknown.
    backend_load at(backend_key backend, base::instant now) const;
    /// Returns all received totals, which are valid only while `is_known`.
    const std::unordered_map<backend_key, backend_load>& all() const { return this->loads; }
    /// Returns the time since the totals arrived, for logs.
    base::milliseconds age(base::instant now) const;

  private:
    shared_load_options options;
    std::unordered_map<backend_key, backend_load> loads;
    bool has_totals = false;
    base::instant received_at{};
};

}  // namespace pearbarrow::dispatch
