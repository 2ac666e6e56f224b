#include "pearbarrow/emulator/key_value_json.h"

#include <stdexcept>
#include <utility>

namespace pearbarrow::emulator {
namespace {

using nlohmann::json;

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_digit = 6;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned digit_mask = 0x3f;
constexpr unsigned byte_mask = 0xff;
constexpr std::size_t digits_per_group = 4;

std::string bytes_at(const json& in, const char* key) {
    return in.contains(key) ? base64_decode(in.at(key).get_ref<const std::string&>())
                            : std::string();
}

key_range parse_keys(const json& in) {
    return {bytes_at(in, "key"), bytes_at(in, "range_end")};
}

bool flag_at(const json& in, const char* key) {
    return in.value(key, false);
}

void put_number(json& out, const char* key, std::int64_t value) {
    if (value != 0) {
        out[key] = std::to_string(value);
    }
}

json format_value(const key_value& value) {
    json out = {{"key", base64_encode(value.key)}};
    put_number(out, "create_revision", value.create_revision);
    put_number(out, "mod_revision", value.mod_revision);
    put_number(out, "version", value.version);
    if (!value.value.empty()) {
        out["value"] = base64_encode(value.value);
    }
    put_number(out, "lease", value.lease);
    return out;
}

json format_values(const std::vector<key_value>& values) {
    json out = json::array();
    for (const key_value& value : values) {
        out.push_back(format_value(value));
    }
    return out;
}

json format(const range_response& response) {
    json out = json::object();
    if (!response.values.empty()) {
        out["kvs"] = format_values(response.values);
    }
    if (response.more) {
        out["more"] = true;
    }
    put_number(out, "count", response.count);
    return out;
}

json format(const put_response& response) {
    json out = json::object();
    if (response.previous) {
        out["prev_kv"] = format_value(*response.previous);
    }
    return out;
}

json format(const delete_response& response) {
    json out = json::object();
    put_number(out, "deleted", response.deleted);
    if (!response.previous.empty()) {
        out["prev_kvs"] = format_values(response.previous);
    }
    return out;
}

compare_result parse_result(const std::string& word) {
    if (word == "EQUAL") {
        return compare_result::equal;
    }
    if (word == "GREATER") {
        return compare_result::greater;
    }
    if (word == "LESS") {
        return compare_result::less;
    }
    if (word == "NOT_EQUAL") {
        return compare_result::not_equal;
    }
    throw std::invalid_argument("unknown compare result: " + word);
}

comparison parse_comparison(const json& in) {
    comparison item{.result = parse_result(in.value("result", "EQUAL")),
                    .key = bytes_at(in, "key")};
    const auto target = in.value("target", "VERSION");
    if (target == "VALUE") {
        item.target = compare_target::value;
        item.value = bytes_at(in, "value");
    } else if (target == "VERSION") {
        item.target = compare_target::version;
        item.number = integer_at(in, "version");
    } else if (target == "CREATE") {
        item.target = compare_target::create_revision;
        item.number = integer_at(in, "create_revision");
    } else if (target == "MOD") {
        item.target = compare_target::mod_revision;
        item.number = integer_at(in, "mod_revision");
    } else if (target == "LEASE") {
        item.target = compare_target::lease;
        item.number = integer_at(in, "lease");
    } else {
        throw std::invalid_argument("unknown compare target: " + target);
    }
    return item;
}

store_request parse_operation(const json& in) {
    if (in.contains("request_range")) {
        return parse_range(in.at("request_range"));
    }
    if (in.contains("request_put")) {
        return parse_put(in.at("request_put"));
    }
    if (in.contains("request_delete_range")) {
        return parse_delete(in.at("request_delete_range"));
    }
    throw std::invalid_argument("unknown operation in a transaction");
}

std::vector<store_request> parse_operations(const json& in, const char* key) {
    std::vector<store_request> operations;
    if (in.contains(key)) {
        for (const json& item : in.at(key)) {
            operations.push_back(parse_operation(item));
        }
    }
    return operations;
}

}  // namespace

std::string base64_encode(std::string_view bytes) {
    std::string text;
    unsigned buffer = 0;
    unsigned bits = 0;
    for (const char character : bytes) {
        buffer = (buffer << bits_per_byte) | static_cast<unsigned char>(character);
        bits += bits_per_byte;
        while (bits >= bits_per_digit) {
            bits -= bits_per_digit;
            text += alphabet[(buffer >> bits) & digit_mask];
        }
    }
    if (bits > 0) {
        text += alphabet[(buffer << (bits_per_digit - bits)) & digit_mask];
    }
    while (text.size() % digits_per_group != 0) {
        text += '=';
    }
    return text;
}

std::string base64_decode(std::string_view text) {
    if (text.size() % digits_per_group != 0) {
        throw std::invalid_argument("base64 of a wrong length");
    }
    for (int padding = 0; padding < 2 && text.ends_with('='); ++padding) {
        text.remove_suffix(1);
    }
    std::string bytes;
    unsigned buffer = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const auto digit = alphabet.find(character);
        if (digit == std::string_view::npos) {
            throw std::invalid_argument("not base64");
        }
        buffer = (buffer << bits_per_digit) | static_cast<unsigned>(digit);
        bits += bits_per_digit;
        if (bits >= bits_per_byte) {
            bits -= bits_per_byte;
            bytes += static_cast<char>((buffer >> bits) & byte_mask);
        }
    }
    return bytes;
}

std::int64_t integer_at(const json& in, const char* key) {
    if (!in.contains(key)) {
        return 0;
    }
    const json& value = in.at(key);
    return value.is_string() ? std::stoll(value.get_ref<const std::string&>())
                             : value.get<std::int64_t>();
}

range_request parse_range(const json& in) {
    return {.keys = parse_keys(in),
            .limit = integer_at(in, "limit"),
            .keys_only = flag_at(in, "keys_only"),
            .count_only = flag_at(in, "count_only")};
}

put_request parse_put(const json& in) {
    return {bytes_at(in, "key"), bytes_at(in, "value"), integer_at(in, "lease"),
            flag_at(in, "prev_kv")};
}

delete_request parse_delete(const json& in) {
    return {parse_keys(in), flag_at(in, "prev_kv")};
}

transaction_request parse_transaction(const json& in) {
    transaction_request request;
    if (in.contains("compare")) {
        for (const json& item : in.at("compare")) {
            request.compare.push_back(parse_comparison(item));
        }
    }
    request.success = parse_operations(in, "success");
    request.failure = parse_operations(in, "failure");
    return request;
}

watch_request parse_watch(const json& in) {
    const json& create = in.at("create_request");
    return {parse_keys(create), integer_at(create, "start_revision"), flag_at(create, "prev_kv"),
            flag_at(create, "progress_notify")};
}

json response_header(std::int64_t revision) {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

json format_response(const store_response& response) {
    return std::visit([](const auto& item) { return format(item); }, response);
}

json format_transaction(const transaction_response& response, std::int64_t revision) {
    json out = {{"header", response_header(revision)}};
    if (response.succeeded) {
        out["succeeded"] = true;
    }
    json responses = json::array();
    for (const store_response& item : response.responses) {
        const char* name = std::holds_alternative<range_response>(item) ? "response_range"
                           : std::holds_alternative<put_response>(item) ? "response_put"
                                                                        : "response_delete_range";
        json body = format_response(item);
        body["header"] = {{"revision", std::to_string(revision)}};
        responses.push_back({{name, std::move(body)}});
    }
    if (!responses.empty()) {
        out["responses"] = std::move(responses);
    }
    return out;
}

json format_event(const store_event& event, bool with_previous) {
    json out = {{"kv", format_value(event.current)}};
    if (event.deleted) {
        out["type"] = "DELETE";
    }
    if (with_previous && event.previous) {
        out["prev_kv"] = format_value(*event.previous);
    }
    return out;
}

}  // namespace pearbarrow::emulator
