// Slow callers next to fast ones, and their effect on the node and on the other callers.
#include <list>

#include "../net/http_fixture.h"
#include "../turns/counting_caller.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/forward/forward_service.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using net::testing::raw_client;
using net::testing::run_for;
using net::testing::run_until;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
/// Exceeds the capacity of the socket buffers.
constexpr std::size_t large_answer = 8 * megabyte;
/// Buffer limit of a node with 88 MB of memory.
constexpr std::size_t node_bound = 29 * megabyte;

header_names names() {
    header_names names;
    names.request_id = "Request-Id";
    names.signature = "Signature";
    names.deadline = "Deadline";
    names.target_backend = "Target";
    names.not_executed = "Not-Executed";
    return names;
}

directory::configuration one_route() {
    directory::configuration config;
    config.version = 1;
    directory::route route;
    route.name = "plain";
    route.host = "shop.example";
    route.path_prefix = "/";
    route.kind = directory::request_kind::non_idempotent;
    route.services = {{.service = "tool", .weight = 1}};
    config.routes.push_back(std::move(route));
    return config;
}

/// An edge between real callers and one back end.
struct slow_reader_fixture {
    /// If `holds_back` is true, the node counts its buffered bytes and applies backpressure.
    explicit slow_reader_fixture(std::size_t bound, bool holds_back = true)
        : buffered(std::make_shared<net::buffered_bytes>(net::buffered_bytes_options{
              .bound = bound, .stalled_after = base::milliseconds{200}})) {
        this->backend = net::testing::serve(
            this->loop, [this](const std::shared_ptr<net::http_exchange>& exchange) {
                ++this->runs;
                const bool is_large = exchange->request().target == "/large";
                exchange->respond(
                    {.status = 200,
                     .headers = {{"Signature", "s"},
                                 {"Request-Id",
                                  exchange->request().headers.find("Request-Id").value_or("")}},
                     .body = std::string(is_large ? large_answer : 800, 'x')});
            });
        net::http_server_options options;
        options.buffered = this->buffered;
        options.write_timeout = base::milliseconds{3'000};
        options.max_body_bytes = 16 * megabyte;
        if (!holds_back) {
            this->context.buffered = nullptr;
        }
        this->callers = net::testing::serve(
            this->loop,
            [this](std::shared_ptr<net::http_exchange> exchange) {
                this->service.handle(std::move(exchange));
            },
            options);
        this->service.set_configuration(one_route());
        this->pool.set_backends({.revision = 1,
                                 .backends = {{"b",
                                               {.id = "b",
                                                .service = "tool",
                                                .address = this->backend->local_endpoint(),
                                                .zone = "",
                                                .slots = 1'000}}}},
                                this->clock.now());
    }

    raw_client& ask(std::list<raw_client>& clients, const char* target, int receive_buffer) {
        raw_client& client = clients.emplace_back(this->callers->local_endpoint(), receive_buffer);
        client.send("GET " + std::string(target) +
                    " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r" +
                    std::to_string(++this->asked) + "\r\n\r\n");
        return client;
    }
    /// Returns the response time of a small request during the load of the test.
    base::milliseconds quick_response() {
        std::list<raw_client> clients;
        const auto started_at = std::chrono::steady_clock::now();
        raw_client& client = this->ask(clients, "/small", 0);
        cr_assert(run_until(this->loop,
                            [&] { return client.received.size() > 800 || client.has("200 OK"); }));
        return std::chrono::duration_cast<base::milliseconds>(std::chrono::steady_clock::now() -
                                                              started_at);
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::random_source random{1};
    base::metrics_registry metrics;
    forward_log log{clock, metrics, {}};
    std::shared_ptr<net::buffered_bytes> buffered;
    std::unique_ptr<net::http_client> client =
        net::make_http_client(loop, {.buffered = this->buffered});
    backend_pool pool{{}, random};
    turns::testing::counting_caller members;
    turns::turn_client turns{loop, clock, members, {}};
    std::unique_ptr<program_admission> admission = make_unlimited_admission();
    tenants::quota_client quotas{loop, clock, members, {}};
    forward_context context{.loop = loop,
                            .clock = clock,
                            .random = random,
                            .client = *client,
                            .pool = pool,
                            .turns = turns,
                            .quotas = quotas,
                            .admission = *admission,
                            .log = log,
                            .options = {.headers = names()},
                            .active = nullptr,
                            .buffered = buffered};
    forward_service service{context};
    std::unique_ptr<net::http_server> backend;
    std::unique_ptr<net::http_server> callers;
    int runs = 0;
    int asked = 0;
};

/// Returns whether the final chunk was received.
bool is_whole(const raw_client& client) {
    return client.received.size() > large_answer &&
           client.received.compare(client.received.size() - 5, 5, "0\r\n\r\n") == 0;
}

}  // namespace

// Without a bound the node buffers every response: 40 of 8 MB, less the content of the socket
// buffers.
Test(slow_reader, without_bound_all_unread_bytes_are_buffered) {
    slow_reader_fixture node(0, false);
    std::list<raw_client> slow;
    for (int index = 0; index < 40; ++index) {
        node.ask(slow, "/large", 4'096);
    }
    std::size_t most = 0;
    run_until(node.loop, [&] {
        most = std::max(most, node.buffered->total());
        return most > 2 * node_bound;
    });
    cr_assert(most > 2 * node_bound, "%zu bytes", most);
}

Test(slow_reader, buffered_bytes_of_slow_readers_stay_within_bound) {
    slow_reader_fixture node(node_bound);
    std::list<raw_client> slow;
    for (int index = 0; index < 40; ++index) {
        node.ask(slow, "/large", 4'096);
    }
    // The back end runs in this process, so the fast callers start only after it has produced its
    // 320 MB.
    cr_assert(run_until(node.loop, [&] { return node.runs == 40; }));
    run_for(node.loop, base::milliseconds{800});
    std::size_t most = 0;
    base::milliseconds slowest{0};
    for (int index = 0; index < 50; ++index) {
        slowest = std::max(slowest, node.quick_response());
        most = std::max(most, node.buffered->total());
    }
    cr_assert(most <= node_bound, "%zu bytes held", most);
    cr_assert(most > megabyte, "%zu bytes buffered: there was no load", most);
    // Without slow callers this takes a few milliseconds. The limit allows for a busy machine.
    cr_assert(slowest <= base::milliseconds{200}, "%lld ms",
              static_cast<long long>(slowest.count()));
    // Callers that continue to read receive the whole response. The others are disconnected and can
    // detect it.
    std::list<raw_client*> reading;
    for (raw_client& client : slow) {
        if (reading.size() < 20) {
            reading.push_back(&client);
        }
    }
    cr_assert(run_until(node.loop, [&] {
        for (raw_client* client : reading) {
            client->receive();
        }
        return std::all_of(reading.begin(), reading.end(),
                           [](const raw_client* client) { return is_whole(*client); });
    }));
    cr_assert(run_until(node.loop, [&] { return node.service.open_requests() == 0; }),
              "callers that do not read are disconnected");
    for (raw_client& client : slow) {
        cr_assert(is_whole(client) || client.closed(), "neither complete nor disconnected");
    }
    cr_assert(node.buffered->total() == 0, "%zu bytes", node.buffered->total());
    const std::string text = node.metrics.text();
    cr_assert(text.find("reason=\"slow_reader\"") != std::string::npos);
    cr_assert(text.find("pearbarrow_forward_held_back_total") != std::string::npos);
}

// A back end does not read its requests. The buffered bodies of its callers are counted, and other
// requests continue.
Test(slow_reader, unresponsive_back_end_does_not_block_other_requests) {
    slow_reader_fixture node(node_bound);
    net::testing::raw_server unresponsive;
    node.pool.set_backends({.revision = 2,
                            .backends = {{"deaf",
                                          {.id = "deaf",
                                           .service = "tool",
                                           .address = unresponsive.local_endpoint(),
                                           .zone = "",
                                           .slots = 1'000}}}},
                           node.clock.now());
    std::list<raw_client> clients;
    const std::string body(12 * megabyte, 'b');
    for (int index = 0; index < 3; ++index) {
        raw_client& client = clients.emplace_back(node.callers->local_endpoint());
        std::string request =
            "POST /deaf HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: d" + std::to_string(index) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        run_until(
            node.loop,
            [&] {
                sent += client.send(std::string_view(request).substr(sent));
                return sent == request.size() || client.has("503");
            },
            base::milliseconds{2'000});
    }
    cr_assert(node.buffered->total() <= node_bound, "%zu bytes held", node.buffered->total());
    cr_assert(
        run_until(node.loop, [&] { return node.buffered->of(net::buffer_kind::requests) > 0; }));
    const auto refused = std::count_if(clients.begin(), clients.end(),
                                       [](raw_client& client) { return client.has("503"); });
    cr_assert(refused > 0, "the buffers cannot hold all requests");
}

// A response larger than the buffer is streamed. If it breaks off early, the caller must not take
// it for complete.
Test(slow_reader, truncated_long_response_does_not_look_complete) {
    slow_reader_fixture node(node_bound);
    net::testing::raw_server broken;
    node.pool.set_backends({.revision = 2,
                            .backends = {{"broken",
                                          {.id = "broken",
                                           .service = "tool",
                                           .address = broken.local_endpoint(),
                                           .zone = "",
                                           .slots = 1'000}}}},
                           node.clock.now());
    std::list<raw_client> clients;
    raw_client& client = node.ask(clients, "/large", 0);
    cr_assert(run_until(node.loop, [&] { return broken.has("\r\n\r\n"); }));
    broken.send(
        "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r1\r\nContent-Length: 500000\r\n\r\n" +
        std::string(200'000, 'x'));
    cr_assert(run_until(node.loop, [&] {
        client.receive();
        return client.received.size() > 190'000;
    }));
    broken.close_connection();
    cr_assert(run_until(node.loop, [&] { return client.closed(); }));
    cr_assert(client.received.find("0\r\n\r\n", client.received.size() - 5) == std::string::npos);
}
