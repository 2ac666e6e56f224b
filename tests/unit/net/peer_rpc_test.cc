#include "pearbarrow/net/peer_rpc.h"

#include "net_fixture.h"
#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

constexpr method_number echo_method = 1;
constexpr method_number fail_method = 2;
constexpr method_number held_method = 3;

peer_rpc_options options_of(const std::string& node) {
    return {.self = base::node_id(node), .cluster = "test", .listen = loopback};
}

void register_echo(peer_rpc& rpc) {
    rpc.register_method(echo_method, [](std::string_view payload,
                                        const std::shared_ptr<peer_responder>& responder) {
        responder->send_part("part of " + responder->caller().value());
        responder->finish(std::string(payload));
    });
}

struct call_result {
    std::vector<std::string> parts;
    std::optional<absl::StatusOr<std::string>> result;
    std::unique_ptr<peer_call_handle> handle;

    peer_call_callbacks callbacks() {
        return {.on_part = [this](std::string_view part) { parts.emplace_back(part); },
                .on_done =
                    [this](absl::StatusOr<std::string> value) {
                        cr_assert(!result.has_value(), "on_done ran twice");
                        result = std::move(value);
                    }};
    }
    bool done() const { return result.has_value(); }
    std::string reason() const { return base::details_of(result->status()).reason; }
    base::executed was_executed() const { return base::details_of(result->status()).was_executed; }
};

}  // namespace

Test(peer_rpc, calls_another_node_and_itself) {
    event_loop loop;
    const auto server = make_peer_rpc(loop, options_of("server"));
    const auto client = make_peer_rpc(loop, options_of("client"));
    register_echo(*server);
    register_echo(*client);
    cr_assert(server->start().ok());
    cr_assert(client->start().ok());
    for (const std::string node : {"server", "client"}) {
        call_result call;
        call.handle = client->call(base::node_id(node), server->local_endpoint(), echo_method,
                                   "text", milliseconds(5000), call.callbacks());
        cr_assert(run_until(loop, [&] { return call.done(); }));
        cr_assert(call.result->ok(), "%s", call.result->status().ToString().c_str());
        cr_assert(call.result->value() == "text");
        cr_assert(call.parts == std::vector<std::string>{"part of client"});
    }
}
