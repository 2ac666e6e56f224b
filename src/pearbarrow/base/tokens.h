/// The token estimate for text, shared by gateways, owners, engines and workloads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pearbarrow::base {

/// Bytes of text per token.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens for the role and the separators of each message in a prompt, in addition to its content.
inline constexpr std::uint64_t message_overhead_tokens = 4;
/// Tokens at the end of every prompt that start the response of the engine.
inline constexpr std::uint64_t response_header_tokens = 4;

/// Returns the number of tokens in `text`: its size in bytes divided by four, rounded up. A prompt
/// costs `message_overhead_tokens + estimate_tokens(content)` for each message, plus
/// `response_header_tokens`.
constexpr std::uint64_t estimate_tokens(std::string_view text) {
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

}  // namespace pearbarrow::base
