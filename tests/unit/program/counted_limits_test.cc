// Tests of the quota that requests need and of the shard's use of limits.
#include "pearbarrow/program/counted_limits.h"
#include "owner_harness.h"

#include <criterion/criterion.h>

namespace pearbarrow::program {

namespace {

const config::object_key tenant_key{config::object_kind::tenant, tenant().value()};

void configure(owner_harness& harness, const config::limits& bounds) {
    config::tenant_spec spec;
    spec.bounds = bounds;
    harness.apply(event::configuration_changed{
        config::configuration::make(base::config_version(1), {{tenant().value(), {}, spec}}),
        base::region_name("region-1")});
}

wire::program_request open_request(const base::program_id& id) {
    wire::program_request request{.tenant = tenant(), .program = id};
    request.open = wire::open_program_request{.program_class = "class", .token_budget = 10'000};
    return request;
}

wire::program_request call_request(std::uint64_t number, const wire::call_body& body) {
    wire::program_request request{.tenant = tenant(), .program = program::program()};
    request.submit = wire::submit_call_request{.number = base::call_number(number), .body = body};
    return request;
}

quota_use use_of(const owner_harness& harness) {
    const auto found = harness.owner().quota_use().find(tenant_key);
    return found == harness.owner().quota_use().end() ? quota_use{} : found->second;
}

}  // namespace

Test(counted_limits, only_new_programs_and_calls_need_quota) {
    owner_harness harness;
    cr_assert(harness.owner().needs_of(open_request(program::program())).empty());
    configure(harness, {.calls_per_second = 5, .programs_at_once = 3, .tokens_in_flight = 10'000});
    const auto opening_needs = harness.owner().needs_of(open_request(program::program()));
    cr_assert(opening_needs.size() == 1 &&
              opening_needs[0].key.counter == quota_counter::programs &&
              opening_needs[0].amount == 1);
    harness.open();
    cr_assert(harness.owner().needs_of(open_request(program::program())).empty(),
              "a repeated open request needs no quota");

    const auto model_needs = harness.owner().needs_of(call_request(1, model_body("a")));
    cr_assert(model_needs.size() == 2 && model_needs[0].key.counter == quota_counter::tokens &&
              model_needs[1].key.counter == quota_counter::calls);
    cr_assert(model_needs[0].amount > 100, "the output limit and the prompt");
    const auto tool_needs = harness.owner().needs_of(call_request(1, tool_body()));
    cr_assert(tool_needs.size() == 1 && tool_needs[0].key.counter == quota_counter::calls);
    harness.submit(1, model_body("a"));
    cr_assert(harness.owner().needs_of(call_request(1, model_body("a"))).empty(),
              "a repeated call needs no quota");
    wire::program_request rival = call_request(2, model_body("b"));
    rival.tenant = tenant("rival");
    cr_assert(harness.owner().needs_of(rival).empty(),
              "a request that will be refused needs no quota");
}

Test(counted_limits, use_follows_programs_and_calls_and_is_recounted_after_a_take_over) {
    owner_harness harness;
    configure(harness, {.programs_at_once = 3});
    harness.open();
    harness.open(1'000, program::program("p2"));
    harness.submit(1, model_body("a"));
    const quota_use before = use_of(harness);
    cr_assert(before.programs == 2 && before.tokens > 100);

    harness.take_over();
    configure(harness, {.programs_at_once = 3});
    cr_assert(use_of(harness).programs == 2 && use_of(harness).tokens == before.tokens);
    harness.generate(harness.last<action::resume_model_attempt>().attempt, "done");
    cr_assert(use_of(harness).tokens == 0);
    harness.end();
    harness.end(program::program("p2"));
    cr_assert(harness.owner().quota_use().empty());
}

Test(counted_limits, configuration_change_recounts_the_use) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("a"));
    cr_assert(harness.owner().quota_use().empty());
    configure(harness, {.tokens_in_flight = 1'000});
    cr_assert(use_of(harness).programs == 1 && use_of(harness).tokens > 100);
    configure(harness, {.tokens_in_flight = 2'000});
    cr_assert(use_of(harness).programs == 1, "not counted twice");
}

}  // namespace pearbarrow::program
