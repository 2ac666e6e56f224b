// Tests what a storage member delivers before it ends.
#include "../net/peer_fixture.h"
#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet;
using namespace pearbarrow::fleet::testing;
using net::testing::call_result;
using std::chrono::milliseconds;

namespace {

constexpr net::method_number held_method = 60'000;

struct stop_fixture : fleet_fixture {
    explicit stop_fixture(std::size_t storage_count = 3, milliseconds stop_timeout = {})
        : fleet_fixture(storage_count, 2, false) {
        for (settings::fleet_settings& node : storage_settings) {
            node.tolerated_losses = 0;
            if (stop_timeout.count() > 0) {
                node.stop_timeout = stop_timeout;
            }
        }
        start_everything();
        make_ready();
        net::peer_rpc_options options = net::testing::options_of("caller");
        options.cluster = "pearbarrow-fleet";
        caller = net::make_peer_rpc(loop, std::move(options));
        member().parts().rpc().register_method(
            held_method, [this](std::string_view /*payload*/, auto responder) {
                held.push_back(std::move(responder));
            });
    }
    ~stop_fixture() { held.clear(); }

    storage_node& member() { return storages[0]->node; }
    void start_call(call_result& call) {
        call.start(*caller, "storage-0", to_endpoint(storage_settings[0].peer), held_method, "");
    }
    void stop_member() {
        stopped_at = clock.now();
        member().stop([this] {
            ++stops;
            stop_time = std::chrono::duration_cast<milliseconds>(clock.now() - stopped_at);
        });
    }
    bool wait_for_stop() {
        return run_until(loop, [this] { return stops > 0; });
    }

    std::unique_ptr<net::peer_rpc> caller;
    std::vector<std::shared_ptr<net::peer_responder>> held;
    base::instant stopped_at{};
    milliseconds stop_time{0};
    int stops = 0;
};

}  // namespace

Test(storage_stop, stopped_member_replies_to_open_requests_and_rejects_new_ones) {
    stop_fixture fleet;
    call_result open(fleet.loop);
    fleet.start_call(open);
    cr_assert(run_until(fleet.loop, [&] { return !fleet.held.empty(); }));
    fleet.stop_member();
    call_result late(fleet.loop);
    fleet.start_call(late);
    late.wait();
    cr_assert(late.details().reason == "node_stopping");
    cr_assert(late.details().was_executed == base::executed::no);
    run_for(fleet.loop, milliseconds{200});
    cr_assert(fleet.stops == 0);
    fleet.held.back()->finish("done");
    cr_assert(fleet.wait_for_stop());
    open.wait();
    cr_assert(open.ok() && fleet.stops == 1);
}

Test(storage_stop, idle_member_does_not_wait_for_long_polls) {
    // The members of the three groups also poll each other for load reports.
    stop_fixture fleet(9);
    run_for(fleet.loop, milliseconds{500});
    fleet.stop_member();
    cr_assert(fleet.wait_for_stop());
    cr_assert(fleet.stop_time < milliseconds{1'000}, "%d ms",
              static_cast<int>(fleet.stop_time.count()));
}

Test(storage_stop, stopped_member_gives_up_before_the_stop_timeout) {
    stop_fixture fleet(3, milliseconds{1'000});
    call_result open(fleet.loop);
    fleet.start_call(open);
    cr_assert(run_until(fleet.loop, [&] { return !fleet.held.empty(); }));
    fleet.stop_member();
    cr_assert(fleet.wait_for_stop());
    cr_assert(fleet.stop_time >= milliseconds{600} && fleet.stop_time < milliseconds{1'000},
              "%d ms", static_cast<int>(fleet.stop_time.count()));
    cr_assert(!open.done());
}

Test(storage_stop, turns_continue_while_a_member_waits_to_end) {
    stop_fixture fleet;
    call_result open(fleet.loop);
    fleet.start_call(open);
    cr_assert(run_until(fleet.loop, [&] { return !fleet.held.empty(); }));
    cr_assert(fleet.turn(0, "t1", "", "one").whole);
    fleet.stop_member();
    cr_assert(fleet.turn(0, "t2", "t1", "two").whole);
    cr_assert(fleet.turn(1, "t3", "t2", "three").whole);
    cr_assert(fleet.stops == 0);
}
