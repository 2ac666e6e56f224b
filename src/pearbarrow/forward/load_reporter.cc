#include "pearbarrow/forward/load_reporter.h"

#include <utility>

namespace pearbarrow::forward {

load_reporter::load_reporter(const base::clock& clock, backend_pool& pool, reporter_options options)
    : clock(clock), pool(pool), options(std::move(options)), remote_load({}) {
    this->pool.set_shared_load(this->remote_load);
}

dispatch::load_report load_reporter::report(bool wants_totals) {
    if (!this->options.share_load) {
        return {};
    }
    return {.node = this->options.node,
            .life = this->options.life,
            .number = ++this->last_report,
            .loads = this->pool.own_loads(this->clock.now()),
            .wants_totals = wants_totals};
}

void load_reporter::take(const dispatch::load_totals& totals) {
    this->remote_load.take(totals, this->clock.now());
}

}  // namespace pearbarrow::forward
