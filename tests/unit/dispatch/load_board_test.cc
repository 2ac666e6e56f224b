#include "pearbarrow/dispatch/load_board.h"

#include <criterion/criterion.h>

#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/wire/codec.h"

using namespace pearbarrow;
using namespace pearbarrow::dispatch;
using base::milliseconds;

namespace {

load_report report_of(const std::string& node, std::uint64_t number, std::uint32_t requests,
                      std::uint64_t life = 1) {
    return {.node = base::node_id(node),
            .life = life,
            .number = number,
            .loads = {{.backend = key_of("engine"), .requests = requests}}};
}

struct board_fixture {
    std::uint32_t seen_by(const std::string& node) {
        const load_totals totals = board.totals_without(base::node_id(node), now);
        return totals.loads.empty() ? 0 : totals.loads.front().requests;
    }
    base::instant now{};
    load_board board{{}, now};
};

}  // namespace

Test(load_board, adds_up_all_nodes_but_the_asking_one) {
    board_fixture fixture;
    fixture.board.take(report_of("a", 1, 3), fixture.now);
    fixture.board.take(report_of("b", 1, 4), fixture.now);
    fixture.board.take(report_of("c", 1, 5), fixture.now);
    cr_assert(fixture.seen_by("a") == 9);
}

Test(load_board, a_report_that_comes_late_changes_nothing) {
    board_fixture fixture;
    fixture.board.take(report_of("b", 2, 4), fixture.now);
    fixture.board.take(report_of("b", 1, 9), fixture.now);
    cr_assert(fixture.seen_by("a") == 4);
}

Test(load_board, a_node_that_started_anew_begins_its_count_again) {
    board_fixture fixture;
    fixture.board.take(report_of("b", 50, 9, 1), fixture.now);
    fixture.board.take(report_of("b", 1, 0, 2), fixture.now);
    cr_assert(fixture.seen_by("a") == 0);
}

Test(load_board, a_node_that_died_is_forgotten) {
    board_fixture fixture;
    fixture.board.take(report_of("b", 1, 9), fixture.now);
    fixture.now += milliseconds{2'001};
    cr_assert(fixture.seen_by("a") == 0);
    cr_assert(fixture.board.node_count() == 0);
}

Test(load_board, a_message_without_a_report_is_none) {
    board_fixture fixture;
    fixture.board.take({}, fixture.now);
    cr_assert(fixture.board.node_count() == 0);
}

Test(shared_load, is_not_believed_for_long) {
    board_fixture fixture;
    fixture.now += milliseconds{600};
    fixture.board.take(report_of("b", 1, 4), fixture.now);
    shared_load load({});
    cr_assert(!load.is_known(fixture.now));
    load.take(fixture.board.totals_without(base::node_id("a"), fixture.now), fixture.now);
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 4);
    fixture.now += milliseconds{1'001};
    cr_assert(!load.is_known(fixture.now));
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 0,
              "silence is no load, and no bound either");
}

Test(shared_load, a_board_that_has_just_begun_is_passed_over) {
    board_fixture fixture;
    fixture.now += milliseconds{100};
    shared_load load({});
    load.take(fixture.board.totals_without(base::node_id("a"), fixture.now), fixture.now);
    cr_assert(!load.is_known(fixture.now));
}

Test(shared_load, a_reply_without_totals_leaves_what_is_known) {
    board_fixture fixture;
    fixture.now += milliseconds{600};
    fixture.board.take(report_of("b", 1, 4), fixture.now);
    shared_load load({});
    load.take(fixture.board.totals_without(base::node_id("a"), fixture.now), fixture.now);
    load.take({}, fixture.now);
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 4);
}

Test(load_board, adds_up_what_failed) {
    board_fixture fixture;
    load_report report = report_of("b", 1, 0);
    report.loads.front().served = 100;
    report.loads.front().failed = 250;
    fixture.board.take(report, fixture.now);
    report.node = base::node_id("c");
    fixture.board.take(report, fixture.now);
    const load_totals totals = fixture.board.totals_without(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().served == 200);
    cr_assert(totals.loads.front().failed == 500);
}

Test(load_board, the_pace_is_the_mean_by_requests) {
    board_fixture fixture;
    load_report slow = report_of("b", 1, 3);
    slow.loads.front().pace_us = 1'000;
    load_report fast = report_of("c", 1, 1);
    fast.loads.front().pace_us = 200;
    fixture.board.take(slow, fixture.now);
    fixture.board.take(fast, fixture.now);
    fixture.board.take(report_of("d", 1, 5), fixture.now);
    const load_totals totals = fixture.board.totals_without(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().pace_us == 800, "one that has no pace yet says nothing of it");
}

Test(load_board, tokens_to_be_read_add_up) {
    board_fixture fixture;
    load_report one = report_of("b", 1, 1);
    one.loads.front().unread_tokens = 3'000;
    load_report other = report_of("c", 1, 1);
    other.loads.front().unread_tokens = 500;
    fixture.board.take(one, fixture.now);
    fixture.board.take(other, fixture.now);
    const load_totals totals = fixture.board.totals_without(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().unread_tokens == 3'500);
}

namespace {

/// The fields that reports had before they told tokens, each in its own unit.
struct load_without_tokens {
    backend_key backend = key_of("engine");
    std::uint32_t requests = 12;
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    std::uint32_t pace_us = 19'050;

    MSGPACK_DEFINE(backend, requests, served, failed, pace_us);
};

}  // namespace

Test(load_report, tokens_cost_no_byte_more_than_a_coarser_pace_saves) {
    const backend_load told{
        .backend = key_of("engine"), .requests = 12, .pace_us = 19'050, .unread_tokens = 7'180};
    cr_assert(wire::encode(told).size() <= wire::encode(load_without_tokens{}).size());
    const auto read = wire::decode<backend_load>(wire::encode(told));
    cr_assert(read.ok() && read->backend == told.backend && read->requests == 12);
    cr_assert(read->pace_us >= 19'050 && read->pace_us < 19'050 + 256);
    cr_assert(read->unread_tokens >= 7'180 && read->unread_tokens < 7'180 + 64);
}

Test(load_report, one_of_an_older_node_tells_no_tokens) {
    const auto read = wire::decode<backend_load>(wire::encode(load_without_tokens{}));
    cr_assert(read.ok() && read->pace_us == 19'050 && read->unread_tokens == 0);
}
