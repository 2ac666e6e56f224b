/// The rule by which text counts as tokens, shared by gateways, owners, engines and workloads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pearbarrow::base {

/// Bytes of text that count as one token.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens that each message of a prompt costs beside its content: role and separators.
inline constexpr std::uint64_t message_overhead_tokens = 4;
/// Tokens at the end of every prompt that open the engine's answer.
inline constexpr std::uint64_t answer_header_tokens = 4;

/// Tokens in `text`: its bytes divided by four, rounded up.
/// A whole prompt costs, for each message, `message_overhead_tokens + estimate_tokens(content)`,
/// and `answer_header_tokens` once.
constexpr std::uint64_t estimate_tokens(std::string_view text) {
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

}  // namespace pearbarrow::base
