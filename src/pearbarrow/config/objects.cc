#include "pearbarrow/config/objects.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>
#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::config {
namespace {

struct kind_name {
    object_kind kind;
    std::string_view name;
};

constexpr std::array<kind_name, 8> kind_names{{
    {object_kind::pool, "pool"},
    {object_kind::engine, "engine"},
    {object_kind::tool_service, "tool_service"},
    {object_kind::program_class, "program_class"},
    {object_kind::tenant, "tenant"},
    {object_kind::limit, "limit"},
    {object_kind::scheduling_rule, "scheduling_rule"},
    {object_kind::shard_map, "shard_map"},
}};

}  // namespace

std::string_view to_string(object_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind)).name;
}

std::optional<object_kind> parse_object_kind(std::string_view text) {
    for (const kind_name& each : kind_names) {
        if (each.name == text) {
            return each.kind;
        }
    }
    return std::nullopt;
}

std::string to_string(const object_key& key) {
    return fmt::format("{}/{}", to_string(key.kind), key.name);
}

const tool_spec* tool_service_spec::find(const base::tool_name& name) const {
    const auto found = std::find_if(tools.begin(), tools.end(),
                                    [&](const tool_spec& tool) { return tool.name == name; });
    return found == tools.end() ? nullptr : &*found;
}

const shard_assignment* shard_map_spec::find(base::shard_id shard) const {
    const auto found =
        std::find_if(shards.begin(), shards.end(),
                     [&](const shard_assignment& each) { return each.shard == shard; });
    return found == shards.end() ? nullptr : &*found;
}

absl::Status to_status(const std::vector<field_error>& errors) {
    if (errors.empty()) {
        return absl::OkStatus();
    }
    std::string message;
    for (const field_error& error : errors) {
        message += message.empty() ? "" : "\n";
        message += error.object;
        message += error.field.empty() ? "" : " " + error.field;
        message += ": " + error.message;
    }
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "validate", .reason = "invalid_configuration"});
}

std::string api_key_digest(std::string_view api_key) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(api_key.data()), api_key.size(), digest.data());
    std::string text;
    for (const unsigned char byte : digest) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

}  // namespace pearbarrow::config
