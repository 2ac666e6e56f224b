/// What the tests of stand-ins over HTTP share: a loop with a client, and a served stand-in.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/emulator/faults.h"
#include "pearbarrow/emulator/history_writer.h"
#include "pearbarrow/net/http.h"

#include <criterion/criterion.h>

namespace pearbarrow::emulator {

inline constexpr base::seconds patience{20};
inline constexpr base::milliseconds poll_period{1};

/// A loop, a clock and an HTTP client, and a way to wait for something.
struct process {
    net::event_loop loop;
    base::system_clock_source clock;
    history_writer history;
    std::unique_ptr<net::http_client> http = net::make_http_client(loop);

    template <typename Condition>
    void run_until(Condition condition) {
        bool late = false;
        const auto limit = loop.after(patience, [&] {
            late = true;
            loop.stop();
        });
        const auto poll = loop.every(poll_period, [&] {
            if (condition()) {
                loop.stop();
            }
        });
        loop.run();
        cr_assert_not(late, "waited too long");
    }

    void run_for(base::milliseconds time) {
        const auto limit = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    net::http_response fetch(const net::endpoint& server, std::string method, std::string target,
                             std::string body = {}) {
        std::optional<absl::StatusOr<net::http_response>> answer;
        http->fetch({.server = server,
                     .method = std::move(method),
                     .target = std::move(target),
                     .headers = {},
                     .body = std::move(body)},
                    [&](absl::StatusOr<net::http_response> got) { answer = std::move(got); });
        run_until([&] { return answer.has_value(); });
        return answer->ok() ? **answer : net::http_response{.status = 0};
    }
};

/// A stand-in of type `Server` behind its fault injector.
template <typename Server>
struct stand_in {
    template <typename... Arguments>
    explicit stand_in(process& in, Arguments&&... arguments)
        : faults(in.loop, 1),
          server(in.loop, in.clock, std::forward<Arguments>(arguments)...),
          http(net::make_http_server(
              in.loop, {.listen = {"127.0.0.1", 0}},
              faults.wrap([this](const std::shared_ptr<net::http_exchange>& exchange) {
                  server.handle(exchange);
              }))) {
        cr_assert(http->start().ok());
    }

    net::endpoint address() const { return http->local_endpoint(); }
    void set_faults(std::string_view text) { cr_assert(faults.set_json(text).ok()); }

    fault_injector faults;
    Server server;
    std::unique_ptr<net::http_server> http;
};

/// Runs an asynchronous call of a client to its end.
template <typename Value, typename Call>
absl::StatusOr<Value> wait_for(process& in, Call call) {
    std::optional<absl::StatusOr<Value>> answer;
    call([&](absl::StatusOr<Value> got) { answer = std::move(got); });
    in.run_until([&] { return answer.has_value(); });
    return *std::move(answer);
}

/// Address at which nothing listens.
inline net::endpoint closed_address(process& in) {
    const auto server = net::make_http_server(in.loop, {.listen = {"127.0.0.1", 0}},
                                              [](const std::shared_ptr<net::http_exchange>&) {});
    cr_assert(server->start().ok());
    return server->local_endpoint();
}

}  // namespace pearbarrow::emulator
