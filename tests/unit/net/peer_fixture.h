/// Helpers for the tests of peer calls.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/net/peer_rpc.h"

#include <criterion/criterion.h>

namespace pearbarrow::net::testing {

inline constexpr method_number echo_method = 1;
inline constexpr method_number fail_method = 2;
inline constexpr method_number hold_method = 3;
inline constexpr method_number drop_method = 4;
inline constexpr method_number grow_method = 5;
inline constexpr method_number count_method = 6;

inline peer_rpc_options options_of(const std::string& node) {
    return {.self = base::node_id(node), .cluster = "test", .listen = loopback};
}

/// One call and its result.
struct call_result {
    explicit call_result(event_loop& owner) : loop(owner) {}

    void start(peer_rpc& from, const std::string& node, const endpoint& address,
               method_number method, std::string payload,
               base::milliseconds timeout = base::milliseconds(10'000)) {
        handle = from.call(base::node_id(node), address, method, std::move(payload), timeout,
                           {.on_part = [this](std::string_view part) { parts.emplace_back(part); },
                            .on_done =
                                [this](absl::StatusOr<std::string> value) {
                                    cr_assert(!result.has_value(), "on_done ran twice");
                                    result = std::move(value);
                                }});
    }
    void wait() {
        cr_assert(run_until(loop, [this] { return done(); }));
    }
    bool done() const { return result.has_value(); }
    bool ok() const { return result->ok(); }
    std::string text() const { return result->status().ToString(); }
    base::error_details details() const { return base::details_of(result->status()); }

    event_loop& loop;
    std::vector<std::string> parts;
    std::optional<absl::StatusOr<std::string>> result;
    std::unique_ptr<peer_call_handle> handle;
};

/// Two nodes on one event loop with the methods above.
struct peer_pair {
    explicit peer_pair(peer_rpc_options client_options = options_of("client"),
                       peer_rpc_options the_server_options = options_of("server"))
        : server_options(std::move(the_server_options)),
          server(make_peer_rpc(loop, server_options)),
          client(make_peer_rpc(loop, std::move(client_options))) {
        for (peer_rpc* rpc : {server.get(), client.get()}) {
            register_methods(*rpc);
            const auto status = rpc->start();
            cr_assert(status.ok(), "%s", status.ToString().c_str());
        }
    }

    endpoint address() const { return server->local_endpoint(); }

    void restart_server(const endpoint& listen) {
        server_options.listen = listen;
        server = make_peer_rpc(loop, server_options);
        register_methods(*server);
        cr_assert(server->start().ok());
    }

    void register_methods(peer_rpc& rpc) {
        using responder_pointer = std::shared_ptr<peer_responder>;
        rpc.register_method(echo_method, [](std::string_view payload, responder_pointer responder) {
            responder->send_part("part of " + responder->caller().value());
            responder->finish(std::string(payload));
        });
        rpc.register_method(fail_method, [](std::string_view, responder_pointer responder) {
            responder->fail(base::make_error(absl::StatusCode::kAborted, "a higher ballot",
                                             {.step = "append",
                                              .peer = "disk",
                                              .reason = "fenced",
                                              .was_executed = base::executed::yes,
                                              .retry_after = base::milliseconds(250)}));
        });
        rpc.register_method(hold_method, [this](std::string_view, responder_pointer responder) {
            responder->on_cancelled([this] { ++cancelled; });
            held.push_back(std::move(responder));
        });
        rpc.register_method(drop_method, [](std::string_view, const responder_pointer&) {});
        rpc.register_method(grow_method, [](std::string_view, responder_pointer responder) {
            responder->finish(std::string(100'000, 'x'));
        });
        rpc.register_method(count_method, [](std::string_view, responder_pointer responder) {
            for (int index = 0; index < 1000; ++index) {
                responder->send_part(std::to_string(index));
            }
            responder->finish("");
        });
    }

    event_loop loop;
    peer_rpc_options server_options;
    std::vector<std::shared_ptr<peer_responder>> held;
    int cancelled = 0;
    std::unique_ptr<peer_rpc> server;
    std::unique_ptr<peer_rpc> client;
};

}  // namespace pearbarrow::net::testing
