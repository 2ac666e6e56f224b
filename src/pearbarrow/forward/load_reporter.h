/// Exchanges load reports: reports the in-flight requests of the local pool, and stores the totals
/// of the other nodes.
#pragma once

#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

struct reporter_options {
    base::node_id node;
    /// Random number drawn at the start of the node, not 0.
    std::uint64_t incarnation = 1;
    /// If false, this node neither reports its load nor receives that of other nodes.
    bool share_load = true;
};

class load_reporter final : public dispatch::load_exchange {
  public:
    load_reporter(const base::clock& clock, backend_pool& pool, reporter_options options);

    dispatch::load_report report(bool wants_totals) override;
    void apply_totals(const dispatch::load_totals& totals) override;
    const dispatch::shared_load& remote_load() const { return this->remote_totals; }

  private:
    const base::clock& clock;
    backend_pool& pool;
    reporter_options options;
    dispatch::shared_load remote_totals;
    std::uint64_t last_report = 0;
};

}  // namespace pearbarrow::forward
