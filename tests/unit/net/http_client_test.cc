#include "http_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

struct failed_fetch {
    absl::Status status;
    base::error_details details;
};

/// Fetches from a server that waits until the request contains `until`, sends `response_bytes`, and
/// closes the connection if requested.
failed_fetch expect_failed_fetch(event_loop& loop, http_call call, raw_server& server,
                                 const std::string& response_bytes, bool close_afterwards) {
    const auto client = make_http_client(loop);
    absl::Status status;
    bool done = false;
    bool response_sent = false;
    call.server = server.local_endpoint();
    client->fetch(std::move(call), [&](const absl::StatusOr<http_response>& response) {
        status = response.status();
        done = true;
    });
    cr_assert(run_until(loop, [&] {
        if (!response_sent && server.has("\r\n\r\n")) {
            response_sent = true;
            server.send(response_bytes);
            if (close_afterwards) {
                server.close_connection();
            }
        }
        return done;
    }));
    cr_assert(!status.ok());
    return {status, base::details_of(status)};
}

}  // namespace

Test(http_client, refused_connection_reports_not_executed) {
    event_loop loop;
    const auto client = make_http_client(loop);
    endpoint closed;
    {
        const raw_server server;
        closed = server.local_endpoint();
    }
    const auto response = fetch(loop, *client, get(closed));
    const auto details = base::details_of(response.status());
    cr_assert(response.status().code() == absl::StatusCode::kUnavailable);
    cr_assert(details.reason == "connect_failed");
    cr_assert(details.peer == to_string(closed));
    cr_assert(details.was_executed == base::executed::no);
}

Test(http_client, invalid_response_fails_with_its_reason) {
    struct invalid_response {
        std::string bytes;
        std::string reason;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const invalid_response invalid_responses[] = {
        {"nonsense\r\n\r\n", "malformed_response"},
        {head + "Content-Length: 10\r\n\r\nhalf", "connection_lost"},
        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal", "connection_lost"},
        {head + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhal", "malformed_response"},
        {head + "Content-Length: 100000\r\n\r\n", "body_too_large"},
        {head + "X: " + std::string(100'000, 'x'), "malformed_response"},
        {"", "connection_lost"},
    };
    for (const invalid_response& response_bytes : invalid_responses) {
        event_loop loop;
        raw_server server;
        auto call = get({});
        call.max_body_bytes = 1000;
        const auto failed =
            expect_failed_fetch(loop, std::move(call), server, response_bytes.bytes, true);
        cr_assert(failed.details.reason == response_bytes.reason, "%s for %s",
                  failed.details.reason.c_str(), response_bytes.bytes.substr(0, 60).c_str());
        cr_assert(failed.details.was_executed == base::executed::unknown);
        cr_assert(failed.details.step == "read");
    }
}

Test(http_client, unresponsive_server_times_out) {
    event_loop loop;
    raw_server server;
    auto call = get({});
    call.head_timeout = milliseconds(50);
    auto failed = expect_failed_fetch(loop, call, server, "", false);
    cr_assert(failed.status.code() == absl::StatusCode::kDeadlineExceeded);
    cr_assert(failed.details.reason == "head_timeout");
    cr_assert(failed.details.was_executed == base::executed::unknown);
    server.close_connection();
    call.head_timeout = milliseconds(10'000);
    call.idle_timeout = milliseconds(50);
    failed = expect_failed_fetch(loop, call, server,
                                 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false);
    cr_assert(failed.details.reason == "idle_timeout");
}

Test(http_client, idle_connection_is_closed_before_the_announced_time) {
    for (const std::string announced :
         {"timeout=1", "timeout=1, max=100", "max=100, timeout=1", "TIMEOUT=1,max=100"}) {
        event_loop loop;
        raw_server server;
        const auto client = make_http_client(loop);
        bool done = false;
        client->fetch(get(server.local_endpoint()), [&](const auto& response) {
            cr_assert(response.ok());
            done = true;
        });
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: " + announced +
                    "\r\n\r\nok");
        cr_assert(run_until(loop, [&] { return done; }));
        server.has("");
        cr_assert(!server.peer_closed, "%s", announced.c_str());
        cr_assert(run_until(
                      loop,
                      [&] {
                          server.has("");
                          return server.peer_closed;
                      },
                      milliseconds(900)),
                  "%s", announced.c_str());
    }
}

Test(http_client, only_get_is_retried_after_reused_connection_breaks) {
    for (const std::string method : {"GET", "POST"}) {
        event_loop loop;
        raw_server server;
        const auto client = make_http_client(loop);
        bool first = false;
        std::optional<absl::StatusOr<http_response>> second;
        client->fetch(get(server.local_endpoint()),
                      [&](const absl::StatusOr<http_response>&) { first = true; });
        const std::string response_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        server.send(response_bytes);
        cr_assert(run_until(loop, [&] { return first; }));
        server.received.clear();
        auto call = get(server.local_endpoint());
        call.method = method;
        client->fetch(std::move(call), [&](absl::StatusOr<http_response> response) {
            second = std::move(response);
        });
        // The server accepts the request on the reused connection and closes without a response.
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        cr_assert(server.accepted == 1);
        server.close_connection();
        cr_assert(run_until(loop, [&] {
            if (!second.has_value() && server.has("\r\n\r\n")) {
                server.send(response_bytes);
                server.received.clear();
            }
            return second.has_value();
        }));
        run_for(loop, milliseconds(20));
        server.accept();
        const bool repeated = server.accepted > 1;
        cr_assert(repeated == (method == "GET"));
        cr_assert(second->ok() == (method == "GET"));
        if (method == "POST") {
            const auto details = base::details_of(second->status());
            cr_assert(details.was_executed == base::executed::unknown);
        }
    }
}

Test(http_client, request_withdrawn_during_connect_is_not_sent) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    bool allowed = true;
    std::optional<absl::Status> final_status;
    auto call = get(server.local_endpoint());
    call.may_send = [&] { return allowed; };
    const auto handle = client->start(
        std::move(call), {.on_done = [&](absl::Status status) { final_status = status; }});
    allowed = false;
    cr_assert(run_until(loop, [&] { return final_status.has_value(); }));
    run_for(loop, milliseconds(20));
    server.accept();
    cr_assert(!server.has("G"), "%s", server.received.c_str());
    const auto details = base::details_of(*final_status);
    cr_assert(details.reason == withdrawn_reason, "%s", details.reason.c_str());
    cr_assert(details.was_executed == base::executed::no);
}

Test(http_client, withdrawn_request_is_not_retried) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    bool first = false;
    client->fetch(get(server.local_endpoint()),
                  [&](const absl::StatusOr<http_response>&) { first = true; });
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(run_until(loop, [&] { return first; }));
    server.received.clear();
    bool allowed = true;
    std::optional<absl::Status> final_status;
    auto call = get(server.local_endpoint());
    call.may_send = [&] { return allowed; };
    const auto handle = client->start(
        std::move(call), {.on_done = [&](absl::Status status) { final_status = status; }});
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.received.clear();
    allowed = false;
    server.close_connection();
    cr_assert(run_until(loop, [&] { return final_status.has_value(); }));
    run_for(loop, milliseconds(20));
    server.accept();
    cr_assert(!server.has("G"));
    // The request may have been delivered on the broken connection.
    cr_assert(base::details_of(*final_status).was_executed == base::executed::unknown);
}

Test(http_client, cancelled_call_closes_connection_and_runs_no_callbacks) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    int chunks = 0;
    int ends = 0;
    std::unique_ptr<http_call_handle> handle;
    handle = client->start(get(server.local_endpoint()),
                           {.on_chunk =
                                [&](std::string_view) {
                                    ++chunks;
                                    handle.reset();  // from inside its own callback
                                },
                            .on_done = [&](const absl::Status&) { ++ends; }});
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
    cr_assert(run_until(loop, [&] {
        server.has("");
        return server.peer_closed;
    }));
    cr_assert(chunks == 1);
    cr_assert(ends == 0);
}

Test(http_client, body_until_close_and_early_hints_are_read) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    std::optional<absl::StatusOr<http_response>> result;
    client->fetch(get(server.local_endpoint()),
                  [&](absl::StatusOr<http_response> response) { result = std::move(response); });
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    server.send("HTTP/1.1 201 Created\r\n\r\nuntil the end");
    server.close_connection();
    cr_assert(run_until(loop, [&] { return result.has_value(); }));
    cr_assert(result->ok(), "%s", result->status().ToString().c_str());
    cr_assert((*result)->status == 201);
    cr_assert((*result)->body == "until the end");
}

Test(http_client, destroyed_client_runs_no_callbacks) {
    event_loop loop;
    raw_server server;
    auto client = make_http_client(loop);
    bool called = false;
    client->fetch(get(server.local_endpoint()),
                  [&](const absl::StatusOr<http_response>&) { called = true; });
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    client.reset();
    cr_assert(run_until(loop, [&] {
        server.has("");
        return server.peer_closed;
    }));
    cr_assert(!called);
}

// Guards against the loss of a request that is sent on a connection to a process that vanished
// without closing it.
Test(http_client, connection_to_earlier_incarnation_is_not_reused) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    const auto call_incarnation = [&](std::uint64_t run) {
        auto call = get(server.local_endpoint());
        call.server_incarnation = run;
        bool done = false;
        bool response_sent = false;
        client->fetch(std::move(call), [&](const absl::StatusOr<http_response>& response) {
            cr_assert(response.ok());
            done = true;
        });
        cr_assert(run_until(loop, [&] {
            server.accept();
            if (!response_sent && server.has("\r\n\r\n")) {
                response_sent = true;
                server.received.clear();
                server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            return done;
        }));
    };
    call_incarnation(1);
    call_incarnation(1);
    cr_assert(server.accepted == 1, "both calls must share one connection");
    call_incarnation(2);
    cr_assert(server.accepted == 2, "the next incarnation must get a new connection");
    call_incarnation(2);
    cr_assert(server.accepted == 2);
}

Test(http_client, get_refused_after_its_kept_connection_was_lost_may_have_been_executed) {
    event_loop loop;
    const auto client = make_http_client(loop);
    auto server = std::make_unique<raw_server>();
    const endpoint address = server->local_endpoint();
    std::vector<absl::Status> results;
    const auto send_get = [&](std::string target) {
        http_call call = get(address);
        call.target = std::move(target);
        client->fetch(std::move(call), [&](const absl::StatusOr<http_response>& response) {
            results.push_back(response.status());
        });
    };
    send_get("/first");
    cr_assert(run_until(loop, [&] { return server->has("/first"); }));
    server->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    cr_assert(run_until(loop, [&] { return results.size() == 1; }));
    cr_assert(results[0].ok());
    send_get("/second");
    cr_assert(run_until(loop, [&] { return server->has("/second"); }));
    cr_assert(server->accepted == 1, "the connection was not kept");
    server.reset();
    cr_assert(run_until(loop, [&] { return results.size() == 2; }));
    cr_assert(base::details_of(results[1]).reason == "connect_failed");
    cr_assert(base::details_of(results[1]).was_executed == base::executed::unknown);
}
