#include "store_follower.h"

#include "../net/net_fixture.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/emulator/metadata_store.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using net::testing::run_for;
using net::testing::run_until;

namespace {

struct follower_fixture {
    follower_fixture() { cr_assert(store.start().ok()); }
    void start(base::milliseconds rest) {
        client = std::make_unique<platform::store_client>(loop, store.address(), metrics);
        follower = std::make_unique<platform::store_follower>(
            loop, random, *client, platform::follower_options{},
            [] { return base::milliseconds{50}; },
            [this](const platform::store_follower::items& items, std::uint64_t /*at*/) {
                told = items;
                ++changes;
                return base::milliseconds{60'000};
            });
        follower->start(rest);
    }
    std::string value(const std::string& key) const {
        const auto found = told.find(key);
        return found == told.end() ? "" : found->second.value;
    }

    net::event_loop loop;
    emulator::metadata_store store{loop};
    base::metrics_registry metrics;
    base::random_source random{1};
    std::unique_ptr<platform::store_client> client;
    std::unique_ptr<platform::store_follower> follower;
    platform::store_follower::items told;
    int changes = 0;
};

}  // namespace

Test(store_follower, reads_what_there_is) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start(base::milliseconds{0});
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
}

// After a common restart nearly all nodes rest; what watches miss in these seconds only reading
// tells.
Test(store_follower, one_that_rests_from_the_start_takes_its_turn_in_reading) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start(base::milliseconds{60'000});
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
    fixture.store.put("a", "2");
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "2"; }));
    const int changes = fixture.changes;
    run_for(fixture.loop, base::milliseconds{200});
    cr_assert(fixture.changes == changes, "the same again is no news");
}
