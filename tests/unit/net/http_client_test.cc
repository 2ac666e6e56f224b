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

/// Fetches from a server that waits for `until` in the request, then sends `answer` and, if asked
/// to, closes.
failed_fetch fetch_badly(event_loop& loop, http_call call, raw_server& server,
                         const std::string& answer, bool then_close) {
    const auto client = make_http_client(loop);
    absl::Status status;
    bool done = false;
    bool answered = false;
    call.server = server.local_endpoint();
    client->fetch(std::move(call), [&](const absl::StatusOr<http_response>& response) {
        status = response.status();
        done = true;
    });
    cr_assert(run_until(loop, [&] {
        if (!answered && server.has("\r\n\r\n")) {
            answered = true;
            server.send(answer);
            if (then_close) {
                server.close_connection();
            }
        }
        return done;
    }));
    cr_assert(!status.ok());
    return {status, base::details_of(status)};
}

}  // namespace

Test(http_client, a_refused_connection_was_surely_not_executed) {
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

Test(http_client, bad_answers_are_reported_with_their_reason) {
    struct bad_answer {
        std::string bytes;
        std::string reason;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const bad_answer answers[] = {
        {"nonsense\r\n\r\n", "malformed_response"},
        {head + "Content-Length: 10\r\n\r\nhalf", "connection_lost"},
        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal", "connection_lost"},
        {head + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhal", "malformed_response"},
        {head + "Content-Length: 100000\r\n\r\n", "body_too_large"},
        {head + "X: " + std::string(100'000, 'x'), "malformed_response"},
        {"", "connection_lost"},
    };
    for (const bad_answer& answer : answers) {
        event_loop loop;
        raw_server server;
        auto call = get({});
        call.max_body_bytes = 1000;
        const auto failed = fetch_badly(loop, std::move(call), server, answer.bytes, true);
        cr_assert(failed.details.reason == answer.reason, "%s for %s",
                  failed.details.reason.c_str(), answer.bytes.substr(0, 60).c_str());
        cr_assert(failed.details.was_executed == base::executed::unknown);
        cr_assert(failed.details.step == "read");
    }
}

Test(http_client, gives_up_on_silence) {
    event_loop loop;
    raw_server server;
    auto call = get({});
    call.head_timeout = milliseconds(50);
    auto failed = fetch_badly(loop, call, server, "", false);
    cr_assert(failed.status.code() == absl::StatusCode::kDeadlineExceeded);
    cr_assert(failed.details.reason == "head_timeout");
    cr_assert(failed.details.was_executed == base::executed::unknown);
    server.close_connection();
    call.head_timeout = milliseconds(10'000);
    call.idle_timeout = milliseconds(50);
    failed =
        fetch_badly(loop, call, server, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false);
    cr_assert(failed.details.reason == "idle_timeout");
}

Test(http_client, only_a_get_is_sent_again_when_a_kept_connection_breaks) {
    for (const std::string method : {"GET", "POST"}) {
        event_loop loop;
        raw_server server;
        const auto client = make_http_client(loop);
        bool first = false;
        std::optional<absl::StatusOr<http_response>> second;
        client->fetch(get(server.local_endpoint()),
                      [&](const absl::StatusOr<http_response>&) { first = true; });
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        server.send(answer);
        cr_assert(run_until(loop, [&] { return first; }));
        server.received.clear();
        auto call = get(server.local_endpoint());
        call.method = method;
        client->fetch(std::move(call), [&](absl::StatusOr<http_response> response) {
            second = std::move(response);
        });
        // The kept connection takes the request and closes without an answer.
        cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
        cr_assert(server.accepted == 1);
        server.close_connection();
        cr_assert(run_until(loop, [&] {
            if (!second.has_value() && server.has("\r\n\r\n")) {
                server.send(answer);
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

Test(http_client, a_request_that_is_withdrawn_while_its_connection_opens_does_not_go_out) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    bool allowed = true;
    std::optional<absl::Status> ended;
    auto call = get(server.local_endpoint());
    call.may_send = [&] { return allowed; };
    const auto handle =
        client->start(std::move(call), {.on_done = [&](absl::Status status) { ended = status; }});
    allowed = false;
    cr_assert(run_until(loop, [&] { return ended.has_value(); }));
    run_for(loop, milliseconds(20));
    server.accept();
    cr_assert(!server.has("G"), "%s", server.received.c_str());
    const auto details = base::details_of(*ended);
    cr_assert(details.reason == withdrawn_reason, "%s", details.reason.c_str());
    cr_assert(details.was_executed == base::executed::no);
}

Test(http_client, a_request_that_is_withdrawn_is_not_sent_again_on_a_new_connection) {
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
    std::optional<absl::Status> ended;
    auto call = get(server.local_endpoint());
    call.may_send = [&] { return allowed; };
    const auto handle =
        client->start(std::move(call), {.on_done = [&](absl::Status status) { ended = status; }});
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.received.clear();
    allowed = false;
    server.close_connection();
    cr_assert(run_until(loop, [&] { return ended.has_value(); }));
    run_for(loop, milliseconds(20));
    server.accept();
    cr_assert(!server.has("G"));
    // The broken connection may have delivered it.
    cr_assert(base::details_of(*ended).was_executed == base::executed::unknown);
}

Test(http_client, cancelling_closes_the_connection_and_ends_callbacks) {
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

Test(http_client, reads_a_body_that_ends_with_the_connection_and_early_hints) {
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

Test(http_client, a_destroyed_client_runs_no_callbacks) {
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

// A connection to a process that has gone without a word takes a request, which is then lost.
Test(http_client, a_connection_to_an_earlier_process_at_the_address_is_not_used_again) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    const auto call_run = [&](std::uint64_t run) {
        auto call = get(server.local_endpoint());
        call.server_run = run;
        bool done = false;
        bool answered = false;
        client->fetch(std::move(call), [&](const absl::StatusOr<http_response>& response) {
            cr_assert(response.ok());
            done = true;
        });
        cr_assert(run_until(loop, [&] {
            server.accept();
            if (!answered && server.has("\r\n\r\n")) {
                answered = true;
                server.received.clear();
                server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            return done;
        }));
    };
    call_run(1);
    call_run(1);
    cr_assert(server.accepted == 1, "one connection for both");
    call_run(2);
    cr_assert(server.accepted == 2, "the next process has its own");
    call_run(2);
    cr_assert(server.accepted == 2);
}
