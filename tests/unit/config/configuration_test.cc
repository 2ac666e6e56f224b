#include "pearbarrow/config/configuration.h"

#include <criterion/criterion.h>

namespace config = pearbarrow::config;
namespace base = pearbarrow::base;

namespace {

config::object rule(std::string name, std::string_view programs, std::string_view pools,
                    config::rule_effect effect, int precedence) {
    config::scheduling_rule_spec spec;
    spec.programs = *config::parse_selector(programs);
    spec.pools = *config::parse_selector(pools);
    spec.effect = effect;
    spec.precedence = precedence;
    return {std::move(name), {}, spec};
}

config::object engine(std::string name, std::string pool) {
    config::engine_spec spec;
    spec.address = "10.0.0.1:80";
    spec.pool = base::pool_id(std::move(pool));
    return {std::move(name), {}, spec};
}

config::object tenant(std::string name, std::string_view key) {
    config::tenant_spec spec;
    spec.api_key_sha256 = {config::api_key_digest(key)};
    return {std::move(name), {{"tier", "gold"}}, spec};
}

}  // namespace

Test(configuration, change_does_not_modify_earlier_version) {
    const auto first = config::configuration::empty();
    config::change put{
        "c1", base::config_version(0), "a", {config::put_object{engine("e1", "p1")}}};
    const auto second = *first->apply(put);
    cr_assert_eq(second->version().value(), 1);
    cr_assert_eq(second->last_change_id(), "c1");
    cr_assert_null(first->find(config::object_kind::engine, "e1"));
    cr_assert_not_null(second->find_spec<config::engine_spec>("e1"));
    const config::object_key key{config::object_kind::engine, "e1"};
    config::change label{"c2", base::config_version(1), "a", {config::set_label{key, "zone", "a"}}};
    const auto third = *second->apply(label);
    cr_assert_not_null(third->find(config::object_kind::engine, "e1")->labels.find("zone"));
    cr_assert_null(second->find(config::object_kind::engine, "e1")->labels.find("zone"));
    config::change gone{"c3", base::config_version(2), "a", {config::delete_object{key}}};
    const auto fourth = *third->apply(gone);
    cr_assert_eq(fourth->size(), 0);
    gone.base_version = base::config_version(3);
    cr_assert_not(fourth->apply(gone).ok());
}

Test(configuration, engines_tools_and_tenants_are_found_by_index) {
    config::tool_service_spec tools;
    tools.address = "10.0.0.2:80";
    tools.tools = {{base::tool_name("hold")}};
    const auto all =
        config::configuration::make(base::config_version(4), {engine("e2", "p1"),
                                                              engine("e1", "p1"),
                                                              engine("e3", "p2"),
                                                              {"t1", {}, tools},
                                                              tenant("granite", "key-1"),
                                                              tenant("kyushu", "key-2")});
    cr_assert_eq(all->engines_of(base::pool_id("p1")).size(), 2);
    cr_assert_eq(all->engines_of(base::pool_id("p1"))[0]->name, "e1");
    cr_assert(all->engines_of(base::pool_id("none")).empty());
    cr_assert_eq(all->services_of(base::tool_name("hold"))[0]->name, "t1");
    cr_assert_eq(all->tenant_by_key_digest(config::api_key_digest("key-2"))->name, "kyushu");
    cr_assert_null(all->tenant_by_key_digest("key-2"));
    const auto copy = config::decode_configuration(config::encode_configuration(*all));
    cr_assert(copy.ok());
    cr_assert_eq((*copy)->digest(), all->digest());
    cr_assert((*copy)->objects() == all->objects());
}

Test(configuration, deny_rule_precedes_precedence_and_name) {
    const auto all = config::configuration::make(
        base::config_version(1),
        {rule("b", "class=haggle", "pool=fast", config::rule_effect::allow, 5),
         rule("a", "class=haggle", "pool=fast", config::rule_effect::allow, 5),
         rule("low", "", "", config::rule_effect::allow, 0),
         rule("no", "tier=banned", "", config::rule_effect::deny, -9)});
    const config::label_set fast{{"pool", "fast"}};
    const auto chosen = config::match_rules(*all, {{"class", "haggle"}}, fast);
    cr_assert(chosen.allowed);
    cr_assert_eq(chosen.rule->name, "a");
    const auto denied = config::match_rules(*all, {{"class", "haggle"}, {"tier", "banned"}}, fast);
    cr_assert_not(denied.allowed);
    cr_assert_eq(denied.rule->name, "no");
    const auto none = config::match_rules(*config::configuration::empty(), {}, fast);
    cr_assert_not(none.allowed);
    cr_assert_null(none.rule);
}

Test(configuration, operator_labels_override_program_labels) {
    const auto all =
        config::configuration::make(base::config_version(1), {tenant("granite", "key-1")});
    const auto labels = config::program_labels(
        *all, base::tenant_id("granite"), "pairing", base::region_name("west"),
        {{"tier", "platinum"}, {"tenant", "kyushu"}, {"shop", "7"}});
    cr_assert_eq(*labels.find("tier"), "gold");
    cr_assert_eq(*labels.find("tenant"), "granite");
    cr_assert_eq(*labels.find("class"), "pairing");
    cr_assert_eq(*labels.find("shop"), "7");
}
