/// Two configuration logs over the emulated key-value service: races, watches and compaction.
#include "pearbarrow/platform/config_log_store.h"

#include <functional>
#include <memory>
#include <string>

#include "pearbarrow/base/status.h"
#include "pearbarrow/emulator/platform_server.h"

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
namespace config = pearbarrow::config;
namespace emulator = pearbarrow::emulator;
namespace net = pearbarrow::net;
namespace platform = pearbarrow::platform;

namespace {

constexpr std::uint64_t compact_after = 12;

/// One node's log, its core wired to the service.
struct log_node {
    net::event_loop& loop;
    base::system_clock_source clock;
    base::random_source random;
    std::unique_ptr<platform::key_value_client> client;
    std::unique_ptr<platform::config_log_store> store;
    std::unique_ptr<config::log_core> core;
    std::unique_ptr<net::timer_handle> ticker;
    absl::StatusOr<base::config_version> result;
    std::function<void()> on_progress;
    int snapshots_written = 0;

    log_node(net::event_loop& event_loop, net::http_client& http, net::endpoint server,
             std::uint64_t seed)
        : loop(event_loop), random(seed) {
        platform::key_value_client_options options;
        options.endpoints = {server};
        options.requests_per_second = 0;
        client = platform::make_key_value_client(loop, clock, http, options);
        store = std::make_unique<platform::config_log_store>(
            *client, "test", [this](config::log_event event) { apply(event); });
        config::log_core_options core_options;
        core_options.self = base::node_id("n" + std::to_string(seed));
        core_options.compact_after_entries = compact_after;
        core_options.reread_period = base::milliseconds(200);
        core = std::make_unique<config::log_core>(core_options, config::configuration::empty(),
                                                  random);
        ticker = loop.every(base::milliseconds(20), [this] { apply(config::log_tick{}); });
    }
    void apply(const config::log_event& event) {
        if (const auto* written = std::get_if<config::snapshot_written>(&event)) {
            snapshots_written += written->status.ok() ? 1 : 0;
        }
        for (const config::log_action& action : core->apply(event, clock.now())) {
            std::visit([this](const auto& each) { carry_out(each); }, action);
        }
        if (on_progress) {
            on_progress();
        }
    }
    template <typename Action>
    void carry_out(const Action& action) {
        if constexpr (requires { store->carry_out(action); }) {
            store->carry_out(action);
        }
    }
    void carry_out(const config::proposal_done& action) { result = action.result; }

    void propose(std::string id) {
        result = absl::UnknownError("not answered");
        const config::object pool{"p", {{"by", id}}, config::pool_spec{base::model_name("m")}};
        apply(config::propose{
            1, {std::move(id), core->current()->version(), "op", {config::put_object{pool}}}});
    }
    bool answered() const { return !absl::IsUnknown(result.status()); }
};

struct two_logs {
    net::event_loop loop;
    base::system_clock_source clock;
    emulator::platform_server service{loop, clock, {}};
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::http_client> http;
    std::unique_ptr<net::timer_handle> guard;

    two_logs() {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        server = net::make_http_server(loop, options,
                                       [this](const std::shared_ptr<net::http_exchange>& exchange) {
                                           service.handle(exchange);
                                       });
        cr_assert(server->start().ok());
        http = net::make_http_client(loop);
        guard = loop.after(base::seconds(30), [] { cr_assert_fail("not done in 30 s"); });
    }
    net::endpoint endpoint() const { return server->local_endpoint(); }

    /// Runs the loop until the condition holds after some node's event.
    void run_until(log_node& first, log_node& second, std::function<bool()> condition) {
        const auto check = [this, condition] {
            if (condition()) {
                loop.stop();
            }
        };
        first.on_progress = check;
        second.on_progress = check;
        loop.run();
        first.on_progress = nullptr;
        second.on_progress = nullptr;
    }
};

}  // namespace

Test(config_log_store, racing_operators_compaction_and_a_late_reader) {
    two_logs fixture;
    log_node first(fixture.loop, *fixture.http, fixture.endpoint(), 1);
    log_node second(fixture.loop, *fixture.http, fixture.endpoint(), 2);
    first.apply(config::follower_changed{true});
    second.apply(config::follower_changed{true});
    for (int round = 1; round <= 30; ++round) {
        first.propose("a" + std::to_string(round));
        second.propose("b" + std::to_string(round));
        fixture.run_until(first, second, [&] {
            return first.answered() && second.answered() &&
                   first.core->current()->version() == second.core->current()->version();
        });
        cr_assert_neq(first.result.ok(), second.result.ok(), "one of two wins, round %d", round);
        const auto& loser = first.result.ok() ? second.result : first.result;
        cr_assert_eq(base::details_of(loser.status()).reason, "config_conflict");
        cr_assert_eq(first.core->current()->version().value(), round);
    }
    cr_assert_eq(first.core->current()->digest(), second.core->current()->digest());
    // A follower that reads the log again finds it long, and compacts it.
    fixture.run_until(first, second,
                      [&] { return first.snapshots_written + second.snapshots_written > 0; });
    // A node that starts now finds the old entries gone, and reads the snapshot.
    log_node late(fixture.loop, *fixture.http, fixture.endpoint(), 3);
    late.apply(config::follower_changed{true});
    fixture.run_until(late, first, [&] { return late.core->current()->version().value() == 30; });
    cr_assert_eq(late.core->current()->digest(), first.core->current()->digest());
    // It has learned version 30 from the snapshot alone: no single entry came with it.
    cr_assert_not_null(late.core->entries_after(base::config_version(29)).snapshot,
                       "the log must have been compacted");
    // A proposer whose base was compacted away cannot create the missing entry.
    log_node stale(fixture.loop, *fixture.http, fixture.endpoint(), 4);
    stale.propose("stale");
    fixture.run_until(stale, first, [&] { return stale.answered(); });
    cr_assert_not(stale.result.ok());
    cr_assert_eq(base::details_of(stale.result.status()).reason, "config_conflict");
}
