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

struct refused_request {
    std::string status_line;
    std::string bytes;
};

/// Sends the bytes and expects the status as a problem document, and the end of the connection.
void expect_refused(event_loop& loop, const http_server& server, const refused_request& request) {
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

Test(http_bad_input, malformed_requests_get_400_and_never_reach_the_handler) {
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
        expect_refused(loop, *server, {"400", input});
    }
    cr_assert(handled == 0);
}

Test(http_bad_input, oversized_parts_get_431_and_413) {
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
    expect_refused(loop, *server, {"431", head + "X: " + std::string(100'000, 'x') + "\r\n\r\n"});
    expect_refused(loop, *server, {"431", "GET /" + std::string(100'000, 'x')});
    expect_refused(loop, *server, {"431", many_headers + "\r\n"});
    expect_refused(loop, *server, {"413", head + "Content-Length: 4097\r\n\r\n"});
    expect_refused(
        loop, *server,
        {"413", head + "Content-Length: 99999999999\r\n\r\n" + std::string(70'000, 'x')});
    expect_refused(loop, *server, {"413", chunks});
    cr_assert(handled == 0);
}

Test(http_bad_input, a_request_that_never_ends_is_cut_off) {
    event_loop loop;
    http_server_options options;
    options.request_timeout = milliseconds(100);
    const auto server = serve(loop, echo, options);
    raw_client begun(server->local_endpoint());
    raw_client silent(server->local_endpoint());
    raw_client served(server->local_endpoint());
    begun.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
    served.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(
        run_until(loop, [&] { return begun.closed() && silent.closed() && served.closed(); }));
    cr_assert(begun.has("HTTP/1.1 408"));
    cr_assert(silent.received.empty());
    cr_assert(served.has("HTTP/1.1 200"));
}

Test(http_bad_input, connections_beyond_the_limit_are_refused) {
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

Test(http_bad_input, a_reader_too_slow_for_the_queue_is_cut_off) {
    event_loop loop;
    http_server_options options;
    options.max_pending_bytes = 1024 * 1024;
    std::shared_ptr<http_exchange> held;
    bool gone = false;
    std::size_t most_pending = 0;
    const auto server = serve(
        loop,
        [&](std::shared_ptr<http_exchange> exchange) {
            held = std::move(exchange);
            held->on_closed([&] { gone = true; });
            held->start_stream(200, {});
        },
        options);
    raw_client client(server->local_endpoint(), 4096);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return held != nullptr; }));
    cr_assert(run_until(loop, [&] {
        held->write(std::string(64 * 1024, 'x'));
        most_pending = std::max(most_pending, held->pending_bytes());
        return gone;
    }));
    cr_assert(most_pending <= options.max_pending_bytes);
    cr_assert(held->pending_bytes() == 0);
    cr_assert(server->open_exchanges() == 0);
}

Test(http_bad_input, a_reader_that_takes_nothing_is_cut_off_in_time) {
    event_loop loop;
    http_server_options options;
    options.write_timeout = milliseconds(100);
    bool gone = false;
    std::shared_ptr<http_exchange> held;
    const auto server = serve(
        loop,
        [&](std::shared_ptr<http_exchange> exchange) {
            held = std::move(exchange);
            held->on_closed([&] { gone = true; });
            held->start_stream(200, {});
            held->write(std::string(12 * 1024 * 1024, 'x'));
        },
        options);
    raw_client client(server->local_endpoint(), 4096);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return gone; }));
}

Test(http_bad_input, a_client_that_leaves_is_noticed_while_it_waits_and_in_the_stream) {
    for (const bool streaming : {false, true}) {
        event_loop loop;
        std::shared_ptr<http_exchange> held;
        int gone = 0;
        const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
            held = std::move(exchange);
            held->on_closed([&] { ++gone; });
            if (streaming) {
                held->start_stream(200, {});
                held->write("part");
            }
        });
        raw_client client(server->local_endpoint());
        client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        cr_assert(run_until(loop, [&] { return held != nullptr; }));
        cr_assert(gone == 0);
        client.close();
        cr_assert(run_until(loop, [&] { return gone == 1; }));
        held->write("ignored");
        held->respond({});
        held->finish();
        run_for(loop, milliseconds(10));
        cr_assert(gone == 1);
        cr_assert(server->open_exchanges() == 0);
    }
}

Test(http_bad_input, bytes_sent_during_a_long_answer_are_bounded) {
    event_loop loop;
    std::shared_ptr<http_exchange> held;
    const auto server =
        serve(loop, [&](std::shared_ptr<http_exchange> exchange) { held = std::move(exchange); });
    raw_client client(server->local_endpoint());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return held != nullptr; }));
    // Once the server stops reading, the kernel's buffers fill up and nothing more is taken.
    const std::string flood(256 * 1024, 'x');
    int full = 0;
    std::size_t sent = 0;
    cr_assert(run_until(loop, [&] {
        const std::size_t taken = client.send(flood);
        sent += taken;
        full = taken == 0 ? full + 1 : 0;
        return full > 50;
    }));
    cr_assert(sent < 64 * 1024 * 1024, "%zu bytes were taken", sent);
}

Test(http_bad_input, bodies_on_the_way_share_a_bound) {
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
    // What was received counts no longer.
    raw_client later(server->local_endpoint());
    later.send(head + body);
    cr_assert(run_until(loop, [&] { return later.has("HTTP/1.1 200"); }));
    cr_assert(handled == 2);
}
