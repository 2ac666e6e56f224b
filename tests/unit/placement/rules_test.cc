#include <string>
#include <vector>

#include "pearbarrow/config/configuration.h"
#include "scheduler_fixture.h"

#include <criterion/criterion.h>

namespace pearbarrow::placement {
namespace {

config::object rule(const std::string& name, const std::string& programs, const std::string& pools,
                    std::optional<int> priority = {}) {
    config::scheduling_rule_spec spec;
    spec.programs = *config::parse_selector(programs);
    spec.pools = *config::parse_selector(pools);
    spec.priority = priority;
    return {name, {}, spec};
}

config::configuration_ptr configuration() {
    config::tenant_spec limited;
    limited.bounds.tokens_in_flight = 1500;
    limited.bounds.queued_calls = 1;
    return config::configuration::make(base::config_version(7),
                                       {rule("counter", "class in (pairing)", "hall=north", 10),
                                        rule("back-office", "class=ledger", "hall=south", -10),
                                        rule("urgent", "class=urgent", "", 50),
                                        {"limited", {}, limited}});
}

std::vector<cell_engine> two_hall_engines() {
    cell_engine north = scheduler_fixture::engine("n");
    north.pool_labels.set("hall", "north");
    cell_engine south = scheduler_fixture::engine("s");
    south.pool_labels.set("hall", "south");
    return {north, south};
}

wire::placement_offer offer_of(const std::string& attempt, const std::string& program_class) {
    auto offer = scheduler_fixture::offer(attempt, attempt);
    offer.program_class = program_class;
    return offer;
}

Test(rules, selectors_restrict_permitted_engines) {
    scheduler_fixture cell;
    cell.set_engines(two_hall_engines(), configuration());
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer_of("1", "pairing"))), "n");
    const auto actions = cell.submit(offer_of("2", "ledger"));
    cr_assert_eq(scheduler_fixture::result(actions), "s");
    const decision_record& record = *std::get<grant_action>(actions.front()).decision;
    cr_assert_eq(record.inputs.matched_rules, std::vector<std::string>{"back-office"});
    cr_assert_eq(record.inputs.configuration.value(), 7);
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer_of("3", "haggle"))),
                 reason::denied_by_rule);
}

Test(rules, higher_priority_goes_before_queue_order) {
    scheduler_fixture cell;
    cell.set_engines(two_hall_engines(), configuration());
    for (const char* name : {"1", "2"}) {
        cell.submit(offer_of(name, "pairing"));
    }
    cell.submit(offer_of("3", "ledger"));
    cell.submit(offer_of("4", "ledger"));
    cell.submit(offer_of("late", "pairing"));
    cell.advance(base::milliseconds(10));
    cell.submit(offer_of("first", "urgent"));
    const auto actions = cell.finish("1", "1", "n");
    cr_assert_eq(std::get<grant_action>(actions.front()).attempt.value(), "first");
}

Test(rules, rule_change_applies_to_waiting_calls) {
    scheduler_fixture cell;
    cell.set_engines(two_hall_engines(), configuration());
    cell.feed(engine_state_event{base::backend_id("n"), true, false});
    cr_assert(cell.submit(offer_of("1", "pairing")).empty());
    const auto everywhere =
        config::configuration::make(base::config_version(8), {rule("all", "", "")});
    const auto actions = cell.feed(
        engines_changed_event{everywhere, base::region_name("r"), {two_hall_engines()[1]}});
    cr_assert_eq(scheduler_fixture::result(actions), "s");
}

Test(rules, tenant_at_token_limit_waits_and_others_proceed) {
    scheduler_fixture cell;
    cell.set_engines(two_hall_engines(), configuration());
    const auto limited = [](const std::string& name) {
        auto offer = offer_of(name, "pairing");
        offer.tenant = base::tenant_id("limited");
        return offer;
    };
    cr_assert_eq(scheduler_fixture::result(cell.submit(limited("1"))), "n");
    cr_assert(cell.submit(limited("2")).empty());
    const auto waiting = cell.scheduler.explain(base::attempt_id("2"), cell.now);
    cr_assert_eq(waiting->outcome.reason, reason::waiting_for_tenant_limit);
    cr_assert_eq(scheduler_fixture::result(cell.submit(limited("3"))), reason::tenant_queue_full);
    cr_assert_eq(scheduler_fixture::result(cell.submit(offer_of("4", "pairing"))), "n");
    cr_assert_eq(scheduler_fixture::result(cell.finish("1", "1", "n")), "n");
}

}  // namespace
}  // namespace pearbarrow::placement
