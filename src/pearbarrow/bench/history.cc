#include "pearbarrow/bench/history.h"

#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <utility>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::bench {
namespace {

using nlohmann::json;

/// Conversation digests are written as 16 hexadecimal digits: JSON numbers lose the low bits in
/// many readers.
std::uint64_t parse_digest(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::string format_digest(std::uint64_t value) {
    return fmt::format("{:016x}", value);
}

base::executed parse_executed(const std::string& text) {
    if (text == "no") {
        return base::executed::no;
    }
    return text == "yes" ? base::executed::yes : base::executed::unknown;
}

template <typename Id>
Id text_id(const json& line, const char* member) {
    return Id(line.at(member).get<std::string>());
}

base::call_number call_of(const json& line) {
    return base::call_number(line.at("call").get<std::uint64_t>());
}

base::program_id program_of(const json& line) {
    return text_id<base::program_id>(line, "program");
}

std::int64_t time_of(const json& line) {
    return line.at("at_us").get<std::int64_t>();
}

void read_opened(const json& line, history& into) {
    into.opened.push_back({.tenant = text_id<base::tenant_id>(line, "tenant"),
                           .program = program_of(line),
                           .token_budget = line.at("token_budget").get<std::uint64_t>(),
                           .at = time_of(line)});
}

void read_ended(const json& line, history& into) {
    into.ended.push_back({.program = program_of(line), .at = time_of(line)});
}

void read_sent(const json& line, history& into) {
    into.sent.push_back({.program = program_of(line),
                         .call = call_of(line),
                         .at = time_of(line),
                         .is_model_call = line.at("model_call").get<bool>(),
                         .repeatable = line.at("repeatable").get<bool>(),
                         .conversation = parse_digest(line.at("conversation").get<std::string>())});
}

void read_answered(const json& line, history& into) {
    into.answered.push_back({.program = program_of(line),
                             .call = call_of(line),
                             .at = time_of(line),
                             .output = line.at("output").get<std::string>(),
                             .streamed = line.at("streamed").get<std::string>()});
}

void read_refused(const json& line, history& into) {
    into.refused.push_back({.program = program_of(line),
                            .call = call_of(line),
                            .at = time_of(line),
                            .status = line.at("status").get<int>(),
                            .reason = line.at("reason").get<std::string>(),
                            .executed = parse_executed(line.at("executed").get<std::string>()),
                            .sent_again = line.at("sent_again").get<bool>()});
}

back_end_run* find_run(history& into, const base::backend_id& backend,
                       const base::attempt_id& attempt) {
    for (auto run = into.runs.rbegin(); run != into.runs.rend(); ++run) {
        if (run->backend == backend && run->attempt == attempt) {
            return &*run;
        }
    }
    return nullptr;
}

void read_engine_arrival(const json& line, history& into) {
    if (line.at("outcome").get<std::string>() != "accepted") {
        return;
    }
    into.runs.push_back({.backend = text_id<base::backend_id>(line, "engine"),
                         .is_engine = true,
                         .attempt = text_id<base::attempt_id>(line, "attempt"),
                         .program = program_of(line),
                         .call = call_of(line),
                         .started_at = time_of(line),
                         .conversation = parse_digest(line.at("conversation").get<std::string>()),
                         .outcome = "running"});
}

void read_engine_end(const json& line, history& into) {
    auto* run = find_run(into, text_id<base::backend_id>(line, "engine"),
                         text_id<base::attempt_id>(line, "attempt"));
    if (run == nullptr) {
        return;
    }
    const auto& usage = line.at("usage");
    run->ended_at = time_of(line);
    run->outcome = line.at("state").get<std::string>();
    run->metered_tokens = usage.at("prompt_tokens").get<std::uint64_t>() +
                          usage.at("completion_tokens").get<std::uint64_t>();
}

void read_tool_start(const json& line, history& into) {
    into.runs.push_back({.backend = text_id<base::backend_id>(line, "service"),
                         .attempt = text_id<base::attempt_id>(line, "attempt"),
                         .program = program_of(line),
                         .call = call_of(line),
                         .started_at = time_of(line),
                         .outcome = "running"});
}

void read_tool_end(const json& line, history& into) {
    auto* run = find_run(into, text_id<base::backend_id>(line, "service"),
                         text_id<base::attempt_id>(line, "attempt"));
    if (run == nullptr) {
        return;
    }
    run->ended_at = time_of(line);
    run->outcome = line.at("failed").get<bool>() ? "failed" : "finished";
}

void read_leaving(const json& line, history& into) {
    back_end_leaving mark{.backend = text_id<base::backend_id>(line, "backend"),
                          .at = time_of(line)};
    mark.until = line.value("until_us", mark.until);
    into.leaving.push_back(mark);
}

void read_version(const json& line, history& into) {
    into.versions.push_back(
        {.node = text_id<base::node_id>(line, "node"),
         .version = base::config_version(line.at("version").get<std::uint64_t>()),
         .at = time_of(line)});
}

void read_change(const json& line, history& into) {
    into.changes.push_back(
        {.version = base::config_version(line.at("version").get<std::uint64_t>()),
         .at = time_of(line)});
}

void read_held(const json& line, history& into) {
    into.held.push_back({.backend = text_id<base::backend_id>(line, "backend"),
                         .program = program_of(line),
                         .blocks = line.at("blocks").get<std::uint64_t>()});
}

void read_cut(const json& line, history& into) {
    into.cut.push_back({.program = program_of(line),
                        .call = call_of(line),
                        .at = time_of(line),
                        .detail = line.at("detail").get<std::string>()});
}

void read_foreign_read(const json& line, history& into) {
    into.foreign_reads.push_back({.program = program_of(line),
                                  .reader = text_id<base::tenant_id>(line, "reader"),
                                  .at = time_of(line),
                                  .status = line.at("status").get<int>()});
}

using line_reader = void (*)(const json&, history&);

const std::map<std::string, line_reader>& readers() {
    static const std::map<std::string, line_reader> table{
        {"program_opened", read_opened}, {"program_ended", read_ended},
        {"call_sent", read_sent},        {"call_answered", read_answered},
        {"call_refused", read_refused},  {"engine_arrival", read_engine_arrival},
        {"engine_end", read_engine_end}, {"tool_start", read_tool_start},
        {"tool_end", read_tool_end},     {"back_end_leaving", read_leaving},
        {"version_seen", read_version},  {"change_accepted", read_change},
        {"memory_held", read_held},      {"request_cut", read_cut},
    };
    return table;
}

absl::Status bad_line(const std::string& message, const std::string& place) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "read_history", .peer = place, .reason = "malformed_history"});
}

}  // namespace

json to_json(const program_opened& record) {
    return {{"event", "program_opened"},
            {"tenant", record.tenant.value()},
            {"program", record.program.value()},
            {"token_budget", record.token_budget},
            {"at_us", record.at}};
}

json to_json(const program_ended& record) {
    return {{"event", "program_ended"}, {"program", record.program.value()}, {"at_us", record.at}};
}

json to_json(const call_sent& record) {
    return {{"event", "call_sent"},
            {"program", record.program.value()},
            {"call", record.call.value()},
            {"at_us", record.at},
            {"model_call", record.is_model_call},
            {"repeatable", record.repeatable},
            {"conversation", format_digest(record.conversation)}};
}

json to_json(const call_answered& record) {
    return {{"event", "call_answered"},    {"program", record.program.value()},
            {"call", record.call.value()}, {"at_us", record.at},
            {"output", record.output},     {"streamed", record.streamed}};
}

json to_json(const call_refused& record) {
    return {{"event", "call_refused"},
            {"program", record.program.value()},
            {"call", record.call.value()},
            {"at_us", record.at},
            {"status", record.status},
            {"reason", record.reason},
            {"executed", base::to_string(record.executed)},
            {"sent_again", record.sent_again}};
}

json to_json(const version_seen& record) {
    return {{"event", "version_seen"},
            {"node", record.node.value()},
            {"version", record.version.value()},
            {"at_us", record.at}};
}

json to_json(const request_cut& record) {
    return {{"event", "request_cut"},
            {"program", record.program.value()},
            {"call", record.call.value()},
            {"at_us", record.at},
            {"detail", record.detail}};
}

json to_json(const foreign_read& record) {
    return {{"event", "foreign_read"},
            {"program", record.program.value()},
            {"reader", record.reader.value()},
            {"at_us", record.at},
            {"status", record.status}};
}

absl::Status add_history_line(std::string_view line, history& into) {
    try {
        const json parsed = json::parse(line);
        const auto reader = readers().find(parsed.at("event").get<std::string>());
        if (reader != readers().end()) {
            reader->second(parsed, into);
        }
        return absl::OkStatus();
    } catch (const json::exception& error) {
        return bad_line(error.what(), "");
    }
}

absl::Status read_history(const std::string& path, history& into) {
    std::ifstream file(path);
    if (!file) {
        return bad_line("cannot open the file", path);
    }
    std::string line;
    std::size_t number = 0;
    while (std::getline(file, line)) {
        ++number;
        const absl::Status status = add_history_line(line, into);
        // A line without its newline was being written when the writer was killed.
        const bool is_cut_short = file.eof();
        if (!status.ok() && !is_cut_short) {
            return bad_line(std::string(status.message()), fmt::format("{}:{}", path, number));
        }
    }
    return absl::OkStatus();
}

}  // namespace pearbarrow::bench
