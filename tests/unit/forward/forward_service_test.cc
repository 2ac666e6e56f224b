#include "pearbarrow/forward/forward_service.h"

#include "../net/net_fixture.h"
#include "../turns/counting_caller.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using turns::testing::counting_caller;

namespace {

/// An exchange whose caller can disconnect.
class scripted_exchange final : public net::http_exchange {
  public:
    explicit scripted_exchange(net::http_request request) : asked(std::move(request)) {}
    const net::http_request& request() const override { return this->asked; }
    void respond(net::http_response response) override { this->answer = std::move(response); }
    void start_stream(int /*status*/, net::http_headers /*headers*/) override {}
    void write(std::string /*chunk*/) override {}
    void finish() override {}
    void abort() override {}
    std::size_t pending_bytes() const override { return 0; }
    void on_closed(std::function<void()> callback) override { this->closed = std::move(callback); }

    net::http_request asked;
    std::optional<net::http_response> answer;
    std::function<void()> closed;
};

header_names names() {
    header_names names;
    names.request_id = "Request-Id";
    names.program = "Program-Id";
    names.token_budget = "Token-Budget";
    names.token_usage = "Token-Usage";
    return names;
}

directory::configuration one_route() {
    directory::configuration config;
    config.version = 1;
    directory::route route;
    route.name = "turns";
    route.host = "shop.example";
    route.path_prefix = "/turn/";
    route.kind = directory::request_kind::stream;
    route.services = {{.service = "model", .weight = 1}};
    config.routes.push_back(std::move(route));
    return config;
}

/// An edge with storage members that never reply.
struct silent_members_fixture {
    silent_members_fixture() {
        this->turns->set_view(turns::testing::view_of_three());
        this->service->set_configuration(one_route());
    }

    std::shared_ptr<scripted_exchange> ask() {
        net::http_request request;
        request.method = "POST";
        request.target = "/turn/x";
        request.headers = {{"Host", "shop.example"},
                           {"Request-Id", "r1"},
                           {"Program-Id", "p1"},
                           {"Token-Budget", "100"},
                           {"Token-Usage", "10,20"}};
        auto exchange = std::make_shared<scripted_exchange>(std::move(request));
        this->service->handle(exchange);
        return exchange;
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::random_source random{1};
    base::metrics_registry metrics;
    forward_log log{clock, metrics, {}};
    std::unique_ptr<net::http_client> client = net::make_http_client(loop);
    backend_pool pool{{}, random};
    counting_caller caller;
    std::unique_ptr<turns::turn_client> turns =
        std::make_unique<turns::turn_client>(loop, clock, caller, turns::client_options{});
    std::unique_ptr<program_admission> admission = make_unlimited_admission();
    tenants::quota_client quotas{loop, clock, caller, {}};
    forward_context context{.loop = loop,
                            .clock = clock,
                            .random = random,
                            .client = *client,
                            .pool = pool,
                            .turns = *turns,
                            .quotas = quotas,
                            .admission = *admission,
                            .log = log,
                            .options = {.headers = names()},
                            .active = nullptr};
    std::unique_ptr<forward_service> service = std::make_unique<forward_service>(context);
};

}  // namespace

// On shutdown, a node disconnects its callers before it destroys its components. A request that has
// just ended must not outlive the objects that it references.
Test(forward_service, request_of_disconnected_caller_ends_on_shutdown) {
    silent_members_fixture node;
    const auto exchange = node.ask();
    cr_assert(*node.caller.open == 3, "the turn is being prepared");
    exchange->closed();
    node.service.reset();
    node.turns.reset();
    cr_assert(*node.caller.open == 0, "%d requests outlive the node", *node.caller.open);
    net::testing::run_for(node.loop, std::chrono::milliseconds(5));
}

Test(forward_service, request_of_disconnected_caller_is_freed_by_event_loop) {
    silent_members_fixture node;
    const auto exchange = node.ask();
    exchange->closed();
    cr_assert(node.service->open_requests() == 0);
    // The settlement of the turn remains, which is sent to every member.
    net::testing::run_for(node.loop, std::chrono::milliseconds(5));
    cr_assert(*node.caller.open == 3);
}

Test(forward_service, stream_that_a_stopping_node_might_break_off_is_rejected_unexecuted) {
    silent_members_fixture node;
    node.service->reject_streams();
    const auto exchange = node.ask();
    cr_assert(exchange->answer.has_value() && exchange->answer->status == 503);
    cr_assert(exchange->answer->body.find("node_stopping") != std::string::npos);
    cr_assert(exchange->answer->body.find(R"("executed":"no")") != std::string::npos);
    cr_assert(exchange->answer->headers.find("Retry-After").has_value());
    cr_assert(*node.caller.open == 0);
}
