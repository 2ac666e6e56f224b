#include "store_follower.h"

#include <map>
#include <optional>
#include <string>

#include "../net/net_fixture.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/metadata_store.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using net::testing::run_for;
using net::testing::run_until;

namespace {

struct follower_fixture : platform::store_listener {
    follower_fixture() { cr_assert(store.start().ok()); }

    /// Without peers, a node polls in each interval of `poll_interval`.
    void start(base::milliseconds poll_interval = base::milliseconds{50}) {
        client = std::make_unique<platform::store_client>(loop, store.address(), metrics);
        platform::follower_options options;
        options.watching.pacing.check_interval = poll_interval;
        options.slow_poll = base::milliseconds{100};
        follower = std::make_unique<platform::store_follower>(loop, clock, random, *client, options,
                                                              *this);
        follower->start(false);
    }
    std::string value(const std::string& key) const {
        const auto found = known_values.find(key);
        return found == known_values.end() ? "" : found->second;
    }

    void on_read_started() override { partial_values.clear(); }
    void on_page(std::span<const platform::store_item> items) override {
        ++pages;
        for (const platform::store_item& item : items) {
            partial_values[item.key] = item.value;
        }
    }
    bool on_read_completed(std::uint64_t at) override {
        ++reads;
        revision = std::max(revision, at);
        const bool has_changes = known_values != partial_values;
        known_values = partial_values;
        return has_changes;
    }
    bool on_events(std::span<const platform::store_item> events, std::uint64_t /*after*/,
                   std::uint64_t at) override {
        ++event_batches;
        for (const platform::store_item& item : events) {
            if (item.gone) {
                known_values.erase(item.key);
            } else {
                known_values[item.key] = item.value;
            }
        }
        revision = std::max(revision, at);
        return true;
    }
    std::uint64_t known_revision() const override { return revision; }
    directory::service_watch::node_state watch_inputs() const override {
        return {.connectivity = connectivity,
                .is_selected = [this](std::uint64_t /*interval*/) { return is_selected; },
                .has_all_parts = revision > 0,
                .unix_time = clock.unix_microseconds()};
    }
    void delegate(std::uint32_t hops) override { delegated_hops.push_back(hops); }

    net::event_loop loop;
    base::system_clock_source clock;
    emulator::metadata_store store{loop};
    base::metrics_registry metrics;
    base::random_source random{1};
    directory::peer_connectivity connectivity;
    bool is_selected = true;
    std::unique_ptr<platform::store_client> client;
    std::unique_ptr<platform::store_follower> follower;
    std::map<std::string, std::string> partial_values;
    std::map<std::string, std::string> known_values;
    std::uint64_t revision = 0;
    int pages = 0;
    int reads = 0;
    int event_batches = 0;
    std::vector<std::uint32_t> delegated_hops;
};

}  // namespace

Test(store_follower, existing_entries_are_read) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
}

Test(store_follower, changes_arrive_without_full_read) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
    fixture.store.put("a", "2");
    fixture.store.remove("b");
    cr_assert(run_until(fixture.loop, [&] {
        return fixture.value("a") == "2" && fixture.known_values.count("b") == 0;
    }));
    cr_assert(fixture.reads == 1);
}

// After a common restart nearly all nodes are idle. Changes that watches miss in these seconds are
// found only by polls.
Test(store_follower, initially_idle_node_polls) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.known_values = {{"a", "1"}};
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.start();
    fixture.store.put("a", "2");
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "2"; }));
    cr_assert(fixture.reads == 0, "a poll returns the changes");
    const int event_batches = fixture.event_batches;
    run_for(fixture.loop, base::milliseconds{200});
    cr_assert(fixture.event_batches == event_batches, "unchanged entries are not reported again");
}

Test(store_follower, store_with_unreported_changes_is_read_again) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "1"; }));
    fixture.store.set_trouble(emulator::metadata_store::trouble::deaf_watches);
    fixture.store.put("a", "2");
    cr_assert(run_until(
        fixture.loop, [&] { return fixture.value("a") == "2"; }, base::milliseconds{1'000}));
    cr_assert(fixture.reads == 2);
}

Test(store_follower, read_continues_after_rejected_page) {
    follower_fixture fixture;
    for (int index = 0; index < 20; ++index) {
        fixture.store.put("k" + std::to_string(100 + index), "1");
    }
    fixture.store.set_page_items(2);
    fixture.store.refuse_each(3);
    fixture.start(base::milliseconds{60'000});
    cr_assert(run_until(fixture.loop, [&] { return fixture.known_values.size() == 20; }));
    cr_assert(fixture.pages <= 11, "%d pages of 10", fixture.pages);
}

Test(store_follower, rejected_node_delegates_poll) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.store.set_trouble(emulator::metadata_store::trouble::refusing);
    fixture.start();
    cr_assert(run_until(fixture.loop, [&] { return !fixture.delegated_hops.empty(); }));
    cr_assert(fixture.delegated_hops.front() == 1);
    const std::uint64_t calls = fixture.store.calls();
    run_for(fixture.loop, base::milliseconds{300});
    cr_assert(fixture.store.calls() <= calls + 8,
              "one call per interval, without immediate retries");
}

Test(store_follower, slow_poll_is_delegated_once) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1, .connected = true};
    fixture.store.set_trouble(emulator::metadata_store::trouble::silent);
    fixture.start(base::milliseconds{2'000});
    cr_assert(run_until(
        fixture.loop, [&] { return !fixture.delegated_hops.empty(); }, base::milliseconds{6'000}));
    run_for(fixture.loop, base::milliseconds{400});
    cr_assert(fixture.delegated_hops.size() == 1);
}

Test(store_follower, node_polls_at_request_of_peer) {
    follower_fixture fixture;
    fixture.store.put("a", "1");
    fixture.revision = 1;
    fixture.connectivity = {.peers = 1'000, .connected = true};
    fixture.is_selected = false;
    fixture.start(base::milliseconds{600});
    run_for(fixture.loop, base::milliseconds{800});
    fixture.store.put("a", "2");
    fixture.follower->poll_for_peer(2);
    cr_assert(run_until(fixture.loop, [&] { return fixture.value("a") == "2"; }));
}

Test(store_client, change_without_a_numeric_revision_fails) {
    for (const std::string body : {R"({"rev":"7"})", R"({"rev":null})", "{}", "[]"}) {
        net::event_loop loop;
        net::testing::raw_server server;
        base::metrics_registry metrics;
        platform::store_client client(loop, server.local_endpoint(), metrics);
        std::optional<absl::Status> outcome;
        client.change("test", {}, [&](const absl::StatusOr<std::uint64_t>& revision) {
            outcome = revision.status();
        });
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        server.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
        cr_assert(run_until(loop, [&] { return outcome.has_value(); }));
        cr_assert(base::details_of(*outcome).reason == "malformed_response", "%s", body.c_str());
    }
}
