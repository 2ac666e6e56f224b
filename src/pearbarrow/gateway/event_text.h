/// Joining of streamed parts so that no event ends inside a UTF-8 character.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pearbarrow/wire/program_messages.h"

namespace pearbarrow::gateway {

/// Bytes at the end of `text` that begin a UTF-8 character without completing it.
std::size_t incomplete_tail(std::string_view text);

/// Holds back a part that ends inside a character until the rest has come, since JSON can't carry
/// half a character. What is given out ends at the event id of the last part that went into it.
class event_text {
  public:
    /// The text to send with `part.event_id`, or none while a character is incomplete.
    std::optional<std::string> add(const wire::reply_part& part);

  private:
    std::string held_;
};

}  // namespace pearbarrow::gateway
