#include "pearbarrow/emulator/prompt_blocks.h"

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/tokens.h"

namespace pearbarrow::emulator {
namespace {

constexpr std::size_t header_bytes = base::message_overhead_tokens * base::bytes_per_token;
static_assert(base::message_overhead_tokens == base::response_header_tokens);

void append_header(std::string& rendered, std::string_view role) {
    std::string header = "<|" + std::string(role.substr(0, header_bytes - 4)) + "|>";
    header.resize(header_bytes, ' ');
    rendered += header;
}

void append_padded(std::string& rendered, std::string_view content) {
    rendered += content;
    rendered.resize((rendered.size() + base::bytes_per_token - 1) / base::bytes_per_token *
                    base::bytes_per_token);
}

}  // namespace

std::string render_sequence(const std::vector<backend::chat_message>& messages,
                            std::string_view answer) {
    std::string rendered;
    for (const auto& message : messages) {
        append_header(rendered, message.role);
        append_padded(rendered, message.content);
    }
    append_header(rendered, "assistant");
    append_padded(rendered, answer);
    return rendered;
}

std::vector<block_hash> hash_blocks(const cache_namespace& space, std::string_view rendered) {
    constexpr std::size_t block_bytes = block_tokens * base::bytes_per_token;
    block_hash previous = base::stable_hash(space.model);
    previous = base::stable_hash(space.version, previous);
    previous = base::stable_hash(space.adapter, previous);
    std::vector<block_hash> hashes;
    hashes.reserve(rendered.size() / block_bytes);
    for (std::size_t at = 0; at + block_bytes <= rendered.size(); at += block_bytes) {
        previous = base::stable_hash(rendered.substr(at, block_bytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

}  // namespace pearbarrow::emulator
