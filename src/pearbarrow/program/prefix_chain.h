/// Content hashes of a conversation's prefixes, for cache affinity in placement.
#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

#include "pearbarrow/wire/placement_messages.h"
#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::program {

/// Returns the number of tokens that `message` adds to a prompt, as estimated by base/tokens.h.
std::uint64_t message_tokens(const wire::chat_message& message);

/// Chained hash and token count of a growing list of messages. Equal lists have equal marks, even
/// in different programs.
class prefix_chain {
  public:
    void add(const wire::chat_message& message);
    /// Stores the current end as a point where a later prompt may match a cached prefix.
    void mark_end();

    wire::prefix_mark end() const;
    std::uint64_t tokens() const { return tokens_; }
    /// Returns the marks of the first messages, then of the last stored ends, ascending in tokens.
    std::vector<wire::prefix_mark> marks() const;

    MSGPACK_DEFINE(hash_, tokens_, first_, ends_);

  private:
    static constexpr std::size_t max_marks = 4;

    std::uint64_t hash_ = 0;
    std::uint64_t tokens_ = 0;
    std::vector<wire::prefix_mark> first_;
    std::vector<wire::prefix_mark> ends_;
};

}  // namespace pearbarrow::program
