// Tests requests that end their back ends, over all tries of their callers.
#include "lethal_fixture.h"
#include "tenants_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;

namespace {

/// Back ends that may end under one request.
constexpr std::uint32_t max_ends = 3;
constexpr char blocked_reason[] = "request_ends_back_ends";

constexpr char held_reason[] = "request_may_end_back_ends";

bool is_blocked(const client_response& response) {
    return response.body.find(blocked_reason) != std::string::npos;
}

bool is_held(const client_response& response) {
    return response.body.find(held_reason) != std::string::npos;
}

const repeated_request lethal_turn{.target = "/turn/x", .program = "p", .body = lethal_marker};

}  // namespace

ParameterizedTestParameters(lethal_requests, repeated_turn_ends_at_most_three_back_ends) {
    static crash_moment moments[] = {crash_moment::queued, crash_moment::after_head,
                                     crash_moment::after_first_event,
                                     crash_moment::after_last_event};
    return cr_make_param_array(crash_moment, moments, 4);
}

ParameterizedTest(crash_moment* moment, lethal_requests,
                  repeated_turn_ends_at_most_three_back_ends) {
    lethal_fixture callers;
    callers.set_lethal(*moment);
    callers.repeat({.target = "/turn/x", .program = "p", .body = lethal_marker}, "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

Test(lethal_requests, resumed_stream_ends_at_most_three_back_ends) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_first_event);
    callers.repeat({.target = "/stream/x", .program = "p", .body = lethal_marker, .resumes = true},
                   "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

Test(lethal_requests, repeated_idempotent_request_ends_at_most_three_back_ends) {
    lethal_fixture callers(1, 9);
    callers.set_lethal(crash_moment::queued);
    callers.repeat({.target = "/plain/lethal", .program = "p", .body = ""}, "a");
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

// The route allows two attempts.
Test(lethal_requests, get_on_a_kept_connection_counts_as_an_attempt) {
    lethal_fixture callers(1, 9);
    for (int index = 0; index < 60; ++index) {
        const auto response = callers.fleet.call(0, "/plain/x", "warm" + std::to_string(index));
        cr_assert(response.status == 200);
    }
    callers.set_lethal(crash_moment::queued);
    callers.fleet.call(0, "/plain/lethal", "a");
    cr_assert(callers.runs_of("a") <= 2, "sent to %zu back ends", callers.runs_of("a"));
}

Test(lethal_requests, blocked_request_is_rejected_at_once_and_sent_to_no_back_end) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_head);
    callers.repeat(lethal_turn, "a");
    const std::size_t runs = callers.runs_of("");
    const base::instant before = callers.fleet.clock.now();
    const auto response =
        callers.fleet.call(0, "/turn/x", "late", callers.headers_of(lethal_turn), lethal_marker);
    cr_assert(callers.fleet.clock.now() - before < base::milliseconds{500});
    cr_assert(response.status == 503 && is_blocked(response), "%d", response.status);
    cr_assert(response.body.find(R"("executed":"no")") != std::string::npos);
    cr_assert(!response.headers.find("Pearbarrow-Response-Signature").has_value());
    const std::string retry_after = response.headers.find("Retry-After").value_or("0");
    cr_assert(std::stod(retry_after) > 500, "%s", retry_after.c_str());
    cr_assert(callers.runs_of("") == runs);
}

Test(lethal_requests, content_of_another_program_is_not_blocked) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_head);
    callers.repeat(lethal_turn, "a");
    run_for(callers.fleet.loop, callers.downtime);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_lethal(std::nullopt);
    }
    repeated_request copy = lethal_turn;
    copy.program = "other";
    const auto result = callers.repeat(copy, "b");
    cr_assert(result.last.status == 200 && result.rejected == 0, "%s", result.last.body.c_str());
}

Test(lethal_requests, requests_beside_a_lethal_one_are_not_rejected) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_first_event);
    std::list<std::optional<client_response>> responses;
    int sent = 0;
    const auto traffic = callers.fleet.loop.every(base::milliseconds{3}, [&] {
        const std::string id = "i" + std::to_string(++sent);
        const repeated_request harmless{.target = "/turn/x", .program = id, .body = "input"};
        callers.fleet.start_call(static_cast<std::size_t>(sent) % 3, harmless.target, id,
                                 callers.headers_of(harmless), harmless.body,
                                 responses.emplace_back());
    });
    for (int index = 0; index < 4; ++index) {
        const std::string name = "l" + std::to_string(index);
        callers.repeat({.target = "/turn/x", .program = name, .body = lethal_marker}, name);
        run_for(callers.fleet.loop, callers.downtime);
    }
    cr_assert(callers.ended() >= 4 && callers.ended() <= 4 * max_ends, "%u", callers.ended());
    for (const auto& response : responses) {
        cr_assert(!response.has_value() || !is_blocked(*response), "%s", response->body.c_str());
    }
}

Test(lethal_requests, responses_broken_off_without_an_end_block_nothing) {
    lethal_fixture callers(3);
    // The first back end has shown that it goes on before the fourth try.
    callers.pause = base::milliseconds{1'600};
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::cut_after_event);
    }
    const auto result = callers.repeat(lethal_turn, "a");
    cr_assert(result.tries == 6 && result.rejected == 0, "%d tries, %d rejected", result.tries,
              result.rejected);
    cr_assert(callers.runs_of("a") == 6, "%zu", callers.runs_of("a"));
}

Test(lethal_requests, request_whose_responses_break_off_quickly_is_held_back_and_passes_soon) {
    lethal_fixture callers(5);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::cut_after_event);
    }
    const auto result = callers.repeat(lethal_turn, "a");
    cr_assert(callers.runs_of("a") == max_ends, "%zu", callers.runs_of("a"));
    cr_assert(result.last.status == 503 && !is_blocked(result.last));
    cr_assert(is_held(result.last), "%s", result.last.body.c_str());
    const double retry_after = std::stod(result.last.headers.find("Retry-After").value_or("0"));
    cr_assert(retry_after > 0 && retry_after <= 4, "%f", retry_after);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::none);
    }
    run_for(callers.fleet.loop, base::milliseconds{4'800});
    const auto later = callers.repeat(lethal_turn, "b");
    cr_assert(later.tries == 1 && later.last.status == 200, "%s", later.last.body.c_str());
}

Test(lethal_requests, request_whose_back_ends_fall_silent_is_sent_to_at_most_three) {
    lethal_fixture callers(9);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::unresponsive);
    }
    std::list<std::optional<client_response>> responses;
    for (int index = 0; index < 6; ++index) {
        const std::string id = "a" + std::to_string(index);
        callers.fleet.start_call(static_cast<std::size_t>(index) % 3, "/turn/x", id,
                                 callers.headers_of(lethal_turn), lethal_marker,
                                 responses.emplace_back());
        run_for(callers.fleet.loop, base::milliseconds{500});
        // The caller leaves.
        callers.fleet.calls.back().reset();
        run_for(callers.fleet.loop, base::milliseconds{200});
    }
    std::size_t held = 0;
    for (emulator::runner& runner : callers.fleet.runners) {
        held += runner.held_requests();
    }
    cr_assert(held <= max_ends, "%zu", held);
}

Test(lethal_requests, edge_that_stops_reports_a_silent_back_end_before_it_ends) {
    lethal_fixture callers(5);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::unresponsive);
    }
    std::optional<client_response> response;
    callers.fleet.start_call(0, "/turn/x", "a", callers.headers_of(lethal_turn), lethal_marker,
                             response);
    run_for(callers.fleet.loop, base::milliseconds{500});
    bool has_stopped = false;
    callers.fleet.edges[0]->node.stop([&] { has_stopped = true; });
    callers.fleet.calls.back().reset();
    cr_assert(run_until(callers.fleet.loop, [&] { return has_stopped; }));
    const auto known =
        callers.fleet.edges[1]->node.parts().suspects().table().all(callers.fleet.clock.now());
    cr_assert(known.size() == 1 && known[0].unproved.size() == 1);
    cr_assert(known[0].unproved[0].request == "a");
}

Test(lethal_requests, silent_request_at_a_running_back_end_is_not_suspected) {
    lethal_fixture callers(5);
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::hang);
    }
    std::list<std::optional<client_response>> responses;
    for (int index = 0; index < 6; ++index) {
        const std::string id = "a" + std::to_string(index);
        callers.fleet.start_call(static_cast<std::size_t>(index) % 3, "/turn/x", id,
                                 callers.headers_of(lethal_turn), lethal_marker,
                                 responses.emplace_back());
        run_for(callers.fleet.loop, base::milliseconds{300});
        callers.fleet.calls.back().reset();
        run_for(callers.fleet.loop, base::milliseconds{100});
    }
    cr_assert(callers.runs_of("a") == 6, "%zu", callers.runs_of("a"));
}

Test(lethal_requests, first_attempt_at_an_edge_that_is_killed_counts) {
    lethal_fixture callers(11, 1, 4);
    callers.set_lethal(crash_moment::after_first_event);
    std::optional<client_response> response;
    callers.fleet.start_call(0, "/turn/x", "a0", callers.headers_of(lethal_turn), lethal_marker,
                             response);
    cr_assert(run_until(callers.fleet.loop, [&] { return callers.runs_of("a0") == 1; }));
    callers.fleet.edges[0].reset();
    for (int index = 1; index < 7; ++index) {
        callers.fleet.call(1 + static_cast<std::size_t>(index) % 3, "/turn/x",
                           "a" + std::to_string(index), callers.headers_of(lethal_turn),
                           lethal_marker);
        run_for(callers.fleet.loop, base::milliseconds{100});
    }
    cr_assert(callers.ended() <= max_ends, "%u back ends ended", callers.ended());
}

namespace {

/// Has the back end that runs the request announce that it leaves.
emulator::runner* drain_back_end_of(lethal_fixture& callers, const std::string& id) {
    for (emulator::runner& runner : callers.fleet.runners) {
        if (runner.is_running() && !runner.runs().empty() &&
            runner.runs().back().request_id == id) {
            callers.fleet.store.put("servers/" + runner.id(),
                                    runner.list_entry("model", "draining"));
            return &runner;
        }
    }
    return nullptr;
}

}  // namespace

Test(lethal_requests, request_that_ends_draining_back_ends_ends_at_most_three) {
    lethal_fixture callers;
    callers.downtime = base::milliseconds{60'000};
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_fault(emulator::runner_fault::hang);
    }
    int ended = 0;
    for (int index = 0; index < 5; ++index) {
        const std::string id = "a" + std::to_string(index);
        std::optional<client_response> response;
        callers.fleet.start_call(0, "/turn/x", id, callers.headers_of(lethal_turn), lethal_marker,
                                 response);
        cr_assert(run_until(callers.fleet.loop,
                            [&] { return callers.runs_of(id) == 1 || response.has_value(); }));
        if (emulator::runner* draining = drain_back_end_of(callers, id); draining != nullptr) {
            run_for(callers.fleet.loop, base::milliseconds{500});
            draining->crash();
            ++ended;
        }
        cr_assert(run_until(callers.fleet.loop, [&] { return response.has_value(); }));
    }
    cr_assert(ended == static_cast<int>(max_ends), "%d back ends ended", ended);
}

Test(lethal_requests, orderly_departures_block_nothing) {
    lethal_fixture callers(6);
    callers.downtime = base::milliseconds{60'000};
    for (int index = 0; index < 4; ++index) {
        const std::string id = "a" + std::to_string(index);
        std::optional<client_response> response;
        callers.fleet.start_call(0, "/turn/x", id, callers.headers_of(lethal_turn), lethal_marker,
                                 response);
        cr_assert(run_until(callers.fleet.loop, [&] { return callers.runs_of(id) == 1; }));
        emulator::runner* draining = drain_back_end_of(callers, id);
        cr_assert(draining != nullptr);
        cr_assert(run_until(callers.fleet.loop, [&] { return response.has_value(); }));
        cr_assert(response->status == 200 && response->whole, "%s", response->body.c_str());
        draining->crash();
        run_for(callers.fleet.loop, base::milliseconds{300});
    }
}

Test(lethal_requests, ends_count_although_all_edges_are_lost_with_each_of_them) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::queued);
    for (int index = 0; index < 6; ++index) {
        callers.fleet.call(1, "/turn/x", "a" + std::to_string(index),
                           callers.headers_of(lethal_turn), lethal_marker);
        for (std::size_t edge = 0; edge < callers.fleet.edges.size(); ++edge) {
            callers.fleet.edges[edge].reset();
        }
        for (std::size_t edge = 0; edge < callers.fleet.edges.size(); ++edge) {
            callers.fleet.start_edge(edge);
        }
        cr_assert(run_until(callers.fleet.loop, [&] { return callers.fleet.is_settled(); }));
    }
    cr_assert(callers.ended() == max_ends, "%u back ends ended", callers.ended());
}

namespace {

/// Ends the processes of all nodes at once and starts them again on their disks.
void restart_all_nodes(fleet_fixture& fleet) {
    for (auto& edge : fleet.edges) {
        edge.reset();
    }
    for (auto& member : fleet.storages) {
        member.reset();
    }
    for (std::size_t member = 0; member < fleet.storages.size(); ++member) {
        fleet.storage_settings[member].first_start = false;
        fleet.start_storage(member);
    }
    for (std::size_t edge = 0; edge < fleet.edges.size(); ++edge) {
        fleet.start_edge(edge);
    }
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
}

}  // namespace

Test(lethal_requests, ends_under_a_plain_request_count_after_all_nodes_were_lost) {
    lethal_fixture callers(1, 9);
    callers.set_lethal(crash_moment::queued);
    callers.fleet.call(0, "/plain/lethal", "a");
    cr_assert(callers.ended() == 2, "%u back ends ended", callers.ended());
    run_for(callers.fleet.loop, base::milliseconds{100});
    restart_all_nodes(callers.fleet);
    for (int index = 0; index < 3; ++index) {
        callers.fleet.call(1, "/plain/lethal", "b" + std::to_string(index));
        run_for(callers.fleet.loop, base::milliseconds{100});
    }
    cr_assert(callers.ended() == max_ends, "%u back ends ended", callers.ended());
}

Test(lethal_requests, restarted_edge_knows_blocked_requests) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_head);
    callers.repeat(lethal_turn, "a");
    const std::uint32_t ended = callers.ended();
    callers.fleet.edges[2].reset();
    callers.fleet.start_edge(2);
    cr_assert(run_until(callers.fleet.loop, [&] {
        return callers.fleet.edges[2]->node.is_ready() && callers.fleet.is_settled() &&
               !callers.fleet.edges[2]->node.parts().suspects().table().is_empty();
    }));
    const auto response =
        callers.fleet.call(2, "/turn/x", "b", callers.headers_of(lethal_turn), lethal_marker);
    cr_assert(is_blocked(response), "%s", response.body.c_str());
    cr_assert(callers.ended() == ended);
}

Test(lethal_requests, released_request_passes_again_on_all_edges) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_head);
    callers.repeat(lethal_turn, "a");
    for (emulator::runner& runner : callers.fleet.runners) {
        runner.set_lethal(std::nullopt);
    }
    auto& parts = callers.fleet.edges[0]->node.parts();
    settings::fleet_settings released = parts.settings();
    released.suspects.released = {
        parts.suspects().table().all(callers.fleet.clock.now())[0].digest};
    parts.apply_settings(released);
    run_for(callers.fleet.loop, callers.downtime);
    const auto result = callers.repeat(lethal_turn, "b");
    cr_assert(result.last.status == 200, "%s", result.last.body.c_str());
    for (const auto& edge : callers.fleet.edges) {
        cr_assert(edge->node.parts().suspects().table().blocked_count(callers.fleet.clock.now()) ==
                  0);
    }
}

Test(lethal_requests, edge_that_missed_the_ends_learns_of_them_from_the_next) {
    lethal_fixture callers;
    callers.set_lethal(crash_moment::after_head);
    callers.fleet.call(0, "/turn/x", "a0", callers.headers_of(lethal_turn), lethal_marker);
    callers.fleet.call(0, "/turn/x", "a1", callers.headers_of(lethal_turn), lethal_marker);
    callers.fleet.edges[2].reset();
    callers.fleet.start_edge(2);
    cr_assert(run_until(callers.fleet.loop, [&] {
        return callers.fleet.edges[2]->node.is_ready() && callers.fleet.is_settled();
    }));
    callers.fleet.call(0, "/turn/x", "a2", callers.headers_of(lethal_turn), lethal_marker);
    const auto response =
        callers.fleet.call(2, "/turn/x", "b", callers.headers_of(lethal_turn), lethal_marker);
    cr_assert(is_blocked(response), "%s", response.body.c_str());
}

Test(lethal_requests, tenant_cannot_block_the_request_of_another_one) {
    tenants_fixture fleet;
    for (int index = 0; index < 5; ++index) {
        fleet.add_runner("model", "i-more" + std::to_string(index));
    }
    cr_assert(run_until(fleet.loop, [&] { return fleet.is_settled(); }));
    const auto send = [&](const char* key, const std::string& id) {
        return fleet.call(0, "/turn/x", id,
                          {{"Pearbarrow-Key", key},
                           {"Pearbarrow-Program-Id", "p"},
                           {"Pearbarrow-Token-Budget", "100000"},
                           {"Pearbarrow-Token-Usage", "100,50"}},
                          lethal_marker);
    };
    for (emulator::runner& runner : fleet.runners) {
        runner.set_lethal(emulator::lethal_requests{lethal_marker, crash_moment::after_head});
    }
    for (const std::string id : {"a1", "a2", "a3"}) {
        cr_assert(!is_blocked(send(key_of_a, id)));
    }
    cr_assert(is_blocked(send(key_of_a, "a4")));
    for (emulator::runner& runner : fleet.runners) {
        runner.set_lethal(std::nullopt);
    }
    const auto response = send(key_of_b, "b1");
    cr_assert(!is_blocked(response), "%s", response.body.c_str());
}

Test(lethal_requests, process_replaced_at_once_counts_when_another_one_is_found_there) {
    for (const bool shows_in_directory : {false, true}) {
        lethal_fixture callers(1, 1);
        emulator::runner& tool = *callers.fleet.tool;
        tool.set_fault(emulator::runner_fault::hang);
        std::optional<client_response> response;
        callers.fleet.start_call(0, "/once/x", "a", {}, "input", response);
        cr_assert(run_until(callers.fleet.loop, [&] { return tool.runs().size() == 1; }));
        tool.set_fault(emulator::runner_fault::none);
        // The new process listens before the probe.
        if (shows_in_directory) {
            cr_assert(tool.start_again(1'700'000'000'000).ok());
            callers.fleet.store.put("servers/" + tool.id(), tool.list_entry("tool"));
        } else {
            tool.set_id("i-next");
            cr_assert(tool.start_again(0).ok());
        }
        cr_assert(run_until(callers.fleet.loop, [&] { return response.has_value(); }));
        cr_assert(response->status == 502);
        if (!shows_in_directory) {
            callers.fleet.call(0, "/once/y", "b", {}, "other");
        }
        const auto& table = callers.fleet.edges[1]->node.parts().suspects().table();
        cr_assert(run_until(callers.fleet.loop, [&] {
            const auto all = table.all(callers.fleet.clock.now());
            return !all.empty() && !all[0].ends.empty();
        }));
        const auto known = table.all(callers.fleet.clock.now());
        cr_assert(known.size() == 1 && known[0].ends.size() == 1);
        cr_assert(known[0].ends[0].request == "a");
        cr_assert(known[0].ends[0].evidence == suspects::end_evidence::replaced);
    }
}
