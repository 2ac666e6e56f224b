#include "pearbarrow/net/connect_probe.h"

#include <memory>
#include <optional>

#include "net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

probe_result probe(const endpoint& server, milliseconds timeout = milliseconds{1'000}) {
    event_loop loop;
    std::optional<probe_result> result;
    const auto handle =
        probe_connection(loop, server, timeout, [&](probe_result reported) { result = reported; });
    cr_assert(!result.has_value(), "the callback ran inside the call");
    cr_assert(run_until(loop, [&] { return result.has_value(); }));
    return *result;
}

}  // namespace

Test(connect_probe, listening_process_accepts) {
    const raw_server server;
    cr_assert(probe(server.local_endpoint()) == probe_result::accepted);
}

Test(connect_probe, port_without_a_process_refuses) {
    auto server = std::make_unique<raw_server>();
    const endpoint address = server->local_endpoint();
    server.reset();
    cr_assert(probe(address) == probe_result::refused);
}

Test(connect_probe, malformed_address_gives_no_reply) {
    cr_assert(probe({"no address", 80}) == probe_result::no_reply);
}

Test(connect_probe, destroyed_probe_reports_nothing) {
    const raw_server server;
    event_loop loop;
    bool is_done = false;
    auto handle = probe_connection(loop, server.local_endpoint(), milliseconds{50},
                                   [&](probe_result) { is_done = true; });
    handle.reset();
    run_for(loop, milliseconds{100});
    cr_assert(!is_done);
}
