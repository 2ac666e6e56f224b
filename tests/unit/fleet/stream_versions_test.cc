// Tests that a resumable stream holds events of one software version only.
#include "stream_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

Test(stream_versions, resumed_stream_continues_at_the_version_that_began_it) {
    two_versions_fixture pair;
    for (int index = 0; index < 24; ++index) {
        const std::string number = std::to_string(index);
        const auto headers = pair.headers_of("p" + number);
        pair.begin_broken(0, "a" + number, headers);
        const auto rest = pair.resume(1, "b" + number, "a" + number, headers);
        cr_assert(rest.status == 200 && rest.whole, "%d %s", rest.status, rest.body.c_str());
        cr_assert(pair.version_of("a" + number) == pair.version_of("b" + number),
                  "stream %d began at %s and went on at %s", index,
                  pair.version_of("a" + number).c_str(), pair.version_of("b" + number).c_str());
    }
}

Test(stream_versions, stream_that_continues_takes_further_attempts_under_the_same_name) {
    two_versions_fixture pair;
    const auto headers = pair.headers_of("p");
    const std::string began_as = pair.begin_broken_at("v2", 0, "a", headers);
    pair.set_fault(runner_fault::refuse);
    cr_assert(pair.resume(1, "b", began_as, headers).status == 503);
    pair.set_fault(runner_fault::none);
    for (const std::string id : {"c", "d"}) {
        cr_assert(pair.resume(id == "c" ? 0 : 1, id, began_as, headers).whole);
        cr_assert(pair.version_of(id) == "v2");
    }
}

Test(stream_versions, stream_of_an_edge_that_was_killed_continues_at_its_version) {
    two_versions_fixture pair;
    for (const std::string version : {"v1", "v2"}) {
        const auto headers = pair.headers_of("p" + version);
        pair.set_fault(runner_fault::none);
        for (emulator::runner& runner : pair.fleet.runners) {
            runner.set_fault(runner.version() == version ? runner_fault::none
                                                         : runner_fault::refuse);
        }
        std::optional<client_response> result;
        const std::string id = "a" + version;
        pair.fleet.start_call(0, "/stream/x", id, headers, "input", result);
        cr_assert(run_until(pair.fleet.loop, [&] { return !pair.version_of(id).empty(); }));
        pair.fleet.edges[0].reset();
        pair.set_fault(runner_fault::none);
        const auto rest = pair.resume(1, "b" + version, id, headers);
        cr_assert(rest.status == 200, "%d %s", rest.status, rest.body.c_str());
        cr_assert(pair.version_of("b" + version) == version);
        pair.fleet.start_edge(0);
        cr_assert(run_until(pair.fleet.loop, [&] { return pair.fleet.is_settled(); }));
    }
}

Test(stream_versions, stream_continues_while_the_directory_service_is_away) {
    two_versions_fixture pair;
    const auto headers = pair.headers_of("p");
    const std::string began_as = pair.begin_broken_at("v2", 0, "a", headers);
    pair.fleet.store.set_trouble(emulator::metadata_store::trouble::refusing);
    cr_assert(pair.resume(1, "b", began_as, headers).whole);
    cr_assert(pair.version_of("b") == "v2");
}

Test(stream_versions, stream_without_back_ends_of_its_version_is_refused_at_once) {
    for (const bool is_draining : {true, false}) {
        two_versions_fixture pair;
        const auto headers = pair.headers_of("p");
        const std::string began_as = pair.begin_broken_at("v2", 0, "a", headers);
        pair.withdraw("v2", is_draining);
        // Entries that vanish may return within the grace period of a lapsed directory.
        run_for(pair.fleet.loop, base::milliseconds{2'000});
        const auto started = pair.fleet.clock.now();
        const auto rest = pair.resume(1, "b", began_as, headers);
        cr_assert(pair.fleet.clock.now() - started < base::milliseconds{1'000});
        cr_assert(rest.status == 503);
        cr_assert(rest.body.find("stream_version_gone") != std::string::npos, "%s",
                  rest.body.c_str());
        cr_assert(rest.body.find("\"start_anew\":true") != std::string::npos);
        cr_assert(!rest.headers.find("Retry-After").has_value());
        cr_assert(pair.version_of("b").empty());
        cr_assert(pair.fleet.call(1, "/stream/x", "c", headers, "input").whole);
    }
}

Test(stream_versions, unknown_stream_is_refused_without_a_trace_of_other_callers) {
    two_versions_fixture pair;
    const auto headers = pair.headers_of("p");
    const std::string began_as = pair.begin_broken_at("v1", 0, "a", headers);
    const auto forged = pair.resume(1, "b", "never", headers);
    const auto foreign = pair.resume(1, "c", began_as, pair.headers_of("other"));
    for (const auto& response : {forged, foreign}) {
        cr_assert(response.status == 409, "%d", response.status);
        cr_assert(response.body.find("unknown_stream") != std::string::npos);
        cr_assert(response.body.find("v1") == std::string::npos);
    }
    cr_assert(pair.version_of("b").empty() && pair.version_of("c").empty());
}

Test(stream_versions, malformed_names_of_streams_are_refused) {
    two_versions_fixture pair;
    const auto headers = pair.headers_of("p");
    const std::string began_as = pair.begin_broken_at("v1", 0, "a", headers);
    auto twice = headers;
    twice.add("Resumes", began_as);
    cr_assert(pair.resume(1, "b", began_as, twice).status == 400);
    cr_assert(pair.resume(1, "c", std::string(300, 'x'), headers).status == 400);
    cr_assert(pair.resume(1, "d", "a b", headers).status == 400);
    cr_assert(pair.resume(1, "e", "", headers).status == 400);
}

Test(stream_versions, stream_of_unrecorded_software_needs_a_sole_version) {
    two_versions_fixture pair;
    auto headers = pair.headers_of("p");
    headers.add("Last-Event-Id", "1");
    const auto response = pair.fleet.call(0, "/stream/x", "a", headers, "input");
    cr_assert(response.status == 503);
    cr_assert(response.body.find("stream_version_unknown") != std::string::npos);
    cr_assert(pair.version_of("a").empty());
}

Test(stream_versions, unnamed_stream_continues_at_the_version_of_its_record) {
    for (const std::string version : {"v1", "v2"}) {
        two_versions_fixture pair;
        auto headers = pair.headers_of("p");
        pair.begin_broken_at(version, 0, "a", headers);
        headers.add("Last-Event-Id", "1");
        pair.set_fault(runner_fault::none);
        const auto rest = pair.fleet.call(1, "/stream/x", "b", headers, "input");
        cr_assert(rest.whole, "%d %s", rest.status, rest.body.c_str());
        cr_assert(pair.version_of("b") == version);
    }
}

Test(stream_versions, unnamed_stream_that_began_at_two_versions_starts_anew) {
    two_versions_fixture pair;
    auto headers = pair.headers_of("p");
    pair.begin_broken_at("v1", 0, "a", headers);
    pair.begin_broken_at("v2", 0, "b", headers);
    headers.add("Last-Event-Id", "1");
    pair.set_fault(runner_fault::none);
    const auto rest = pair.fleet.call(1, "/stream/x", "c", headers, "input");
    cr_assert(rest.status == 503);
    cr_assert(rest.body.find("stream_version_unknown") != std::string::npos);
    cr_assert(rest.body.find("\"start_anew\":true") != std::string::npos);
}

Test(stream_versions, edge_that_has_just_started_infers_no_sole_version) {
    two_versions_fixture pair;
    pair.withdraw("v2", false);
    run_for(pair.fleet.loop, base::milliseconds{2'000});
    pair.fleet.edges[1].reset();
    pair.fleet.start_edge(1);
    cr_assert(run_until(pair.fleet.loop, [&] { return pair.fleet.edges[1]->node.is_ready(); }));
    auto headers = pair.headers_of("p");
    headers.add("Last-Event-Id", "1");
    const auto rest = pair.fleet.call(1, "/stream/x", "a", headers, "input");
    cr_assert(rest.status == 503);
    cr_assert(rest.body.find("stream_version_unknown") != std::string::npos);
}

Test(stream_versions, stream_without_budget_continues_at_its_version) {
    two_versions_fixture pair;
    const net::http_headers headers{{"Pearbarrow-Deadline-Ms", "2500"},
                                    {"Pearbarrow-Token-Usage", "100,50"}};
    for (const std::string version : {"v1", "v2"}) {
        const std::string began_as = pair.begin_broken_at(version, 0, "a" + version, headers);
        cr_assert(pair.resume(1, "b" + version, began_as, headers).whole);
        cr_assert(pair.version_of("b" + version) == version);
    }
}

// The stream may move to the other version as long as its caller has no event.
Test(stream_versions, stream_begins_at_the_other_version_if_the_first_one_refuses) {
    two_versions_fixture pair;
    for (const std::string version : {"v1", "v2"}) {
        for (int index = 0; index < 6; ++index) {
            const std::string id = version + std::to_string(index);
            const auto headers = pair.headers_of("p" + id);
            for (emulator::runner& runner : pair.fleet.runners) {
                runner.set_fault(runner.version() == version ? runner_fault::none
                                                             : runner_fault::refuse);
            }
            const auto response = pair.fleet.call(0, "/stream/x", id, headers, "input");
            cr_assert(response.status == 200 || response.status == 503);
        }
    }
}

Test(stream_versions, process_that_restarts_with_another_version_continues_no_stream) {
    two_versions_fixture pair;
    const auto headers = pair.headers_of("p");
    const std::string began_as = pair.begin_broken_at("v2", 0, "a", headers);
    for (emulator::runner& runner : pair.fleet.runners) {
        if (runner.version() == "v2") {
            runner.set_version("v3");
            cr_assert(runner.start_again(1'700'000'000'000).ok());
            pair.fleet.store.put("servers/" + runner.id(), runner.list_entry("model"));
        }
    }
    run_for(pair.fleet.loop, base::milliseconds{1'500});
    const auto rest = pair.resume(1, "b", began_as, headers);
    cr_assert(rest.status == 503 && pair.version_of("b").empty(), "%d", rest.status);
}
