/// Helpers for the HTTP tests.
#pragma once

#include <memory>
#include <utility>

#include "net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http.h"

#include <criterion/criterion.h>

namespace pearbarrow::net::testing {

inline std::unique_ptr<http_server> serve(event_loop& loop, http_handler handler,
                                          http_server_options options = {}) {
    options.listen = loopback;
    auto server = make_http_server(loop, std::move(options), std::move(handler));
    const auto status = server->start();
    cr_assert(status.ok(), "%s", status.ToString().c_str());
    return server;
}

inline void echo(const std::shared_ptr<http_exchange>& exchange) {
    exchange->respond({.status = 200,
                       .headers = {{"X-Target", exchange->request().target}},
                       .body = exchange->request().body});
}

inline http_call get(const endpoint& server) {
    return {.server = server, .method = "GET", .target = "/"};
}

inline absl::StatusOr<http_response> fetch(event_loop& loop, http_client& client, http_call call) {
    absl::StatusOr<http_response> result = absl::UnknownError("no answer");
    bool done = false;
    client.fetch(std::move(call), [&](absl::StatusOr<http_response> response) {
        cr_assert(!done, "the callback ran twice");
        result = std::move(response);
        done = true;
    });
    cr_assert(run_until(loop, [&] { return done; }));
    return result;
}

}  // namespace pearbarrow::net::testing
