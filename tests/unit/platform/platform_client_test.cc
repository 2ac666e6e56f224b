/// The clients against a small HTTP server that answers as each test says.
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pearbarrow/base/status.h"
#include "pearbarrow/platform/config_log_store.h"
#include "pearbarrow/platform/key_value_client.h"
#include "pearbarrow/platform/machine_list_client.h"
#include "pearbarrow/platform/weight_store_client.h"

#include <criterion/criterion.h>

namespace base = pearbarrow::base;
namespace config = pearbarrow::config;
namespace net = pearbarrow::net;
namespace platform = pearbarrow::platform;

namespace {

using exchange_pointer = std::shared_ptr<net::http_exchange>;

/// An event loop, a server whose answers a test chooses, and the clients of it.
struct platform_fixture {
    net::event_loop loop;
    base::system_clock_source clock;
    std::function<void(exchange_pointer)> answer;
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<net::http_client> http;
    std::unique_ptr<platform::key_value_client> client;
    std::unique_ptr<net::timer_handle> guard;

    explicit platform_fixture(double requests_per_second = 1'000) {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        server = net::make_http_server(
            loop, options, [this](exchange_pointer exchange) { answer(std::move(exchange)); });
        cr_assert(server->start().ok());
        http = net::make_http_client(loop);
        platform::key_value_client_options client_options;
        client_options.endpoints = {server->local_endpoint()};
        client_options.timeout = base::milliseconds(300);
        client_options.requests_per_second = requests_per_second;
        client_options.burst = 2;
        client = platform::make_key_value_client(loop, clock, *http, client_options);
        guard = loop.after(base::seconds(20), [] { cr_assert_fail("no answer in 20 s"); });
    }
    void respond_with(int status, std::string body, net::http_headers headers = {}) {
        answer = [=](const exchange_pointer& exchange) {
            exchange->respond({status, headers, body});
        };
    }
    absl::Status put() {
        absl::Status result;
        client->put({"k", "v", 0}, [&](absl::Status status) {
            result = std::move(status);
            loop.stop();
        });
        loop.run();
        return result;
    }
};

}  // namespace

Test(key_value_client, refusals_say_whether_the_request_ran) {
    platform_fixture fixture;
    fixture.respond_with(429, "slow down", {{"Retry-After", "3"}});
    const auto limited = base::details_of(fixture.put());
    cr_assert(limited.was_executed == base::executed::no);
    cr_assert(limited.retry_after == base::milliseconds(3'000));
}

Test(key_value_client, failed_gateway_may_have_passed_the_request_on) {
    platform_fixture fixture;
    fixture.respond_with(503, "unavailable");
    const absl::Status status = fixture.put();
    cr_assert(absl::IsUnavailable(status));
    cr_assert(base::details_of(status).was_executed == base::executed::unknown);
}

Test(key_value_client, silence_is_unknown) {
    platform_fixture fixture;
    exchange_pointer held;
    fixture.answer = [&](exchange_pointer exchange) { held = std::move(exchange); };
    const absl::Status status = fixture.put();
    cr_assert_not(status.ok());
    cr_assert(base::details_of(status).was_executed == base::executed::unknown);
    cr_assert_not(base::details_of(status).peer.empty());
}

Test(key_value_client, own_limit_refuses_before_sending) {
    platform_fixture fixture(0.001);
    int requests = 0;
    fixture.answer = [&](const exchange_pointer& exchange) {
        ++requests;
        exchange->respond({200, {}, "{}"});
    };
    cr_assert(fixture.put().ok());
    cr_assert(fixture.put().ok());
    const absl::Status status = fixture.put();
    cr_assert(absl::IsResourceExhausted(status));
    cr_assert_eq(base::details_of(status).reason, "own_rate_limit");
    cr_assert(base::details_of(status).retry_after.has_value());
    cr_assert_eq(requests, 2);
}

Test(key_value_client, lapsed_lease_is_not_found) {
    platform_fixture fixture;
    fixture.respond_with(200, R"({"result":{"ID":"4"}})");
    absl::Status result;
    fixture.client->keep_alive(4, [&](absl::StatusOr<platform::lease_grant> answer) {
        result = answer.status();
        fixture.loop.stop();
    });
    fixture.loop.run();
    cr_assert(absl::IsNotFound(result));
}

Test(key_value_client, watch_delivers_lines_and_tells_its_end) {
    platform_fixture fixture;
    fixture.answer = [](const exchange_pointer& exchange) {
        exchange->start_stream(200, {});
        exchange->write(
            "{\"result\":{\"created\":true}}\n{\"result\":{\"header\":{\"revision\":\"4\"}");
        exchange->write(",\"events\":[{\"kv\":{\"key\":\"aw==\",\"value\":\"dg==\"}}]}}\n");
        exchange->finish();
    };
    std::string value;
    absl::Status ended;
    const auto watch = fixture.client->watch(
        {.key = "k", .start_revision = 1},
        {.on_events = [&](const std::vector<platform::watch_event>& events,
                          std::int64_t) { value = events.front().item.value; },
         .on_end =
             [&](absl::Status status) {
                 ended = std::move(status);
                 fixture.loop.stop();
             }});
    fixture.loop.run();
    cr_assert_eq(value, "v");
    cr_assert(absl::IsUnavailable(ended));
}

Test(config_log_store, taken_entry_is_already_exists) {
    platform_fixture fixture;
    std::string body;
    fixture.answer = [&](const exchange_pointer& exchange) {
        body = exchange->request().body;
        exchange->respond({200, {}, R"({"header":{"revision":"9"}})"});
    };
    absl::Status status;
    platform::config_log_store store(*fixture.client, "c", [&](config::log_event event) {
        status = std::get<config::entry_created>(event).status;
        fixture.loop.stop();
    });
    store.carry_out(config::create_entry{1, base::config_version(2), {}});
    fixture.loop.run();
    cr_assert(absl::IsAlreadyExists(status));
    // Entry 2 is absent and entry 1 is there: both conditions travel.
    cr_assert(body.find("\"EQUAL\"") != std::string::npos);
    cr_assert(body.find("\"GREATER\"") != std::string::npos);
}

Test(machine_list, reads_what_can_be_read) {
    const auto list = platform::parse_machine_list(
        R"([{"node":"e1","address":"10.0.0.1:80","zone":"a","state":"leaving"},
            {"node":"e2","address":"nonsense","zone":"a","state":"live"},
            {"node":"e3","address":"10.0.0.3:80","zone":"b","state":"gone"},5])");
    cr_assert(list.ok());
    cr_assert_eq(list->size(), 1);
    cr_assert(list->front().state == platform::machine_state::leaving);
    cr_assert_not(platform::parse_machine_list("{}").ok());
    cr_assert_not(platform::parse_machine_list("").ok());
}

Test(weight_store, rate_limit_carries_its_time) {
    platform_fixture fixture;
    fixture.respond_with(429, "", {{"Retry-After", "2"}});
    platform::weight_store_client weights(*fixture.http, fixture.server->local_endpoint());
    absl::Status result;
    weights.describe(base::model_name("m"),
                     [&](absl::StatusOr<platform::weight_description> answer) {
                         result = answer.status();
                         fixture.loop.stop();
                     });
    fixture.loop.run();
    cr_assert(absl::IsResourceExhausted(result));
    cr_assert(base::details_of(result).retry_after == base::milliseconds(2'000));
}
