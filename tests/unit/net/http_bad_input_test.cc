#include <map>
#include <string>
#include <vector>

#include "http_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

struct rejected_request {
    std::string status_line;
    std::string bytes;
};

/// Sends the bytes and expects a problem document with the status, followed by the end of the
/// connection.
void expect_rejected(event_loop& loop, const http_server& server, const rejected_request& request) {
    raw_client client(server.local_endpoint());
    std::string_view rest = request.bytes;
    cr_assert(run_until(loop, [&] {
        rest.remove_prefix(client.send(rest));
        return client.closed();
    }));
    cr_assert(client.received.rfind("HTTP/1.1 " + request.status_line, 0) == 0, "got: %s",
              client.received.c_str());
    cr_assert(client.has("application/problem+json"));
    cr_assert(client.has("\"executed\":\"no\""));
}

}  // namespace

Test(http_bad_input, malformed_request_gets_400_without_reaching_the_handler) {
    event_loop loop;
    int handled = 0;
    const auto server = serve(loop, [&](const std::shared_ptr<http_exchange>& exchange) {
        ++handled;
        echo(exchange);
    });
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<std::string> inputs = {
        std::string("\x16\x03\x01\x02\x00\x01\x00\x01", 8),  // a TLS hello on a plain port
        "GET / HTTP/9.9\r\n\r\n",
        "GET  HTTP/1.1\r\n\r\n",
        "G\x01T / HTTP/1.1\r\n\r\n",
        head + "no colon\r\n\r\n",
        head + "bad name : x\r\n\r\n",
        head + "Content-Length: -1\r\n\r\n",
        head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    };
    for (const std::string& input : inputs) {
        expect_rejected(loop, *server, {"400", input});
    }
    cr_assert(handled == 0);
}

Test(http_bad_input, oversized_header_gets_431_and_oversized_body_413) {
    event_loop loop;
    http_server_options options;
    options.max_header_bytes = 1024;
    options.max_body_bytes = 4096;
    int handled = 0;
    const auto server = serve(
        loop, [&](const std::shared_ptr<http_exchange>&) { ++handled; }, options);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    std::string many_headers = head;
    for (int index = 0; index < 500; ++index) {
        many_headers += "X-" + std::to_string(index) + ": value\r\n";
    }
    std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (int index = 0; index < 40; ++index) {
        chunks += "400\r\n" + std::string(1024, 'x') + "\r\n";
    }
    expect_rejected(loop, *server, {"431", head + "X: " + std::string(100'000, 'x') + "\r\n\r\n"});
    expect_rejected(loop, *server, {"431", "GET /" + std::string(100'000, 'x')});
    expect_rejected(loop, *server, {"431", many_headers + "\r\n"});
    expect_rejected(loop, *server, {"413", head + "Content-Length: 4097\r\n\r\n"});
    expect_rejected(
        loop, *server,
        {"413", head + "Content-Length: 99999999999\r\n\r\n" + std::string(70'000, 'x')});
    expect_rejected(loop, *server, {"413", chunks});
    cr_assert(handled == 0);
}

// The parser throws for a field that does not fit its storage.
Test(http_bad_input, field_over_64_kib_gets_431_below_the_header_limit) {
    event_loop loop;
    http_server_options options;
    options.max_header_bytes = 128 * 1024;
    int handled = 0;
    const auto server = serve(
        loop, [&](const std::shared_ptr<http_exchange>&) { ++handled; }, options);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string field = "X: " + std::string(70'000, 'x') + "\r\n";
    expect_rejected(loop, *server, {"431", head + field + "\r\n"});
    expect_rejected(loop, *server,
                    {"431", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + field + "\r\n"});
    cr_assert(handled == 0);
}

Test(http_bad_input, incomplete_request_times_out) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = milliseconds(100);
    const auto server = serve(loop, echo, options);
    raw_client partial_request(server->local_endpoint());
    raw_client no_request(server->local_endpoint());
    raw_client served(server->local_endpoint());
    partial_request.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
    served.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(
        loop, [&] { return partial_request.closed() && no_request.closed() && served.closed(); }));
    cr_assert(partial_request.has("HTTP/1.1 408"));
    cr_assert(no_request.received.empty());
    cr_assert(served.has("HTTP/1.1 200"));
}

Test(http_bad_input, connections_over_the_limit_are_rejected) {
    event_loop loop;
    http_server_options options;
    options.max_connections = 2;
    const auto server = serve(loop, echo, options);
    raw_client first(server->local_endpoint());
    raw_client second(server->local_endpoint());
    run_for(loop, milliseconds(20));
    raw_client third(server->local_endpoint());
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    third.send(request);
    cr_assert(run_until(loop, [&] { return third.closed(); }));
    cr_assert(third.has("HTTP/1.1 503"));
    first.close();
    run_for(loop, milliseconds(20));
    raw_client fourth(server->local_endpoint());
    fourth.send(request);
    cr_assert(run_until(loop, [&] { return fourth.has("HTTP/1.1 200"); }));
}

Test(http_bad_input, reader_with_full_queue_is_cut_off) {
    event_loop loop;
    http_server_options options;
    options.max_pending_bytes = 1024 * 1024;
    std::shared_ptr<http_exchange> open_exchange;
    bool disconnected = false;
    std::size_t max_pending = 0;
    const auto server = serve(
        loop,
        [&](std::shared_ptr<http_exchange> exchange) {
            open_exchange = std::move(exchange);
            open_exchange->on_closed([&] { disconnected = true; });
            open_exchange->start_stream(200, {});
        },
        options);
    raw_client client(server->local_endpoint(), 4096);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return open_exchange != nullptr; }));
    cr_assert(run_until(loop, [&] {
        open_exchange->write(std::string(64 * 1024, 'x'));
        max_pending = std::max(max_pending, open_exchange->pending_bytes());
        return disconnected;
    }));
    cr_assert(max_pending <= options.max_pending_bytes);
    cr_assert(open_exchange->pending_bytes() == 0);
    cr_assert(server->open_exchanges() == 0);
}

Test(http_bad_input, reader_without_progress_times_out) {
    event_loop loop;
    http_server_options options;
    options.write_timeout = milliseconds(100);
    bool disconnected = false;
    std::shared_ptr<http_exchange> open_exchange;
    const auto server = serve(
        loop,
        [&](std::shared_ptr<http_exchange> exchange) {
            open_exchange = std::move(exchange);
            open_exchange->on_closed([&] { disconnected = true; });
            open_exchange->start_stream(200, {});
            open_exchange->write(std::string(12 * 1024 * 1024, 'x'));
        },
        options);
    raw_client client(server->local_endpoint(), 4096);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return disconnected; }));
}

Test(http_bad_input, disconnect_is_detected_before_and_during_a_stream) {
    for (const bool streaming : {false, true}) {
        event_loop loop;
        std::shared_ptr<http_exchange> open_exchange;
        int disconnected = 0;
        const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
            open_exchange = std::move(exchange);
            open_exchange->on_closed([&] { ++disconnected; });
            if (streaming) {
                open_exchange->start_stream(200, {});
                open_exchange->write("part");
            }
        });
        raw_client client(server->local_endpoint());
        client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        cr_assert(run_until(loop, [&] { return open_exchange != nullptr; }));
        cr_assert(disconnected == 0);
        client.close();
        cr_assert(run_until(loop, [&] { return disconnected == 1; }));
        open_exchange->write("ignored");
        open_exchange->respond({});
        open_exchange->finish();
        run_for(loop, milliseconds(10));
        cr_assert(disconnected == 1);
        cr_assert(server->open_exchanges() == 0);
    }
}

Test(http_bad_input, bytes_received_during_a_long_response_are_bounded) {
    event_loop loop;
    std::shared_ptr<http_exchange> open_exchange;
    const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
        open_exchange = std::move(exchange);
    });
    raw_client client(server->local_endpoint());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return open_exchange != nullptr; }));
    // Once the server stops reading, the kernel buffers fill up and no more bytes are accepted.
    const std::string flood(256 * 1024, 'x');
    int full = 0;
    std::size_t sent = 0;
    cr_assert(run_until(loop, [&] {
        const std::size_t accepted = client.send(flood);
        sent += accepted;
        full = accepted == 0 ? full + 1 : 0;
        return full > 50;
    }));
    cr_assert(sent < 64 * 1024 * 1024, "%zu bytes were accepted", sent);
}

Test(http_bad_input, incomplete_bodies_share_a_bound) {
    event_loop loop;
    http_server_options options;
    options.max_receiving_bytes = 100'000;
    int handled = 0;
    const auto server = serve(
        loop,
        [&](const std::shared_ptr<http_exchange>& exchange) {
            ++handled;
            exchange->respond({});
        },
        options);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n";
    const std::string body(80'000, 'x');
    raw_client slow(server->local_endpoint());
    slow.send(head + body.substr(1));
    run_for(loop, milliseconds(20));
    raw_client refused(server->local_endpoint());
    refused.send(head + body);
    cr_assert(run_until(loop, [&] { return refused.closed(); }));
    cr_assert(refused.has("HTTP/1.1 503"));
    slow.send("x");
    cr_assert(run_until(loop, [&] { return slow.has("HTTP/1.1 200"); }));
    // Received bytes of ended connections are no longer counted.
    raw_client later(server->local_endpoint());
    later.send(head + body);
    cr_assert(run_until(loop, [&] { return later.has("HTTP/1.1 200"); }));
    cr_assert(handled == 2);
}
