#include "pearbarrow/net/http.h"

#include "net_fixture.h"
#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

std::unique_ptr<http_server> serve(event_loop& loop, http_handler handler,
                                   http_server_options options = {}) {
    options.listen = loopback;
    auto server = make_http_server(loop, std::move(options), std::move(handler));
    cr_assert(server->start().ok());
    return server;
}

void echo(const std::shared_ptr<http_exchange>& exchange) {
    exchange->respond({.status = 200,
                       .headers = {{"X-Target", exchange->request().target}},
                       .body = exchange->request().body});
}

absl::StatusOr<http_response> fetch(event_loop& loop, http_client& client, http_call call) {
    absl::StatusOr<http_response> result = absl::UnknownError("no answer");
    bool done = false;
    client.fetch(std::move(call), [&](absl::StatusOr<http_response> response) {
        result = std::move(response);
        done = true;
    });
    cr_assert(run_until(loop, [&] { return done; }));
    return result;
}

}  // namespace

Test(http, answers_requests_on_one_connection) {
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

Test(http, streams_chunks_as_they_are_written) {
    event_loop loop;
    std::shared_ptr<http_exchange> held;
    const auto server = serve(loop, [&](std::shared_ptr<http_exchange> exchange) {
        held = std::move(exchange);
        held->start_stream(200, {{"Content-Type", "text/event-stream"}});
        held->write("one");
    });
    const auto client = make_http_client(loop);
    std::string seen;
    bool done = false;
    const auto handle =
        client->start({.server = server->local_endpoint(), .method = "GET", .target = "/"},
                      {.on_chunk = [&](std::string_view chunk) { seen.append(chunk); },
                       .on_done = [&](const absl::Status& status) { done = status.ok(); }});
    cr_assert(run_until(loop, [&] { return seen == "one"; }));
    cr_assert(!done);
    held->write("two");
    held->finish();
    cr_assert(run_until(loop, [&] { return done; }));
    cr_assert(seen == "onetwo");
    cr_assert(server->open_exchanges() == 0);
}
