/// Reading of the OpenAI convention's chat requests, and its answers' JSON.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "pearbarrow/net/http.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::gateway {

/// How the messages sent relate to the program's history.
enum class message_scope {
    /// The whole conversation, as the convention has it: what the history lacks is new.
    conversation,
    /// Only this turn's messages.
    new_messages
};

struct chat_request {
    wire::model_call call;
    bool stream = false;
    bool include_usage = false;

    /// From headers, all optional.
    base::program_id program;
    base::call_number number;
    std::string program_class;
    std::vector<wire::label> labels;
    std::string priority_class;
    std::uint64_t deadline_ms = 0;
    message_scope scope = message_scope::conversation;
    std::string idempotency_key;
};

/// Class of a program opened around one call that names none.
inline constexpr std::string_view default_program_class = "default";

/// Reads body and headers. Unknown fields of the body are ignored, as is customary; fields that ask
/// for what pearbarrow can't give (several choices, tools, pictures) are refused by name.
absl::StatusOr<chat_request> parse_chat_request(const net::http_request& request);

/// Upper bound of the tokens that the call can cost: what a one-call program is opened with.
std::uint64_t token_bound(const wire::model_call& call);

/// What identifies one answer.
struct chat_answer_head {
    std::string id;
    std::string model;
    std::int64_t created = 0;
};

nlohmann::json chat_completion(const chat_answer_head& head, const wire::call_result& result);
nlohmann::json chat_chunk(const chat_answer_head& head, const nlohmann::json& delta,
                          const nlohmann::json& finish_reason);
nlohmann::json chat_usage_chunk(const chat_answer_head& head, const wire::token_usage& usage);
nlohmann::json model_list(const std::vector<base::model_name>& models);

}  // namespace pearbarrow::gateway
