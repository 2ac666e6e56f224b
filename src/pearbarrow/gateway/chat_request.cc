#include "pearbarrow/gateway/chat_request.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>
#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"
#include "pearbarrow/gateway/native_api.h"
#include "pearbarrow/gateway/problem.h"
#include "pearbarrow/gateway/request_json.h"

namespace pearbarrow::gateway {
namespace {

/// Sampling parameters passed on to the engine.
constexpr std::array<std::string_view, 10> engine_parameters{"temperature",
                                                             "top_p",
                                                             "stop",
                                                             "seed",
                                                             "presence_penalty",
                                                             "frequency_penalty",
                                                             "logit_bias",
                                                             "response_format",
                                                             "logprobs",
                                                             "top_logprobs"};
/// Fields that ask for what an answer here can't hold.
constexpr std::array<std::string_view, 4> unsupported_fields{"tools", "functions", "modalities",
                                                             "audio"};
constexpr std::size_t max_content_parts = 256;
/// Tokens counted beside a message's bytes, which bound its own.
constexpr std::uint64_t tokens_per_message = 8;

std::string role_of(const std::string& given) {
    if (given == "developer") {
        return "system";
    }
    return given == "function" ? "tool" : given;
}

bool is_empty(const nlohmann::json& value) {
    return value.is_null() || (value.is_structured() && value.empty());
}

/// Joins content given as parts; only parts of type text can be joined.
std::string joined_parts(const nlohmann::json& parts, const std::string& path,
                         std::vector<field_problem>& problems) {
    std::string content;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        object_reader part(parts[index], fmt::format("{}[{}]", path, index), problems);
        if (part.text("type", max_name_bytes) != "text") {
            part.note("type", "only text parts are supported");
            continue;
        }
        part.require("text");
        content += part.text("text", max_content_bytes).value_or("");
    }
    return content;
}

wire::chat_message read_chat_message(const nlohmann::json& value, const std::string& path,
                                     std::vector<field_problem>& problems) {
    object_reader reader(value, path, problems);
    wire::chat_message message;
    reader.require("role");
    message.role = role_of(reader.text("role", max_name_bytes).value_or(""));
    const bool known = message.role == "system" || message.role == "user" ||
                       message.role == "assistant" || message.role == "tool";
    if (reader.has("role") && !known) {
        reader.note("role", "must be system, developer, user, assistant or tool");
    }
    if (const auto* calls = reader.any("tool_calls"); calls != nullptr && !is_empty(*calls)) {
        reader.note("tool_calls", "is not supported: use the native API's tool calls");
    }
    const auto* content = reader.any("content");
    if (content != nullptr && content->is_array()) {
        if (const auto* parts = reader.array("content", max_content_parts)) {
            message.content = joined_parts(*parts, reader.path_of("content"), problems);
        }
    } else {
        reader.require("content");
        message.content = reader.text("content", max_content_bytes).value_or("");
    }
    message.name = reader.text("name", max_name_bytes).value_or("");
    return message;
}

std::string parameters_of(const nlohmann::json& body) {
    nlohmann::json parameters = nlohmann::json::object();
    for (const auto name : engine_parameters) {
        const auto found = body.find(std::string(name));
        if (found != body.end() && !found->is_null()) {
            parameters[std::string(name)] = *found;
        }
    }
    return parameters.empty() ? std::string() : dump_json(parameters);
}

void read_messages(object_reader& reader, wire::model_call& call,
                   std::vector<field_problem>& problems) {
    reader.require("messages");
    const auto* messages = reader.array("messages", max_messages);
    if (messages == nullptr) {
        return;
    }
    if (messages->empty()) {
        reader.note("messages", "must have at least one item");
    }
    for (std::size_t index = 0; index < messages->size(); ++index) {
        call.new_messages.push_back(
            read_chat_message((*messages)[index], fmt::format("messages[{}]", index), problems));
    }
}

void read_body(const nlohmann::json& body, chat_request& request,
               std::vector<field_problem>& problems) {
    object_reader reader(body, "", problems);
    reader.require("model");
    request.call.model = base::model_name(reader.text("model", max_name_bytes).value_or(""));
    read_messages(reader, request.call, problems);
    const auto older_bound = reader.integer("max_tokens", 1, max_output_tokens);
    request.call.max_output_tokens = reader.integer("max_completion_tokens", 1, max_output_tokens)
                                         .value_or(older_bound.value_or(default_output_tokens));
    request.stream = reader.boolean("stream").value_or(false);
    if (const auto* options = reader.object("stream_options")) {
        object_reader option_reader(*options, "stream_options", problems);
        request.include_usage = option_reader.boolean("include_usage").value_or(false);
    }
    reader.integer("n", 1, 1);
    for (const auto name : unsupported_fields) {
        if (const auto* value = reader.any(name); value != nullptr && !is_empty(*value)) {
            reader.note(name, "is not supported");
        }
    }
    request.call.parameters_json = parameters_of(body);
}

/// A header that holds a whole number from 1; 0 when absent.
std::uint64_t number_header(const net::http_request& request, const std::string& name,
                            std::uint64_t most, std::vector<field_problem>& problems) {
    const auto text = request.headers.find(name);
    if (!text.has_value()) {
        return 0;
    }
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(*text, &value) || value == 0 || value > most) {
        problems.push_back({name, fmt::format("must be a whole number from 1 to {}", most)});
        return 0;
    }
    return value;
}

/// A header that holds a name; none when absent or too long.
std::optional<std::string> name_header(const net::http_request& request, const std::string& name,
                                       std::vector<field_problem>& problems) {
    auto text = request.headers.find(name);
    if (text.has_value() && text->size() > max_name_bytes) {
        problems.push_back({name, fmt::format("must be at most {} bytes long", max_name_bytes)});
        return std::nullopt;
    }
    return text;
}

/// "key=value,key=value" as the JSON object that `read_labels` takes.
nlohmann::json labels_of_header(std::string_view text) {
    nlohmann::json labels = nlohmann::json::object();
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const auto equals = item.find('=');
        const auto value =
            equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        labels[std::string(item.substr(0, equals))] = std::string(value);
    }
    return labels;
}

void read_headers(const net::http_request& http, chat_request& request,
                  std::vector<field_problem>& problems) {
    request.program = base::program_id(http.headers.find("X-Program-Id").value_or(""));
    request.number =
        base::call_number(number_header(http, "X-Call-Number", max_call_number, problems));
    if (request.number.value() != 0 && request.program.value().empty()) {
        problems.push_back({"X-Call-Number", "needs X-Program-Id"});
    }
    request.deadline_ms = number_header(http, "X-Deadline-Ms", max_milliseconds, problems);
    request.program_class =
        name_header(http, "X-Program-Class", problems).value_or(std::string(default_program_class));
    request.priority_class = name_header(http, "X-Priority-Class", problems).value_or("");
    request.labels =
        read_labels(labels_of_header(http.headers.find("X-Program-Labels").value_or("")),
                    "X-Program-Labels", problems);
    const auto scope = http.headers.find("X-Program-Messages").value_or("conversation");
    if (scope != "conversation" && scope != "new") {
        problems.push_back({"X-Program-Messages", "must be conversation or new"});
    }
    request.scope = scope == "new" ? message_scope::new_messages : message_scope::conversation;
}

nlohmann::json usage_json(const wire::token_usage& usage) {
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.generated_tokens},
            {"total_tokens", usage.prompt_tokens + usage.generated_tokens},
            {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

nlohmann::json head_json(const chat_answer_head& head, std::string_view object) {
    return {{"id", head.id}, {"object", object}, {"created", head.created}, {"model", head.model}};
}

}  // namespace

absl::StatusOr<chat_request> parse_chat_request(const net::http_request& http) {
    const auto body = parse_json_object(http.body);
    if (!body.ok()) {
        return body.status();
    }
    const auto key = idempotency_key(http);
    if (!key.ok()) {
        return key.status();
    }
    chat_request request;
    request.idempotency_key = *key;
    std::vector<field_problem> problems;
    read_body(*body, request, problems);
    read_headers(http, request, problems);
    if (auto status = to_status(problems); !status.ok()) {
        return status;
    }
    return request;
}

std::uint64_t token_bound(const wire::model_call& call) {
    std::uint64_t tokens = call.max_output_tokens + tokens_per_message;
    for (const auto& message : call.new_messages) {
        tokens +=
            message.content.size() + message.name.size() + message.role.size() + tokens_per_message;
    }
    return tokens;
}

nlohmann::json chat_completion(const chat_answer_head& head, const wire::call_result& result) {
    auto body = head_json(head, "chat.completion");
    const nlohmann::json message = {{"role", "assistant"}, {"content", result.output}};
    body["choices"] = nlohmann::json::array(
        {{{"index", 0}, {"message", message}, {"finish_reason", result.finish_reason}}});
    body["usage"] = usage_json(result.usage);
    return body;
}

nlohmann::json chat_chunk(const chat_answer_head& head, const nlohmann::json& delta,
                          const nlohmann::json& finish_reason) {
    auto body = head_json(head, "chat.completion.chunk");
    body["choices"] =
        nlohmann::json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}});
    return body;
}

nlohmann::json chat_usage_chunk(const chat_answer_head& head, const wire::token_usage& usage) {
    auto body = head_json(head, "chat.completion.chunk");
    body["choices"] = nlohmann::json::array();
    body["usage"] = usage_json(usage);
    return body;
}

nlohmann::json model_list(const std::vector<base::model_name>& models) {
    nlohmann::json data = nlohmann::json::array();
    for (const auto& model : models) {
        data.push_back({{"id", model.value()},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "pearbarrow"}});
    }
    return {{"object", "list"}, {"data", std::move(data)}};
}

}  // namespace pearbarrow::gateway
