#include "pearbarrow/node/cell_map.h"

#include <set>

#include <criterion/criterion.h>

using namespace pearbarrow;
using node::cell_id;
using node::cell_wish;
using node::choose_cell;

namespace {

config::object engine(const std::string& name, const std::string& pool, bool draining = false) {
    config::engine_spec spec;
    spec.address = "127.0.0.1:1";
    spec.pool = base::pool_id(pool);
    spec.draining = draining;
    return {name, {}, spec};
}

config::object pool(const std::string& name, std::uint32_t cell_size) {
    config::pool_spec spec;
    spec.model = base::model_name("model");
    spec.cell_size = cell_size;
    return {name, {{"tier", name}}, spec};
}

config::object rule(const std::string& name, const std::string& pools, config::rule_effect effect) {
    config::scheduling_rule_spec spec;
    spec.pools = *config::parse_selector(pools);
    spec.effect = effect;
    return {name, {}, spec};
}

config::object tool_service(const std::string& name, bool draining) {
    config::tool_service_spec spec;
    spec.address = "127.0.0.1:2";
    spec.tools.push_back({.name = base::tool_name("lookup")});
    spec.draining = draining;
    return {name, {}, spec};
}

config::configuration_ptr make(std::vector<config::object> objects) {
    return config::configuration::make(base::config_version(1), std::move(objects));
}

cell_wish model_wish(const std::string& program) {
    cell_wish wish;
    wish.program = base::program_id(program);
    wish.model = base::model_name("model");
    return wish;
}

}  // namespace

Test(cell_map, every_engine_is_in_exactly_one_cell) {
    std::vector<config::object> objects = {pool("p", 4)};
    for (char letter = 'a'; letter < 'j'; ++letter) {
        objects.push_back(engine(std::string("e-") + letter, "p"));
    }
    const auto configuration = make(objects);
    std::multiset<std::string> seen;
    for (const cell_id& cell : node::cells_of(*configuration)) {
        const auto members = node::back_ends_of(*configuration, cell);
        cr_assert(members.size() <= 4);
        for (const config::object* member : members) {
            seen.insert(member->name);
        }
    }
    cr_assert(seen.size() == 9);
    cr_assert(std::set<std::string>(seen.begin(), seen.end()).size() == 9);
}

Test(cell_map, a_call_goes_only_where_the_rules_allow) {
    const auto configuration =
        make({pool("gold", 8), pool("iron", 8), engine("e1", "gold"), engine("e2", "iron"),
              rule("all", "", config::rule_effect::allow),
              rule("no-gold", "tier=gold", config::rule_effect::deny)});
    for (int index = 0; index < 50; ++index) {
        const auto cell = choose_cell(*configuration, model_wish(std::to_string(index)));
        cr_assert(cell.has_value());
        cr_assert(cell->pool == base::pool_id("iron"));
    }
    const auto without_rules = make({pool("gold", 8), engine("e1", "gold")});
    cr_assert(!choose_cell(*without_rules, model_wish("x")).has_value());
}

Test(cell_map, the_cell_of_the_last_engine_comes_first) {
    std::vector<config::object> objects = {pool("p", 1),
                                           rule("all", "", config::rule_effect::allow)};
    for (char letter = 'a'; letter < 'i'; ++letter) {
        objects.push_back(engine(std::string("e-") + letter, "p"));
    }
    const auto configuration = make(objects);
    cell_wish wish = model_wish("program");
    wish.last_engine = base::backend_id("e-c");
    const auto cell = choose_cell(*configuration, wish);
    cr_assert(cell.has_value());
    cr_assert(cell->index == 2);
}

Test(cell_map, a_leaving_back_end_is_not_chosen) {
    const auto rules = rule("all", "", config::rule_effect::allow);
    const auto engines = make({pool("p", 8), engine("e1", "p", true), rules});
    cr_assert(!choose_cell(*engines, model_wish("x")).has_value());
    cell_wish wish;
    wish.program = base::program_id("x");
    wish.tool = base::tool_name("lookup");
    const auto tools = make({tool_service("t1", true), tool_service("t2", false), rules});
    const auto cell = choose_cell(*tools, wish);
    cr_assert(cell.has_value());
    cr_assert(node::back_ends_of(*tools, *cell).front()->name == "t2");
}
