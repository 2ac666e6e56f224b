// Tests which responses count as whole: framing against the end of the connection, on both sides.
#include "pearbarrow/net/response_end.h"

#include <signal.h>
#include <sys/wait.h>

#include <functional>
#include <optional>
#include <vector>

#include "http_fixture.h"
#include "pearbarrow/net/tcp_relay.h"
#include "test_certificates.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

/// What a server does after its last byte.
enum class ending { orderly, reset, silent };

struct response_case {
    const char* name;
    std::string bytes;
    body_framing framing;
    /// Whether the bytes are all that the framing announces.
    bool is_announced;
    const char* method = "GET";
};

const std::vector<response_case> cases{
    {"length reached", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", body_framing::length,
     true},
    {"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", body_framing::length,
     false},
    {"last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
     body_framing::chunks, true},
    {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
     body_framing::chunks, false},
    {"last chunk without its empty line",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
     body_framing::chunks, false},
    {"until close", "HTTP/1.1 200 OK\r\n\r\nhello", body_framing::until_close, false},
    {"empty until close", "HTTP/1.1 200 OK\r\n\r\n", body_framing::until_close, false},
    {"HTTP/1.0 until close", "HTTP/1.0 200 OK\r\n\r\nhello", body_framing::until_close, false},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", body_framing::none, true},
    {"not modified", "HTTP/1.1 304 Not Modified\r\n\r\n", body_framing::none, true},
    {"empty with a length", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", body_framing::none,
     true},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", body_framing::none, true, "HEAD"},
    {"HEAD without a length", "HTTP/1.1 200 OK\r\n\r\n", body_framing::none, true, "HEAD"},
};

struct call_outcome {
    absl::Status status;
    std::optional<response_end> end;
};

call_outcome receive(const response_case& given, ending end, bool is_inside_event) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    call_outcome outcome;
    bool is_done = false;
    http_call call = get(server.local_endpoint());
    call.method = given.method;
    call.idle_timeout = milliseconds(60);
    call.is_inside_event = [is_inside_event] { return is_inside_event; };
    const auto handle = client->start(
        std::move(call), {.on_done =
                              [&](const absl::Status& status) {
                                  outcome.status = status;
                                  is_done = true;
                              },
                          .on_end = [&](const response_end& seen) { outcome.end = seen; }});
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.send(given.bytes);
    if (end == ending::orderly) {
        server.close_connection();
    } else if (end == ending::reset) {
        // The bytes arrive before the reset.
        run_for(loop, milliseconds(20));
        server.reset_connection();
    }
    cr_assert(run_until(loop, [&] { return is_done; }), "%s", given.name);
    return outcome;
}

response_verdict expected_verdict(const response_case& given, ending end, bool is_inside_event) {
    const bool has_body =
        given.framing == body_framing::until_close ? end == ending::orderly : given.is_announced;
    if (!has_body) {
        return response_verdict::body_incomplete;
    }
    return is_inside_event ? response_verdict::event_incomplete : response_verdict::whole;
}

/// A server that starts a response, and ends it as `then` says.
struct serving {
    explicit serving(std::string request) {
        this->server = serve(this->loop, [this](std::shared_ptr<http_exchange> exchange) {
            this->exchange = std::move(exchange);
            this->exchange->start_stream(200, {});
            this->exchange->write("first");
        });
        this->client.emplace(this->server->local_endpoint());
        this->client->send(request);
        cr_assert(run_until(this->loop, [this] { return this->client->has("first"); }));
    }
    void wait_for_end() {
        cr_assert(run_until(this->loop, [this] { return this->client->closed(); }));
    }
    bool has_last_chunk() const {
        return this->client->received.find("\r\n0\r\n\r\n") != std::string::npos;
    }

    event_loop loop;
    std::shared_ptr<http_exchange> exchange;
    std::unique_ptr<http_server> server;
    std::optional<raw_client> client;
};

/// Another process, which is killed at the end.
class child_process {
  public:
    explicit child_process(const std::function<void()>& work) : id_(::fork()) {
        if (id_ == 0) {
            work();
            ::_exit(0);
        }
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process() { kill(); }

    void kill() {
        if (id_ > 0) {
            ::kill(id_, SIGKILL);
            ::waitpid(std::exchange(id_, 0), nullptr, 0);
        }
    }

  private:
    pid_t id_;
};

constexpr char without_chunks[] = "GET / HTTP/1.0\r\n\r\n";
constexpr char with_chunks[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace

Test(response_end, framing_and_connection_decide_whether_a_response_is_whole) {
    for (const response_case& given : cases) {
        for (const ending end : {ending::orderly, ending::reset, ending::silent}) {
            for (const bool is_inside_event : {false, true}) {
                const call_outcome outcome = receive(given, end, is_inside_event);
                const response_verdict expected = expected_verdict(given, end, is_inside_event);
                cr_assert(outcome.end.has_value(), "%s", given.name);
                cr_assert(outcome.end->framing == given.framing, "%s: %s", given.name,
                          std::string(to_string(outcome.end->framing)).c_str());
                cr_assert(verdict_of(*outcome.end) == expected, "%s, ending %d: %s", given.name,
                          static_cast<int>(end),
                          std::string(to_string(verdict_of(*outcome.end))).c_str());
                cr_assert(outcome.status.ok() == (expected == response_verdict::whole), "%s: %s",
                          given.name, outcome.status.ToString().c_str());
            }
        }
    }
}

Test(response_end, end_that_arrives_while_reading_is_paused_follows_the_bytes) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    std::string received;
    std::optional<absl::Status> status;
    std::unique_ptr<http_call_handle> handle;
    handle = client->start(get(server.local_endpoint()),
                           {.on_chunk =
                                [&](std::string_view part) {
                                    received.append(part);
                                    handle->pause();
                                },
                            .on_done = [&](const absl::Status& done) { status = done; }});
    cr_assert(run_until(loop, [&] { return server.has("\r\n\r\n"); }));
    server.send("HTTP/1.1 200 OK\r\n\r\none");
    cr_assert(run_until(loop, [&] { return received == "one"; }));
    server.send("two");
    server.close_connection();
    run_for(loop, milliseconds(30));
    cr_assert(!status.has_value());
    handle->resume();
    cr_assert(run_until(loop, [&] { return received == "onetwo"; }));
    handle->resume();
    cr_assert(run_until(loop, [&] { return status.has_value(); }));
    cr_assert(status->ok());
}

Test(response_end, connection_of_a_response_that_ends_inside_an_event_is_not_reused) {
    event_loop loop;
    int connections = 0;
    const auto server = serve(loop, [&](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond({.headers = {{"X-Peer", exchange->request().peer}}, .body = "data: x"});
    });
    const auto client = make_http_client(loop);
    std::string last_peer;
    for (int index = 0; index < 3; ++index) {
        bool is_done = false;
        http_call call = get(server->local_endpoint());
        call.is_inside_event = [] { return true; };
        const auto handle =
            client->start(std::move(call),
                          {.on_head =
                               [&](int, const http_headers& headers) {
                                   const std::string peer = headers.find("X-Peer").value_or("");
                                   connections += peer != last_peer ? 1 : 0;
                                   last_peer = peer;
                               },
                           .on_done =
                               [&](const absl::Status& status) {
                                   cr_assert(base::details_of(status).reason == "event_incomplete");
                                   is_done = true;
                               }});
        cr_assert(run_until(loop, [&] { return is_done; }));
    }
    cr_assert(connections == 3, "%d", connections);
}

Test(response_end, tls_connection_that_ends_without_an_alert_breaks_the_response_off) {
    const test_authority authority("ours");
    event_loop loop;
    std::shared_ptr<http_exchange> open;
    http_server_options options;
    options.tls = authority.issue("server");
    options.tls->client_authorities.clear();
    const auto server = serve(
        loop,
        [&](std::shared_ptr<http_exchange> exchange) {
            open = std::move(exchange);
            open->start_until_close(200, {});
            open->write("part");
        },
        options);
    for (const bool is_alerted : {true, false}) {
        const auto relay = make_tcp_relay(loop, loopback, server->local_endpoint());
        cr_assert(relay->start().ok());
        const auto client = make_http_client(
            loop, {.tls = tls_files{.client_authorities = authority.authority_file()}});
        std::string received;
        std::optional<absl::Status> status;
        std::optional<response_end> end;
        const auto handle =
            client->start(get(relay->local_endpoint()),
                          {.on_chunk = [&](std::string_view part) { received.append(part); },
                           .on_done = [&](const absl::Status& done) { status = done; },
                           .on_end = [&](const response_end& seen) { end = seen; }});
        cr_assert(run_until(loop, [&] { return received == "part"; }));
        if (is_alerted) {
            open->finish();
        } else {
            relay->set({.mode = relay_mode::cut});
        }
        cr_assert(run_until(loop, [&] { return status.has_value(); }));
        cr_assert(status->ok() == is_alerted, "%s", status->ToString().c_str());
        cr_assert(end->connection == (is_alerted ? connection_end::closed : connection_end::lost));
    }
}

Test(response_end, response_without_chunks_that_is_aborted_ends_with_a_reset) {
    for (const bool after_writes : {false, true}) {
        serving aborted(without_chunks);
        if (after_writes) {
            aborted.exchange->write("last");
            aborted.exchange->abort_after_writes();
        } else {
            aborted.exchange->abort();
        }
        aborted.wait_for_end();
        cr_assert(aborted.client->was_reset);
        cr_assert(aborted.client->has("last") == after_writes);
    }
}

Test(response_end, response_without_chunks_is_reset_when_its_server_ends) {
    serving stopped(without_chunks);
    stopped.server.reset();
    stopped.wait_for_end();
    cr_assert(stopped.client->was_reset);
}

Test(response_end, response_without_chunks_that_is_finished_ends_in_order) {
    serving finished(without_chunks);
    finished.exchange->write("last");
    finished.exchange->finish();
    finished.wait_for_end();
    cr_assert(!finished.client->was_reset);
    cr_assert(finished.client->has("last"));
}

Test(response_end, chunked_response_that_is_aborted_after_writes_lacks_its_last_chunk_only) {
    serving aborted(with_chunks);
    aborted.exchange->write("last");
    aborted.exchange->abort_after_writes();
    aborted.wait_for_end();
    cr_assert(aborted.client->has("last"));
    cr_assert(!aborted.has_last_chunk());
    cr_assert(aborted.server->open_exchanges() == 0);
}

Test(response_end, finished_connection_with_unread_bytes_of_the_client_is_not_reset) {
    serving finished(without_chunks);
    finished.client->send("surplus");
    finished.exchange->finish();
    finished.wait_for_end();
    cr_assert(!finished.client->was_reset);
}

Test(response_end, response_of_a_killed_process_that_ends_inside_an_event_is_broken_off) {
    for (const bool is_inside_event : {true, false}) {
        raw_server server;
        child_process sender([&server] {
            while (!server.has("\r\n\r\n")) {
                ::usleep(1'000);
            }
            server.send("HTTP/1.1 200 OK\r\n\r\ndata: x");
            ::pause();
        });
        event_loop loop;
        const auto client = make_http_client(loop);
        std::string received;
        std::optional<absl::Status> status;
        std::optional<response_end> end;
        http_call call = get(server.local_endpoint());
        call.is_inside_event = [is_inside_event] { return is_inside_event; };
        const auto handle = client->start(
            std::move(call), {.on_chunk = [&](std::string_view part) { received.append(part); },
                              .on_done = [&](const absl::Status& done) { status = done; },
                              .on_end = [&](const response_end& seen) { end = seen; }});
        cr_assert(run_until(loop, [&] { return received == "data: x"; }));
        sender.kill();
        cr_assert(run_until(loop, [&] { return status.has_value(); }));
        // The kernel ends the connections of a killed process in order.
        cr_assert(end->connection == connection_end::closed);
        cr_assert(status->ok() == !is_inside_event, "%s", status->ToString().c_str());
    }
}

Test(response_end, response_without_chunks_is_reset_when_its_process_is_killed) {
    int port_pipe[2];
    cr_assert(::pipe(port_pipe) == 0);
    child_process responder([&port_pipe] {
        event_loop loop;
        std::shared_ptr<http_exchange> open;
        const auto server = serve(loop, [&open](std::shared_ptr<http_exchange> exchange) {
            open = std::move(exchange);
            open->start_stream(200, {});
            open->write("first");
        });
        const std::uint16_t port = server->local_endpoint().port;
        if (::write(port_pipe[1], &port, sizeof(port)) == sizeof(port)) {
            loop.run();
        }
    });
    std::uint16_t port = 0;
    cr_assert(::read(port_pipe[0], &port, sizeof(port)) == sizeof(port));
    raw_client client({"127.0.0.1", port});
    client.send(without_chunks);
    event_loop loop;
    cr_assert(run_until(loop, [&] { return client.has("first"); }));
    responder.kill();
    cr_assert(run_until(loop, [&] { return client.closed(); }));
    cr_assert(client.was_reset);
}
