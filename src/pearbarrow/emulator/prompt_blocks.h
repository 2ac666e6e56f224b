/// Names of the cache blocks of a sequence: a prompt and the answer that follows it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/backend/engine_client.h"

namespace pearbarrow::emulator {

/// Tokens in one block of the prefix cache.
inline constexpr std::uint64_t block_tokens = 16;

/// Hash of a block and of everything before it.
using block_hash = std::uint64_t;

/// What besides the text decides whether cached blocks may be shared.
struct cache_namespace {
    std::string model;
    std::string version;
    std::string adapter;
};

/// The sequence's bytes, four for each token: every message as a header of four tokens and its
/// padded content, then the header that opens the answer, then the answer. The next turn of the
/// conversation starts with exactly these bytes.
std::string render_sequence(const std::vector<backend::chat_message>& messages,
                            std::string_view answer);

/// Hashes of all full blocks of a rendered sequence, each chained to the one before.
std::vector<block_hash> hash_blocks(const cache_namespace& space, std::string_view rendered);

}  // namespace pearbarrow::emulator
