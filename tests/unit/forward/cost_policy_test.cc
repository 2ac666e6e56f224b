// The choice by cost: one table of cases, and the parts that measure its inputs.
#include <string>
#include <vector>

#include "pearbarrow/forward/choice_policy.h"
#include "pearbarrow/forward/reading_pace.h"
#include "pearbarrow/forward/way_times.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

namespace {

/// One back end in the own zone, one in another zone of the region, one in another region.
std::vector<choice_candidate> three_places() {
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
    void (*change)(std::vector<choice_candidate>&, choice_question&);
};

const cost_case cases[] = {
    {"idle ones: the own zone", "near", [](auto&, auto&) {}},
    {"prompts that wait cost more than a way within the region", "beside",
     [](auto& places, auto&) { places[0].unread_tokens = 4'000; }},
    {"the whole region is full", "far",
     [](auto& places, auto&) {
         places[0].unread_tokens = 9'000;
         places[1].unread_tokens = 9'000;
     }},
    {"a few tokens that wait are no reason to leave the region", "near",
     [](auto& places, auto&) { places[0].unread_tokens = 300; }},
    {"requests that a prompt's reading holds up", "beside",
     [](auto& places, auto&) { places[0].requests = 3; }},
    {"a turn goes where its prompt lies", "far",
     [](auto& places, auto& question) {
         question.begins = false;
         places[2].ran_earlier = true;
     }},
    {"and stays where a little waits", "far",
     [](auto& places, auto& question) {
         question.begins = false;
         places[2].ran_earlier = true;
         places[2].unread_tokens = 1'500;
     }},
    {"and leaves when that saves a third", "near",
     [](auto& places, auto& question) {
         question.begins = false;
         places[2].ran_earlier = true;
         places[2].unread_tokens = 12'000;
     }},
    {"a slow one", "beside",
     [](auto& places, auto&) {
         places[0].generating_us = 900'000;
         places[1].generating_us = 200'000;
         places[2].generating_us = 200'000;
     }},
    {"no place is free", "beside", [](auto& places, auto&) { places[0].queue_us = 100'000; }},
    {"a connection that is open is worth its opening", "near",
     [](auto& places, auto&) { places[1].is_connected = false; }},
    {"an unknown pace leaves the way", "near",
     [](auto& places, auto& question) {
         question.read_us = 0;
         places[1].unread_tokens = 5;
     }},
};

std::unique_ptr<choice_policy> policy(base::random_source& random) {
    return make_cost_policy({.zone = "a", .region = "r"}, make_load_policy({.zone = "a"}, random));
}

choice_question question_of(std::uint64_t tokens) {
    return {.affinity_key = "program",
            .knows_others = true,
            .prompt_tokens = tokens,
            .begins = true,
            .read_us = 20};
}

}  // namespace

Test(cost_policy, table_of_cases) {
    base::random_source random(1);
    const auto by_cost = policy(random);
    for (const cost_case& one : cases) {
        std::vector<choice_candidate> places = three_places();
        choice_question question = question_of(3'600);
        one.change(places, question);
        const ranked_choice chosen = by_cost->choose(places, question);
        cr_expect(places[chosen.index].id == one.expected, "%s: %s", one.name.c_str(),
                  std::string(places[chosen.index].id).c_str());
        cr_expect(chosen.reason == choice_reason::least_cost);
        cr_expect(chosen.cost.total() >= 0 && chosen.unread_tokens <= 3'600);
    }
}

Test(cost_policy, a_request_that_tells_no_prompt_goes_by_requests_for_each_place) {
    base::random_source random(1);
    std::vector<choice_candidate> places = three_places();
    places[0].load = 2;
    places[0].unread_tokens = 0;
    places[1].unread_tokens = 90'000;
    places[2].unread_tokens = 90'000;
    const ranked_choice chosen = policy(random)->choose(places, {.knows_others = true});
    cr_assert(chosen.index != 0 && chosen.reason == choice_reason::least_load);
}

// Were all of them weighed, nodes that hear late would all send to the same one.
Test(cost_policy, programs_weigh_different_back_ends_of_a_zone) {
    base::random_source random(1);
    const auto by_cost = policy(random);
    std::vector<std::string> ids;
    for (int index = 0; index < 40; ++index) {
        ids.push_back("e" + std::to_string(index));
    }
    std::vector<choice_candidate> places;
    for (const std::string& id : ids) {
        places.push_back(
            {.id = id, .zone = "a", .slots = 24, .region = "r", .unread_tokens = 5'000});
    }
    places[7].unread_tokens = 0;
    int idle_one = 0;
    for (int program = 0; program < 200; ++program) {
        choice_question question = question_of(3'600);
        const std::string key = "p" + std::to_string(program);
        question.affinity_key = key;
        idle_one += by_cost->choose(places, question).index == 7 ? 1 : 0;
    }
    cr_assert(idle_one > 5 && idle_one < 50, "%d of 200", idle_one);
}

Test(reading_pace, is_the_slope_over_the_tokens) {
    reading_pace pace;
    cr_assert(pace.us_per_token() == reading_pace::assumed_us);
    for (int round = 0; round < 30; ++round) {
        for (const double tokens : {500.0, 2'000.0, 4'000.0}) {
            pace.add(tokens, 9'000 + 23 * tokens);
        }
    }
    cr_assert(pace.us_per_token() > 22.5 && pace.us_per_token() < 23.5, "%.2f",
              pace.us_per_token());
}

Test(reading_pace, equal_prompts_give_the_mean) {
    reading_pace pace;
    for (int round = 0; round < 30; ++round) {
        pace.add(1'000, 30'000);
    }
    cr_assert(pace.us_per_token() > 7 && pace.us_per_token() <= 30, "%.2f", pace.us_per_token());
}

Test(way_times, the_least_of_the_latest_counts_and_regions_stand_in) {
    way_times ways({{"a", "r"}, {"b", "r"}, {"c", "s"}});
    base::instant now{};
    cr_assert(ways.round_trip_us("a") == 0);
    ways.add("a", milliseconds{30}, now);
    ways.add("a", milliseconds{2}, now);
    cr_assert(ways.round_trip_us("a") == 2'000);
    cr_assert(ways.round_trip_us("b") == 2'000, "as the others of its region");
    ways.add("c", milliseconds{16}, now);
    cr_assert(ways.round_trip_us("unheard") == 16'000, "as the farthest");
    for (int second = 0; second < 50; ++second) {
        now += milliseconds{1'000};
        ways.add("a", milliseconds{5}, now);
    }
    cr_assert(ways.round_trip_us("a") == 5'000, "a way may grow longer");
}
