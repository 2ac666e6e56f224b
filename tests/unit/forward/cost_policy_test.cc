// Selection by cost: a table of cases, and the estimators of its inputs.
#include <string>
#include <vector>

#include "pearbarrow/forward/choice_policy.h"
#include "pearbarrow/forward/prefill_rate_estimate.h"
#include "pearbarrow/forward/round_trip_estimates.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

namespace {

/// One back end in the local zone, one in another zone of the region, and one in another region.
std::vector<choice_candidate> three_candidates() {
    choice_candidate near{.id = "near", .zone = "a", .slots = 24, .region = "r"};
    choice_candidate beside{.id = "beside", .zone = "b", .slots = 24, .region = "r"};
    beside.round_trip_us = 3'000;
    choice_candidate far{.id = "far", .zone = "c", .slots = 24, .region = "s"};
    far.round_trip_us = 16'000;
    return {near, beside, far};
}

struct cost_case {
    std::string name;
    std::string expected;
    void (*change)(std::vector<choice_candidate>&, policy_request&);
};

const cost_case cases[] = {
    {"idle back ends: local zone", "near", [](auto&, auto&) {}},
    {"waiting prompts cost more than a round trip within the region", "beside",
     [](auto& candidates, auto&) { candidates[0].unread_tokens = 4'000; }},
    {"the whole region is full", "far",
     [](auto& candidates, auto&) {
         candidates[0].unread_tokens = 9'000;
         candidates[1].unread_tokens = 9'000;
     }},
    {"a few waiting tokens do not justify another region", "near",
     [](auto& candidates, auto&) { candidates[0].unread_tokens = 300; }},
    {"prefill delays concurrent requests", "beside",
     [](auto& candidates, auto&) { candidates[0].requests = 3; }},
    {"a turn goes to the back end with its prompt", "far",
     [](auto& candidates, auto& request) {
         request.is_first = false;
         candidates[2].ran_previous = true;
     }},
    {"and stays if few tokens wait", "far",
     [](auto& candidates, auto& request) {
         request.is_first = false;
         candidates[2].ran_previous = true;
         candidates[2].unread_tokens = 1'500;
     }},
    {"and moves if that saves a third", "near",
     [](auto& candidates, auto& request) {
         request.is_first = false;
         candidates[2].ran_previous = true;
         candidates[2].unread_tokens = 12'000;
     }},
    {"a slow back end", "beside",
     [](auto& candidates, auto&) {
         candidates[0].generating_us = 900'000;
         candidates[1].generating_us = 200'000;
         candidates[2].generating_us = 200'000;
     }},
    {"no slot is free", "beside",
     [](auto& candidates, auto&) { candidates[0].queue_us = 100'000; }},
    {"an open connection saves the cost of opening one", "near",
     [](auto& candidates, auto&) { candidates[1].is_connected = false; }},
    {"with an unknown prefill rate the round trip decides", "near",
     [](auto& candidates, auto& request) {
         request.prefill_us_per_token = 0;
         candidates[1].unread_tokens = 5;
     }},
};

std::unique_ptr<choice_policy> policy(base::random_source& random) {
    return make_cost_policy({.zone = "a", .region = "r"}, make_load_policy({.zone = "a"}, random));
}

policy_request request_of(std::uint64_t tokens) {
    return {.affinity_key = "program",
            .is_remote_load_known = true,
            .prompt_tokens = tokens,
            .is_first = true,
            .prefill_us_per_token = 20};
}

}  // namespace

Test(cost_policy, table_of_cases) {
    base::random_source random(1);
    const auto by_cost = policy(random);
    for (const cost_case& one : cases) {
        std::vector<choice_candidate> candidates = three_candidates();
        policy_request request = request_of(3'600);
        one.change(candidates, request);
        const ranked_choice chosen = by_cost->choose(candidates, request);
        cr_expect(candidates[chosen.index].id == one.expected, "%s: %s", one.name.c_str(),
                  std::string(candidates[chosen.index].id).c_str());
        cr_expect(chosen.reason == choice_reason::least_cost);
        cr_expect(chosen.cost.total() >= 0 && chosen.unread_tokens <= 3'600);
    }
}

Test(cost_policy, request_without_prompt_tokens_is_selected_by_load) {
    base::random_source random(1);
    std::vector<choice_candidate> candidates = three_candidates();
    candidates[0].load = 2;
    candidates[0].unread_tokens = 0;
    candidates[1].unread_tokens = 90'000;
    candidates[2].unread_tokens = 90'000;
    const ranked_choice chosen = policy(random)->choose(candidates, {.is_remote_load_known = true});
    cr_assert(chosen.index != 0 && chosen.reason == choice_reason::least_load);
}

// If all back ends were compared, nodes with delayed load reports would all select the same one.
Test(cost_policy, programs_compare_different_back_ends_of_a_zone) {
    base::random_source random(1);
    const auto by_cost = policy(random);
    std::vector<std::string> ids;
    for (int index = 0; index < 40; ++index) {
        ids.push_back("e" + std::to_string(index));
    }
    std::vector<choice_candidate> candidates;
    for (const std::string& id : ids) {
        candidates.push_back(
            {.id = id, .zone = "a", .slots = 24, .region = "r", .unread_tokens = 5'000});
    }
    candidates[7].unread_tokens = 0;
    int idle_count = 0;
    for (int program = 0; program < 200; ++program) {
        policy_request request = request_of(3'600);
        const std::string key = "p" + std::to_string(program);
        request.affinity_key = key;
        idle_count += by_cost->choose(candidates, request).index == 7 ? 1 : 0;
    }
    cr_assert(idle_count > 5 && idle_count < 50, "%d of 200", idle_count);
}

Test(prefill_rate_estimate, is_slope_over_tokens) {
    prefill_rate_estimate estimate;
    cr_assert(estimate.us_per_token() == prefill_rate_estimate::assumed_us);
    for (int round = 0; round < 30; ++round) {
        for (const double tokens : {500.0, 2'000.0, 4'000.0}) {
            estimate.add(tokens, 9'000 + 23 * tokens);
        }
    }
    cr_assert(estimate.us_per_token() > 22.5 && estimate.us_per_token() < 23.5, "%.2f",
              estimate.us_per_token());
}

Test(prefill_rate_estimate, equal_prompts_give_at_most_the_mean) {
    prefill_rate_estimate estimate;
    for (int round = 0; round < 30; ++round) {
        estimate.add(1'000, 30'000);
    }
    cr_assert(estimate.us_per_token() > 7 && estimate.us_per_token() <= 30, "%.2f",
              estimate.us_per_token());
}

Test(round_trip_estimates, uses_recent_minimum_and_falls_back_to_region) {
    round_trip_estimates estimates({{"a", "r"}, {"b", "r"}, {"c", "s"}});
    base::instant now{};
    cr_assert(estimates.round_trip_us("a") == 0);
    estimates.add("a", milliseconds{30}, now);
    estimates.add("a", milliseconds{2}, now);
    cr_assert(estimates.round_trip_us("a") == 2'000);
    cr_assert(estimates.round_trip_us("b") == 2'000, "same as the other zones of its region");
    estimates.add("c", milliseconds{16}, now);
    cr_assert(estimates.round_trip_us("unheard") == 16'000, "same as the farthest zone");
    for (int second = 0; second < 50; ++second) {
        now += milliseconds{1'000};
        estimates.add("a", milliseconds{5}, now);
    }
    cr_assert(estimates.round_trip_us("a") == 5'000, "the round trip may increase");
}
