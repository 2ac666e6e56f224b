// A back end that starts again under the id that it had.
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

directory::backend run_of(const std::string& id, std::uint64_t started_at) {
    return {.id = id, .service = "service", .zone = "a", .slots = 4, .started_at = started_at};
}

struct runs_fixture {
    runs_fixture() { list({run_of("again", first_start), run_of("other", first_start)}); }

    void list(const std::vector<directory::backend>& backends) {
        directory::backend_list next{.revision = ++revision, .backends = {}};
        for (const auto& backend : backends) {
            next.backends[backend.id] = backend;
        }
        pool.set_backends(next, now);
    }
    void start_again(std::uint64_t started_at = second_start) {
        list({run_of("again", started_at), run_of("other", first_start)});
    }
    /// Sends to the back end that starts again.
    directory::backend send() {
        const auto chosen =
            pool.choose({.service = "service", .affinity_key = "", .excluded = {"other"}}, now);
        cr_assert(chosen.has_value() && chosen->target.id == "again");
        return chosen->target;
    }
    void end(const directory::backend& target, attempt_result result,
             milliseconds took = milliseconds{1}) {
        pool.answered(target.run(), now);
        pool.ended(target.run(), result, took, now);
    }
    std::uint32_t in_flight() const {
        const auto loads = pool.own_loads(now);
        return loads.empty() ? 0 : loads.front().requests;
    }
    /// How many of so many choices fall on it.
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

Test(backend_runs, requests_of_the_run_before_are_not_under_way_at_the_next) {
    runs_fixture fixture;
    const auto before = fixture.send();
    fixture.send();
    fixture.start_again();
    cr_assert(fixture.in_flight() == 0);
    fixture.send();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.in_flight() == 1, "the end of an earlier run's request takes none away");
}

Test(backend_runs, the_rest_of_the_run_before_is_over) {
    runs_fixture fixture;
    for (int index = 0; index < 6; ++index) {
        fixture.end(fixture.send(), attempt_result::unreachable);
    }
    cr_assert(fixture.share_of(10) == 0);
    fixture.start_again();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, a_failure_of_the_run_before_lets_the_next_not_rest) {
    runs_fixture fixture;
    const auto before = fixture.send();
    fixture.start_again();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0);
    cr_assert(fixture.pool.failing_count(fixture.now) == 0);
}

Test(backend_runs, silence_of_the_run_before_is_none_of_the_next) {
    runs_fixture fixture;
    fixture.send();
    fixture.now += milliseconds{5'000};
    cr_assert(fixture.share_of(10) == 0);
    fixture.start_again();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, an_answer_of_the_run_before_ends_no_silence_of_the_next) {
    runs_fixture fixture;
    const auto before = fixture.send();
    const base::instant began = fixture.now;
    fixture.start_again();
    fixture.send();
    fixture.now += milliseconds{5'000};
    fixture.pool.answered(before.run(), began);
    cr_assert(fixture.share_of(10) == 0, "the present run has not answered");
}

Test(backend_runs, its_results_and_mean_times_start_anew) {
    runs_fixture fixture;
    for (int index = 0; index < 4; ++index) {
        fixture.end(fixture.send(), attempt_result::failed);
    }
    fixture.end(fixture.send(), attempt_result::served, milliseconds{4'000});
    const auto before = fixture.send();
    fixture.pool.note_event(before.run(), milliseconds{400}, fixture.now);
    cr_assert(fixture.pool.failing_count(fixture.now) == 1);
    fixture.start_again();
    cr_assert(fixture.pool.failing_count(fixture.now) == 0);
    const auto usual = fixture.pool.patience(run_of("none", 0).run(), milliseconds{100});
    cr_assert(fixture.pool.patience(run_of("again", second_start).run(), milliseconds{100}) ==
              usual);
    fixture.pool.note_event(before.run(), milliseconds{400}, fixture.now);
    fixture.end(before, attempt_result::served, milliseconds{4'000});
    fixture.send();
    cr_assert(fixture.pool.own_loads(fixture.now).front().pace_us == 0);
}

Test(backend_runs, what_other_nodes_have_at_the_run_before_is_no_load_of_the_next) {
    runs_fixture fixture;
    dispatch::shared_load load({});
    fixture.pool.set_shared_load(load);
    fixture.send();
    auto told = fixture.pool.own_loads(fixture.now).front();
    told.requests = 50;
    load.take({.is_given = true, .gathered_ms = 5'000, .loads = {told}}, fixture.now);
    cr_assert(fixture.share_of(10) == 0);
    fixture.start_again();
    cr_assert(fixture.share_of(10) > 0);
}

Test(backend_runs, one_that_drained_takes_requests_when_it_has_started_again) {
    runs_fixture fixture;
    const auto before = fixture.send();
    auto draining = run_of("again", first_start);
    draining.draining = true;
    fixture.list({draining, run_of("other", first_start)});
    cr_assert(fixture.share_of(10) == 0);
    fixture.start_again();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

Test(backend_runs, twice_in_a_second_the_last_one_counts) {
    runs_fixture fixture;
    const auto first = fixture.send();
    fixture.start_again(second_start);
    const auto second = fixture.send();
    fixture.start_again(second_start + 400);
    fixture.end(first, attempt_result::unreachable);
    fixture.end(second, attempt_result::unreachable);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

Test(backend_runs, one_whose_clock_was_set_back_is_another_run_all_the_same) {
    runs_fixture fixture;
    const auto before = fixture.send();
    fixture.start_again(first_start - 60'000);
    cr_assert(fixture.in_flight() == 0);
    fixture.send();
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.in_flight() == 1);
}

// The entries of all vanish in an outage of the outside service; one has started again meanwhile.
Test(backend_runs, one_that_starts_again_while_its_entry_is_away_is_another_run) {
    runs_fixture fixture;
    const auto before = fixture.send();
    fixture.list({});
    fixture.now += milliseconds{1'000};
    fixture.start_again();
    cr_assert(fixture.in_flight() == 0);
    fixture.end(before, attempt_result::broken);
    cr_assert(fixture.share_of(10) > 0 && fixture.in_flight() == 0);
}

// Behind a cut its requests neither end nor break until their time is up.
Test(backend_runs, requests_that_end_long_after_the_restart_count_for_nobody) {
    runs_fixture fixture;
    const auto before = fixture.send();
    fixture.now += milliseconds{4'000};
    fixture.start_again();
    const auto after = fixture.send();
    fixture.now += milliseconds{4'000};
    fixture.end(before, attempt_result::served, milliseconds{8'000});
    fixture.end(after, attempt_result::abandoned);
    cr_assert(fixture.in_flight() == 0);
    const auto usual = fixture.pool.patience(run_of("none", 0).run(), milliseconds{100});
    cr_assert(fixture.pool.patience(after.run(), milliseconds{100}) == usual);
}

Test(backend_runs, the_same_run_listed_again_keeps_what_is_known) {
    runs_fixture fixture;
    fixture.send();
    auto changed = run_of("again", first_start);
    changed.cold_left_ms = 900;
    fixture.list({changed, run_of("other", first_start)});
    cr_assert(fixture.in_flight() == 1);
}
