#include "pearbarrow/gateway/request_json.h"

#include <algorithm>
#include <array>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/config/selector.h"
#include "pearbarrow/gateway/problem.h"

namespace pearbarrow::gateway {
namespace {

constexpr std::size_t program_id_digits = 32;
constexpr std::array<std::string_view, 4> roles{"system", "user", "assistant", "tool"};
/// Keys that selectors see and only pearbarrow sets.
constexpr std::array<std::string_view, 3> reserved_label_keys{"class", "tenant", "region"};

template <typename Items>
bool contains(const Items& items, std::string_view text) {
    return std::find(items.begin(), items.end(), text) != items.end();
}

bool all_digits(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](char digit) { return digit >= '0' && digit <= '9'; });
}

wire::program_limits read_limits(const nlohmann::json& value, const std::string& path,
                                 std::vector<field_problem>& problems) {
    object_reader reader(value, path, problems);
    wire::program_limits limits;
    limits.idle_ms = reader.integer("idle_ms", 1, max_milliseconds).value_or(0);
    limits.run_time_ms = reader.integer("run_time_ms", 1, max_milliseconds).value_or(0);
    limits.turns = reader.integer("turns", 1, max_call_number).value_or(0);
    limits.equal_calls = reader.integer("equal_calls", 1, max_call_number).value_or(0);
    reader.finish();
    return limits;
}

wire::chat_message read_message(const nlohmann::json& value, const std::string& path,
                                std::vector<field_problem>& problems) {
    object_reader reader(value, path, problems);
    reader.require("role");
    reader.require("content");
    wire::chat_message message;
    message.role = reader.text("role", max_name_bytes).value_or("");
    message.content = reader.text("content", max_content_bytes).value_or("");
    message.name = reader.text("name", max_name_bytes).value_or("");
    if (reader.has("role") && !contains(roles, message.role)) {
        reader.note("role", "must be system, user, assistant or tool");
    }
    reader.finish();
    return message;
}

wire::model_call read_model_call(object_reader& reader, std::vector<field_problem>& problems) {
    wire::model_call call;
    call.model = base::model_name(reader.text("model", max_name_bytes).value_or(""));
    reader.require("messages");
    if (const auto* messages = reader.array("messages", max_messages)) {
        for (std::size_t index = 0; index < messages->size(); ++index) {
            call.new_messages.push_back(read_message(
                (*messages)[index], reader.path_of(fmt::format("messages[{}]", index)), problems));
        }
        if (messages->empty()) {
            reader.note("messages", "must have at least one item");
        }
    }
    call.max_output_tokens =
        reader.integer("max_output_tokens", 1, max_output_tokens).value_or(default_output_tokens);
    if (const auto* parameters = reader.object("parameters")) {
        call.parameters_json = dump_json(*parameters);
    }
    return call;
}

wire::tool_call read_tool_call(object_reader& reader) {
    wire::tool_call call;
    call.tool = base::tool_name(reader.text("tool", max_name_bytes).value_or(""));
    const auto* arguments = reader.object("arguments");
    call.arguments_json = arguments == nullptr ? "{}" : dump_json(*arguments);
    call.repeatable = reader.boolean("repeatable").value_or(false);
    call.declared_cost = reader.integer("declared_cost", 0, max_token_budget).value_or(0);
    return call;
}

nlohmann::json to_json(const wire::token_usage& usage) {
    return {{"prompt_tokens", usage.prompt_tokens},
            {"cached_tokens", usage.cached_tokens},
            {"generated_tokens", usage.generated_tokens}};
}

}  // namespace

std::vector<wire::label> read_labels(const nlohmann::json& labels, const std::string& path,
                                     std::vector<field_problem>& problems) {
    std::vector<wire::label> result;
    if (labels.size() > max_labels) {
        problems.push_back({path, fmt::format("must have at most {} labels", max_labels)});
        return result;
    }
    for (const auto& [key, value] : labels.items()) {
        const auto key_path = path + "." + key.substr(0, max_name_bytes);
        const auto key_status = config::check_label_key(key);
        if (!key_status.ok()) {
            problems.push_back({key_path, std::string(key_status.message())});
        } else if (contains(reserved_label_keys, key)) {
            problems.push_back({key_path, "is a reserved key"});
        } else if (!value.is_string()) {
            problems.push_back({key_path, "must be a string"});
        } else {
            const auto text = value.get<std::string>();
            const auto value_status = config::check_label_value(text);
            if (!value_status.ok()) {
                problems.push_back({key_path, std::string(value_status.message())});
            }
            result.push_back({key, text});
        }
    }
    return result;
}

absl::StatusOr<wire::open_program_request> parse_open_program(std::string_view body,
                                                              const base::program_id* parent) {
    const auto parsed = parse_json_object(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::vector<field_problem> problems;
    object_reader reader(*parsed, "", problems);
    wire::open_program_request request;
    reader.require("program_class");
    reader.require("token_budget");
    request.program_class = reader.text("program_class", max_name_bytes).value_or("");
    request.token_budget = reader.integer("token_budget", 1, max_token_budget).value_or(0);
    if (const auto* labels = reader.object("labels")) {
        request.labels = read_labels(*labels, "labels", problems);
    }
    if (const auto* limits = reader.object("limits")) {
        request.limits = read_limits(*limits, "limits", problems);
    }
    if (parent != nullptr) {
        const auto call = reader.integer("call", 1, max_call_number).value_or(0);
        request.parent = wire::parent_reference{*parent, base::call_number(call)};
    }
    reader.finish();
    if (auto status = to_status(problems); !status.ok()) {
        return status;
    }
    return request;
}

absl::StatusOr<wire::submit_call_request> parse_submit_call(std::string_view body) {
    const auto parsed = parse_json_object(body);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::vector<field_problem> problems;
    object_reader reader(*parsed, "", problems);
    wire::submit_call_request request;
    request.number = base::call_number(reader.integer("number", 1, max_call_number).value_or(0));
    request.stream = reader.boolean("stream").value_or(false);
    request.deadline_ms = reader.integer("deadline_ms", 1, max_milliseconds).value_or(0);
    request.priority_class = reader.text("priority_class", max_name_bytes).value_or("");
    if (reader.has("model") == reader.has("tool")) {
        reader.note("model", "exactly one of 'model' and 'tool' must be given");
    } else if (reader.has("model")) {
        request.body.model = read_model_call(reader, problems);
    } else {
        request.body.tool = read_tool_call(reader);
    }
    reader.finish();
    if (auto status = to_status(problems); !status.ok()) {
        return status;
    }
    return request;
}

bool is_program_id(std::string_view text) {
    return text.size() == program_id_digits &&
           std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

bool is_event_id(std::string_view text) {
    constexpr std::size_t longest = 41;
    const auto dot = text.find('.');
    return text.empty() || (dot != std::string_view::npos && text.size() <= longest &&
                            all_digits(text.substr(0, dot)) && all_digits(text.substr(dot + 1)));
}

nlohmann::json to_json(const wire::program_view& view) {
    nlohmann::json labels = nlohmann::json::object();
    for (const auto& label : view.labels) {
        labels[label.key] = label.value;
    }
    nlohmann::json children = nlohmann::json::array();
    for (const auto& child : view.children) {
        children.push_back(child.value());
    }
    nlohmann::json body = {{"id", view.program.value()},
                           {"program_class", view.program_class},
                           {"labels", std::move(labels)},
                           {"state", view.state},
                           {"token_budget", view.token_budget},
                           {"spent_tokens", view.spent_tokens},
                           {"reserved_tokens", view.reserved_tokens},
                           {"remaining_budget", view.remaining_budget},
                           {"next_call", view.next_call.value()},
                           {"children", std::move(children)},
                           {"cache_released", view.cache_released}};
    if (!view.end_reason.empty()) {
        body["end_reason"] = view.end_reason;
    }
    if (view.parent.has_value()) {
        body["parent"] = {{"id", view.parent->program.value()},
                          {"call", view.parent->call.value()}};
    }
    return body;
}

nlohmann::json to_json(const wire::history_view& history) {
    nlohmann::json messages = nlohmann::json::array();
    for (const auto& message : history.messages) {
        nlohmann::json item = {{"role", message.role}, {"content", message.content}};
        if (!message.name.empty()) {
            item["name"] = message.name;
        }
        messages.push_back(std::move(item));
    }
    return {{"messages", std::move(messages)}};
}

nlohmann::json to_json(const base::program_id& program, const wire::call_result& result) {
    return {{"program", program.value()},
            {"number", result.number.value()},
            {"output", result.output},
            {"finish_reason", result.finish_reason},
            {"usage", to_json(result.usage)},
            {"remaining_budget", result.remaining_budget},
            {"executed", base::to_string(static_cast<base::executed>(result.executed_code))},
            {"last_event_id", result.last_event_id},
            {"back_end", result.backend.value()}};
}

}  // namespace pearbarrow::gateway
