// Back ends that restart under the same id.
#include <string>
#include <utility>

#include "pearbarrow/dispatch/shared_load.h"
#include "pearbarrow/forward/backend_pool.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::forward;
using base::milliseconds;

namespace {

constexpr std::uint64_t first_start = 1'764'710'400'000;
constexpr std::uint64_t second_start = first_start + 20'000;

directory::backend incarnation_of(const std::string& id, std::uint64_t started_at) {
    return {.id = id, .service = "service", .zone = "a", .slots = 4, .started_at = started_at};
}

struct incarnations_fixture {
    incarnations_fixture() {
        list({incarnation_of("again", first_start), incarnation_of("other", first_start)});
    }

    void list(const std::vector<directory::backend>& backends) {
        directory::backend_list next{.revision = ++revision, .backends = {}};
        for (const auto& backend : backends) {
            next.backends[backend.id] = backend;
        }
        pool.set_backends(next, now);
    }
    void restart(std::uint64_t started_at = second_start) {
        list({incarnation_of("again", started_at), incarnation_of("other", first_start)});
    }
    /// Sends a request to the back end that restarts.
    directory::backend send() {
        const auto chosen =
            pool.choose({.service = "service", .affinity_key = "", .excluded = {"other"}}, now);
        cr_assert(chosen.has_value() && chosen->target.id == "again");
        return chosen->target;
    }
    void end(const directory::backend& target, attempt_result result,
             milliseconds took = milliseconds{1}) {
        pool.on_response_head(target.incarnation(), now);
        pool.on_attempt_ended(target.incarnation(), result, took, now);
    }
    std::uint32_t in_flight() const {
        const auto loads = pool.own_loads(now);
        return loads.empty() ? 0 : loads.front().requests;
    }
    /// Returns how many of `choices` selections select the back end that restarts.
    int share_of(int choices) {
        int found = 0;
        for (int index = 0; index < choices; ++index) {
            const auto chosen = pool.choose({.service = "service"}, now);
            found += chosen->target.id == "again" ? 1 : 0;
            end(chosen->target, attempt_result::abandoned);
        }
        return found;
    }

    base::random_source random{7};
    base::instant now{std::chrono::seconds{100}};
    std::uint64_t revision = 0;
    backend_pool pool{{.zone = "a"}, random};
};

}  // namespace

Test(backend_runs, in_flight_requests_of_previous_incarnation_are_not_counted) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    fixture.send();
    fixture.restart();
    cr_assert(fixture.in_flight() == 0);
    fixture.send();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.in_flight() == 1, "a request of the previous incarnation is not subtracted");
}

Test(backend_runs, backoff_of_previous_incarnation_ends) {
    incarnations_fixture fixture;
    for (int index = 0; index < 6; ++index) {
        fixture.end(fixture.send(), attempt_result::unreachable);
    }
    cr_assert(fixture.share_of(10) == 0);
    fixture.restart();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, failure_of_previous_incarnation_causes_no_backoff) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    fixture.restart();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0);
    cr_assert(fixture.pool.failing_count(fixture.now) == 0);
}

Test(backend_runs, silence_of_previous_incarnation_is_ignored) {
    incarnations_fixture fixture;
    fixture.send();
    fixture.now += milliseconds{5'000};
    cr_assert(fixture.share_of(10) == 0);
    fixture.restart();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, response_of_previous_incarnation_does_not_end_silence) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    const base::instant started_at = fixture.now;
    fixture.restart();
    fixture.send();
    fixture.now += milliseconds{5'000};
    fixture.pool.on_response_head(before.incarnation(), started_at);
    cr_assert(fixture.share_of(10) == 0, "the current incarnation has not responded");
}

Test(backend_runs, results_and_mean_times_are_reset) {
    incarnations_fixture fixture;
    for (int index = 0; index < 4; ++index) {
        fixture.end(fixture.send(), attempt_result::failed);
    }
    fixture.end(fixture.send(), attempt_result::served, milliseconds{4'000});
    const auto before = fixture.send();
    fixture.pool.record_event(before.incarnation(), milliseconds{400}, fixture.now);
    cr_assert(fixture.pool.failing_count(fixture.now) == 1);
    fixture.restart();
    cr_assert(fixture.pool.failing_count(fixture.now) == 0);
    const auto usual =
        fixture.pool.patience(incarnation_of("none", 0).incarnation(), milliseconds{100});
    cr_assert(fixture.pool.patience(incarnation_of("again", second_start).incarnation(),
                                    milliseconds{100}) == usual);
    fixture.pool.record_event(before.incarnation(), milliseconds{400}, fixture.now);
    fixture.end(before, attempt_result::served, milliseconds{4'000});
    fixture.send();
    cr_assert(fixture.pool.own_loads(fixture.now).front().event_interval_us == 0);
}

Test(backend_runs, remote_load_of_previous_incarnation_is_ignored) {
    incarnations_fixture fixture;
    dispatch::shared_load load({});
    fixture.pool.set_shared_load(load);
    fixture.send();
    auto reported = fixture.pool.own_loads(fixture.now).front();
    reported.requests = 50;
    load.apply_totals({.is_present = true, .collection_time_ms = 5'000, .loads = {reported}},
                      fixture.now);
    cr_assert(fixture.share_of(10) == 0);
    fixture.restart();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, drained_back_end_gets_requests_after_restart) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    auto draining = incarnation_of("again", first_start);
    draining.draining = true;
    fixture.list({draining, incarnation_of("other", first_start)});
    cr_assert(fixture.share_of(10) == 0);
    fixture.restart();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

Test(backend_runs, latest_of_two_restarts_within_a_second_is_used) {
    incarnations_fixture fixture;
    const auto first = fixture.send();
    fixture.restart(second_start);
    const auto second = fixture.send();
    fixture.restart(second_start + 400);
    fixture.end(first, attempt_result::unreachable);
    fixture.end(second, attempt_result::unreachable);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

Test(backend_runs, restart_with_earlier_clock_is_a_new_incarnation) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    fixture.restart(first_start - 60'000);
    cr_assert(fixture.in_flight() == 0);
    fixture.send();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.in_flight() == 1);
}

// During an outage of the directory service all entries vanish, and one back end restarts
// meanwhile.
Test(backend_runs, restart_while_not_listed_is_a_new_incarnation) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    fixture.list({});
    fixture.now += milliseconds{1'000};
    fixture.restart();
    cr_assert(fixture.in_flight() == 0);
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

// During a network partition, requests neither complete nor fail before their timeout.
Test(backend_runs, requests_that_end_after_restart_are_ignored) {
    incarnations_fixture fixture;
    const auto before = fixture.send();
    fixture.now += milliseconds{4'000};
    fixture.restart();
    const auto after = fixture.send();
    fixture.now += milliseconds{4'000};
    fixture.end(before, attempt_result::served, milliseconds{8'000});
    fixture.end(after, attempt_result::abandoned);
    cr_assert(fixture.in_flight() == 0);
    const auto usual =
        fixture.pool.patience(incarnation_of("none", 0).incarnation(), milliseconds{100});
    cr_assert(fixture.pool.patience(after.incarnation(), milliseconds{100}) == usual);
}

Test(backend_runs, updated_entry_of_same_incarnation_keeps_state) {
    incarnations_fixture fixture;
    fixture.send();
    auto changed = incarnation_of("again", first_start);
    changed.cold_left_ms = 900;
    fixture.list({changed, incarnation_of("other", first_start)});
    cr_assert(fixture.in_flight() == 1);
}
