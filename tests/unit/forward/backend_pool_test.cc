#include "pearbarrow/forward/backend_pool.h"

#include <algorithm>
#include <map>
#include <set>

#include "pool_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

using pearbarrow::forward::testing::backend_of;
using pearbarrow::forward::testing::pool_fixture;

Test(backend_pool, spreads_requests_over_back_ends) {
    pool_fixture fixture({backend_of("1"), backend_of("2"), backend_of("3")});
    std::set<std::string> chosen;
    for (int index = 0; index < 3; ++index) {
        chosen.insert(fixture.choose());
    }
    cr_assert(chosen.size() == 3);
}

Test(backend_pool, equally_loaded_back_end_in_local_zone_is_preferred) {
    pool_fixture fixture({backend_of("near", "a"), backend_of("far", "b")});
    cr_assert(fixture.choose() == "near");
    cr_assert(fixture.choose() == "far", "the back end in the local zone is loaded now");
}

Test(backend_pool, key_keeps_its_back_end_until_it_is_full) {
    pool_fixture fixture({backend_of("1"), backend_of("2"), backend_of("3")});
    const std::string home = fixture.choose("program");
    for (int index = 0; index < 3; ++index) {
        cr_assert(fixture.choose("program") == home);
    }
    cr_assert(fixture.choose("program") != home);
}

Test(backend_pool, draining_and_excluded_back_ends_get_no_requests) {
    directory::backend draining = backend_of("1");
    draining.draining = true;
    pool_fixture fixture({draining, backend_of("2")});
    cr_assert(fixture.choose() == "2");
    cr_assert(fixture.choose("", {"2"}).empty());
}

Test(backend_pool, rejecting_back_end_is_in_backoff_but_better_than_none) {
    pool_fixture fixture({backend_of("1"), backend_of("2")});
    const std::string refusing = fixture.choose();
    fixture.pool.on_attempt_ended(directory::backend_incarnation(refusing), attempt_result::refused,
                                  milliseconds{1}, fixture.now);
    for (int index = 0; index < 5; ++index) {
        cr_assert(fixture.choose() != refusing);
    }
    cr_assert(fixture.choose("", {refusing == "1" ? "2" : "1"}) == refusing);
    fixture.now += milliseconds{5'000};
    cr_assert(fixture.choose() == refusing, "the backoff has ended and it has no load");
}

Test(backend_pool, removed_back_end_is_dropped_after_its_last_request) {
    pool_fixture fixture({backend_of("1"), backend_of("2")});
    const std::string first = fixture.choose();
    fixture.pool.set_backends({.revision = 2, .backends = {}}, fixture.now);
    fixture.now += milliseconds{1'800};
    cr_assert(fixture.choose().empty());
    fixture.pool.on_attempt_ended(directory::backend_incarnation(first), attempt_result::served,
                                  milliseconds{1}, fixture.now);
    cr_assert(fixture.pool.backend_count("service") == 0);
}

Test(backend_pool, silent_back_end_is_skipped) {
    pool_fixture fixture({backend_of("1"), backend_of("2")});
    const std::string silent_backend = fixture.choose();
    const base::instant started_at = fixture.now;
    fixture.now += milliseconds{800};
    for (int index = 0; index < 5; ++index) {
        cr_assert(fixture.choose() != silent_backend);
        fixture.now += milliseconds{100};
        fixture.pool.on_response_head(
            directory::backend_incarnation(silent_backend == "1" ? "2" : "1"),
            fixture.now - milliseconds{100});
    }
    fixture.pool.on_response_head(directory::backend_incarnation(silent_backend), started_at);
    cr_assert(fixture.choose() == silent_backend, "it has responded and has the lowest load");
}

namespace {

directory::backend_list list_of(const std::vector<std::string>& ids, std::uint64_t revision) {
    directory::backend_list list{.revision = revision, .backends = {}};
    for (const std::string& id : ids) {
        list.backends[id] = backend_of(id);
    }
    return list;
}

}  // namespace

Test(backend_pool, back_ends_that_vanish_together_are_used_during_grace_period) {
    pool_fixture fixture({backend_of("1"), backend_of("2"), backend_of("3")});
    fixture.pool.set_backends(list_of({}, 2), fixture.now);
    const std::string first = fixture.choose();
    cr_assert(!first.empty(), "an empty list may be caused by an outage");
    fixture.pool.on_response_head(directory::backend_incarnation(first), fixture.now);
    fixture.pool.on_attempt_ended(directory::backend_incarnation(first), attempt_result::served,
                                  milliseconds{1}, fixture.now);
    fixture.now += milliseconds{1'000};
    fixture.pool.set_backends(list_of({"1"}, 3), fixture.now);
    std::set<std::string> chosen;
    for (int index = 0; index < 6; ++index) {
        chosen.insert(fixture.choose());
    }
    cr_assert(chosen.size() == 3, "the first listed back end does not receive all load");
    fixture.now += milliseconds{800};
    for (int index = 0; index < 6; ++index) {
        cr_assert(fixture.choose() == "1", "back ends that are still missing are removed");
    }
}

Test(backend_pool, single_vanished_back_end_gets_no_requests) {
    pool_fixture fixture({backend_of("1"), backend_of("2"), backend_of("3"), backend_of("4")});
    fixture.pool.set_backends(list_of({"1", "2", "3"}, 2), fixture.now);
    for (int index = 0; index < 12; ++index) {
        cr_assert(fixture.choose() != "4");
    }
}

Test(backend_pool, back_ends_that_drained_before_vanishing_get_no_requests) {
    pool_fixture fixture({backend_of("1"), backend_of("2"), backend_of("3")});
    directory::backend_list draining = list_of({"1", "2", "3"}, 2);
    draining.backends["2"].draining = true;
    draining.backends["3"].draining = true;
    fixture.pool.set_backends(draining, fixture.now);
    fixture.pool.set_backends(list_of({"1"}, 3), fixture.now);
    for (int index = 0; index < 6; ++index) {
        cr_assert(fixture.choose() == "1");
    }
}

Test(backend_pool, failing_back_end_gets_only_trial_requests) {
    pool_fixture fixture({backend_of("bad"), backend_of("good")});
    for (int index = 0; index < 3; ++index) {
        cr_assert(fixture.pool.choose(
            {.service = "service", .affinity_key = {}, .excluded = {"good"}}, fixture.now));
        fixture.pool.on_response_head(directory::backend_incarnation("bad"), fixture.now);
        fixture.pool.on_attempt_ended(directory::backend_incarnation("bad"), attempt_result::failed,
                                      milliseconds{1}, fixture.now);
    }
    cr_assert(fixture.pool.failing_count(fixture.now) == 1);
    int trials = 0;
    for (int index = 0; index < 100; ++index) {
        const std::string chosen = fixture.choose();
        trials += chosen == "bad" ? 1 : 0;
        fixture.pool.on_response_head(directory::backend_incarnation(chosen), fixture.now);
        fixture.pool.on_attempt_ended(directory::backend_incarnation(chosen),
                                      attempt_result::abandoned, milliseconds{1}, fixture.now);
    }
    cr_assert(trials < 20, "an idle back end that fails immediately must not attract requests");
    fixture.now += milliseconds{3'000};
    cr_assert(fixture.pool.failing_count(fixture.now) == 0, "failures expire");
}

Test(backend_pool, failures_reported_by_other_nodes_are_counted) {
    pool_fixture fixture({backend_of("bad"), backend_of("good")});
    dispatch::shared_load others({});
    fixture.pool.set_shared_load(others);
    others.apply_totals(
        {.is_present = true,
         .collection_time_ms = 1'000,
         .loads =
             {{.backend = dispatch::key_of("bad"), .requests = 0, .served = 300, .failed = 300}}},
        fixture.now);
    cr_assert(fixture.pool.failing_count(fixture.now) == 1);
}

namespace {

/// Load report of a node after an attempt at `dead` with this result.
dispatch::load_totals reported_after(attempt_result result, milliseconds silence) {
    pool_fixture node({backend_of("dead"), backend_of("good")});
    const auto chosen = node.pool.choose(
        {.service = "service", .affinity_key = {}, .excluded = {"good"}}, node.now);
    cr_assert(chosen.has_value());
    const base::instant started_at = node.now;
    node.now += silence;
    cr_assert(node.pool.is_long_silence(chosen->target.incarnation(), silence) ==
              (result != attempt_result::abandoned));
    node.pool.on_response_head(chosen->target.incarnation(), started_at);
    node.pool.on_attempt_ended(chosen->target.incarnation(), result, silence, node.now);
    return {
        .is_present = true, .collection_time_ms = 1'000, .loads = node.pool.own_loads(node.now)};
}

/// Returns how many of 100 requests of a program go to `dead`, which executed its previous turn.
int requests_at_dead(const dispatch::load_totals& reported) {
    pool_fixture node({backend_of("dead"), backend_of("good")});
    dispatch::shared_load others({});
    node.pool.set_shared_load(others);
    others.apply_totals(reported, node.now);
    int count = 0;
    for (int index = 0; index < 100; ++index) {
        auto chosen = node.pool.choose({.service = "service",
                                        .affinity_key = "program",
                                        .excluded = {},
                                        .region_limits = {},
                                        .without_permit = {},
                                        .prompt_tokens = 500,
                                        .is_first = false,
                                        .previous_backend = dispatch::key_of("dead")},
                                       node.now);
        count += chosen->target.id == "dead" ? 1 : 0;
        node.pool.withdraw(*chosen, node.now, node.now);
    }
    return count;
}

}  // namespace

// Retries of a program arrive through other nodes, which all know where its previous turn was
// executed.
Test(backend_pool, silent_back_end_is_skipped_by_other_nodes) {
    cr_assert(requests_at_dead(reported_after(attempt_result::silent, milliseconds{2'000})) < 20);
}

Test(backend_pool, replaced_back_end_is_skipped_by_other_nodes) {
    cr_assert(requests_at_dead(reported_after(attempt_result::not_there, milliseconds{800})) < 20);
}

// Callers that give up early are no evidence against the back end.
Test(backend_pool, abandoned_attempt_does_not_count_as_failure) {
    const auto reported = reported_after(attempt_result::abandoned, milliseconds{300});
    cr_assert(reported.loads.empty());
}

Test(backend_pool, replaced_back_end_is_in_backoff_until_list_is_updated) {
    pool_fixture fixture({backend_of("dead"), backend_of("good")});
    const auto chosen = fixture.pool.choose(
        {.service = "service", .affinity_key = {}, .excluded = {"good"}}, fixture.now);
    fixture.pool.on_response_head(chosen->target.incarnation(), fixture.now);
    fixture.pool.on_attempt_ended(chosen->target.incarnation(), attempt_result::not_there,
                                  milliseconds{1}, fixture.now);
    fixture.now += milliseconds{3'600};
    for (int index = 0; index < 12; ++index) {
        cr_assert(fixture.choose() == "good");
    }
    // A new incarnation starts without failures.
    directory::backend again = backend_of("dead");
    again.started_at = 7;
    fixture.pool.set_backends({.revision = 9, .backends = {{"dead", again}}}, fixture.now);
    cr_assert(fixture.choose() == "dead");
}

Test(backend_pool, load_of_other_nodes_is_counted) {
    pool_fixture fixture({backend_of("busy"), backend_of("idle")});
    dispatch::shared_load others({});
    fixture.pool.set_shared_load(others);
    others.apply_totals({.is_present = true,
                         .collection_time_ms = 1'000,
                         .loads = {{.backend = dispatch::key_of("busy"), .requests = 5}}},
                        fixture.now);
    for (int index = 0; index < 5; ++index) {
        cr_assert(fixture.choose() == "idle");
    }
}

Test(backend_pool, slow_back_end_gets_fewer_requests) {
    pool_fixture fixture({backend_of("slow"), backend_of("1"), backend_of("2")});
    fixture.pool.record_event(directory::backend_incarnation("slow"), milliseconds{100},
                              fixture.now);
    fixture.pool.record_event(directory::backend_incarnation("1"), milliseconds{20}, fixture.now);
    fixture.pool.record_event(directory::backend_incarnation("2"), milliseconds{20}, fixture.now);
    std::map<std::string, int> taken;
    for (int index = 0; index < 22; ++index) {
        ++taken[fixture.choose()];
    }
    cr_assert(taken["slow"] == 2, "a fifth of the others' share");
}

namespace {

/// One of many nodes in front of 60 back ends in three zones.
struct large_pool {
    explicit large_pool(const std::string& node, base::milliseconds between)
        : between(between), pool({.node = node, .zone = "a"}, random) {
        directory::backend_list list{.revision = 1, .backends = {}};
        for (int index = 0; index < 60; ++index) {
            const std::string id = std::to_string(index);
            list.backends[id] = backend_of(id, std::string(1, static_cast<char>('a' + index % 3)));
        }
        pool.set_backends(list, now);
    }
    /// Sends sequential requests and returns the number per back end.
    std::map<std::string, int> use(int requests, bool with_keys = false) {
        std::map<std::string, int> used;
        for (int index = 0; index < requests; ++index) {
            now += between;
            const auto chosen =
                pool.choose({.service = "service",
                             .affinity_key = with_keys ? "program-" + std::to_string(index) : "",
                             .excluded = {}},
                            now);
            ++used[chosen->target.id];
            pool.on_response_head(chosen->target.incarnation(), now);
            pool.on_attempt_ended(chosen->target.incarnation(), attempt_result::served,
                                  milliseconds{1}, now);
        }
        return used;
    }
    std::set<std::string> zones_of(const std::map<std::string, int>& used) const {
        std::set<std::string> zones;
        for (const auto& [id, count] : used) {
            zones.insert(std::string(1, static_cast<char>('a' + std::stoi(id) % 3)));
        }
        return zones;
    }

    base::random_source random{7};
    base::milliseconds between;
    base::instant now{};
    backend_pool pool;
};

}  // namespace

// With few back ends in a zone, the load of that zone would not be balanced.
Test(backend_pool, programs_spread_over_zones_with_few_back_ends) {
    std::vector<directory::backend> backends;
    for (int index = 0; index < 12; ++index) {
        backends.push_back(
            backend_of(std::to_string(index), std::string(1, static_cast<char>('a' + index % 3))));
    }
    pool_fixture fixture(backends);
    std::set<std::string> used;
    for (int index = 0; index < 200; ++index) {
        const std::string id = fixture.choose("program-" + std::to_string(index));
        fixture.pool.on_attempt_ended(directory::backend_incarnation(id), attempt_result::served,
                                      milliseconds{1}, fixture.now);
        used.insert(id);
    }
    cr_assert(used.size() == 12, "%zu of 12", used.size());
}

// Opening a connection for each request costs the back end a handshake.
Test(backend_pool, node_with_few_requests_reuses_few_back_ends) {
    large_pool node("edge-1", milliseconds{250});
    const auto used = node.use(400);
    cr_assert(used.size() <= 7, "%zu back ends for four requests a second", used.size());
    cr_assert(node.zones_of(used) == std::set<std::string>{"a"}, "all in its own zone");
    const auto often =
        std::count_if(used.begin(), used.end(), [](const auto& one) { return one.second > 30; });
    cr_assert(often >= 5, "%ld are used again within seconds", static_cast<long>(often));
}

Test(backend_pool, all_nodes_of_a_zone_select_the_same_back_end_for_a_program) {
    large_pool one("edge-1", milliseconds{250});
    large_pool another("edge-2", milliseconds{250});
    const auto used = one.use(100, true);
    cr_assert(used == another.use(100, true));
    cr_assert(one.zones_of(used) == std::set<std::string>{"a"});
    cr_assert(used.size() > 15, "%zu of 20 in the zone", used.size());
}

Test(backend_pool, node_with_many_requests_uses_more_back_ends) {
    large_pool node("edge-1", milliseconds{40});
    node.use(100);
    cr_assert(node.use(1'000).size() == 20, "all back ends of its zone, one request at a time");
}

Test(backend_pool, nodes_use_all_back_ends_of_their_zone_evenly) {
    std::map<std::string, int> used;
    for (int node = 0; node < 40; ++node) {
        large_pool one("edge-" + std::to_string(node), milliseconds{300});
        for (const auto& [id, count] : one.use(100)) {
            used[id] += count;
        }
    }
    cr_assert(used.size() == 20, "%zu of 20 in the zone", used.size());
    const int mean = 40 * 100 / 20;
    for (const auto& [id, count] : used) {
        cr_assert(count > mean / 4 && count < mean * 2.5, "%d requests, %d in the mean", count,
                  mean);
    }
}

Test(backend_pool, requests_overflow_from_full_preferred_back_ends) {
    large_pool node("edge-1", milliseconds{250});
    node.use(40);
    std::map<std::string, int> used;
    for (int index = 0; index < 20; ++index) {
        ++used[node.pool
                   .choose({.service = "service", .affinity_key = "", .excluded = {}}, node.now)
                   ->target.id];
    }
    for (const auto& [id, count] : used) {
        cr_assert(count <= 3, "%d concurrent requests at four slots", count);
    }
}

Test(backend_pool, failed_preferred_back_ends_are_replaced) {
    large_pool node("edge-1", milliseconds{250});
    node.use(100);
    std::set<std::string> failed;
    for (int failure = 0; failure < 15; ++failure) {
        const auto chosen =
            node.pool.choose({.service = "service", .affinity_key = "", .excluded = {}}, node.now);
        cr_assert(chosen->target.zone == "a", "the next of its own zone");
        cr_assert(failed.insert(chosen->target.id).second, "a failed back end is in backoff");
        node.pool.on_attempt_ended(chosen->target.incarnation(), attempt_result::unreachable,
                                   milliseconds{1}, node.now);
    }
}

namespace {

/// Two back ends of a service with cold starts. `c` has just started.
struct cold_fixture {
    cold_fixture() {
        directory::configuration config;
        config.services.push_back({.name = "service", .cold_start_ms = 3'000, .cold_rate = 32});
        cold.set_configuration(config);
        directory::backend_list list{.revision = 1, .backends = {{"w", backend_of("w")}}};
        cold.set_backends(list, now);
        now += milliseconds{60'000};
        list.backends["c"] = backend_of("c");
        cold.set_backends(list, now);
        pool.set_backends(list, now);
        pool.set_cold_table(cold);
    }

    slowstart::cold_table cold;
    base::random_source random{7};
    base::instant now{};
    backend_pool pool{{.zone = "a"}, random};
};

}  // namespace

Test(backend_pool, cold_back_end_is_reported_and_skipped_after_rejected_permit) {
    cold_fixture fixture;
    for (int index = 0; index < 4; ++index) {
        const auto chosen = fixture.pool.choose({.service = "service"}, fixture.now);
        cr_assert(chosen->cold.has_value() == (chosen->target.id == "c"));
        const auto other =
            fixture.pool.choose({.service = "service", .without_permit = {"x"}}, fixture.now);
        cr_assert(other->target.id == "w",
                  "a warm back end is preferred after a permit was rejected");
    }
    const auto only = fixture.pool.choose(
        {.service = "service", .excluded = {"w"}, .without_permit = {"x"}}, fixture.now);
    cr_assert(only->target.id == "c");
    cr_assert(!fixture.pool
                   .choose({.service = "service", .excluded = {"w"}, .without_permit = {"c"}},
                           fixture.now)
                   .has_value());
}

Test(backend_pool, slow_cold_back_end_is_not_skipped) {
    cold_fixture fixture;
    const auto first = fixture.pool.choose({.service = "service", .excluded = {"w"}}, fixture.now);
    cr_assert(first->target.id == "c");
    fixture.now += milliseconds{1'000};
    const auto second = fixture.pool.choose({.service = "service"}, fixture.now);
    cr_assert(second->candidates == 2);
    fixture.pool.on_response_head(second->target.incarnation(), fixture.now);
    fixture.now += milliseconds{3'000};
    cr_assert(fixture.pool.choose({.service = "service"}, fixture.now)->candidates == 1,
              "a slow warm back end is skipped");
}

Test(backend_pool, unreachable_back_end_is_cold_after_it_recovers) {
    cold_fixture fixture;
    fixture.now += milliseconds{10'000};
    cr_assert(!fixture.cold.is_cold("c", fixture.now));
    fixture.pool.choose({.service = "service", .excluded = {"w"}}, fixture.now);
    fixture.pool.on_response_head(directory::backend_incarnation("c"), fixture.now);
    fixture.pool.on_attempt_ended(directory::backend_incarnation("c"), attempt_result::unreachable,
                                  milliseconds{0}, fixture.now);
    fixture.now += milliseconds{10'000};
    fixture.pool.choose({.service = "service", .excluded = {"w"}}, fixture.now);
    fixture.pool.on_response_head(directory::backend_incarnation("c"), fixture.now);
    fixture.pool.on_attempt_ended(directory::backend_incarnation("c"), attempt_result::served,
                                  milliseconds{5}, fixture.now);
    cr_assert(fixture.cold.is_cold("c", fixture.now + milliseconds{2'999}));
    cr_assert(!fixture.cold.is_cold("c", fixture.now + milliseconds{3'000}));
}

Test(backend_pool, slots_of_mostly_cold_service_are_limited_by_its_rate) {
    cold_fixture fixture;
    fixture.pool.record_service_time(directory::backend_incarnation("w"), milliseconds{50});
    cr_assert(fixture.pool.load_of("service", fixture.now).slots == 8, "one of two is cold");
    directory::backend_list list{.revision = 2,
                                 .backends = {{"c", backend_of("c")}, {"d", backend_of("d")}}};
    fixture.cold.set_backends(list, fixture.now);
    fixture.pool.set_backends(list, fixture.now);
    // At 32 requests per second of 0.05 s each, 1.6 run concurrently.
    cr_assert_float_eq(fixture.pool.load_of("service", fixture.now).slots, 3.2, 1e-9);
    fixture.now += milliseconds{3'000};
    cr_assert(fixture.pool.load_of("service", fixture.now).slots == 8, "both are warm");
}

// Callers leave one back end at once, and wait for the others.
Test(backend_pool, back_end_whose_callers_leave_first_attracts_no_more_requests) {
    pool_fixture fixture({backend_of("left"), backend_of("b"), backend_of("c"), backend_of("d")});
    std::map<std::string, int> sent;
    std::multimap<base::instant, std::string> ends;
    for (int step = 0; step < 4'000; ++step) {
        fixture.now += base::milliseconds{2};
        while (!ends.empty() && ends.begin()->first <= fixture.now) {
            const directory::backend_incarnation ended(ends.begin()->second);
            ends.erase(ends.begin());
            fixture.pool.record_service_time(ended, base::milliseconds{20});
            fixture.pool.on_attempt_ended(ended, attempt_result::served, base::milliseconds{20},
                                          fixture.now);
        }
        const std::string chosen = fixture.choose();
        fixture.pool.on_response_head(directory::backend_incarnation(chosen), fixture.now);
        ++sent[chosen];
        if (chosen == "left") {
            fixture.pool.on_attempt_ended(directory::backend_incarnation(chosen),
                                          attempt_result::abandoned, base::milliseconds{0},
                                          fixture.now);
        } else {
            ends.emplace(fixture.now + base::milliseconds{20}, chosen);
        }
    }
    cr_assert(sent["left"] < 4'000 * 3 / 10, "%d of 4,000", sent["left"]);
}
