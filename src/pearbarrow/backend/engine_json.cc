#include "pearbarrow/backend/engine_json.h"

#include <array>
#include <stdexcept>
#include <utility>

#include "pearbarrow/base/tokens.h"

namespace pearbarrow::backend {
namespace {

using nlohmann::json;

template <typename Enum, std::size_t Count>
using name_table = std::array<std::pair<Enum, std::string_view>, Count>;

constexpr name_table<finish_reason, 3> finish_reasons{{{finish_reason::stop, "stop"},
                                                       {finish_reason::length, "length"},
                                                       {finish_reason::cancelled, "cancelled"}}};
constexpr name_table<engine_role, 3> roles{{{engine_role::both, "both"},
                                            {engine_role::prefill, "prefill"},
                                            {engine_role::decode, "decode"}}};
constexpr name_table<cancel_outcome, 3> outcomes{{{cancel_outcome::cancelled, "cancelled"},
                                                  {cancel_outcome::finished, "finished"},
                                                  {cancel_outcome::unknown, "unknown"}}};
constexpr name_table<cache_event_kind, 4> event_kinds{
    {{cache_event_kind::pinned, "pinned"},
     {cache_event_kind::released, "released"},
     {cache_event_kind::lease_lapsed, "lease_lapsed"},
     {cache_event_kind::evicted, "evicted"}}};
constexpr name_table<order_kind, 4> order_kinds{{{order_kind::load_model, "load_model"},
                                                 {order_kind::load_adapter, "load_adapter"},
                                                 {order_kind::unload_adapter, "unload_adapter"},
                                                 {order_kind::set_role, "set_role"}}};

template <typename Enum, std::size_t Count>
std::string_view name_in(const name_table<Enum, Count>& table, Enum value) {
    for (const auto& [candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template <typename Enum, std::size_t Count>
Enum value_in(const name_table<Enum, Count>& table, const json& item) {
    const auto& text = item.get_ref<const std::string&>();
    for (const auto& [value, name] : table) {
        if (name == text) {
            return value;
        }
    }
    throw std::invalid_argument("unknown word: " + text);
}

template <typename Id>
Id id_at(const json& item, const char* key) {
    return Id(item.at(key).get<typename Id::value_type>());
}

base::milliseconds milliseconds_at(const json& item, const char* key) {
    return base::milliseconds(item.at(key).get<std::int64_t>());
}

}  // namespace

std::uint64_t count_prompt_tokens(const std::vector<chat_message>& messages) {
    std::uint64_t tokens = base::response_header_tokens;
    for (const auto& message : messages) {
        tokens += base::message_overhead_tokens + base::estimate_tokens(message.content);
    }
    return tokens;
}

std::string_view to_string(finish_reason value) {
    return name_in(finish_reasons, value);
}
std::string_view to_string(engine_role value) {
    return name_in(roles, value);
}
std::string_view to_string(cancel_outcome value) {
    return name_in(outcomes, value);
}

void to_json(json& out, const chat_message& value) {
    out = {{"role", value.role}, {"content", value.content}};
}

void from_json(const json& in, chat_message& value) {
    in.at("role").get_to(value.role);
    in.at("content").get_to(value.content);
}

void to_json(json& out, const token_usage& value) {
    out = {{"prompt_tokens", value.prompt_tokens},
           {"completion_tokens", value.completion_tokens},
           {"total_tokens", value.prompt_tokens + value.completion_tokens},
           {"prompt_tokens_details", {{"cached_tokens", value.cached_tokens}}}};
}

void from_json(const json& in, token_usage& value) {
    in.at("prompt_tokens").get_to(value.prompt_tokens);
    in.at("completion_tokens").get_to(value.completion_tokens);
    if (in.contains("prompt_tokens_details")) {
        value.cached_tokens = in.at("prompt_tokens_details").value("cached_tokens", 0ULL);
    }
}

void to_json(json& out, const cancel_result& value) {
    out = {{"outcome", to_string(value.outcome)}, {"usage", value.usage}};
}

void from_json(const json& in, cancel_result& value) {
    value.outcome = value_in(outcomes, in.at("outcome"));
    in.at("usage").get_to(value.usage);
}

void to_json(json& out, const load_report& value) {
    out = {{"sequence", value.sequence},
           {"age_ms", value.age.count()},
           {"running", value.running},
           {"queued", value.queued},
           {"waiting_prompt_tokens", value.waiting_prompt_tokens},
           {"cache_blocks_used", value.cache_blocks_used},
           {"cache_blocks_pinned", value.cache_blocks_pinned},
           {"cache_blocks_total", value.cache_blocks_total},
           {"block_tokens", value.block_tokens},
           {"model", value.model.value()},
           {"model_version", value.model_version},
           {"adapters", value.adapters},
           {"role", to_string(value.role)},
           {"leaving", value.leaving},
           {"fencing_token", value.fencing_token}};
}

void from_json(const json& in, load_report& value) {
    in.at("sequence").get_to(value.sequence);
    value.age = milliseconds_at(in, "age_ms");
    in.at("running").get_to(value.running);
    in.at("queued").get_to(value.queued);
    in.at("waiting_prompt_tokens").get_to(value.waiting_prompt_tokens);
    in.at("cache_blocks_used").get_to(value.cache_blocks_used);
    in.at("cache_blocks_pinned").get_to(value.cache_blocks_pinned);
    in.at("cache_blocks_total").get_to(value.cache_blocks_total);
    in.at("block_tokens").get_to(value.block_tokens);
    value.model = id_at<base::model_name>(in, "model");
    in.at("model_version").get_to(value.model_version);
    in.at("adapters").get_to(value.adapters);
    value.role = value_in(roles, in.at("role"));
    in.at("leaving").get_to(value.leaving);
    in.at("fencing_token").get_to(value.fencing_token);
}

void to_json(json& out, const cache_holding& value) {
    out = {{"program", value.program.value()},
           {"blocks", value.blocks},
           {"lease_left_ms", value.lease_left.count()}};
}

void from_json(const json& in, cache_holding& value) {
    value.program = id_at<base::program_id>(in, "program");
    in.at("blocks").get_to(value.blocks);
    value.lease_left = milliseconds_at(in, "lease_left_ms");
}

void to_json(json& out, const cache_listing& value) {
    out = {{"sequence", value.sequence},
           {"holdings", value.holdings},
           {"unpinned_blocks", value.unpinned_blocks}};
}

void from_json(const json& in, cache_listing& value) {
    in.at("sequence").get_to(value.sequence);
    in.at("holdings").get_to(value.holdings);
    in.at("unpinned_blocks").get_to(value.unpinned_blocks);
}

void to_json(json& out, const cache_event& value) {
    out = {{"sequence", value.sequence},
           {"kind", name_in(event_kinds, value.kind)},
           {"program", value.program.value()},
           {"blocks", value.blocks},
           {"blocks_left", value.blocks_left}};
}

void from_json(const json& in, cache_event& value) {
    in.at("sequence").get_to(value.sequence);
    value.kind = value_in(event_kinds, in.at("kind"));
    value.program = id_at<base::program_id>(in, "program");
    in.at("blocks").get_to(value.blocks);
    in.at("blocks_left").get_to(value.blocks_left);
}

void to_json(json& out, const cache_event_batch& value) {
    out = {{"events", value.events}, {"next_after", value.next_after}};
}

void from_json(const json& in, cache_event_batch& value) {
    in.at("events").get_to(value.events);
    in.at("next_after").get_to(value.next_after);
}

void to_json(json& out, const engine_order& value) {
    out = {{"fencing_token", value.fencing_token},
           {"kind", name_in(order_kinds, value.kind)},
           {"model", value.model.value()},
           {"version", value.version},
           {"adapter", value.adapter},
           {"role", to_string(value.role)}};
}

void from_json(const json& in, engine_order& value) {
    in.at("fencing_token").get_to(value.fencing_token);
    value.kind = value_in(order_kinds, in.at("kind"));
    value.model = base::model_name(in.value("model", ""));
    value.version = in.value("version", "");
    value.adapter = in.value("adapter", "");
    if (in.contains("role")) {
        value.role = value_in(roles, in.at("role"));
    }
}

void to_json(json& out, const exported_prefix& value) {
    out = {{"program", value.program.value()},
           {"model", value.model.value()},
           {"model_version", value.model_version},
           {"adapter", value.adapter},
           {"tokens", value.tokens},
           {"blocks", value.blocks}};
}

void from_json(const json& in, exported_prefix& value) {
    value.program = id_at<base::program_id>(in, "program");
    value.model = id_at<base::model_name>(in, "model");
    in.at("model_version").get_to(value.model_version);
    value.adapter = in.value("adapter", "");
    in.at("tokens").get_to(value.tokens);
    in.at("blocks").get_to(value.blocks);
}

void to_json(json& out, const meter_entry& value) {
    out = {{"id", value.attempt.value()},
           {"program", value.program.value()},
           {"call", value.call.value()},
           {"usage", value.usage},
           {"state", value.state}};
}

void from_json(const json& in, meter_entry& value) {
    value.attempt = id_at<base::attempt_id>(in, "id");
    value.program = id_at<base::program_id>(in, "program");
    value.call = id_at<base::call_number>(in, "call");
    in.at("usage").get_to(value.usage);
    in.at("state").get_to(value.state);
}

std::string generate_body(const generate_request& request) {
    json body = {{"model", request.model.value()},
                 {"messages", request.messages},
                 {"max_tokens", request.max_tokens},
                 {"stream", true},
                 {"priority", request.priority}};
    if (!request.adapter.empty()) {
        body["adapter"] = request.adapter;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string chunk_body(const std::string& stream_id, const std::string& model,
                       const stream_chunk& chunk) {
    json choice = {{"index", 0},
                   {"delta", json::object()},
                   {"finish_reason", chunk.reason ? json(to_string(*chunk.reason)) : json()}};
    if (!chunk.text.empty()) {
        choice["delta"]["content"] = chunk.text;
    }
    json body = {{"id", stream_id},
                 {"object", "chat.completion.chunk"},
                 {"model", model},
                 {"choices", json::array({std::move(choice)})}};
    if (chunk.usage) {
        body["usage"] = *chunk.usage;
    }
    return body.dump();
}

absl::StatusOr<stream_chunk> parse_chunk(std::string_view data) {
    try {
        const json body = json::parse(data);
        const json& choice = body.at("choices").at(0);
        stream_chunk chunk;
        chunk.text = choice.at("delta").value("content", "");
        if (choice.contains("finish_reason") && !choice.at("finish_reason").is_null()) {
            chunk.reason = value_in(finish_reasons, choice.at("finish_reason"));
        }
        if (body.contains("usage") && !body.at("usage").is_null()) {
            chunk.usage = body.at("usage").get<token_usage>();
        }
        return chunk;
    } catch (const std::exception& error) {
        return base::make_error(absl::StatusCode::kInvalidArgument, error.what(),
                                {.step = "parse_chunk", .reason = "malformed_json"});
    }
}

}  // namespace pearbarrow::backend
