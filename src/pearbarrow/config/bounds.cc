#include "pearbarrow/config/bounds.h"

#include <algorithm>

namespace pearbarrow::config {

namespace {

template <typename Value>
void tighten(std::optional<Value>& into, const std::optional<Value>& other) {
    if (other.has_value() && (!into.has_value() || *other < *into)) {
        into = other;
    }
}

}  // namespace

std::vector<applied_bounds> bounds_on(const configuration& configuration,
                                      const base::tenant_id& tenant, std::string_view program_class,
                                      const base::region_name& region, const label_set& own) {
    std::vector<applied_bounds> found;
    if (const object* value = configuration.find(object_kind::program_class, program_class)) {
        found.push_back({value->key(), std::get<program_class_spec>(value->spec).bounds});
    }
    if (const object* value = configuration.find(object_kind::tenant, tenant.value())) {
        found.push_back({value->key(), std::get<tenant_spec>(value->spec).bounds});
    }
    const std::vector<const object*>& selecting = configuration.all(object_kind::limit);
    if (selecting.empty()) {
        return found;
    }
    const label_set labels = program_labels(configuration, tenant, program_class, region, own);
    for (const object* value : selecting) {
        const auto& spec = std::get<limit_spec>(value->spec);
        if (spec.programs.matches(labels)) {
            found.push_back({value->key(), spec.bounds});
        }
    }
    return found;
}

limits tightest(const std::vector<applied_bounds>& bounds) {
    limits result;
    for (const applied_bounds& each : bounds) {
        tighten(result.calls_per_second, each.bounds.calls_per_second);
        tighten(result.call_burst, each.bounds.call_burst);
        tighten(result.programs_at_once, each.bounds.programs_at_once);
        tighten(result.tokens_in_flight, each.bounds.tokens_in_flight);
        tighten(result.queued_calls, each.bounds.queued_calls);
        tighten(result.turns, each.bounds.turns);
        tighten(result.budget, each.bounds.budget);
        tighten(result.run_time, each.bounds.run_time);
        tighten(result.idle_time, each.bounds.idle_time);
        tighten(result.repeated_calls, each.bounds.repeated_calls);
    }
    return result;
}

std::optional<tool_terms> terms_of(const configuration& configuration,
                                   const base::tool_name& tool) {
    std::optional<tool_terms> terms;
    for (const object* service : configuration.services_of(tool)) {
        const tool_spec* spec = std::get<tool_service_spec>(service->spec).find(tool);
        if (spec == nullptr) {
            continue;
        }
        if (!terms.has_value()) {
            terms = tool_terms{spec->repeatable, spec->cost};
            continue;
        }
        terms->repeatable = terms->repeatable && spec->repeatable;
        terms->cost = std::max(terms->cost, spec->cost);
    }
    return terms;
}

}  // namespace pearbarrow::config
