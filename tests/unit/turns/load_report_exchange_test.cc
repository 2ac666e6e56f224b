#include "pearbarrow/turns/load_report_exchange.h"

#include <list>

#include "../net/net_fixture.h"
#include "pearbarrow/base/hash.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::turns;
using net::testing::run_for;
using net::testing::run_until;

namespace {

struct exchange_member {
    exchange_member(net::event_loop& loop, const base::clock& clock, const std::string& name,
                    const std::string& zone, std::uint32_t group)
        : clock(clock),
          load_table({}, clock.now()),
          rpc(net::make_peer_rpc(
              loop,
              {.self = base::node_id(name), .cluster = "test", .listen = net::testing::loopback})),
          exchange(std::make_unique<load_report_exchange>(
              loop, *rpc, clock, load_table,
              load_report_exchange_options{.self = base::node_id(name),
                                           .zone = zone,
                                           .incarnation = base::stable_hash(name),
                                           .long_poll_timeout = base::milliseconds{300},
                                           .reply_slack = base::milliseconds{100}})),
          entry{.node = base::node_id(name), .address = {}, .zone = zone, .group = group} {
        cr_assert(rpc->start().ok());
        entry.address = rpc->local_endpoint();
    }
    std::uint32_t known_requests(const std::string& requester = "nobody") {
        std::uint32_t sum = 0;
        for (const auto& load :
             load_table.totals_excluding(base::node_id(requester), clock.now()).loads) {
            sum += load.requests;
        }
        return sum;
    }

    const base::clock& clock;
    dispatch::load_table load_table;
    std::unique_ptr<net::peer_rpc> rpc;
    std::unique_ptr<load_report_exchange> exchange;
    directory::storage_member entry;
};

dispatch::load_report report_of(const std::string& node, std::uint64_t number,
                                std::uint32_t requests) {
    return {.node = base::node_id(node),
            .incarnation = 1,
            .number = number,
            .loads = {{.backend = 7, .requests = requests}}};
}

/// Three groups of two members, one member of each group in each of two zones.
struct exchange_fixture {
    exchange_fixture() {
        for (std::uint32_t group = 0; group < 3; ++group) {
            for (const char* zone : {"a", "b"}) {
                members.emplace_back(loop, clock, std::string(zone) + std::to_string(group), zone,
                                     group);
                view.members.push_back(members.back().entry);
            }
        }
        view.revision = 1;
        view.groups = 3;
        for (auto& member : members) {
            member.exchange->set_view(view);
        }
    }
    exchange_member& at(std::size_t index) { return *std::next(members.begin(), index); }

    net::event_loop loop;
    base::system_clock_source clock;
    std::list<exchange_member> members;
    directory::storage_view view;
};

}  // namespace

Test(load_report_exchange, report_to_one_group_reaches_members_of_all_groups) {
    exchange_fixture fixture;
    for (std::size_t index : {0, 1}) {
        fixture.at(index).load_table.apply_report(report_of("edge", 1, 3), fixture.clock.now());
    }
    cr_assert(run_until(fixture.loop, [&] {
        return std::all_of(fixture.members.begin(), fixture.members.end(),
                           [](auto& member) { return member.known_requests() == 3; });
    }));
    cr_assert(fixture.at(5).known_requests("edge") == 0, "totals exclude the requesting node");
}

Test(load_report_exchange, newer_report_replaces_older_one_from_either_path) {
    exchange_fixture fixture;
    auto& receiver = fixture.at(4);
    fixture.at(0).load_table.apply_report(report_of("edge", 1, 3), fixture.clock.now());
    cr_assert(run_until(fixture.loop, [&] { return receiver.known_requests() == 3; }));
    receiver.load_table.apply_report(report_of("edge", 2, 5), fixture.clock.now());
    cr_assert(receiver.known_requests() == 5);
    // An older report that arrives late is ignored.
    receiver.load_table.apply_forwarded_report(report_of("edge", 1, 3), fixture.clock.now());
    cr_assert(receiver.known_requests() == 5);
}

Test(load_report_exchange, passed_on_report_is_not_passed_on_again) {
    exchange_fixture fixture;
    fixture.at(0).load_table.apply_forwarded_report(report_of("edge", 1, 3), fixture.clock.now());
    run_for(fixture.loop, base::milliseconds{300});
    cr_assert(fixture.at(2).known_requests() == 0);
    cr_assert(fixture.at(0).load_table.last_report() == 0);
}

Test(load_report_exchange, lost_source_is_replaced_by_another_member_of_its_group) {
    exchange_fixture fixture;
    auto& receiver = fixture.at(4);
    cr_assert(run_until(fixture.loop, [&] { return receiver.exchange->connected_groups() == 2; }));
    // Stops the source in the receiver's own zone.
    fixture.at(0).exchange.reset();
    fixture.at(0).rpc.reset();
    cr_assert(run_until(fixture.loop, [&] {
        fixture.at(1).load_table.apply_report(
            report_of("edge", fixture.at(1).load_table.last_report() + 1, 3), fixture.clock.now());
        return receiver.known_requests() == 3;
    }));
}

Test(load_report_exchange, single_group_polls_no_member) {
    exchange_fixture fixture;
    for (auto& member : fixture.view.members) {
        member.group = 0;
    }
    fixture.view.groups = 1;
    for (auto& member : fixture.members) {
        member.exchange->set_view(fixture.view);
    }
    fixture.at(0).load_table.apply_report(report_of("edge", 1, 3), fixture.clock.now());
    run_for(fixture.loop, base::milliseconds{300});
    cr_assert(fixture.at(4).known_requests() == 0);
    cr_assert(fixture.at(4).exchange->connected_groups() == 0);
}
