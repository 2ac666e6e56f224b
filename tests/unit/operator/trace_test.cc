#include "pearbarrow/operator/trace.h"

#include <criterion/criterion.h>

using namespace pearbarrow::operators;

namespace {

std::string line(const std::string& time, const std::string& node, const std::string& rest) {
    return R"({"time":"2026-01-01T00:00:)" + time + R"(Z","level":"info","node":")" + node + "\"," +
           rest + "}";
}

}  // namespace

Test(trace, names_the_line_that_decided) {
    trace_collector collector("r1");
    collector.add_line(
        line("05.300", "edge-1",
             R"("event":"request_ended","request":"r1","reason":"storage_unavailable")"));
    collector.add_line(
        "  12.3 edge-1 " +
        line("05.200", "edge-1",
             R"("event":"turn_refused","request":"r1","reason":"storage_unavailable")"));
    collector.add_line(line("05.100", "edge-1", R"("event":"peer_link_lost","peer":"s")"));
    collector.add_line(line("05.100", "edge-2", R"("event":"peer_link_lost","peer":"s")"));
    collector.add_line(line("05.250", "edge-1", R"("event":"request_ended","request":"r2")"));
    collector.add_line("no json at all");
    collector.add_line("{broken");
    const auto trace = collector.finish();
    cr_assert(trace.lines.size() == 3);
    cr_assert(trace.lines[0].event == "peer_link_lost");
    cr_assert(trace.deciding == 1U);
    cr_assert(trace_text(trace).find("=> 2026-01-01T00:00:05.200Z edge-1 turn_refused") !=
              std::string::npos);
}

Test(trace, a_request_that_was_served_has_no_deciding_line) {
    trace_collector collector("r1");
    collector.add_line(
        line("05.2", "edge-1", R"("event":"attempt_refused","request":"r1","backend":"b")"));
    collector.add_line(
        line("05.3", "edge-1", R"("event":"request_ended","request":"r1","reason":"served")"));
    const auto trace = collector.finish();
    cr_assert(trace.lines.size() == 2 && !trace.deciding.has_value());
}

Test(trace, a_late_answer_is_decided_by_its_end) {
    trace_collector collector("r1");
    collector.add_line(
        line("05.3", "edge-1", R"("event":"request_ended","request":"r1","reason":"time_up")"));
    cr_assert(collector.finish().deciding == 0U);
    cr_assert(trace_collector("other").finish().lines.empty());
}

Test(trace, names_the_step_that_cost_most) {
    trace_collector collector("r1");
    collector.add_line(
        line("05.3", "edge-1",
             R"("event":"request_ended","request":"r1","reason":"served","milliseconds":1500,)"
             R"("steps":{"preparing":4,"waiting":1203,"to_first_event":40,"longest_gap":1400})"));
    const auto trace = collector.finish();
    const auto step = find_costliest_step(trace);
    cr_assert(step.has_value() && step->name == "waiting" && step->milliseconds == 1203);
    cr_assert(trace_text(trace).find("costliest step: waiting, 1203 of 1500 ms") !=
              std::string::npos);
}

Test(trace, without_steps_no_costliest_one_is_named) {
    trace_collector collector("r1");
    collector.add_line(
        line("05.3", "edge-1", R"("event":"request_ended","request":"r1","steps":7)"));
    cr_assert(!find_costliest_step(collector.finish()).has_value());
}

Test(trace, a_limit_full_engines_and_closed_places_decide) {
    for (const char* event :
         {"quota_refused", "program_turned_away", "place_refused", "start_permit_refused"}) {
        trace_collector collector("r1");
        collector.add_line(
            line("05.200", "edge-1", std::string(R"("event":")") + event + R"(","request":"r1")"));
        collector.add_line(
            line("05.300", "edge-1", R"("event":"request_ended","request":"r1","reason":"x")"));
        cr_assert(collector.finish().deciding == 0U, "%s", event);
    }
}

Test(trace, names_the_versions_that_began_and_continued_a_stream) {
    const char* lines[] = {
        R"({"time":"2026-01-01T00:00:05.100Z","node":"edge-1","event":"request_ended","request":"r1","reason":"connection_lost","version":"v1"})",
        R"({"time":"2026-01-01T00:00:05.300Z","node":"edge-2","event":"stream_resumed","request":"r2","resumes":"r1","began_version":"v1","version":"v1"})",
        R"({"time":"2026-01-01T00:00:05.500Z","node":"edge-3","event":"resume_refused","request":"r3","resumes":"r1","began_version":"v1","reason":"stream_version_gone"})",
        R"({"time":"2026-01-01T00:00:05.501Z","node":"edge-3","event":"request_ended","request":"r3","resumes":"r1","reason":"stream_version_gone","status":503})"};
    for (const std::string request : {"r1", "r3"}) {
        trace_collector collector(request);
        for (const char* line : lines) {
            collector.add_line(line);
        }
        const auto trace = collector.finish();
        cr_assert(trace.lines.size() == (request == "r1" ? 4U : 2U));
        const std::string text = trace_text(trace);
        cr_assert(text.find("=> 2026-01-01T00:00:05.500Z edge-3 resume_refused began_version") !=
                  std::string::npos);
        cr_assert((text.find("request=\"r2\"") != std::string::npos) == (request == "r1"));
    }
}

Test(trace, explains_why_a_response_counts_as_whole_or_broken_off) {
    struct explained_end {
        const char* fields;
        const char* text;
    };
    const explained_end ends[] = {
        {R"("framing":"until_close","connection":"closed","verdict":"event_incomplete")",
         "framing until_close, connection closed: event_incomplete, because it ended inside an "
         "event"},
        {R"("framing":"until_close","connection":"closed","verdict":"whole")",
         "whole, because its connection ended in order"},
        {R"("framing":"until_close","connection":"lost","verdict":"body_incomplete")",
         "body_incomplete, because its connection did not end in order"},
        {R"("framing":"length","connection":"closed","verdict":"body_incomplete")",
         "body_incomplete, because bytes that it announced are missing"},
        {R"("framing":"length","connection":"open","verdict":"whole")",
         "whole, because its whole length arrived"},
        {R"("framing":"chunks","connection":"open","verdict":"whole")",
         "whole, because its last chunk arrived"},
        {R"("framing":"none","connection":"open","verdict":"whole")",
         "whole, because it has no body"}};
    for (const explained_end& end : ends) {
        trace_collector collector("r1");
        collector.add_line(line("05.3", "edge-1",
                                std::string(R"("event":"request_ended","request":"r1",)"
                                            R"("backend":"b1",)") +
                                    end.fields));
        const std::string text = trace_text(collector.finish());
        cr_assert(text.find("response of b1: ") != std::string::npos, "%s", text.c_str());
        cr_assert(text.find(end.text) != std::string::npos, "%s", text.c_str());
    }
    trace_collector without("r1");
    without.add_line(
        line("05.3", "edge-1", R"("event":"request_ended","request":"r1","verdict":7)"));
    cr_assert(response_end_text(without.finish()).has_value());
}

Test(trace, any_try_shows_the_other_tries_and_the_ends_under_them) {
    const std::vector<std::string> log{
        R"({"time":"2026-01-01T00:00:01.000Z","node":"edge-1","event":"attempt_broken","request":"r1","fingerprint":"f1","backend":"b1"})",
        R"({"time":"2026-01-01T00:00:01.002Z","node":"edge-1","event":"back_end_ended","request":"r1","fingerprint":"f1","backend":"b1","evidence":"connection_refused"})",
        R"({"time":"2026-01-01T00:00:02.002Z","node":"edge-2","event":"back_end_ended","request":"r2","fingerprint":"f1","backend":"b2","evidence":"replaced"})",
        R"({"time":"2026-01-01T00:00:03.000Z","node":"edge-3","event":"suspect_refused","request":"r3","fingerprint":"f1","ends":[]})",
        R"({"time":"2026-01-01T00:00:03.001Z","node":"edge-3","event":"request_ended","request":"r3","fingerprint":"f1","status":503,"reason":"request_ends_back_ends"})",
        R"({"time":"2026-01-01T00:00:03.002Z","node":"edge-3","event":"back_end_ended","request":"x","fingerprint":"f2","backend":"b3"})"};
    for (const std::string request : {"r1", "r2", "r3"}) {
        trace_collector collector(request);
        for (const std::string& line : log) {
            collector.add_line(line);
        }
        const std::string text = trace_text(collector.finish());
        cr_assert(text.find("back end b1 ended under try r1 at edge-1: connection_refused") !=
                  std::string::npos);
        cr_assert(text.find("back end b2 ended under try r2 at edge-2: replaced") !=
                  std::string::npos);
        cr_assert(text.find("2 back ends ended; 1 tries refused for it") != std::string::npos);
        cr_assert(text.find("b3") == std::string::npos);
    }
    trace_collector refused("r3");
    for (const std::string& line : log) {
        refused.add_line(line);
    }
    const auto trace = refused.finish();
    cr_assert(trace.lines[*trace.deciding].event == "suspect_refused");
}
