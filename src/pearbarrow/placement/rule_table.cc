#include "pearbarrow/placement/rule_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pearbarrow::placement {
namespace {

constexpr std::size_t max_cached_programs = 4096;

config::label_set own_labels(const wire::placement_offer& offer) {
    config::label_set labels;
    for (const auto& [key, value] : offer.labels) {
        labels.set(key, value);
    }
    return labels;
}

/// Cache key that contains all inputs of the rules.
std::string cache_key(const wire::placement_offer& offer) {
    constexpr char separator = '\0';
    std::string key = offer.tenant.value();
    key += separator;
    key += offer.program_class;
    for (const auto& [name, value] : offer.labels) {
        key += separator;
        key += name;
        key += '=';
        key += value;
    }
    return key;
}

template <typename Number>
void tighten(Number& bound, const std::optional<std::uint64_t>& limit) {
    if (!limit) {
        return;
    }
    // A limit of 0 admits nothing, but 0 means no limit in program_rules; 1 is the closest bound.
    const auto value = static_cast<Number>(std::max<std::uint64_t>(*limit, 1));
    bound = bound == 0 ? value : std::min(bound, value);
}

void tighten(program_rules& rules, const config::limits& limits) {
    tighten(rules.token_limit, limits.tokens_in_flight);
    tighten(rules.queue_limit, limits.queued_calls);
}

}  // namespace

void rule_table::set(config::configuration_ptr configuration, base::region_name region,
                     std::vector<config::label_set> engine_labels) {
    configuration_ = std::move(configuration);
    region_ = std::move(region);
    engine_labels_ = std::move(engine_labels);
    cached_rules_.clear();
}

base::config_version rule_table::version() const {
    return configuration_ ? configuration_->version() : base::config_version{};
}

const program_rules& rule_table::find(const wire::placement_offer& offer) {
    std::string key = cache_key(offer);
    const auto found = cached_rules_.find(key);
    if (found != cached_rules_.end()) {
        return found->second;
    }
    if (cached_rules_.size() >= max_cached_programs) {
        cached_rules_.clear();
    }
    return cached_rules_.emplace(std::move(key), match(offer)).first->second;
}

program_rules rule_table::match(const wire::placement_offer& offer) const {
    program_rules rules;
    if (!configuration_) {
        rules.permitted = ~engine_mask{0};
        return rules;
    }
    const config::label_set labels = config::program_labels(
        *configuration_, offer.tenant, offer.program_class, region_, own_labels(offer));
    if (const auto* spec =
            configuration_->find_spec<config::program_class_spec>(offer.program_class)) {
        rules.priority = spec->default_priority;
    }
    std::set<std::string> names;
    const config::object* first = nullptr;
    for (std::size_t index = 0; index < engine_labels_.size(); ++index) {
        const config::rule_match found =
            config::match_rules(*configuration_, labels, engine_labels_[index]);
        if (found.rule != nullptr) {
            names.insert(found.rule->name);
        }
        if (found.allowed) {
            rules.permitted |= engine_mask{1} << index;
            first = first == nullptr ? found.rule : first;
        }
    }
    rules.matched.assign(names.begin(), names.end());
    if (const auto* spec =
            first == nullptr ? nullptr : std::get_if<config::scheduling_rule_spec>(&first->spec)) {
        rules.priority = spec->priority.value_or(rules.priority);
        rules.latency_weight = spec->weights.latency;
        rules.cache_weight = spec->weights.cache;
    }
    apply_limits(offer, labels, rules);
    return rules;
}

void rule_table::apply_limits(const wire::placement_offer& offer, const config::label_set& labels,
                              program_rules& rules) const {
    if (const auto* tenant = configuration_->find_spec<config::tenant_spec>(offer.tenant.value())) {
        rules.tenant_weight = tenant->weight;
        tighten(rules, tenant->bounds);
    }
    if (const auto* spec =
            configuration_->find_spec<config::program_class_spec>(offer.program_class)) {
        tighten(rules, spec->bounds);
    }
    for (const config::object* value : configuration_->all(config::object_kind::limit)) {
        const auto* spec = std::get_if<config::limit_spec>(&value->spec);
        if (spec != nullptr && spec->programs.matches(labels)) {
            tighten(rules, spec->bounds);
        }
    }
}

}  // namespace pearbarrow::placement
