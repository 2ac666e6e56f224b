#include "journal_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/journal_messages.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::journal;
using namespace pearbarrow::journal::testing;
using wire::journal_outcome;

namespace {

const auto first = ballot(1);
const auto second = ballot(2, "n2");

/// Entries 1 to 3 under the first ballot, all committed.
void fill(replica_fixture& one) {
    one.append(first, 0, {},
               {make_entry(1, first, "a", "p1/x"), make_entry(2, first, "b", "p2/x"),
                make_entry(3, first, "c", "p1/y")},
               3);
}

}  // namespace

Test(replica, promises_only_higher_ballots_and_knows_a_repeated_campaign) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    cr_assert(one.prepare(second, 5).outcome == journal_outcome::accepted);
    cr_assert(one.prepare(second, 5).outcome == journal_outcome::accepted);
    cr_assert(one.prepare(second, 6).outcome == journal_outcome::refused);
    const auto refusal = one.prepare(first);
    cr_assert(refusal.outcome == journal_outcome::refused);
    cr_assert(refusal.reason == "ballot_fenced" && refusal.promised == second);
    one.restart();
    cr_assert(one.append(first, 0, {}, {}).outcome == journal_outcome::refused);
}

Test(replica, a_failed_request_of_a_new_leader_still_leaves_a_durable_promise) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    fill(one);
    cr_assert(one.snapshot(second, 9, second, "s").outcome == journal_outcome::failed);
    one.restart();
    cr_assert(one.append(first, 3, first, {}).outcome == journal_outcome::refused);
}

Test(replica, names_where_logs_may_match_and_truncates_a_conflicting_suffix) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    one.append(first, 0, {}, {make_entry(1, first, "a"), make_entry(2, first, "b")}, 1);
    const auto beyond = one.append(second, 5, second, {});
    cr_assert(beyond.outcome == journal_outcome::mismatch && beyond.hint.value() == 2);
    const auto conflict = one.append(second, 2, second, {});
    cr_assert(conflict.outcome == journal_outcome::mismatch && conflict.hint.value() == 1);
    const auto replaced = one.append(second, 1, first, {make_entry(2, second, "B")});
    cr_assert(replaced.outcome == journal_outcome::accepted);
    cr_assert(replaced.last_ballot == second && replaced.last_index.value() == 2);
    // What is committed is never replaced.
    cr_assert(one.append(second, 0, {}, {make_entry(1, second, "A")}).reason == "journal_corrupt");
}

Test(replica, remembers_the_highest_epoch_and_refuses_lower_ones) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    one.prepare(first, 1, 4);
    one.restart();
    const auto refusal = one.prepare(second, 2, 3);
    cr_assert(refusal.outcome == journal_outcome::refused && refusal.reason == "stale_epoch");
    cr_assert(refusal.epoch == 4);
}

Test(replica, an_emptied_store_is_another_member) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    fill(one);
    wire::journal_prepare_request request{one.header(second), 1};
    memory_replica_store emptied("new-disk", true);
    replica_fixture other(emptied);
    const auto reply = other.ask(request);
    cr_assert(reply.outcome == journal_outcome::failed && reply.reason == "store_mismatch");
    cr_assert(reply.member.store == "new-disk");
}

Test(replica, corrupt_entries_are_refused_until_the_shard_is_reset_as_another_member) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    fill(one);
    const auto before = one.get().member(shard);
    cr_assert(store.corrupt_entry(shard, base::log_index(2)));
    one.restart();
    cr_assert(one.opened().ok());
    cr_assert(one.get().corrupt_shards() == std::vector{shard});
    cr_assert(one.prepare(second).reason == "journal_corrupt");
    bool done = false;
    one.get().reset_shard(shard, [&done](const absl::Status& status) { done = status.ok(); });
    cr_assert(done);
    cr_assert(one.get().member(shard).generation == before.generation + 1);
    wire::journal_prepare_request old{one.header(second), 1};
    old.header.target = before;
    cr_assert(one.ask(old).reason == "store_mismatch");
    one.restart();
    cr_assert(one.get().member(shard).generation == before.generation + 1);
    cr_assert(one.prepare(second).last_index.value() == 0);
}

Test(replica, an_entry_damaged_on_the_way_is_refused) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    auto entry = make_entry(1, first, "a");
    entry.payload = "b";
    cr_assert(one.append(first, 0, {}, {entry}).reason == "checksum_mismatch");
}

Test(replica, retained_entries_outlive_truncation_until_dropped) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    fill(one);
    cr_assert(one.snapshot(first, 2, first, "state").snapshot_index.value() == 2);
    const std::vector<std::string> both{"a", "c"};
    cr_assert(one.history(first, "p1/") == both);
    one.restart();
    cr_assert(one.history(first, "p1/") == both);
    const std::vector<std::string> all{"a", "c", "b"};
    cr_assert(one.history(first, "") == all);
    // The drop takes effect once it is committed.
    one.append(first, 3, first, {make_entry(4, first, "", "", {"p1/"})}, 3);
    cr_assert(one.history(first, "p1/") == both);
    one.append(first, 4, first, {}, 4);
    cr_assert(one.history(first, "p1/").empty());
    cr_assert(one.history(first, "p2/").size() == 1);
    one.snapshot(first, 4, first, "later");
    one.restart();
    cr_assert(one.history(first, "p1/").empty());
}

Test(replica, a_fenced_owner_reads_no_history) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    fill(one);
    one.prepare(second);
    wire::journal_read_retained_request request;
    request.header = one.header(first);
    cr_assert(one.ask(request).outcome == journal_outcome::refused);
}

Test(replica, an_install_takes_effect_as_a_whole) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    one.append(first, 0, {}, {make_entry(1, first, "old", "p9/x")}, 0);
    wire::journal_install_request step{.header = one.header(second),
                                       .transfer = 7,
                                       .index = base::log_index(5),
                                       .index_ballot = second};
    step.chunk = "sta";
    cr_assert(one.ask(step).outcome == journal_outcome::accepted);
    cr_assert(one.ask(step).outcome == journal_outcome::accepted, "a repeated step");
    step.step = 2;
    cr_assert(one.ask(step).reason == "install_out_of_order");
    step.step = 1;
    step.chunk = "te";
    step.retained = {make_entry(3, first, "kept", "p1/x")};
    cr_assert(one.ask(step).snapshot_index.value() == 0);
    step.step = 2;
    step.chunk = "";
    step.retained = {};
    step.last = true;
    const auto done = one.ask(step);
    cr_assert(done.snapshot_index.value() == 5 && done.matched_index.value() == 5);
    one.restart();
    wire::journal_read_request read{
        .header = one.header(second), .part = wire::journal_read_part::snapshot, .max_bytes = 100};
    cr_assert(one.ask(read).chunk == "state");
    const std::vector<std::string> kept{"kept"};
    cr_assert(one.history(second, "") == kept);
}

Test(replica, nothing_is_answered_before_the_write_is_durable) {
    memory_replica_store store("disk");
    replica_fixture one(store);
    std::size_t answers = 0;
    const auto append = [&](std::uint64_t index) {
        wire::journal_append_request request{one.header(first),
                                             base::log_index(index - 1),
                                             index == 1 ? base::ballot{} : first,
                                             {make_entry(index, first, "x")},
                                             {}};
        one.get().handle(request, [&answers](const auto& reply) {
            answers += reply.outcome == journal_outcome::accepted ? 1 : 0;
        });
        one.get().flush();
    };
    append(1);
    append(2);
    append(3);
    cr_assert(answers == 0);
    store.finish_write();
    cr_assert(answers == 1);
    cr_assert(store.write_pending(), "the two that queued share the next write");
    store.finish_write();
    cr_assert(answers == 3 && !store.write_pending());
}

Test(replica, a_failed_write_ends_all_service) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    store.fail_next_write(absl::UnavailableError("disk gone"));
    cr_assert(one.prepare(first).reason == "journal_storage_failed");
    cr_assert(one.prepare(second).reason == "journal_storage_failed");
}

Test(journal_messages, requests_travel_under_their_method) {
    memory_replica_store store("disk", true);
    replica_fixture one(store);
    wire::journal_request request = wire::journal_append_request{
        one.header(first), base::log_index(4), first, {make_entry(5, first, "x", "k", {"d"})}, {}};
    const auto decoded = wire::decode_journal_request(wire::method_of(request),
                                                      wire::encode_journal_request(request));
    cr_assert(decoded.ok());
    const auto& body = std::get<wire::journal_append_request>(*decoded);
    cr_assert(body.entries == std::get<wire::journal_append_request>(request).entries);
    cr_assert(body.header.target == one.get().member(shard));
    const auto bad = wire::decode_journal_request(wire::journal_append, "\x01");
    cr_assert(base::details_of(bad.status()).reason == "malformed_message");
    cr_assert(!wire::decode_journal_request(wire::config_fetch, "").ok());
}
