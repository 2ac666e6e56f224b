// Tests keys, tenants and their limits in a whole fleet.
#include <algorithm>

#include "tenants_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using emulator::runner_fault;

Test(tenants, back_end_receives_the_tenant_but_not_the_key) {
    tenants_fixture fleet;
    cr_assert(fleet.status_with("r1", {{"Pearbarrow-Key", key_of_a},
                                       {"Pearbarrow-Tenant", "b"},
                                       {"Pearbarrow-Hold", "5"},
                                       {"Kv-From", "10.0.0.1:80/5"},
                                       {"Pearbarrow-Pin-Ms", "5"},
                                       {"Pearbarrow-Kv-Backup", "10.0.0.1:80"},
                                       {"Pearbarrow-Request-Priority", "0"}}) == 200);
    const net::http_headers& forwarded = fleet.tool->runs().front().headers;
    const auto tenants = std::count_if(
        forwarded.all().begin(), forwarded.all().end(),
        [](const net::http_header& header) { return header.name == "Pearbarrow-Tenant"; });
    cr_assert(tenants == 1 && forwarded.find("Pearbarrow-Tenant") == "a");
    for (const char* dropped : {"Pearbarrow-Key", "Pearbarrow-Hold", "Kv-From", "Pearbarrow-Pin-Ms",
                                "Pearbarrow-Kv-Backup", "Pearbarrow-Request-Priority"}) {
        cr_assert(!forwarded.find(dropped).has_value(), "%s", dropped);
    }
}

Test(tenants, request_without_valid_key_is_not_forwarded) {
    tenants_fixture fleet;
    cr_assert(fleet.status_with("r1", {}) == 401);
    cr_assert(fleet.status_with("r2", {{"Pearbarrow-Key", ""}}) == 401);
    cr_assert(fleet.status_with("r3", {{"Pearbarrow-Key", "key-of-nobody"}}) == 401);
    cr_assert(fleet.status_with(
                  "r4", {{"Pearbarrow-Key", key_of_a}, {"Pearbarrow-Key", key_of_b}}) == 401);
    cr_assert(fleet.status_with("r5", {{"Pearbarrow-Key", std::string(9'000, 'k')}}) == 401);
    cr_assert(fleet.tool->runs().empty());
}

Test(tenants, public_route_needs_no_key) {
    tenants_fixture fleet;
    cr_assert(fleet.status_with("r1", {{"Pearbarrow-Tenant", "a"}}, "/open/x") == 200);
    cr_assert(!fleet.tool->runs().front().headers.find("Pearbarrow-Tenant").has_value());
}

Test(tenants, revoked_key_is_rejected) {
    tenants_fixture fleet;
    cr_assert(fleet.status_with("r1", {{"Pearbarrow-Key", key_of_b}}) == 200);
    fleet.tenants[1]["api_keys"] = nlohmann::json::array();
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    cr_assert(fleet.status_with("r2", {{"Pearbarrow-Key", key_of_b}}) == 401);
    cr_assert(fleet.status_with("r3", {{"Pearbarrow-Key", key_of_a}}) == 200);
}

// Guards against using a revoked key: a request may wait for seconds between its attempts.
Test(tenants, key_is_checked_before_each_attempt) {
    tenants_fixture fleet;
    auto& other = fleet.add_runner("tool", "i-other");
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    fleet.tool->set_fault(runner_fault::hang);
    other.set_fault(runner_fault::hang);
    std::optional<client_response> response;
    fleet.start_call(0, "/plain/x", "r1", {{"Pearbarrow-Key", key_of_a}}, "", response);
    const auto runs = [&] { return fleet.tool->runs().size() + other.runs().size(); };
    cr_assert(run_until(fleet.loop, [&] { return runs() == 1; }));
    fleet.tenants[0]["api_keys"] = {"another-key"};
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    cr_assert(run_until(fleet.loop, [&] { return response.has_value(); }));
    cr_assert(response->status == 401, "%d", response->status);
    cr_assert(runs() == 1, "sent to %zu", runs());
}

Test(tenants, turn_of_another_tenant_is_404) {
    tenants_fixture fleet;
    cr_assert(fleet.turn_of(key_of_a, "t1", "").whole);
    const client_response missing = fleet.turn_of(key_of_b, "t2", "never-was");
    const client_response foreign = fleet.turn_of(key_of_b, "t3", "t1");
    cr_assert(missing.status == 404 && foreign.status == 404);
    const auto without_id = [](std::string body, const std::string& id) {
        return body.replace(body.find(id), id.size(), "");
    };
    cr_assert(without_id(missing.body, "t2") == without_id(foreign.body, "t3"));
    cr_assert(fleet.turn_of(key_of_a, "t4", "t1").whole);
    cr_assert(fleet.model->runs().back().body.find("said t1") == 0);
}

Test(tenants, only_the_tenant_beyond_its_limit_gets_429) {
    tenants_fixture fleet;
    fleet.tenants[0]["rate_per_s"] = 3;
    fleet.tenants[0]["burst"] = 6;
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    run_for(fleet.loop, std::chrono::milliseconds(2'500));
    int served = 0;
    int refused = 0;
    for (int index = 0; index < 20; ++index) {
        const auto response =
            fleet.call(static_cast<std::size_t>(index % 2), "/plain/x", "a" + std::to_string(index),
                       {{"Pearbarrow-Key", key_of_a}});
        served += response.status == 200 ? 1 : 0;
        if (response.status == 429) {
            ++refused;
            cr_assert(std::stod(response.headers.find("Retry-After").value_or("0")) > 0);
        }
    }
    cr_assert(served + refused == 20);
    cr_assert(served >= 5 && served <= 8, "%d served of a burst of 6", served);
    cr_assert(fleet.tool->runs().size() == static_cast<std::size_t>(served));
    cr_assert(fleet.status_with("b1", {{"Pearbarrow-Key", key_of_b}}) == 200);
}

Test(tenants, limited_tenant_gets_503_without_storage_members) {
    tenants_fixture fleet;
    fleet.tenants[0]["rate_per_s"] = 100;
    fleet.tenants[0]["burst"] = 100;
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    fleet.storages.clear();
    const auto response = fleet.call(0, "/plain/x", "r1", {{"Pearbarrow-Key", key_of_a}});
    cr_assert(response.status == 503 && response.headers.find("Retry-After").has_value());
    cr_assert(fleet.tool->runs().empty());
    cr_assert(fleet.status_with("r2", {{"Pearbarrow-Key", key_of_b}}) == 200);
}

// Guards against charging refused turns: a program in an endless loop keeps sending requests, and
// those beyond its budget must not consume the limit of its tenant.
Test(tenants, turn_beyond_its_budget_does_not_use_the_limit) {
    tenants_fixture fleet;
    fleet.tenants[0]["rate_per_s"] = 3;
    fleet.tenants[0]["burst"] = 9;
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    run_for(fleet.loop, std::chrono::milliseconds(3'500));
    cr_assert(fleet.turn_of(key_of_a, "t1", "").status == 200);
    cr_assert(fleet.turn_of(key_of_a, "t2", "").status == 200);
    for (int index = 0; index < 30; ++index) {
        cr_assert(fleet.turn_of(key_of_a, "over" + std::to_string(index), "").status == 402);
    }
    cr_assert(fleet.status_with("r1", {{"Pearbarrow-Key", key_of_a}}) == 200);
}

// Guards against refusing requests after a power failure: all callers return while the members
// still read their disks, and no other member grants what the shares of a member gain in this time.
Test(tenants, shares_refill_while_a_member_reads_its_disk) {
    tenants_fixture fleet(1);
    fleet.tenants[0]["rate_per_s"] = 10;
    fleet.tenants[0]["burst"] = 1;
    fleet.configure_tenants(3);
    fleet.wait_for_version(3);
    run_for(fleet.loop, std::chrono::milliseconds(300));
    fleet.storages[0].reset();
    fleet.storage_settings[0].first_start = false;
    fleet.storage_settings[0].quota_slack = 20;
    fleet.storage_settings[0].quota_window = std::chrono::milliseconds(5'000);
    fleet.start_storage(0, std::chrono::milliseconds(1'000));
    int request_count = 0;
    const auto status = [&] {
        return fleet.status_with("r" + std::to_string(++request_count),
                                 {{"Pearbarrow-Key", key_of_a}});
    };
    while (status() == 503) {
        cr_assert(request_count < 50, "the member does not reply again");
    }
    int served = 0;
    for (int index = 0; index < 8; ++index) {
        served += status() == 200 ? 1 : 0;
    }
    cr_assert(served == 8, "%d of 8 served, although a second refills 10", served);
}
