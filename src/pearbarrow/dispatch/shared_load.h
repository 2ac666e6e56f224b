/// What a forwarding node believes that the other nodes have at the back ends.
///
/// A pure state machine. Belief has an age: once no totals have come for a while, nothing is
/// believed, and the node decides by what it knows itself.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"

namespace pearbarrow::dispatch {

struct shared_load_options {
    /// Totals older than this are not believed: a turn lasts about as long, so none of what they
    /// counted may still be there.
    base::milliseconds longest_belief{1'000};
    /// Totals of a board that has gathered for less are passed over: not every node has reported.
    base::milliseconds least_gathered{500};
};

class shared_load {
  public:
    explicit shared_load(shared_load_options options) : options(options) {}

    void take(const load_totals& totals, base::instant now);
    /// Whether totals have come of late.
    bool is_known(base::instant now) const;
    /// What other nodes have told of the back end; zeros when nothing is known.
    backend_load at(backend_key backend, base::instant now) const;
    /// Everything that was told; counts only while `is_known`.
    const std::unordered_map<backend_key, backend_load>& all() const { return this->loads; }
    /// Since the totals came; for logs.
    base::milliseconds age(base::instant now) const;

  private:
    shared_load_options options;
    std::unordered_map<backend_key, backend_load> loads;
    bool was_told = false;
    base::instant told_at{};
};

}  // namespace pearbarrow::dispatch
