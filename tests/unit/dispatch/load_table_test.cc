#include "pearbarrow/dispatch/load_table.h"

#include <criterion/criterion.h>

#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/wire/codec.h"

using namespace pearbarrow;
using namespace pearbarrow::dispatch;
using base::milliseconds;

namespace {

load_report report_of(const std::string& node, std::uint64_t number, std::uint32_t requests,
                      std::uint64_t incarnation = 1) {
    return {.node = base::node_id(node),
            .incarnation = incarnation,
            .number = number,
            .loads = {{.backend = key_of("engine"), .requests = requests}}};
}

struct load_table_fixture {
    std::uint32_t requests_seen_by(const std::string& node) {
        const load_totals totals = table.totals_excluding(base::node_id(node), now);
        return totals.loads.empty() ? 0 : totals.loads.front().requests;
    }
    base::instant now{};
    load_table table{{}, now};
};

}  // namespace

Test(load_table, totals_exclude_requesting_node) {
    load_table_fixture fixture;
    fixture.table.apply_report(report_of("a", 1, 3), fixture.now);
    fixture.table.apply_report(report_of("b", 1, 4), fixture.now);
    fixture.table.apply_report(report_of("c", 1, 5), fixture.now);
    cr_assert(fixture.requests_seen_by("a") == 9);
}

Test(load_table, outdated_report_is_ignored) {
    load_table_fixture fixture;
    fixture.table.apply_report(report_of("b", 2, 4), fixture.now);
    fixture.table.apply_report(report_of("b", 1, 9), fixture.now);
    cr_assert(fixture.requests_seen_by("a") == 4);
}

Test(load_table, restarted_node_counts_reports_from_start) {
    load_table_fixture fixture;
    fixture.table.apply_report(report_of("b", 50, 9, 1), fixture.now);
    fixture.table.apply_report(report_of("b", 1, 0, 2), fixture.now);
    cr_assert(fixture.requests_seen_by("a") == 0);
}

Test(load_table, report_of_failed_node_expires) {
    load_table_fixture fixture;
    fixture.table.apply_report(report_of("b", 1, 9), fixture.now);
    fixture.now += milliseconds{2'001};
    cr_assert(fixture.requests_seen_by("a") == 0);
    cr_assert(fixture.table.node_count() == 0);
}

Test(load_table, message_without_report_is_ignored) {
    load_table_fixture fixture;
    fixture.table.apply_report({}, fixture.now);
    cr_assert(fixture.table.node_count() == 0);
}

Test(shared_load, totals_expire) {
    load_table_fixture fixture;
    fixture.now += milliseconds{600};
    fixture.table.apply_report(report_of("b", 1, 4), fixture.now);
    shared_load load({});
    cr_assert(!load.is_known(fixture.now));
    load.apply_totals(fixture.table.totals_excluding(base::node_id("a"), fixture.now), fixture.now);
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 4);
    fixture.now += milliseconds{1'001};
    cr_assert(!load.is_known(fixture.now));
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 0,
              "expired totals count as no load");
}

Test(shared_load, totals_of_new_load_table_are_ignored) {
    load_table_fixture fixture;
    fixture.now += milliseconds{100};
    shared_load load({});
    load.apply_totals(fixture.table.totals_excluding(base::node_id("a"), fixture.now), fixture.now);
    cr_assert(!load.is_known(fixture.now));
}

Test(shared_load, reply_without_totals_changes_nothing) {
    load_table_fixture fixture;
    fixture.now += milliseconds{600};
    fixture.table.apply_report(report_of("b", 1, 4), fixture.now);
    shared_load load({});
    load.apply_totals(fixture.table.totals_excluding(base::node_id("a"), fixture.now), fixture.now);
    load.apply_totals({}, fixture.now);
    cr_assert(load.at(key_of("engine"), fixture.now).requests == 4);
}

Test(load_table, totals_include_results) {
    load_table_fixture fixture;
    load_report report = report_of("b", 1, 0);
    report.loads.front().served = 100;
    report.loads.front().failed = 250;
    fixture.table.apply_report(report, fixture.now);
    report.node = base::node_id("c");
    fixture.table.apply_report(report, fixture.now);
    const load_totals totals = fixture.table.totals_excluding(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().served == 200);
    cr_assert(totals.loads.front().failed == 500);
}

Test(load_table, event_interval_is_mean_weighted_by_requests) {
    load_table_fixture fixture;
    load_report slow = report_of("b", 1, 3);
    slow.loads.front().event_interval_us = 1'000;
    load_report fast = report_of("c", 1, 1);
    fast.loads.front().event_interval_us = 200;
    fixture.table.apply_report(slow, fixture.now);
    fixture.table.apply_report(fast, fixture.now);
    fixture.table.apply_report(report_of("d", 1, 5), fixture.now);
    const load_totals totals = fixture.table.totals_excluding(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().event_interval_us == 800,
              "a node without an event interval is left out");
}

Test(load_table, unread_tokens_are_added) {
    load_table_fixture fixture;
    load_report first = report_of("b", 1, 1);
    first.loads.front().unread_tokens = 3'000;
    load_report second = report_of("c", 1, 1);
    second.loads.front().unread_tokens = 500;
    fixture.table.apply_report(first, fixture.now);
    fixture.table.apply_report(second, fixture.now);
    const load_totals totals = fixture.table.totals_excluding(base::node_id("a"), fixture.now);
    cr_assert(totals.loads.front().unread_tokens == 3'500);
}

namespace {

/// The fields of reports from nodes that send no tokens, each in its own unit.
struct load_without_tokens {
    backend_key backend = key_of("engine");
    std::uint32_t requests = 12;
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    std::uint32_t event_interval_us = 19'050;

    MSGPACK_DEFINE(backend, requests, served, failed, event_interval_us);
};

}  // namespace

Test(load_report, tokens_do_not_increase_message_size) {
    const backend_load original{.backend = key_of("engine"),
                                .requests = 12,
                                .event_interval_us = 19'050,
                                .unread_tokens = 7'180};
    cr_assert(wire::encode(original).size() <= wire::encode(load_without_tokens{}).size());
    const auto read = wire::decode<backend_load>(wire::encode(original));
    cr_assert(read.ok() && read->backend == original.backend && read->requests == 12);
    cr_assert(read->event_interval_us >= 19'050 && read->event_interval_us < 19'050 + 256);
    cr_assert(read->unread_tokens >= 7'180 && read->unread_tokens < 7'180 + 64);
}

Test(load_report, report_without_tokens_is_accepted) {
    const auto read = wire::decode<backend_load>(wire::encode(load_without_tokens{}));
    cr_assert(read.ok() && read->event_interval_us == 19'050 && read->unread_tokens == 0);
}
