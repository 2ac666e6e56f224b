#include "pearbarrow/suspects/isolation_plans.h"

namespace pearbarrow::suspects {

const isolation_plan& isolation_plans::of(const std::string& service) {
    const base::instant now = this->clock.now();
    const auto [at, is_new] = this->plans.try_emplace(service);
    made_plan& made = at->second;
    if (is_new || made.revision != this->table.revision() || now - made.made_at >= lifetime) {
        made = {.plan = this->table.plan(service, this->backends(service), now),
                .revision = this->table.revision(),
                .made_at = now};
    }
    return made.plan;
}

}  // namespace pearbarrow::suspects
