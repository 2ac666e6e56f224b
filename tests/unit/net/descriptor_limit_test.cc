#include <fcntl.h>

#include <array>
#include <list>
#include <string>
#include <vector>

#include "http_fixture.h"
#include "pearbarrow/net/descriptor_limit.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using decision = descriptor_limit::decision;

namespace {

/// Returns the number that the system assigns to the third descriptor from now on.
int third_next_descriptor() {
    std::array<int, 3> opened{};
    for (int& descriptor : opened) {
        descriptor = ::open("/dev/null", O_RDONLY);
    }
    for (const int descriptor : opened) {
        ::close(descriptor);
    }
    return opened.back();
}

/// A server whose limit is such that the first connection is `decided`.
struct limited_server {
    explicit limited_server(decision decided) {
        // The first server of the loop opens the descriptors of its reactor. The listener and the
        // client get the descriptors before that of the connection.
        const auto first = serve(loop, echo);
        const auto accepted = static_cast<std::size_t>(third_next_descriptor());
        http_server_options options;
        options.descriptors =
            descriptor_limit(decided == decision::reject_connection ? accepted : accepted * 8 / 5);
        cr_assert(options.descriptors.decide(static_cast<int>(accepted)) == decided);
        options.on_connection_rejected = [this](std::string_view reason) {
            reasons.emplace_back(reason);
        };
        server = serve(loop, echo, options);
    }

    event_loop loop;
    std::vector<std::string> reasons;
    std::unique_ptr<http_server> server;
};

const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace

Test(descriptor_limit, half_of_few_descriptors_is_reserved) {
    const descriptor_limit limit(100);
    cr_assert(limit.decide(49) == decision::serve);
    cr_assert(limit.decide(50) == decision::reject_first_request);
    cr_assert(limit.decide(74) == decision::reject_first_request);
    cr_assert(limit.decide(75) == decision::reject_connection);
}

Test(descriptor_limit, part_of_many_descriptors_is_reserved) {
    const descriptor_limit limit(4'100);
    cr_assert(limit.decide(3'489) == decision::serve);
    cr_assert(limit.decide(3'490) == decision::reject_first_request);
    cr_assert(limit.decide(3'795) == decision::reject_connection);
}

Test(descriptor_limit, unlimited_process_serves_every_connection) {
    cr_assert(descriptor_limit().decide(1'000'000) == decision::serve);
}

Test(descriptor_limit, connection_is_rejected_before_its_request_when_descriptors_are_exhausted) {
    limited_server limited(decision::reject_connection);
    raw_client client(limited.server->local_endpoint());
    cr_assert(run_until(limited.loop, [&] { return client.closed(); }));
    cr_assert(client.has("HTTP/1.1 503"));
    cr_assert(client.has("Retry-After: "));
    cr_assert(client.has("Connection: close"));
    cr_assert(limited.reasons == std::vector<std::string>{"too_few_descriptors"});
}

Test(descriptor_limit, first_request_is_rejected_when_few_descriptors_are_free) {
    limited_server limited(decision::reject_first_request);
    raw_client client(limited.server->local_endpoint());
    run_for(limited.loop, std::chrono::milliseconds(20));
    client.receive();
    cr_assert(client.received.empty());
    client.send(request);
    cr_assert(run_until(limited.loop, [&] { return client.closed(); }));
    cr_assert(client.has("HTTP/1.1 503"));
    cr_assert(limited.reasons == std::vector<std::string>{"too_few_descriptors"});
}

Test(descriptor_limit, connection_far_over_the_limit_of_the_server_is_not_closed_silently) {
    constexpr std::size_t waiting_rejections = 64;
    event_loop loop;
    http_server_options options;
    options.max_connections = 1;
    std::vector<std::string> reasons;
    options.on_connection_rejected = [&](std::string_view reason) { reasons.emplace_back(reason); };
    const auto server = serve(loop, echo, options);
    std::list<raw_client> clients;
    for (std::size_t index = 0; index < 1 + waiting_rejections; ++index) {
        clients.emplace_back(server->local_endpoint());
    }
    run_for(loop, std::chrono::milliseconds(50));
    raw_client last(server->local_endpoint());
    cr_assert(run_until(loop, [&] { return last.closed(); }));
    cr_assert(last.has("HTTP/1.1 503"));
    cr_assert(reasons == std::vector<std::string>(waiting_rejections + 1, "too_many_connections"));
}
