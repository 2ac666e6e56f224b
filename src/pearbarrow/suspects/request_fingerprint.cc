#include "pearbarrow/suspects/request_fingerprint.h"

#include <algorithm>
#include <initializer_list>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/sha256.h"

namespace pearbarrow::suspects {
namespace {

constexpr std::size_t digest_bytes = 16;

/// Joins the parts with their lengths, so that no two lists of parts give the same text.
std::string joined(std::initializer_list<std::string_view> parts) {
    std::string text;
    for (const std::string_view part : parts) {
        text += fmt::format("{}:", part.size());
        text += part;
    }
    return text;
}

std::string text_of(const request_content& content) {
    return joined({content.tenant, content.program, content.session, content.previous_turn,
                   content.host, content.method, content.target, content.body});
}

std::string hexadecimal(std::string_view bytes) {
    std::string text;
    for (const char byte : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

}  // namespace

std::uint64_t scope_of(std::string_view tenant, std::string_view program) {
    return base::stable_hash(joined({tenant, program}));
}

std::uint64_t content_hash(const request_content& content) {
    return std::max<std::uint64_t>(1, base::stable_hash(text_of(content)));
}

request_fingerprint fingerprint_of(const request_content& content) {
    const std::string digest = base::sha256(text_of(content));
    return {.scope = scope_of(content.tenant, content.program),
            .digest = hexadecimal(std::string_view(digest).substr(0, digest_bytes))};
}

}  // namespace pearbarrow::suspects
