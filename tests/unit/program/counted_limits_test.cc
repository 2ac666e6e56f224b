// What a request needs room in, and what the shard's programs use.
#include "pearbarrow/program/counted_limits.h"
#include "owner_harness.h"

#include <criterion/criterion.h>

namespace pearbarrow::program {

namespace {

const config::object_key tenant_key{config::object_kind::tenant, tenant().value()};

void bound(owner_harness& harness, const config::limits& bounds) {
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

Test(counted_limits, only_what_is_new_needs_room) {
    owner_harness harness;
    cr_assert(harness.owner().needs_of(open_request(program::program())).empty());
    bound(harness, {.calls_per_second = 5, .programs_at_once = 3, .tokens_in_flight = 10'000});
    const auto to_open = harness.owner().needs_of(open_request(program::program()));
    cr_assert(to_open.size() == 1 && to_open[0].key.counter == quota_counter::programs &&
              to_open[0].amount == 1);
    harness.open();
    cr_assert(harness.owner().needs_of(open_request(program::program())).empty(),
              "a repeated opening needs none");

    const auto to_call = harness.owner().needs_of(call_request(1, model_body("a")));
    cr_assert(to_call.size() == 2 && to_call[0].key.counter == quota_counter::tokens &&
              to_call[1].key.counter == quota_counter::calls);
    cr_assert(to_call[0].amount > 100, "the output limit and the prompt");
    const auto to_run = harness.owner().needs_of(call_request(1, tool_body()));
    cr_assert(to_run.size() == 1 && to_run[0].key.counter == quota_counter::calls);
    harness.submit(1, model_body("a"));
    cr_assert(harness.owner().needs_of(call_request(1, model_body("a"))).empty(),
              "a repeated call needs none");
    wire::program_request rival = call_request(2, model_body("b"));
    rival.tenant = tenant("rival");
    cr_assert(harness.owner().needs_of(rival).empty(), "it will be refused, and uses nothing");
}

Test(counted_limits, use_follows_programs_and_calls_and_the_next_owner_counts_the_same) {
    owner_harness harness;
    bound(harness, {.programs_at_once = 3});
    harness.open();
    harness.open(1'000, program::program("p2"));
    harness.submit(1, model_body("a"));
    const quota_use before = use_of(harness);
    cr_assert(before.programs == 2 && before.tokens > 100);

    harness.take_over();
    bound(harness, {.programs_at_once = 3});
    cr_assert(use_of(harness).programs == 2 && use_of(harness).tokens == before.tokens);
    harness.generate(harness.last<action::resume_model_attempt>().attempt, "done");
    cr_assert(use_of(harness).tokens == 0);
    harness.end();
    harness.end(program::program("p2"));
    cr_assert(harness.owner().quota_use().empty());
}

Test(counted_limits, a_change_of_the_configuration_counts_afresh) {
    owner_harness harness;
    harness.open();
    harness.submit(1, model_body("a"));
    cr_assert(harness.owner().quota_use().empty());
    bound(harness, {.tokens_in_flight = 1'000});
    cr_assert(use_of(harness).programs == 1 && use_of(harness).tokens > 100);
    bound(harness, {.tokens_in_flight = 2'000});
    cr_assert(use_of(harness).programs == 1, "not counted twice");
}

}  // namespace pearbarrow::program
