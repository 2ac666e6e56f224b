/// An edge's end of the load reports: tells what its pool has under way, keeps what others told.
#pragma once

#include <cstdint>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

struct reporter_options {
    base::node_id node;
    /// Drawn at the node's start; not 0.
    std::uint64_t life = 1;
    /// False: this node neither tells its load nor hears of the others'.
    bool share_load = true;
};

class load_reporter final : public dispatch::load_exchange {
  public:
    load_reporter(const base::clock& clock, backend_pool& pool, reporter_options options);

    dispatch::load_report report(bool wants_totals) override;
    void take(const dispatch::load_totals& totals) override;
    const dispatch::shared_load& elsewhere() const { return this->others; }

  private:
    const base::clock& clock;
    backend_pool& pool;
    reporter_options options;
    dispatch::shared_load others;
    std::uint64_t last_report = 0;
};

}  // namespace pearbarrow::forward
