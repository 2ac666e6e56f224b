/// Text that an emulated engine answers: a function of the whole prompt and of the attempt.
///
/// An answer starts with a header of seven tokens, `@<conversation digest>-<attempt digest>: `,
/// and goes on with words of one token each, drawn from both digests. So a lost or mixed history,
/// a spliced answer of two attempts, and missing or doubled tokens can all be told from the text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pearbarrow/backend/engine_client.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::emulator {

/// Tokens in an answer's header.
inline constexpr std::uint64_t answer_digest_tokens = 7;

/// Digest of a conversation: roles and contents of all its messages, in order.
std::uint64_t conversation_digest(const std::vector<backend::chat_message>& messages);

/// The answer of one attempt, whose tokens can be computed in any order.
class answer_text {
  public:
    answer_text() = default;
    answer_text(std::uint64_t conversation, const base::attempt_id& attempt);

    std::uint64_t conversation() const { return conversation_; }
    /// Text of the token with this index; the first has index 1. Always four bytes.
    std::string token(std::uint64_t index) const;
    /// Text of the tokens `first` to `last`, both included.
    std::string tokens(std::uint64_t first, std::uint64_t last) const;

  private:
    friend bool is_whole_answer(std::string_view, std::uint64_t);
    answer_text(std::uint64_t conversation, std::uint32_t attempt);

    std::uint64_t conversation_ = 0;
    std::uint32_t attempt_ = 0;
    std::string header_;
};

/// Whether `text` is an answer, or the start of one, of a single attempt at the conversation with
/// this digest: not one token missing, doubled, or of another conversation or attempt.
bool is_whole_answer(std::string_view text, std::uint64_t conversation);

}  // namespace pearbarrow::emulator
