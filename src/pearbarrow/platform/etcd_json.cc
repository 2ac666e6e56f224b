#include "pearbarrow/platform/etcd_json.h"

#include <exception>
#include <stdexcept>

#include <openssl/evp.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::platform {
namespace {

using nlohmann::json;

constexpr std::size_t base64_group = 4;
constexpr std::size_t bytes_per_group = 3;

void put_integer(json& out, const char* name, std::int64_t value) {
    if (value != 0) {
        out[name] = std::to_string(value);
    }
}

/// The gateway writes 64-bit integers as strings and leaves zeros out.
std::int64_t read_integer(const json& in, const char* name) {
    const auto found = in.find(name);
    if (found == in.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get_ref<const std::string&>())
                              : found->get<std::int64_t>();
}

std::string read_bytes(const json& in, const char* name) {
    const auto found = in.find(name);
    if (found == in.end()) {
        return {};
    }
    auto bytes = decode_base64(found->get_ref<const std::string&>());
    if (!bytes.ok()) {
        throw std::invalid_argument("not base64");
    }
    return *std::move(bytes);
}

key_value read_key_value(const json& in) {
    return {.key = read_bytes(in, "key"),
            .value = read_bytes(in, "value"),
            .create_revision = read_integer(in, "create_revision"),
            .mod_revision = read_integer(in, "mod_revision"),
            .lease = read_integer(in, "lease")};
}

std::int64_t header_revision(const json& body) {
    const auto header = body.find("header");
    return header == body.end() ? 0 : read_integer(*header, "revision");
}

json keys(const std::string& key, const std::string& range_end) {
    json out = {{"key", encode_base64(key)}};
    if (!range_end.empty()) {
        out["range_end"] = encode_base64(range_end);
    }
    return out;
}

json to_etcd(const compare& condition) {
    json out = {{"key", encode_base64(condition.key)}};
    switch (condition.result) {
        case compare_result::equal:
            out["result"] = "EQUAL";
            break;
        case compare_result::greater:
            out["result"] = "GREATER";
            break;
        case compare_result::not_equal:
            out["result"] = "NOT_EQUAL";
            break;
    }
    const bool create = condition.target == compare_target::create_revision;
    out["target"] = create ? "CREATE" : "MOD";
    out[create ? "create_revision" : "mod_revision"] = std::to_string(condition.value);
    return out;
}

/// Runs a reader that throws on what it did not expect.
template <typename Result, typename Read>
absl::StatusOr<Result> guarded(Read read) {
    try {
        return read();
    } catch (const std::exception& error) {
        return base::make_error(absl::StatusCode::kInternal, error.what(),
                                {.step = "read_answer",
                                 .reason = "malformed_answer",
                                 .was_executed = base::executed::unknown});
    }
}

watch_event read_event(const json& in) {
    watch_event event;
    event.deleted = in.value("type", "PUT") == "DELETE";
    event.item = read_key_value(in.at("kv"));
    return event;
}

}  // namespace

std::string encode_base64(std::string_view bytes) {
    const std::size_t groups = (bytes.size() + bytes_per_group - 1) / bytes_per_group;
    std::string text(groups * base64_group + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

absl::StatusOr<std::string> decode_base64(std::string_view text) {
    std::string bytes(text.size() / base64_group * bytes_per_group + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0 || text.size() % base64_group != 0) {
        return base::make_error(absl::StatusCode::kInvalidArgument, "not base64",
                                {.step = "decode_base64", .reason = "malformed_answer"});
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

json to_etcd(const range_request& request) {
    json out = keys(request.key, request.range_end);
    put_integer(out, "limit", request.limit);
    put_integer(out, "revision", request.revision);
    if (request.count_only) {
        out["count_only"] = true;
    }
    return out;
}

json to_etcd(const put_operation& request) {
    json out = {{"key", encode_base64(request.key)}, {"value", encode_base64(request.value)}};
    put_integer(out, "lease", request.lease);
    return out;
}

json to_etcd(const delete_operation& request) {
    return keys(request.key, request.range_end);
}

json to_etcd(const transaction& request) {
    json conditions = json::array();
    for (const compare& condition : request.conditions) {
        conditions.push_back(to_etcd(condition));
    }
    json operations = json::array();
    for (const put_operation& put : request.puts) {
        operations.push_back({{"request_put", to_etcd(put)}});
    }
    for (const delete_operation& removal : request.deletes) {
        operations.push_back({{"request_delete_range", to_etcd(removal)}});
    }
    return {{"compare", std::move(conditions)}, {"success", std::move(operations)}};
}

json to_etcd(const watch_request& request) {
    json out = keys(request.key, request.range_end);
    put_integer(out, "start_revision", request.start_revision);
    return {{"create_request", std::move(out)}};
}

absl::StatusOr<range_result> read_range(const json& body) {
    return guarded<range_result>([&] {
        range_result result;
        result.revision = header_revision(body);
        result.more = body.value("more", false);
        result.count = read_integer(body, "count");
        if (const auto values = body.find("kvs"); values != body.end()) {
            for (const json& each : *values) {
                result.items.push_back(read_key_value(each));
            }
        }
        return result;
    });
}

absl::StatusOr<transaction_result> read_transaction(const json& body) {
    return guarded<transaction_result>([&] {
        return transaction_result{body.value("succeeded", false), header_revision(body)};
    });
}

absl::StatusOr<lease_grant> read_lease(const json& body) {
    return guarded<lease_grant>([&] {
        // Keep-alive answers come within "result".
        const json& inner = body.contains("result") ? body.at("result") : body;
        return lease_grant{read_integer(inner, "ID"), base::seconds(read_integer(inner, "TTL"))};
    });
}

absl::StatusOr<watch_message> read_watch(std::string_view line) {
    return guarded<watch_message>([&] {
        const json body = json::parse(line);
        const json& inner = body.at("result");
        watch_message message;
        message.revision = header_revision(inner);
        message.cancelled = inner.value("canceled", false);
        message.compact_revision = read_integer(inner, "compact_revision");
        if (const auto events = inner.find("events"); events != inner.end()) {
            for (const json& each : *events) {
                message.events.push_back(read_event(each));
            }
        }
        return message;
    });
}

}  // namespace pearbarrow::platform
