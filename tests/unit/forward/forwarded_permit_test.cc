// Requests to back ends that have just started: permit requests, and responses without a permit.
#include <algorithm>
#include <map>
#include <set>

#include "../net/net_fixture.h"
#include "../turns/counting_caller.h"
#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/metrics.h"
#include "pearbarrow/forward/forward_service.h"
#include "pearbarrow/turns/turn_types.h"
#include "pearbarrow/wire/codec.h"
#include "pearbarrow/wire/methods.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;
using net::testing::run_for;
using net::testing::run_until;

namespace {

constexpr milliseconds objective{250};

class recorded_exchange final : public net::http_exchange {
  public:
    explicit recorded_exchange(net::http_request request) : asked(std::move(request)) {}
    const net::http_request& request() const override { return this->asked; }
    void respond(net::http_response response) override { this->answer = std::move(response); }
    void start_stream(int status, net::http_headers /*headers*/) override {
        this->answer = net::http_response{.status = status, .headers = {}, .body = {}};
    }
    void write(std::string /*chunk*/) override {}
    void finish() override {}
    void abort() override {}
    std::size_t pending_bytes() const override { return 0; }
    void on_closed(std::function<void()> callback) override { this->closed = std::move(callback); }
    std::string reason() const {
        const auto at = this->answer->body.find("\"reason\":\"");
        const std::string rest = at == std::string::npos ? "" : this->answer->body.substr(at + 10);
        return rest.substr(0, rest.find('"'));
    }

    net::http_request asked;
    std::optional<net::http_response> answer;
    std::function<void()> closed;
};

/// Storage members that accept every turn immediately.
class willing_members final : public turns::member_caller {
  public:
    explicit willing_members(net::event_loop& loop) : loop(loop) {}
    std::unique_ptr<net::peer_call_handle> call(const directory::storage_member& /*member*/,
                                                net::method_number method, std::string payload,
                                                base::milliseconds /*timeout*/,
                                                reply_handler on_reply) override {
        return std::make_unique<pending_reply>(this->loop, answer_to(method, payload),
                                               std::move(on_reply));
    }

  private:
    class pending_reply final : public net::peer_call_handle {
      public:
        pending_reply(net::event_loop& loop, std::string answer, reply_handler on_reply)
            : timer(loop.after(milliseconds{0},
                               [answer, on_reply = std::move(on_reply)] { on_reply(answer); })) {}
        void cancel() override { this->timer.reset(); }

      private:
        std::unique_ptr<net::timer_handle> timer;
    };

    static std::string answer_to(net::method_number method, const std::string& payload) {
        if (method == wire::turn_reserve) {
            const auto request = wire::decode<turns::reserve_request>(payload);
            return wire::encode(turns::reserve_reply{.is_complete = true,
                                                     .reservations = {request->wanted},
                                                     .chain_text = {},
                                                     .load = {}});
        }
        return wire::encode(turns::finish_reply{.is_complete = true});
    }

    net::event_loop& loop;
};

/// Replies to permit requests with `answer` after `wait`.
class scripted_permits final : public slowstart::permit_source {
  public:
    explicit scripted_permits(net::event_loop& loop) : loop(loop) {}
    std::unique_ptr<turns::turn_operation> request_permit(
        const slowstart::cold_start& target,
        std::function<void(const slowstart::permit_decision&)> done) override {
        this->asked.push_back(target.backend);
        return std::make_unique<pending_reply>(this->loop, this->wait, this->answer,
                                               std::move(done));
    }

    slowstart::permit_decision answer{.verdict = slowstart::permit_verdict::refused,
                                      .retry_after = milliseconds{30}};
    milliseconds wait{0};
    std::vector<std::string> asked;

  private:
    class pending_reply final : public turns::turn_operation {
      public:
        pending_reply(net::event_loop& loop, milliseconds wait, slowstart::permit_decision answer,
                      std::function<void(const slowstart::permit_decision&)> done)
            : timer(loop.after(wait, [answer, done = std::move(done)] { done(answer); })) {}

      private:
        std::unique_ptr<net::timer_handle> timer;
    };

    net::event_loop& loop;
};

header_names names() {
    header_names names;
    names.request_id = "Request-Id";
    names.program = "Program-Id";
    names.token_budget = "Token-Budget";
    names.token_usage = "Token-Usage";
    names.previous_turn = "Previous-Turn";
    names.target_backend = "Target";
    return names;
}

directory::configuration engines() {
    directory::configuration config;
    config.version = 1;
    directory::route route;
    route.name = "turns";
    route.host = "shop.example";
    route.path_prefix = "/turn/";
    route.kind = directory::request_kind::stream;
    route.objective_ms = objective.count();
    route.attempts = 2;
    route.services = {{.service = "engine", .weight = 1}};
    config.routes.push_back(std::move(route));
    config.services.push_back({.name = "engine", .cold_start_ms = 3'000, .cold_rate = 32});
    return config;
}

/// An edge in front of back ends that record the requests they receive.
struct node_fixture {
    node_fixture() {
        net::http_server_options options;
        options.listen = net::testing::loopback;
        this->server = net::make_http_server(
            this->loop, options, [this](const std::shared_ptr<net::http_exchange>& exchange) {
                const auto target = exchange->request().headers.find("Target");
                this->reached.push_back(std::string(target.value_or("")));
                exchange->respond({.status = 200,
                                   .headers = {{"X-Response-Signature", "s"}},
                                   .body = "data: x\n\n"});
            });
        cr_assert(this->server->start().ok());
        this->turns.set_view(turns::testing::view_of_three());
        this->cold.set_configuration(engines());
        this->pool.set_cold_table(this->cold);
        this->context.permits = &this->permits;
        this->service.set_configuration(engines());
    }

    /// Lists back ends that started long ago and back ends that have just started.
    void set_backends(const std::set<std::string>& warm,
                      const std::set<std::string>& just_started) {
        directory::backend_list list{.revision = 1, .backends = {}};
        for (const std::string& id : warm) {
            list.backends[id] = this->backend_of(id);
        }
        this->cold.set_backends(list, this->clock.now() - base::seconds{60});
        for (const std::string& id : just_started) {
            list.backends[id] = this->backend_of(id);
        }
        this->cold.set_backends(list, this->clock.now());
        this->pool.set_backends(list, this->clock.now());
    }

    directory::backend backend_of(const std::string& id) const {
        return {.id = id,
                .service = "engine",
                .address = this->server->local_endpoint(),
                .zone = "a",
                .slots = 6};
    }

    std::shared_ptr<recorded_exchange> ask(const std::string& previous_turn = "") {
        net::http_request request;
        request.method = "POST";
        request.target = "/turn/x";
        request.headers = {{"Host", "shop.example"},
                           {"Request-Id", "r" + std::to_string(++this->last_request)},
                           {"Program-Id", "p1"},
                           {"Token-Budget", "100"},
                           {"Token-Usage", "10,20"}};
        if (!previous_turn.empty()) {
            request.headers.add("Previous-Turn", previous_turn);
        }
        auto exchange = std::make_shared<recorded_exchange>(std::move(request));
        this->service.handle(exchange);
        return exchange;
    }

    bool is_answered(const std::shared_ptr<recorded_exchange>& exchange) {
        return run_until(this->loop, [&] { return exchange->answer.has_value(); });
    }

    net::event_loop loop;
    base::system_clock_source clock;
    base::random_source random{1};
    base::metrics_registry metrics;
    forward_log log{clock, metrics, {}};
    std::unique_ptr<net::http_client> client = net::make_http_client(loop);
    slowstart::cold_table cold;
    backend_pool pool{{}, random};
    willing_members members{loop};
    turns::turn_client turns{loop, clock, members, turns::client_options{}};
    std::unique_ptr<program_admission> admission = make_unlimited_admission();
    tenants::quota_client quotas{loop, clock, members, {}};
    scripted_permits permits{loop};
    forward_context context{.loop = loop,
                            .clock = clock,
                            .random = random,
                            .client = *client,
                            .pool = pool,
                            .turns = turns,
                            .quotas = quotas,
                            .admission = *admission,
                            .log = log,
                            .options = {.headers = names()},
                            .active = nullptr};
    forward_service service{context};
    std::unique_ptr<net::http_server> server;
    std::vector<std::string> reached;
    int last_request = 0;
};

}  // namespace

Test(forwarded_permit, warm_back_end_needs_no_permit) {
    node_fixture node;
    node.set_backends({"warm"}, {});
    const auto exchange = node.ask();
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 200);
    cr_assert(node.permits.asked.empty());
}

Test(forwarded_permit, cold_back_end_gets_request_after_grant) {
    node_fixture node;
    node.set_backends({}, {"cold"});
    node.permits.answer = {.verdict = slowstart::permit_verdict::granted};
    const auto exchange = node.ask();
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 200);
    cr_assert(node.permits.asked.size() == 1 && node.reached.size() == 1);
}

Test(forwarded_permit, warm_back_end_gets_request_after_rejected_permit) {
    node_fixture node;
    node.set_backends({"warm"}, {"cold-1", "cold-2", "cold-3"});
    std::size_t served = 0;
    for (int index = 0; index < 12; ++index) {
        const auto exchange = node.ask();
        cr_assert(node.is_answered(exchange));
        served += exchange->answer->status == 200 ? 1 : 0;
    }
    cr_assert(served == 12);
    cr_assert(node.permits.asked.size() <= 12,
              "at most one permit request each before the warm back end");
    cr_assert(!node.permits.asked.empty());
    for (const std::string& id : node.reached) {
        cr_assert(id == "warm");
    }
}

Test(forwarded_permit, late_permit_is_not_used) {
    node_fixture node;
    node.context.options.permit_lifetime = milliseconds{20};
    node.set_backends({}, {"cold"});
    node.permits.answer = {.verdict = slowstart::permit_verdict::granted};
    node.permits.wait = milliseconds{40};
    const auto exchange = node.ask();
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 503);
    cr_assert(node.reached.empty());
}

Test(forwarded_permit, new_program_is_rejected_while_all_back_ends_are_cold_and_full) {
    node_fixture node;
    node.set_backends({}, {"1", "2", "3", "4", "5"});
    const auto started_at = node.clock.now();
    const auto exchange = node.ask();
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 503);
    cr_assert(exchange->reason() == "backends_cold", "%s", exchange->reason().c_str());
    cr_assert(exchange->answer->headers.find("Retry-After").has_value());
    cr_assert(node.permits.asked.size() == 3, "%zu", node.permits.asked.size());
    cr_assert(node.clock.now() - started_at < objective);
    for (const auto& load : node.pool.own_loads(node.clock.now())) {
        cr_assert(load.requests == 0, "the slot is released");
    }
}

Test(forwarded_permit, turn_of_running_program_waits_for_permit) {
    node_fixture node;
    node.set_backends({}, {"cold"});
    const auto exchange = node.ask("turn-before");
    run_for(node.loop, milliseconds{100});
    cr_assert(!exchange->answer.has_value(), "the turn waits");
    cr_assert(node.permits.asked.size() > 1);
    node.permits.answer = {.verdict = slowstart::permit_verdict::granted};
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 200);
}

Test(forwarded_permit, turn_of_running_program_is_rejected_after_waiting) {
    node_fixture node;
    node.set_backends({}, {"cold"});
    const auto started_at = node.clock.now();
    const auto exchange = node.ask("turn-before");
    cr_assert(node.is_answered(exchange));
    cr_assert(exchange->answer->status == 503);
    cr_assert(node.clock.now() - started_at >= objective / 2);
}

Test(forwarded_permit, disconnected_caller_releases_slot) {
    node_fixture node;
    node.set_backends({}, {"cold"});
    node.permits.wait = milliseconds{5'000};
    const auto exchange = node.ask();
    cr_assert(run_until(node.loop, [&] { return !node.permits.asked.empty(); }));
    cr_assert(node.pool.own_loads(node.clock.now()).size() == 1);
    exchange->closed();
    cr_assert(node.pool.own_loads(node.clock.now()).empty());
    run_for(node.loop, milliseconds{5});
}
