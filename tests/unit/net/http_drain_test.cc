// Responses and connections of an HTTP server that stops, and of connections that are idle.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_fixture.h"

using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;

namespace {

constexpr std::size_t large_body_bytes = std::size_t{8} * 1024 * 1024;
constexpr int small_receive_buffer = 4096;
constexpr char simple_request[] = "GET / HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n";

http_server_options options_with_ids() {
    http_server_options options;
    options.request_id_header = "X-Id";
    return options;
}

http_handler respond_with(std::string body) {
    return [body = std::move(body)](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({.status = 200, .headers = {}, .body = body});
    };
}

/// Keeps each exchange, so that the test decides when it ends.
struct held_exchanges {
    http_handler handler() {
        return [this](std::shared_ptr<http_exchange> exchange) {
            this->all.push_back(std::move(exchange));
        };
    }

    std::vector<std::shared_ptr<http_exchange>> all;
};

std::size_t body_bytes(const std::string& response) {
    const auto head = response.find("\r\n\r\n");
    return head == std::string::npos ? 0 : response.size() - head - 4;
}

}  // namespace

Test(http_drain, response_that_a_slow_reader_has_not_taken_is_undelivered) {
    event_loop loop;
    const auto server =
        serve(loop, respond_with(std::string(large_body_bytes, 'x')), options_with_ids());
    raw_client client(server->local_endpoint(), small_receive_buffer);
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return !server->undelivered().empty(); }));
    server->stop_accepting();
    run_for(loop, std::chrono::milliseconds(300));
    cr_assert(server->open_exchanges() == 0);
    cr_assert(!server->is_drained());
    const auto owed = server->undelivered();
    cr_assert(owed.size() == 1);
    cr_assert(owed[0].request == "r1");
    cr_assert(owed[0].stage == delivery_stage::unsent);
    cr_assert(run_until(loop, [&] { return client.closed() || server->is_drained(); }));
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(body_bytes(client.received) == large_body_bytes);
    client.close();
    cr_assert(run_until(loop, [&] { return server->is_drained(); }));
    cr_assert(server->undelivered().empty());
}

Test(http_drain, response_that_is_cut_off_is_reported_with_its_request) {
    event_loop loop;
    http_server_options options = options_with_ids();
    std::vector<undelivered_response> reported;
    options.on_undelivered = [&](const undelivered_response& response) {
        reported.push_back(response);
    };
    options.write_timeout = std::chrono::milliseconds(200);
    const auto server =
        serve(loop, respond_with(std::string(large_body_bytes, 'x')), std::move(options));
    raw_client client(server->local_endpoint(), small_receive_buffer);
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return !reported.empty(); }));
    cr_assert(reported[0].request == "r1");
    cr_assert(reported[0].stage == delivery_stage::unsent);
    cr_assert(reported[0].reason == "slow_reader");
    cr_assert(reported[0].bytes > 0);
}

Test(http_drain, connection_in_the_accept_queue_is_served) {
    event_loop loop;
    const auto server = serve(loop, respond_with("done"));
    run_for(loop, std::chrono::milliseconds(20));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    server->stop_accepting();
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("done"));
    cr_assert(!client.was_reset);
    client.close();
    cr_assert(run_until(loop, [&] { return server->is_drained(); }));
}

Test(http_drain, new_connection_may_send_its_first_request) {
    event_loop loop;
    const auto server = serve(loop, respond_with("done"));
    raw_client client(server->local_endpoint());
    run_for(loop, std::chrono::milliseconds(20));
    server->stop_accepting();
    run_for(loop, std::chrono::milliseconds(100));
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("done"));
    cr_assert(client.has("Connection: close"));
}

Test(http_drain, request_that_has_arrived_in_part_is_processed) {
    event_loop loop;
    const auto server = serve(loop, echo);
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc");
    run_for(loop, std::chrono::milliseconds(50));
    server->stop_accepting();
    run_for(loop, std::chrono::milliseconds(100));
    cr_assert(!server->is_drained());
    client.send("def");
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("abcdef"));
}

Test(http_drain, request_that_does_not_arrive_is_rejected) {
    event_loop loop;
    const auto server = serve(loop, echo);
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc");
    run_for(loop, std::chrono::milliseconds(50));
    server->stop_accepting();
    server->reject_arriving("node_stopping", "the node stops");
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("HTTP/1.1 503"));
    cr_assert(client.has("node_stopping"));
    client.close();
    cr_assert(run_until(loop, [&] { return server->is_drained(); }));
}

Test(http_drain, pipelined_request_is_answered_before_the_close) {
    event_loop loop;
    held_exchanges held;
    const auto server = serve(loop, held.handler());
    raw_client client(server->local_endpoint());
    client.send(std::string(simple_request) + simple_request);
    cr_assert(run_until(loop, [&] { return held.all.size() == 1; }));
    server->disable_keep_alive();
    server->stop_accepting();
    held.all[0]->respond({.status = 200, .headers = {}, .body = "first"});
    cr_assert(run_until(loop, [&] { return held.all.size() == 2; }));
    cr_assert(!client.has("Connection: close"));
    held.all[1]->respond({.status = 200, .headers = {}, .body = "second"});
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("second"));
    cr_assert(client.has("Connection: close"));
}

Test(http_drain, connection_stays_open_after_a_stream_that_announced_no_close) {
    event_loop loop;
    held_exchanges held;
    const auto server = serve(loop, held.handler());
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return held.all.size() == 1; }));
    held.all[0]->start_stream(200, {});
    server->disable_keep_alive();
    held.all[0]->finish();
    run_for(loop, std::chrono::milliseconds(50));
    cr_assert(!client.closed());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return held.all.size() == 2; }));
    held.all[1]->respond({.status = 200, .headers = {}, .body = "second"});
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.has("Connection: close"));
}

Test(http_drain, idle_connection_is_closed) {
    event_loop loop;
    const auto server = serve(loop, respond_with("done"));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("done"); }));
    server->stop_accepting();
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(!client.was_reset);
    client.close();
    cr_assert(run_until(loop, [&] { return server->is_drained(); }));
}

Test(http_drain, request_that_arrived_before_the_idle_timeout_is_served) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = std::chrono::milliseconds(100);
    const auto server = serve(loop, respond_with("done"), std::move(options));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("done"); }));
    client.received.clear();
    client.send(simple_request);
    // The process is paused for longer than the timeout.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    cr_assert(run_until(loop, [&] { return client.has("done"); }));
}

Test(http_drain, idle_timeout_starts_when_the_response_has_left_the_process) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = std::chrono::milliseconds(1'000);
    const auto server = serve(
        loop,
        [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->respond({.status = 200, .body = "done"});
            // The process is paused before it writes the response.
            std::this_thread::sleep_for(std::chrono::milliseconds(800));
        },
        std::move(options));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("done"); }));
    run_for(loop, std::chrono::milliseconds(500));
    client.received.clear();
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("done") || client.closed(); }));
    cr_assert(client.has("done"));
}

Test(http_drain, response_that_is_read_for_longer_than_the_idle_timeout_arrives_whole) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = std::chrono::milliseconds(100);
    const auto server =
        serve(loop, respond_with(std::string(large_body_bytes, 'x')), std::move(options));
    raw_client client(server->local_endpoint(), small_receive_buffer);
    client.send(simple_request);
    run_for(loop, std::chrono::milliseconds(500));
    cr_assert(run_until(
        loop, [&] { return client.closed() || body_bytes(client.received) == large_body_bytes; }));
    cr_assert(body_bytes(client.received) == large_body_bytes);
}

Test(http_drain, kept_connection_applies_new_limits_to_its_next_request) {
    event_loop loop;
    http_server_options options;
    options.max_body_bytes = 4;
    const auto server = serve(loop, echo, std::move(options));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("200"); }));
    server->set_limits(std::size_t{16} * 1024, 1024, std::chrono::seconds(30));
    client.received.clear();
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabcdef");
    cr_assert(run_until(loop, [&] { return client.has("\r\n\r\n"); }));
    cr_assert(client.has("HTTP/1.1 200"));
}

Test(http_drain, idle_connection_stays_open_for_the_timeout_in_force) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = std::chrono::milliseconds(100);
    const auto server = serve(loop, echo, std::move(options));
    raw_client client(server->local_endpoint());
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return client.has("200"); }));
    server->set_limits(std::size_t{16} * 1024, 1024, std::chrono::seconds(30));
    run_for(loop, std::chrono::milliseconds(400));
    cr_assert(!client.closed());
}

Test(http_drain, refusal_reaches_a_client_that_still_sends_its_body) {
    event_loop loop;
    http_server_options options;
    options.max_body_bytes = 4;
    const auto server = serve(loop, echo, std::move(options));
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
    for (int sent = 0; sent < 20; ++sent) {
        run_for(loop, std::chrono::milliseconds(100));
        cr_assert(client.send("0123456789") == 10);
    }
    cr_assert(client.has("HTTP/1.1 413"));
    cr_assert(!client.was_reset);
}

Test(http_drain, response_that_is_read_slowly_but_steadily_arrives_whole) {
    constexpr std::size_t body_size = std::size_t{512} * 1024;
    event_loop loop;
    http_server_options options;
    options.write_timeout = std::chrono::milliseconds(400);
    const auto server = serve(loop, respond_with(std::string(body_size, 'x')), std::move(options));
    raw_client client(server->local_endpoint(), small_receive_buffer);
    client.send(simple_request);
    const auto reading = loop.every(std::chrono::milliseconds(50), [&] { client.receive(2'000); });
    run_for(loop, std::chrono::milliseconds(2'000));
    cr_assert(!client.is_closed());
    reading->cancel();
    cr_assert(
        run_until(loop, [&] { return client.closed() || client.received.size() > body_size; }));
    cr_assert(body_bytes(client.received) == body_size);
}

Test(http_drain, refusal_for_lack_of_memory_reaches_a_client_that_still_sends) {
    event_loop loop;
    http_server_options options;
    options.max_receiving_bytes = 1024;
    const auto server = serve(loop, echo, std::move(options));
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                std::string(2'000, 'x'));
    cr_assert(run_until(loop, [&] { return client.has("HTTP/1.1 503"); }));
    for (int sent = 0; sent < 20; ++sent) {
        client.send(std::string(2'000, 'x'));
        run_for(loop, std::chrono::milliseconds(5));
    }
    cr_assert(server->undelivered().empty());
    cr_assert(!client.was_reset);
}

Test(http_drain, destroyed_server_reports_nothing) {
    event_loop loop;
    bool was_reported = false;
    http_server_options options;
    options.on_undelivered = [&](const undelivered_response& /*response*/) { was_reported = true; };
    auto server = serve(loop, respond_with(std::string(large_body_bytes, 'x')), std::move(options));
    raw_client client(server->local_endpoint(), small_receive_buffer);
    client.send(simple_request);
    cr_assert(run_until(loop, [&] { return !server->undelivered().empty(); }));
    server = nullptr;
    run_for(loop, std::chrono::milliseconds(50));
    cr_assert(!was_reported);
}
