#include "pearbarrow/slowstart/start_quota.h"

#include <optional>

#include "../net/net_fixture.h"
#include "../turns/counting_caller.h"
#include "pearbarrow/slowstart/start_limits.h"
#include "pearbarrow/wire/codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::slowstart;
using net::testing::run_until;

namespace {

/// Returns the same reply from all members at once, or an error if none is set.
class fixed_reply_caller final : public turns::member_caller {
  public:
    std::unique_ptr<net::peer_call_handle> call(const directory::storage_member& /*member*/,
                                                net::method_number method, std::string payload,
                                                base::milliseconds /*timeout*/,
                                                reply_handler on_reply) override {
        ++this->calls;
        this->method = method;
        this->request = *wire::decode<tenants::grant_request>(payload);
        if (this->reply.has_value()) {
            on_reply(wire::encode(*this->reply));
        } else {
            on_reply(absl::UnavailableError("silent"));
        }
        return nullptr;
    }

    std::optional<tenants::grant_reply> reply;
    int calls = 0;
    net::method_number method = 0;
    tenants::grant_request request;
};

struct source_fixture {
    source_fixture() { this->client.set_view(turns::testing::view_of_three()); }

    permit_decision ask() {
        std::optional<permit_decision> decision;
        const auto operation =
            this->source.request_permit({.backend = "e", .started_at = 1, .rate = 32},
                                        [&](const auto& result) { decision = result; });
        cr_assert(!decision.has_value(), "done was called before ask returned");
        cr_assert(run_until(this->loop, [&] { return decision.has_value(); }));
        return *decision;
    }

    net::event_loop loop;
    base::manual_clock clock;
    base::random_source random{1};
    fixed_reply_caller caller;
    tenants::quota_client client{loop, clock, caller, permit_client_options()};
    start_quota source{loop, clock, random, client};
};

directory::configuration engines(double rate) {
    directory::configuration config;
    config.services.push_back({.name = "engine", .cold_start_ms = 3'000, .cold_rate = rate});
    config.services.push_back({.name = "tool"});
    return config;
}

directory::backend_list list_of(std::initializer_list<directory::backend> backends) {
    directory::backend_list list;
    for (const directory::backend& backend : backends) {
        list.backends[backend.id] = backend;
    }
    return list;
}

}  // namespace

Test(start_quota, grant_from_one_member_is_sufficient) {
    source_fixture fixture;
    fixture.caller.reply = {.outcome = tenants::quota_outcome::granted};
    cr_assert(fixture.ask().verdict == permit_verdict::granted);
    cr_assert(fixture.caller.calls == 1);
    cr_assert(fixture.caller.method == wire::start_permit);
    cr_assert(fixture.caller.request.tenant == permit_limit_name("e"));
}

Test(start_quota, permit_without_reply_is_unanswered) {
    source_fixture fixture;
    cr_assert(fixture.ask().verdict == permit_verdict::no_reply);
    cr_assert(fixture.caller.calls == 3);
}

Test(start_quota, no_member_is_called_while_the_rate_is_exhausted) {
    source_fixture fixture;
    fixture.caller.reply = {.outcome = tenants::quota_outcome::refused, .retry_after_ms = 60};
    cr_assert(fixture.ask().verdict == permit_verdict::refused);
    cr_assert(fixture.caller.calls == 3);
    fixture.clock.advance(base::milliseconds{20});
    const permit_decision again = fixture.ask();
    cr_assert(again.verdict == permit_verdict::refused);
    cr_assert(again.retry_after == base::milliseconds{40});
    cr_assert(fixture.caller.calls == 3);
    fixture.clock.advance(base::milliseconds{40});
    fixture.caller.reply = {.outcome = tenants::quota_outcome::granted};
    cr_assert(fixture.ask().verdict == permit_verdict::granted);
}

Test(start_limits, each_back_end_of_a_service_with_a_cold_rate_has_a_limit) {
    start_limits limits({.overage = 1.5, .slack = 5});
    limits.set_configuration(engines(32));
    limits.set_backends(list_of({{.id = "e", .service = "engine"}, {.id = "t", .service = "tool"}}),
                        {});
    const auto config = limits.limits();
    cr_assert(config.tenants.size() == 1);
    cr_assert(config.tenants[0].name == permit_limit_name("e"));
    // Three quarters of 53, minus one request for each of three members.
    cr_assert_float_eq(config.tenants[0].rate, 36.75, 1e-9);
    cr_assert_float_eq(max_permits_per_second(32, {.overage = 1.5, .slack = 5}), 39.75, 1e-9);
}

Test(start_limits, back_end_that_briefly_leaves_the_list_keeps_its_limit) {
    start_limits limits({});
    const base::instant now{};
    limits.set_configuration(engines(32));
    limits.set_backends(list_of({{.id = "e", .service = "engine"}}), now);
    limits.set_backends({}, now);
    cr_assert(limits.limits().tenants.size() == 1);
    limits.set_backends({}, now + base::milliseconds{61'000});
    cr_assert(limits.limits().tenants.empty());
}
