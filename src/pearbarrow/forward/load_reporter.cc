#include "pearbarrow/forward/load_reporter.h"

#include <utility>

namespace pearbarrow::forward {

load_reporter::load_reporter(const base::clock& clock, backend_pool& pool, reporter_options options)
    : clock(clock), pool(pool), options(std::move(options)), remote_totals({}) {
    this->pool.set_shared_load(this->remote_totals);
}

dispatch::load_report load_reporter::report(bool wants_totals) {
    if (!this->options.share_load) {
        return {};
    }
    return {.node = this->options.node,
            .incarnation = this->options.incarnation,
            .number = ++this->last_report,
            .loads = this->pool.own_loads(this->clock.now()),
            .wants_totals = wants_totals};
}

void load_reporter::apply_totals(const dispatch::load_totals& totals) {
    this->remote_totals.apply_totals(totals, this->clock.now());
}

}  // namespace pearbarrow::forward
