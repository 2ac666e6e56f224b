#include "pearbarrow/suspects/suspect_table.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::suspects;
using std::chrono::milliseconds;

namespace {

/// Digests have a fixed length.
std::string digest_of(const std::string& name) {
    return name + std::string(32 - name.size(), '0');
}

suspect suspect_at(const std::string& name, const std::vector<std::string>& backends,
                   const std::string& tenant = "") {
    suspect reported{.scope = 1, .digest = digest_of(name), .tenant = tenant, .service = "model"};
    for (const std::string& backend : backends) {
        reported.ends.push_back({.backend = backend, .request = name + " at " + backend});
    }
    return reported;
}

suspect unproved(const std::string& name,
                 const std::vector<std::pair<std::string, end_evidence>>& attempts) {
    suspect reported = suspect_at(name, {});
    for (const auto& [backend, evidence] : attempts) {
        reported.unproved.push_back({.backend = backend,
                                     .request = name + " at " + backend,
                                     .evidence = evidence,
                                     .sent_age_ms = 10});
    }
    return reported;
}

struct table_fixture {
    explicit table_fixture(suspect_options options = {}) : table(options) {}

    bool merge(const suspect& reported) { return this->table.merge(reported, this->now); }
    suspect_status status(const std::string& name) const {
        return this->table.status_of(digest_of(name), this->now);
    }

    suspect_table table;
    base::instant now{std::chrono::hours{1}};
};

}  // namespace

Test(suspect_table, request_is_blocked_after_three_ends) {
    table_fixture known;
    cr_assert(!known.merge(suspect_at("a", {"b1"})));
    cr_assert(!known.merge(suspect_at("a", {"b2"})));
    cr_assert(!known.status("a").is_blocked && known.status("a").ends == 2);
    cr_assert(known.merge(suspect_at("a", {"b3"})));
    cr_assert(known.status("a").is_blocked);
    cr_assert(known.status("a").retry_after == milliseconds{600'000});
    cr_assert(known.table.blocked_count(known.now) == 1);
}

Test(suspect_table, repeated_report_of_an_end_counts_once) {
    table_fixture known;
    for (int index = 0; index < 5; ++index) {
        known.merge(suspect_at("a", {"b1", "b2"}));
    }
    cr_assert(known.status("a").ends == 2);
}

Test(suspect_table, later_incarnation_of_a_back_end_counts_again) {
    table_fixture known;
    suspect reported = suspect_at("a", {"b1", "b1"});
    reported.ends[1].started_at = 5;
    known.merge(reported);
    cr_assert(known.status("a").ends == 2);
}

Test(suspect_table, one_report_makes_up_for_missed_ones) {
    table_fixture known;
    cr_assert(known.merge(suspect_at("a", {"b1", "b2", "b3"})));
    cr_assert(known.status("a").is_blocked);
}

namespace {

suspect reserved(const std::string& name, const std::vector<std::string>& requests) {
    suspect reported = suspect_at(name, {});
    reported.is_reserved = true;
    for (const std::string& request : requests) {
        reported.unproved.push_back({.request = request, .evidence = end_evidence::reserved});
    }
    return reported;
}

}  // namespace

Test(suspect_table, reservations_of_unknown_back_ends_count_one_by_one) {
    table_fixture known;
    known.merge(reserved("a", {"a.1"}));
    cr_assert(known.status("a").possible_ends == 1 && known.status("a").is_only_reserved);
    known.merge(reserved("a", {"a.1", "a.2"}));
    cr_assert(known.status("a").possible_ends == 2 && !known.status("a").is_only_reserved);
    known.merge(reserved("a", {"a.3"}));
    cr_assert(known.status("a").is_held && !known.status("a").is_blocked);
}

Test(suspect_table, reservation_and_report_of_one_attempt_count_once) {
    for (const bool is_reserved_first : {true, false}) {
        table_fixture known;
        suspect reported = suspect_at("a", {"b1"});
        const suspect record = reserved("a", {reported.ends.front().request});
        known.merge(is_reserved_first ? record : reported);
        known.merge(is_reserved_first ? reported : record);
        cr_assert(known.status("a").possible_ends == 1 && known.status("a").ends == 1);
    }
}

Test(suspect_table, reservation_is_excused_by_the_id_of_its_request) {
    table_fixture known;
    known.merge(reserved("a", {"a.1", "a.2"}));
    cr_assert(known.table.excuse_attempt(digest_of("a"), "a.1", "b1"));
    cr_assert(known.status("a").possible_ends == 1);
}

Test(suspect_table, reservation_without_a_result_keeps_no_back_end_to_itself) {
    table_fixture known;
    known.merge(reserved("a", {"a.1"}));
    const isolation_plan plan = known.table.plan("model", {"b1", "b2", "b3"}, known.now);
    cr_assert(plan.trials.empty() && plan.reserved.empty());
}

Test(suspect_table, lost_attempts_reserve_no_back_end_for_the_last_trial) {
    table_fixture known;
    known.merge(reserved("a", {"a.1"}));
    known.merge(unproved("a", {{"b1", end_evidence::connection_lost}}));
    const std::vector<std::string> backends{"b1", "b2", "b3", "b4", "b5"};
    cr_assert(known.table.plan("model", backends, known.now).trials.size() == 1);
    cr_assert(known.table.plan("model", backends, known.now).reserved.empty());
    known.merge(unproved("a", {{"b2", end_evidence::connection_lost}}));
    cr_assert(known.status("a").is_held);
}

Test(suspect_table, attempts_without_a_result_block_the_request_after_a_time) {
    table_fixture known;
    known.merge(reserved("a", {"a.1", "a.2", "a.3"}));
    cr_assert(known.status("a").resolves_soon);
    known.now += milliseconds{5'000};
    cr_assert(known.status("a").is_held && !known.status("a").resolves_soon);
    known.now += suspect_options().open_attempt_time;
    cr_assert(known.status("a").is_blocked);
}

Test(suspect_table, completed_request_is_excused) {
    table_fixture known;
    known.merge(suspect_at("a", {"b1", "b2"}));
    cr_assert(known.table.excuse(digest_of("a"), known.now));
    cr_assert(!known.table.excuse(digest_of("a"), known.now));
    cr_assert(known.status("a").ends == 0);
    // A report that was under way does not take the excuse back.
    known.merge(suspect_at("a", {"b1", "b2"}));
    cr_assert(known.status("a").ends == 0);
    known.merge(suspect_at("a", {"b3"}));
    cr_assert(known.status("a").ends == 1);
}

Test(suspect_table, excuse_reaches_other_nodes) {
    table_fixture first;
    table_fixture second;
    second.merge(suspect_at("a", {"b1", "b2", "b3"}));
    first.merge(suspect_at("a", {"b1", "b2", "b3"}));
    first.table.excuse(digest_of("a"), first.now);
    second.merge(*first.table.find(digest_of("a"), first.now));
    cr_assert(!second.status("a").is_blocked);
}

Test(suspect_table, request_with_three_ends_is_blocked_although_others_shared_them) {
    table_fixture known;
    known.merge(suspect_at("first", {"b1", "b2"}));
    known.merge(suspect_at("second", {"b1", "b2"}));
    cr_assert(known.merge(suspect_at("first", {"b3"})));
    cr_assert(known.merge(suspect_at("second", {"b3"})));
    cr_assert(known.merge(suspect_at("late", {"b2", "b3", "b5"})));
}

Test(suspect_table, one_explained_end_does_not_excuse_a_second_lethal_request) {
    table_fixture known;
    known.merge(suspect_at("lethal", {"b1", "b2", "b3"}));
    cr_assert(known.merge(suspect_at("second", {"b3", "b4", "b5"})));
}

Test(suspect_table, order_of_reports_does_not_matter) {
    const std::vector<suspect> reports{suspect_at("lethal", {"b1", "b2", "b3"}),
                                       suspect_at("beside", {"b1", "b2"}),
                                       suspect_at("other", {"b4"})};
    for (std::size_t first = 0; first < reports.size(); ++first) {
        table_fixture known;
        for (std::size_t index = 0; index < reports.size(); ++index) {
            known.merge(reports[(first + index) % reports.size()]);
        }
        cr_assert(known.status("lethal").is_blocked);
        cr_assert(!known.status("beside").is_blocked && known.status("beside").ends == 2);
        cr_assert(known.status("other").ends == 1);
    }
}

Test(suspect_table, request_with_three_ends_is_blocked_in_a_series_of_crashes) {
    table_fixture known;
    for (int index = 0; index < 5; ++index) {
        const std::string number = std::to_string(index);
        known.merge(suspect_at("other" + number, {"x" + number}));
        known.table.excuse(digest_of("other" + number), known.now);
    }
    cr_assert(known.merge(suspect_at("a", {"b1", "b2", "b3"})));
    known.now += milliseconds{56'000};
    known.merge(suspect_at("new", {"y1"}));
    cr_assert(known.status("a").is_blocked);
}

Test(suspect_table, ends_of_other_lethal_requests_are_no_series) {
    table_fixture known;
    for (int index = 0; index < 5; ++index) {
        const std::string number = std::to_string(index);
        known.merge(suspect_at("lethal" + number, {"x" + number, "y" + number}));
    }
    cr_assert(known.merge(suspect_at("a", {"b1", "b2", "b3"})));
}

Test(suspect_table, crashes_of_another_service_or_time_are_no_series) {
    table_fixture known;
    for (int index = 0; index < 5; ++index) {
        const std::string number = std::to_string(index);
        suspect tool = suspect_at("tool" + number, {"t" + number});
        tool.service = "tool";
        known.merge(tool);
        known.merge(suspect_at("early" + number, {"x" + number}));
    }
    known.now += milliseconds{10'000};
    cr_assert(known.merge(suspect_at("a", {"b1", "b2", "b3"})));
}

Test(suspect_table, suspicion_and_block_expire) {
    table_fixture known;
    known.merge(suspect_at("a", {"b1", "b2"}));
    known.merge(suspect_at("blocked", {"b1", "b2", "b3"}));
    known.now += milliseconds{60'000};
    known.table.expire(known.now);
    cr_assert(known.status("a").ends == 0);
    cr_assert(known.status("blocked").is_blocked);
    known.now += milliseconds{540'000};
    cr_assert(!known.status("blocked").is_blocked);
    // One more end blocks it again.
    cr_assert(known.merge(suspect_at("blocked", {"b4"})));
    known.now += milliseconds{1'200'000};
    known.table.expire(known.now);
    cr_assert(known.table.is_empty() && !known.table.may_contain(1));
}

Test(suspect_table, age_of_an_end_is_kept_between_nodes) {
    table_fixture first;
    first.merge(suspect_at("a", {"b1", "b2", "b3"}));
    first.now += milliseconds{100'000};
    table_fixture second;
    second.merge(first.table.all(first.now).front());
    cr_assert(second.status("a").retry_after == milliseconds{500'000});
}

Test(suspect_table, tenant_with_many_suspects_displaces_its_own) {
    table_fixture known({.max_suspects = 8, .max_suspects_of_tenant = 4});
    known.merge(suspect_at("quiet", {"b1", "b2", "b3"}, "quiet"));
    for (int index = 0; index < 100; ++index) {
        known.now += milliseconds{1};
        known.merge(suspect_at("n" + std::to_string(index), {"b9"}, "noisy"));
    }
    cr_assert(known.table.size() == 5, "%zu", known.table.size());
    cr_assert(known.status("quiet").is_blocked);
}

Test(suspect_table, blocked_request_outlives_suspects_of_its_tenant) {
    table_fixture known({.max_suspects = 8, .max_suspects_of_tenant = 4});
    known.merge(suspect_at("blocked", {"b1", "b2", "b3"}));
    for (int index = 0; index < 100; ++index) {
        known.now += milliseconds{1};
        known.merge(suspect_at("n" + std::to_string(index), {"b9"}));
    }
    cr_assert(known.status("blocked").is_blocked);
}

Test(suspect_table, malformed_report_is_ignored) {
    table_fixture known;
    suspect short_digest = suspect_at("a", {"b1"});
    short_digest.digest = "a";
    known.merge(short_digest);
    known.merge(suspect_at("b", {}));
    cr_assert(known.table.is_empty());
}

Test(suspect_table, suspects_are_tried_at_different_back_ends) {
    table_fixture known;
    const std::vector<std::string> backends{"b1", "b2", "b3", "b4", "b5", "b6"};
    for (const std::string name : {"a", "b", "c", "d"}) {
        known.merge(suspect_at(name, {"b1"}));
    }
    known.merge(suspect_at("d", {"b2"}));
    const isolation_plan plan = known.table.plan("model", backends, known.now);
    std::set<std::string> used;
    for (const auto& [digest, backend] : plan.trials) {
        cr_assert(backend != "b1" && backend != "b2", "%s has ended", backend.c_str());
        cr_assert(used.insert(backend).second, "%s has two suspects", backend.c_str());
    }
    cr_assert(plan.trials.size() == 4);
    // One more end blocks this suspect.
    cr_assert(plan.reserved == std::set<std::string>{plan.trials.at(digest_of("d"))});
    cr_assert(known.table.plan("tool", backends, known.now).trials.empty());
    known.now += milliseconds{3'000};
    cr_assert(known.table.plan("model", backends, known.now).trials.empty());
}

Test(suspect_table, suspects_with_most_ends_are_alone_when_back_ends_are_few) {
    table_fixture known;
    for (const std::string name : {"a", "b", "c", "d", "e"}) {
        known.merge(suspect_at(name, {"x1"}));
    }
    known.merge(suspect_at("e", {"x2"}));
    const isolation_plan plan = known.table.plan("model", {"b1", "b2"}, known.now);
    cr_assert(plan.trials.size() == 2);
    cr_assert(plan.trials.count(digest_of("e")) == 1);
}

Test(suspect_table, request_with_unproved_ends_is_held_back) {
    table_fixture known;
    known.merge(unproved("a", {{"b1", end_evidence::connection_lost}}));
    known.merge(unproved("a", {{"b2", end_evidence::silent}}));
    cr_assert(!known.status("a").is_held && known.status("a").possible_ends == 2);
    cr_assert(!known.merge(unproved("a", {{"b3", end_evidence::connection_lost}})));
    cr_assert(known.status("a").is_held && !known.status("a").is_blocked);
    cr_assert(known.status("a").ends == 0);
    cr_assert(known.status("a").retry_after <= suspect_options().settle_time);
    cr_assert(known.status("a").retry_after > milliseconds{0});
}

Test(suspect_table, back_end_that_went_on_no_longer_counts) {
    table_fixture known;
    known.merge(suspect_at("a", {"b1", "b2"}));
    known.merge(unproved("a", {{"b3", end_evidence::connection_lost}}));
    cr_assert(known.table.excuse_attempt(digest_of("a"), "a at b3", "b3"));
    cr_assert(!known.table.excuse_attempt(digest_of("a"), "a at b3", "b3"));
    cr_assert(!known.status("a").is_held && known.status("a").possible_ends == 2);
    // A proved end stays.
    cr_assert(!known.table.excuse_attempt(digest_of("a"), "a at b1", "b1"));
    cr_assert(known.status("a").ends == 2);
}

Test(suspect_table, proof_replaces_doubt) {
    table_fixture known;
    known.merge(unproved("a", {{"b1", end_evidence::sent}}));
    known.merge(unproved("a", {{"b1", end_evidence::connection_lost}}));
    cr_assert(known.status("a").ends == 0 && known.status("a").possible_ends == 1);
    known.merge(suspect_at("a", {"b1"}));
    known.merge(unproved("a", {{"b1", end_evidence::sent}}));
    cr_assert(known.status("a").ends == 1 && known.status("a").possible_ends == 1);
}

Test(suspect_table, doubt_that_is_not_resolved_counts_as_an_end) {
    table_fixture known;
    known.merge(unproved("a", {{"b1", end_evidence::silent},
                               {"b2", end_evidence::silent},
                               {"b3", end_evidence::connection_lost}}));
    known.now += milliseconds{10'000};
    cr_assert(known.status("a").is_blocked && known.status("a").ends == 3);
    cr_assert(known.status("a").retry_after > milliseconds{500'000});
}

Test(suspect_table, attempts_under_way_count_and_are_not_blocked_for_long) {
    table_fixture known;
    known.merge(suspect_at("a", {"b1"}));
    known.merge(unproved("a", {{"b2", end_evidence::sent}, {"b3", end_evidence::sent}}));
    cr_assert(known.status("a").is_held);
    known.now += milliseconds{20'000};
    cr_assert(known.status("a").is_held && known.status("a").retry_after < milliseconds{1'000});
}

Test(suspect_table, two_ends_of_one_id_count_twice_if_the_second_was_sent_after_the_first) {
    table_fixture known;
    suspect first = suspect_at("a", {"b1"});
    first.ends[0].request = "first";
    first.ends[0].sent_age_ms = 50;
    known.merge(first);
    known.now += milliseconds{3'000};
    suspect second = first;
    second.ends[0].request = "second";
    known.merge(second);
    cr_assert(known.status("a").ends == 2);
}

Test(suspect_table, doubts_about_one_process_count_once) {
    table_fixture known;
    for (int index = 0; index < 5; ++index) {
        suspect reported = unproved("a", {{"b1", end_evidence::connection_lost}});
        reported.unproved[0].request = "try " + std::to_string(index);
        known.now += milliseconds{50};
        known.merge(reported);
    }
    cr_assert(known.status("a").possible_ends == 1 && !known.status("a").is_held);
    known.merge(unproved("a", {{"b2", end_evidence::connection_lost}}));
    cr_assert(known.status("a").possible_ends == 2);
}

Test(suspect_table, tries_that_one_end_broke_off_count_once) {
    table_fixture known;
    for (int index = 0; index < 40; ++index) {
        suspect reported = suspect_at("a", {"b1"});
        reported.ends[0].request = "try " + std::to_string(index);
        reported.ends[0].sent_age_ms = 50;
        known.now += milliseconds{1};
        known.merge(reported);
    }
    cr_assert(known.status("a").ends == 1);
    cr_assert(known.table.find(digest_of("a"), known.now)->ends.size() == 1);
}

Test(suspect_table, doubt_is_kept_between_nodes) {
    table_fixture first;
    first.merge(suspect_at("a", {"b1"}));
    first.merge(unproved("a", {{"b2", end_evidence::silent}, {"b3", end_evidence::sent}}));
    table_fixture second;
    second.merge(*first.table.find(digest_of("a"), first.now));
    cr_assert(second.status("a").is_held && second.status("a").ends == 1);
    first.table.excuse_attempt(digest_of("a"), "a at b2", "b2");
    second.merge(*first.table.find(digest_of("a"), first.now));
    cr_assert(!second.status("a").is_held && second.status("a").possible_ends == 2);
}

Test(suspect_table, trials_pause_while_they_have_ended_too_many_back_ends) {
    table_fixture known;
    const std::vector<std::string> backends{"b1", "b2", "b3", "b4", "b5",
                                            "b6", "b7", "b8", "b9", "b10"};
    for (const std::string name : {"a", "b", "c", "d"}) {
        known.merge(suspect_at(name, {"x of " + name}));
    }
    cr_assert(!known.table.plan("model", backends, known.now).is_paused);
    known.merge(suspect_at("a", {"b1"}));
    known.merge(unproved("b", {{"b2", end_evidence::connection_lost}}));
    cr_assert(!known.table.plan("model", backends, known.now).is_paused);
    known.merge(suspect_at("b", {"b2"}));
    cr_assert(known.table.plan("model", backends, known.now).is_paused);
    cr_assert(!known.table.plan("tool", backends, known.now).is_paused);
    known.now += milliseconds{2'000};
    cr_assert(!known.table.plan("model", backends, known.now).is_paused);
}

Test(suspect_table, one_end_under_many_suspects_pauses_no_trials) {
    table_fixture known;
    const std::vector<std::string> backends{"b1", "b2", "b3", "b4", "b5",
                                            "b6", "b7", "b8", "b9", "b10"};
    for (const std::string name : {"a", "b", "c", "d"}) {
        known.merge(suspect_at(name, {"x of " + name}));
        known.merge(suspect_at(name, {"b1"}));
    }
    cr_assert(!known.table.plan("model", backends, known.now).is_paused);
}
