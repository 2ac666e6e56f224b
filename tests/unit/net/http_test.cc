#include "pearbarrow/net/http.h"

#include "http_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;

Test(http, requests_share_one_connection) {
    event_loop loop;
    const auto server = serve(loop, echo);
    const auto client = make_http_client(loop);
    for (int turn = 0; turn < 3; ++turn) {
        const auto response = fetch(loop, *client,
                                    {.server = server->local_endpoint(),
                                     .method = "POST",
                                     .target = "/a?b=c",
                                     .body = "hello"});
        cr_assert(response.ok(), "%s", response.status().ToString().c_str());
        cr_assert(response->status == 200);
        cr_assert(response->body == "hello");
        cr_assert(response->headers.find("x-target") == "/a?b=c");
    }
}

Test(http, chunks_are_streamed_when_written) {
    event_loop loop;
    std::shared_ptr<http_exchange> open_exchange;
    const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
        open_exchange = std::move(exchange);
        open_exchange->start_stream(200, {{"Content-Type", "text/event-stream"}});
        open_exchange->write("one");
    });
    const auto client = make_http_client(loop);
    std::string received;
    bool done = false;
    const auto handle =
        client->start({.server = server->local_endpoint(), .method = "GET", .target = "/"},
                      {.on_chunk = [&](std::string_view chunk) { received.append(chunk); },
                       .on_done = [&](const absl::Status& status) { done = status.ok(); }});
    cr_assert(run_until(loop, [&] { return received == "one"; }));
    cr_assert(!done);
    open_exchange->write("two");
    open_exchange->finish();
    cr_assert(run_until(loop, [&] { return done; }));
    cr_assert(received == "onetwo");
    cr_assert(server->open_exchanges() == 0);
}

Test(http, dropped_exchange_gets_500) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>&) {});
    const auto client = make_http_client(loop);
    const auto response = fetch(loop, *client, get(server->local_endpoint()));
    cr_assert(response.ok());
    cr_assert(response->status == 500);
    cr_assert(response->headers.find("content-type") == "application/problem+json");
    cr_assert(server->open_exchanges() == 0);
}

Test(http, dropped_stream_is_reported_as_incomplete) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start_stream(200, {});
        exchange->write("a part");
    });
    const auto client = make_http_client(loop);
    const auto response = fetch(loop, *client, get(server->local_endpoint()));
    cr_assert(!response.ok());
    cr_assert(server->open_exchanges() == 0);
}

Test(http, pipelined_requests_are_processed_in_order) {
    event_loop loop;
    const auto server = serve(loop, echo);
    raw_client client(server->local_endpoint());
    client.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return client.has("X-Target: /2"); }));
    cr_assert(client.received.find("X-Target: /1") < client.received.find("X-Target: /2"));
}

Test(http, head_request_gets_no_body) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({.status = 200, .body = "body"});
    });
    const auto client = make_http_client(loop);
    for (int turn = 0; turn < 2; ++turn) {
        auto call = get(server->local_endpoint());
        call.method = "HEAD";
        const auto response = fetch(loop, *client, std::move(call));
        cr_assert(response.ok());
        cr_assert(response->body.empty());
        cr_assert(response->headers.find("content-length") == "4");
    }
}

Test(http, expect_header_gets_100_continue) {
    event_loop loop;
    const auto server = serve(loop, echo);
    raw_client client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    cr_assert(run_until(loop, [&] { return client.has("100 Continue\r\n\r\n"); }));
    client.send("body");
    cr_assert(run_until(loop, [&] { return client.has("\r\n\r\nbody"); }));
}

Test(http, http_1_0_stream_ends_with_the_connection) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->start_stream(200, {});
        exchange->write("plain");
        exchange->finish();
    });
    raw_client client(server->local_endpoint());
    client.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.received.find("chunked") == std::string::npos);
    cr_assert(client.has("\r\n\r\nplain"));
}

Test(http, header_value_cannot_inject_lines) {
    event_loop loop;
    const auto server = serve(loop, [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({.headers = {{"X-Bad", "a\r\nX-Injected: b"}}});
    });
    const auto client = make_http_client(loop);
    const auto response = fetch(loop, *client, get(server->local_endpoint()));
    cr_assert(response.ok());
    cr_assert(!response->headers.find("x-injected").has_value());
}

Test(http, stopping_closes_idle_connections_and_finishes_responses) {
    event_loop loop;
    std::shared_ptr<http_exchange> open_exchange;
    const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
        open_exchange = std::move(exchange);
    });
    const endpoint address = server->local_endpoint();
    raw_client idle(address);
    raw_client waiting(address);
    waiting.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(run_until(loop, [&] { return open_exchange != nullptr; }));
    server->stop_accepting();
    cr_assert(run_until(loop, [&] { return idle.closed(); }));
    cr_assert(!waiting.closed());
    open_exchange->respond({.body = "late"});
    cr_assert(run_until(loop, [&] { return waiting.closed(); }));
    cr_assert(waiting.has("Connection: close"));
    cr_assert(waiting.has("late"));
    cr_assert(!raw_client(address).connected());
}

Test(http, query_parameters_are_decoded) {
    http_request request;
    request.target = "/path?a=1%202&b=%zz&c&d=x+y";
    cr_assert(request.path() == "/path");
    cr_assert(request.query("a") == "1 2");
    cr_assert(request.query("b") == "%zz");
    cr_assert(request.query("c") == "");
    cr_assert(request.query("d") == "x y");
    cr_assert(!request.query("e").has_value());
}
