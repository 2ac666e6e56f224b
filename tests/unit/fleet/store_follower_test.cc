#include "store_follower.h"

#include <map>

#include "../net/net_fixture.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/emulator/metadata_store.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using net::testing::run_for;
using net::testing::run_until;

namespace {

struct follower_fixture : platform::store_listener {
    follower_fixture() { cr_assert(store.start().ok()); }

    /// `looks_every`: with no peers a node looks each interval.
    void start(base::milliseconds looks_every = base::milliseconds{50}) {
        client = std::make_unique<platform::store_client>(loop, store.address(), metrics);
        platform::follower_options options;
        options.watching.pacing.check_interval = looks_every;
        options.slow_look = base::milliseconds{100};
        follower = std::make_unique<platform::store_follower>(loop, clock, random, *client, options,
                                                              *this);
        follower->start(false);
    }
    std::string value(const std::string& key) const {
        const auto found = told.find(key);
        return found == told.end() ? "" : found->second;
    }

    void begin_reading() override { gathered.clear(); }
    void take_page(std::span<const platform::store_item> items) override {
        ++pages;
        for (const platform::store_item& item : items) {
            gathered[item.key] = item.value;
        }
    }
    bool take_reading(std::uint64_t at) override {
        ++readings;
        revision = std::max(revision, at);
        const bool is_news = told != gathered;
        told = gathered;
        return is_news;
    }
    bool take_events(std::span<const platform::store_item> events, std::uint64_t /*after*/,
                     std::uint64_t at) override {
        ++answers;
        for (const platform::store_item& item : events) {
            if (item.gone) {
                told.erase(item.key);
            } else {
                told[item.key] = item.value;
            }
        }
        revision = std::max(revision, at);
        return true;
    }
    std::uint64_t known_revision() const override { return revision; }
    directory::service_watch::node_state knowledge() const override {
        return {.connectivity = connectivity,
                .is_selected = [this](std::uint64_t /*interval*/) { return is_selected; },
                .has_all_parts = revision > 0,
                .unix_time = clock.unix_microseconds()};
    }
    void delegate(std::uint32_t hops) override { passed_on.push_back(hops); }

    net::event_loop loop;
    base::system_clock_source clock;
    emulator::metadata_store store{loop};
    base::metrics_registry metrics;
    base::random_source random{1};
    directory::peer_connectivity connectivity;
    bool is_selected = true;
    std::unique_ptr<platform::store_client> client;
    std::unique_ptr<platform::store_follower> follower;
    std::map<std::string, std::string> gathered;
    std::map<std::string, std::string> told;
    std::uint64_t revision = 0;
    int pages = 0;
    int readings = 0;
    int answers = 0;
    std::vector<std::uint32_t> passed_on;
};

}  // namespace

Test(store_follower, reads_what_there_is) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
}

Test(store_follower, what_changes_is_told_without_a_reading) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
    fixture.store.put("a", "2");
    fixture.store.remove("b");
    cr_assert(run_until(fixture.loop,
                        [&] { return fixture.value("a") == "2" && fixture.told.count("b") == 0; }));
    cr_assert(fixture.readings == 1);
}

// After a common restart nearly all nodes rest; what watches miss in these seconds only looks find.
Test(store_follower, one_that_rests_from_the_start_takes_its_turn_in_looking) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.told = {{"a", "1"}};
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.start();
    fixture.store.put("a", "2");
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "2"; }));
    cr_assert(fixture.readings == 0, "a look tells what is new");
    const int answers = fixture.answers;
    run_for(fixture.loop, base::milliseconds{200});
    cr_assert(fixture.answers == answers, "the same again is no news");
}

Test(store_follower, a_store_that_moves_on_without_a_word_is_read_anew) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
    fixture.store.set_trouble(emulator::metadata_store::trouble::deaf_watches);
    fixture.store.put("a", "2");
    cr_assert(run_until(
        fixture.loop, [&] { return fixture.value("a") == "2"; }, base::milliseconds{1'000}));
    cr_assert(fixture.readings == 2);
}

Test(store_follower, a_reading_goes_on_where_it_was_refused) {
    follower_fixture fixture;
    for (int index = 0; index < 20; ++index) {
        fixture.store.put("k" + std::to_string(100 + index), "1");
    }
    fixture.store.set_page_items(2);
    fixture.store.refuse_each(3);
    fixture.start(base::milliseconds{60'000});
    cr_assert(run_until(fixture.loop, [&] { return fixture.told.size() == 20; }));
    cr_assert(fixture.pages <= 11, "%d pages of 10", fixture.pages);
}

Test(store_follower, a_node_that_is_turned_away_asks_a_peer_to_look) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return !fixture.passed_on.empty(); }));
    cr_assert(fixture.passed_on.front() == 1);
    const std::uint64_t calls = fixture.store.calls();
    run_for(fixture.loop, base::milliseconds{300});
    cr_assert(fixture.store.calls() <= calls + 8, "one call a turn, not one after another");
}

Test(store_follower, a_look_without_an_answer_is_passed_on_soon) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.store.set_trouble(emulator::metadata_store::trouble::silent);
    fixture.start(base::milliseconds{2'000});
    cr_assert(run_until(
        fixture.loop, [&] { return !fixture.passed_on.empty(); }, base::milliseconds{6'000}));
    run_for(fixture.loop, base::milliseconds{400});
    cr_assert(fixture.passed_on.size() == 1);
}

Test(store_follower, a_node_looks_when_a_peer_asks_it_to) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1'000, .connected = true};
    fixture.is_selected = false;
    fixture.start(base::milliseconds{600});
    run_for(fixture.loop, base::milliseconds{800});
    fixture.store.put("a", "2");
    fixture.follower->look_for_peer(2);
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "2"; }));
}
