/// Names of a conversation's prefixes by content, for cache affinity in placement.
#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/wire/placement_messages.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Tokens that `message` adds to a prompt, by the rule of base/tokens.h.
std::uint64_t message_tokens(const wire::chat_message& message);

/// Chained hash and token count of a growing list of messages. Equal lists have equal marks, also
/// in different programs.
class prefix_chain {
  public:
    void add(const wire::chat_message& message);
    /// Remembers the present end as a point where a later prompt may find a cached prefix.
    void mark_end();

    wire::prefix_mark end() const;
    std::uint64_t tokens() const { return tokens_; }
    /// Marks of the first messages, then of the last remembered ends; ascending in tokens.
    std::vector<wire::prefix_mark> marks() const;

    MSGPACK_DEFINE(hash_, tokens_, first_, ends_);

  private:
    static constexpr std::size_t kept_marks = 4;

    std::uint64_t hash_ = 0;
    std::uint64_t tokens_ = 0;
    std::vector<wire::prefix_mark> first_;
    std::vector<wire::prefix_mark> ends_;
};

}  // namespace pearbarrow::program
