// The home of a limit: never more than the limit is out, and refusals say when to come back.
#include "pearbarrow/node/quota_home.h"

#include <criterion/criterion.h>

namespace pearbarrow::node {

namespace {

using program::quota_counter;

const base::node_id node_a("a");
const base::node_id node_b("b");
const program::quota_key programs{{config::object_kind::tenant, "t"}, quota_counter::programs};
const program::quota_key tokens{{config::object_kind::tenant, "t"}, quota_counter::tokens};
const program::quota_key rate{{config::object_kind::tenant, "t"}, quota_counter::calls};

config::configuration_ptr with(const config::limits& bounds) {
    config::tenant_spec spec;
    spec.bounds = bounds;
    return config::configuration::make(base::config_version(1), {{"t", {}, spec}});
}

base::instant at(std::int64_t milliseconds) {
    return base::instant{} + base::seconds(1'000) + base::milliseconds(milliseconds);
}

}  // namespace

Test(quota_home, counts_over_all_nodes) {
    const auto configuration = with({.programs_at_once = 3});
    quota_home home;
    std::uint64_t granted = 0;
    for (std::uint64_t turn = 0; turn < 4; ++turn) {
        for (const base::node_id& node : {node_a, node_b}) {
            const std::uint64_t own = granted / 2 + (node == node_a ? granted % 2 : 0);
            granted +=
                home.claim(node, quota_claim::of(programs, own, 1), *configuration, at(0)).granted
                    ? 1
                    : 0;
        }
    }
    cr_assert(granted == 3, "granted %lu", static_cast<unsigned long>(granted));
}

Test(quota_home, what_is_given_back_or_lapses_is_granted_again) {
    const auto configuration = with({.programs_at_once = 1});
    quota_home home;
    cr_assert(home.claim(node_a, quota_claim::of(programs, 0, 1), *configuration, at(0)).granted);
    const auto full = home.claim(node_b, quota_claim::of(programs, 0, 1), *configuration, at(1));
    cr_assert(!full.granted && full.retry_after_ms == 1'000);
    home.claim(node_a, quota_claim::of(programs, 0, 0), *configuration, at(500));
    cr_assert(home.claim(node_b, quota_claim::of(programs, 0, 1), *configuration, at(501)).granted);
    cr_assert(
        !home.claim(node_a, quota_claim::of(programs, 0, 1), *configuration, at(3'400)).granted);
    cr_assert(
        home.claim(node_a, quota_claim::of(programs, 0, 1), *configuration, at(3'502)).granted,
        "the share of a node that says nothing must lapse");
}

Test(quota_home, a_need_above_the_limit_has_no_time_to_come_back) {
    const auto configuration = with({.tokens_in_flight = 100});
    quota_home home;
    const auto verdict = home.claim(node_a, quota_claim::of(tokens, 0, 101), *configuration, at(0));
    cr_assert(!verdict.granted && verdict.retry_after_ms == 0);
    cr_assert(home.claim(node_a, quota_claim::of(tokens, 0, 100), *configuration, at(0)).granted);
}

Test(quota_home, the_time_to_come_back_follows_what_is_given_back) {
    const auto configuration = with({.tokens_in_flight = 100});
    quota_home home;
    home.claim(node_a, quota_claim::of(tokens, 0, 100), *configuration, at(0));
    home.claim(node_a, quota_claim::of(tokens, 80, 0), *configuration, at(500));
    home.claim(node_a, quota_claim::of(tokens, 60, 0), *configuration, at(1'000));
    const auto verdict =
        home.claim(node_b, quota_claim::of(tokens, 0, 60), *configuration, at(1'000));
    cr_assert(!verdict.granted);
    cr_assert(verdict.retry_after_ms == 500, "20 missing at 40 a second, but %lu ms",
              static_cast<unsigned long>(verdict.retry_after_ms));
}

Test(quota_home, the_rate_is_a_bucket_with_a_burst) {
    const auto configuration = with({.calls_per_second = 4, .call_burst = 2});
    quota_home home;
    const auto ask = [&](std::int64_t now) {
        return home.claim(node_a, quota_claim::of(rate, 0, 1), *configuration, at(now));
    };
    cr_assert(ask(0).granted && ask(0).granted);
    const auto refused = ask(0);
    cr_assert(!refused.granted && refused.retry_after_ms == 250);
    cr_assert(ask(250).granted && !ask(260).granted);
    cr_assert(home.claim(node_b, quota_claim::of(rate, 0, 1), *configuration, at(500)).granted,
              "another node takes turns from the same bucket");
    cr_assert(!ask(500).granted);
}

Test(quota_home, nothing_bounds_what_the_configuration_does_not) {
    quota_home home;
    const auto configuration = with({});
    for (const auto& key : {programs, tokens, rate}) {
        cr_assert(
            home.claim(node_a, quota_claim::of(key, 1'000, 1'000), *configuration, at(0)).granted);
    }
}

}  // namespace pearbarrow::node
