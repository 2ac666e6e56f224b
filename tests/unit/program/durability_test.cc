// Tests of write-ahead journaling, at-most-once execution, the `executed` detail and snapshots.
#include "owner_harness.h"
#include "pearbarrow/program/history_cache.h"
#include "pearbarrow/program/snapshot.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::program;

namespace {

/// Returns the owner that takes over after a tool call was sent.
owner_harness owner_after_lost_tool_call(owner_options options, bool repeatable = false) {
    owner_harness harness(options);
    harness.open();
    harness.submit(1, tool_body(repeatable));
    harness.take_over();
    return harness;
}

base::error_details error_after_tool_state(event::tool_state state) {
    owner_harness harness = owner_after_lost_tool_call({});
    const reply_token reader = harness.submit(1, tool_body());
    harness.apply(
        event::tool_status{harness.last<action::query_tool_attempt>().attempt, state, {}});
    return harness.error_of(reader);
}

}  // namespace

Test(durability, nothing_is_sent_before_its_intent_is_committed) {
    const auto sends_before_commit = [](owner_options options) {
        owner_harness harness(options);
        harness.open();
        harness.auto_grant = false;
        harness.submit(1, tool_body());
        harness.auto_commit = false;
        harness.apply(event::placement_granted{harness.last<action::offer_call>().offer, tool_one});
        return !harness.all<action::start_tool_attempt>().empty();
    };
    cr_assert(!sends_before_commit({}));
    owner_options broken;
    broken.disabled.journal_before_act = true;
    cr_assert(sends_before_commit(broken));
}

Test(durability, expired_grant_starts_no_attempt) {
    const auto starts_after = [](base::milliseconds commit_delay) {
        owner_harness harness;
        harness.open();
        harness.auto_grant = false;
        harness.submit(1, tool_body());
        harness.auto_commit = false;
        harness.apply(event::placement_granted{harness.last<action::offer_call>().offer, tool_one});
        harness.pass(commit_delay);
        harness.commit();
        return harness.all<action::start_tool_attempt>().size();
    };
    cr_assert(starts_after(base::milliseconds(100)) == 1);
    cr_assert(starts_after(base::milliseconds(3'000)) == 0);
}

Test(durability, no_reply_is_sent_before_its_result_is_committed) {
    const auto replies_before_commit = [](owner_options options) {
        owner_harness harness(options);
        harness.open();
        const reply_token reader = harness.submit(1, tool_body());
        harness.auto_commit = false;
        harness.apply(
            event::tool_finished{harness.last<action::start_tool_attempt>().attempt, "out"});
        return harness.has_reply(reader);
    };
    cr_assert(!replies_before_commit({}));
    owner_options broken;
    broken.disabled.journal_before_act = true;
    cr_assert(replies_before_commit(broken));
}

Test(durability, tool_call_with_unknown_outcome_is_queried_and_not_resent) {
    owner_harness harness = owner_after_lost_tool_call({});
    cr_assert(harness.all<action::start_tool_attempt>().empty());
    const auto query = harness.last<action::query_tool_attempt>();
    const reply_token reader = harness.submit(1, tool_body());
    harness.apply(event::tool_status{query.attempt, event::tool_state::running, {}});
    harness.pass(base::seconds(1));
    cr_assert(harness.all<action::query_tool_attempt>().size() == 2);
    harness.apply(event::tool_status{query.attempt, event::tool_state::ran, "done"});
    cr_assert(harness.reply_of(reader).call->output == "done");

    owner_options broken;
    broken.disabled.in_doubt_query = true;
    cr_assert(!owner_after_lost_tool_call(broken).all<action::start_tool_attempt>().empty());
}

Test(durability, executed_detail_matches_the_tool_status) {
    cr_assert(error_after_tool_state(event::tool_state::never_seen_and_fenced).reason ==
              "not_delivered");
    cr_assert(
        error_after_tool_state(event::tool_state::never_seen_and_fenced).retry_after.has_value());
    cr_assert(error_after_tool_state(event::tool_state::never_seen_and_fenced).was_executed ==
              base::executed::no);
    for (const auto state : {event::tool_state::never_seen, event::tool_state::cannot_tell}) {
        cr_assert(error_after_tool_state(state).reason == "outcome_unknown");
        cr_assert(error_after_tool_state(state).was_executed == base::executed::unknown);
    }
}

Test(durability, final_error_is_kept_for_repeated_calls_and_later_owners) {
    owner_harness harness = owner_after_lost_tool_call({});
    harness.submit(1, tool_body());
    harness.apply(event::tool_status{
        harness.last<action::query_tool_attempt>().attempt, event::tool_state::cannot_tell, {}});
    harness.take_over();
    const reply_token again = harness.submit(1, tool_body());
    cr_assert(harness.error_of(again).reason == "outcome_unknown");
    cr_assert(harness.error_of(again).was_executed == base::executed::unknown);
    cr_assert(harness.all<action::start_tool_attempt>().empty());
}

Test(durability, repeatable_call_is_retried_with_the_same_key) {
    owner_harness harness = owner_after_lost_tool_call({}, true);
    const auto query = harness.last<action::query_tool_attempt>();
    harness.apply(event::tool_status{query.attempt, event::tool_state::never_seen, {}});
    harness.pass(base::seconds(1));
    const auto start = harness.last<action::start_tool_attempt>();
    cr_assert(start.idempotency_key == query.idempotency_key);
    cr_assert(start.attempt != query.attempt);
}

Test(durability, accepted_call_without_intent_is_offered_again) {
    owner_harness harness;
    harness.open();
    harness.auto_grant = false;
    harness.submit(1, tool_body());
    harness.take_over();
    cr_assert(harness.all<action::offer_call>().size() == 1);
    harness.apply(event::placement_lost{harness.last<action::offer_call>().offer});
    harness.pass(base::seconds(1));
    cr_assert(harness.all<action::offer_call>().size() == 2);
}

Test(durability, call_cancelled_before_the_send_is_not_executed) {
    owner_harness harness;
    harness.open();
    harness.auto_grant = false;
    const reply_token reader = harness.submit(1, tool_body());
    harness.auto_commit = false;
    harness.apply(event::placement_granted{harness.last<action::offer_call>().offer, tool_one});
    wire::program_request cancel{.tenant = tenant(), .program = program::program()};
    cancel.cancel = wire::cancel_call_request{base::call_number(1)};
    harness.request(cancel);
    cr_assert(!harness.has_reply(reader));
    harness.commit();
    harness.commit();
    cr_assert(harness.error_of(reader).reason == "cancelled");
    cr_assert(harness.error_of(reader).was_executed == base::executed::no);
    cr_assert(harness.all<action::start_tool_attempt>().empty());
}

Test(durability, owner_that_lost_its_shard_refuses_requests) {
    owner_harness harness;
    harness.open();
    const reply_token waiting = harness.submit(1, tool_body());
    harness.apply(event::ownership_lost{base::node_id("n2")});
    cr_assert(harness.error_of(waiting).reason == "owner_lost");
    cr_assert(harness.error_of(waiting).was_executed == base::executed::unknown);
    const reply_token late = harness.submit(2, tool_body());
    cr_assert(harness.error_of(late).reason == "not_owner");
    cr_assert(harness.error_of(late).peer == "n2");
}

Test(durability, hanging_tool_call_has_unknown_outcome_at_the_deadline) {
    owner_harness harness;
    harness.open();
    const reply_token reader = harness.submit(1, tool_body());
    harness.pass(base::seconds(61));
    cr_assert(harness.error_of(reader).reason == "deadline_exceeded");
    cr_assert(harness.error_of(reader).was_executed == base::executed::unknown);
    cr_assert(harness.view().reserved_tokens == 10);
}

Test(durability, new_calls_are_refused_without_a_quorum) {
    owner_harness harness;
    harness.open();
    harness.apply(event::journal_availability{false});
    const reply_token refused = harness.submit(1, tool_body());
    cr_assert(harness.error_of(refused).reason == "no_quorum");
    cr_assert(harness.error_of(refused).was_executed == base::executed::no);
    cr_assert(harness.error_of(refused).retry_after.has_value());
}

Test(durability, snapshot_replaces_the_records_before_it) {
    owner_options options;
    options.snapshot_every = 5;
    owner_harness harness(options);
    harness.open();
    for (std::uint64_t number = 1; number <= 3; ++number) {
        harness.submit(number, model_body("turn " + std::to_string(number)));
        harness.generate(harness.last<action::start_model_attempt>().attempt, "ok");
    }
    const auto before = harness.view();
    const auto snapshot = harness.last<action::store_snapshot>();
    harness.take_over(snapshot.payload, snapshot.through);
    cr_assert(wire::encode(harness.view()) == wire::encode(before));
    harness.submit(4, model_body("more"));
    cr_assert(harness.last<action::start_model_attempt>().messages.size() == 7);
}

Test(durability, damaged_journal_is_refused) {
    cr_assert(!restore({}, {"garbage"}).ok());
    cr_assert(!restore("garbage", {}).ok());
    program_record stray;
    stray.program = program::program();
    stray.ended = ended_record{"x"};
    cr_assert(base::details_of(restore({}, {wire::encode(stray)}).status()).reason ==
              "inconsistent_record");
    cr_assert(base::details_of(decode_record(wire::encode(program_record{})).status()).reason ==
              "unknown_record");
}

Test(durability, history_cache_stays_within_its_byte_limit) {
    history_cache cache(5'000);
    for (int i = 0; i < 100; ++i) {
        program_history history;
        history.calls[base::call_number(1)] = {model_body(std::string(400, 'x')), {}};
        cache.put(program::program(std::to_string(i)), std::move(history));
    }
    cr_assert(cache.bytes() <= 5'000);
    cr_assert(cache.find(program::program("99")) != nullptr);
    cr_assert(cache.find(program::program("0")) == nullptr);
}
