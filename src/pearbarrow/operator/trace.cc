#include "pearbarrow/operator/trace.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::operators {
namespace {

/// Fields that stand in the line's own columns, or that every line has.
constexpr std::array<std::string_view, 4> column_fields{"time", "node", "event", "level"};

/// Events of a node that explain what its requests met.
constexpr std::array<std::string_view, 16> node_events{"configuration_in_force",
                                                       "emptied_zones_changed",
                                                       "dependency_lost",
                                                       "dependency_regained",
                                                       "directory_part_missing",
                                                       "peer_link_lost",
                                                       "store_history_lost",
                                                       "started",
                                                       "stopping",
                                                       "stopped",
                                                       "turn_store_write_failed",
                                                       "storage_member_dead",
                                                       "storage_member_kept",
                                                       "storage_member_removed",
                                                       "storage_retirement_waits",
                                                       "turn_replica_complete"};

/// Events that end the hopes of a request, or of one attempt.
constexpr std::array<std::string_view, 13> deciding_events{
    "turn_refused",        "turn_not_stored", "attempt_broken",       "attempt_refused",
    "attempt_failed",      "quota_refused",   "resume_refused",       "request_refused",
    "program_turned_away", "place_refused",   "start_permit_refused", "suspect_refused",
    "response_undelivered"};

std::string text_field(const nlohmann::json& fields, const char* name) {
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

template <typename List>
bool contains(const List& list, std::string_view text) {
    return std::find(list.begin(), list.end(), text) != list.end();
}

/// Events that tell what became of the back end of an attempt that broke off.
constexpr std::array<std::string_view, 3> end_events{"back_end_ended", "end_suspected",
                                                     "back_end_went_on"};

std::string_view outcome_text(std::string_view end_event) {
    if (end_event == "back_end_ended") {
        return "ended";
    }
    return end_event == "end_suspected" ? "may have ended" : "went on";
}

/// The time up to the second; lines near each other share it or follow it.
std::string second_of(const std::string& time) {
    return time.substr(0, std::min<std::size_t>(time.size(), 19));
}

bool went_well(const trace_line& line) {
    return line.event == "request_ended" && line.fields.value("reason", "") == "served";
}

std::optional<std::size_t> deciding_line(const std::vector<trace_line>& lines) {
    const auto last = std::find_if(lines.rbegin(), lines.rend(),
                                   [](const trace_line& line) { return line.of_request; });
    if (last == lines.rend() || went_well(*last)) {
        return std::nullopt;
    }
    for (std::size_t index = lines.size(); index > 0; --index) {
        const trace_line& line = lines[index - 1];
        if (line.of_request && contains(deciding_events, line.event)) {
            return index - 1;
        }
    }
    return static_cast<std::size_t>(std::distance(lines.begin(), last.base())) - 1;
}

}  // namespace

void trace_collector::add_line(std::string_view text) {
    const auto brace = text.find('{');
    if (brace == std::string_view::npos) {
        return;
    }
    nlohmann::json fields = nlohmann::json::parse(text.substr(brace), nullptr, false);
    if (!fields.is_object() || !fields.contains("event")) {
        return;
    }
    trace_line line{.time = fields.value("time", ""),
                    .node = fields.value("node", ""),
                    .event = fields.value("event", ""),
                    .fields = {},
                    .of_request = fields.value("request", "") == request_ ||
                                  fields.value("resumes", "") == request_,
                    .fingerprint = text_field(fields, "fingerprint")};
    line.fields = std::move(fields);
    if (line.of_request) {
        of_request_.push_back(std::move(line));
    } else if (contains(node_events, line.event)) {
        of_nodes_.push_back(std::move(line));
    } else if (!line.fingerprint.empty()) {
        of_contents_.push_back(std::move(line));
    }
}

request_trace trace_collector::finish() const {
    request_trace trace;
    trace.request = request_;
    trace.lines = of_request_;
    for (const trace_line& line : of_nodes_) {
        const bool is_near = std::any_of(
            of_request_.begin(), of_request_.end(), [&line](const trace_line& request_line) {
                return request_line.node == line.node &&
                       second_of(request_line.time) == second_of(line.time);
            });
        if (is_near) {
            trace.lines.push_back(line);
        }
    }
    for (const trace_line& line : of_contents_) {
        const bool is_other_try = std::any_of(
            of_request_.begin(), of_request_.end(), [&line](const trace_line& request_line) {
                return request_line.fingerprint == line.fingerprint;
            });
        if (is_other_try) {
            trace.lines.push_back(line);
        }
    }
    std::stable_sort(trace.lines.begin(), trace.lines.end(),
                     [](const auto& left, const auto& right) { return left.time < right.time; });
    trace.deciding = deciding_line(trace.lines);
    return trace;
}

std::optional<costliest_step> find_costliest_step(const request_trace& trace) {
    // A part of another step.
    constexpr std::string_view longest_gap = "longest_gap";
    std::optional<costliest_step> costliest;
    for (const trace_line& line : trace.lines) {
        const auto steps = line.fields.find("steps");
        if (!line.of_request || steps == line.fields.end() || !steps->is_object()) {
            continue;
        }
        for (const auto& [name, value] : steps->items()) {
            const std::int64_t took = value.is_number_integer() ? value.get<std::int64_t>() : 0;
            if (name != longest_gap && took > (costliest ? costliest->milliseconds : 0)) {
                costliest = {.name = name,
                             .milliseconds = took,
                             .of_milliseconds = line.fields.value("milliseconds", std::int64_t{0})};
            }
        }
    }
    return costliest;
}

namespace {

std::string_view reason_of(std::string_view verdict, std::string_view framing) {
    if (verdict == "event_incomplete") {
        return "it ended inside an event";
    }
    const bool is_whole = verdict == "whole";
    if (framing == "until_close") {
        return is_whole ? "its connection ended in order" : "its connection did not end in order";
    }
    if (!is_whole) {
        return "bytes that it announced are missing";
    }
    if (framing == "none") {
        return "it has no body";
    }
    return framing == "chunks" ? "its last chunk arrived" : "its whole length arrived";
}

/// Returns the tries of which only the storage members knew, a line for each.
std::string recorded_tries_text(const request_trace& trace) {
    std::set<std::string> tries;
    for (const trace_line& line : trace.lines) {
        if (line.event != "earlier_attempts_recorded") {
            continue;
        }
        for (const nlohmann::json& attempt : line.fields.value("attempts", nlohmann::json())) {
            tries.insert(text_field(attempt, "request"));
        }
    }
    std::string text;
    for (const trace_line& line : trace.lines) {
        if (contains(end_events, line.event)) {
            tries.erase(text_field(line.fields, "request"));
        }
    }
    for (const std::string& request : tries) {
        text += fmt::format(
            "   try {} has no known result; the storage members hold its reservation\n", request);
    }
    return text;
}

}  // namespace

std::optional<std::string> response_end_text(const request_trace& trace) {
    const auto last = std::find_if(
        trace.lines.rbegin(), trace.lines.rend(),
        [](const trace_line& line) { return line.of_request && line.fields.contains("verdict"); });
    if (last == trace.lines.rend()) {
        return std::nullopt;
    }
    const auto field = [&last](const char* name) { return text_field(last->fields, name); };
    const std::string verdict = field("verdict");
    const std::string framing = field("framing");
    return fmt::format("response of {}: framing {}, connection {}: {}, because {}",
                       field("backend"), framing, field("connection"), verdict,
                       reason_of(verdict, framing));
}

std::optional<std::string> ends_text(const request_trace& trace) {
    // The last line about an attempt tells what became of its back end.
    std::map<std::pair<std::string, std::string>, const trace_line*> last_of_attempt;
    std::size_t refused = 0;
    for (const trace_line& line : trace.lines) {
        refused += line.event == "suspect_refused" ? 1 : 0;
        if (contains(end_events, line.event)) {
            last_of_attempt[{text_field(line.fields, "request"),
                             text_field(line.fields, "backend")}] = &line;
        }
    }
    std::string text = recorded_tries_text(trace);
    if (last_of_attempt.empty() && text.empty()) {
        return std::nullopt;
    }
    std::size_t ended = 0;
    std::size_t in_doubt = 0;
    for (const trace_line& line : trace.lines) {
        const std::string request = text_field(line.fields, "request");
        const std::string backend = text_field(line.fields, "backend");
        const auto last = last_of_attempt.find({request, backend});
        if (last == last_of_attempt.end() || last->second != &line) {
            continue;
        }
        ended += line.event == "back_end_ended" ? 1 : 0;
        in_doubt += line.event == "end_suspected" ? 1 : 0;
        text += fmt::format("   back end {} {} under try {} at {}: {}\n", backend,
                            outcome_text(line.event), request, line.node,
                            text_field(line.fields, "evidence"));
    }
    const std::string doubts = in_doubt > 0 ? fmt::format(", {} may have ended", in_doubt) : "";
    text +=
        fmt::format("   {} back ends ended{}; {} tries refused for it\n", ended, doubts, refused);
    return text;
}

std::string trace_text(const request_trace& trace) {
    std::string out;
    for (std::size_t index = 0; index < trace.lines.size(); ++index) {
        const trace_line& line = trace.lines[index];
        const char* mark = trace.deciding == index ? "=>" : "  ";
        out += fmt::format("{} {} {} {}", mark, line.time, line.node, line.event);
        for (const auto& [name, value] : line.fields.items()) {
            const bool is_traced_request = name == "request" && value == trace.request;
            if (!contains(column_fields, name) && !is_traced_request) {
                out += fmt::format(" {}={}", name, value.dump());
            }
        }
        out.push_back('\n');
    }
    if (const auto end = response_end_text(trace); end.has_value()) {
        out += "   " + *end + "\n";
    }
    if (const auto ends = ends_text(trace); ends.has_value()) {
        out += *ends;
    }
    if (const auto step = find_costliest_step(trace); step.has_value()) {
        out += fmt::format("   costliest step: {}, {} of {} ms\n", step->name, step->milliseconds,
                           step->of_milliseconds);
    }
    return out;
}

}  // namespace pearbarrow::operators
