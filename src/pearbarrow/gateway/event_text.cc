#include "pearbarrow/gateway/event_text.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pearbarrow::gateway {
namespace {

constexpr std::size_t longest_character = 4;

bool is_continuation(std::uint8_t byte) {
    return (byte & 0xC0U) == 0x80U;
}

/// Bytes of the character that starts with this byte; 1 for bytes that start none.
std::size_t character_length(std::uint8_t first) {
    if ((first & 0xE0U) == 0xC0U) {
        return 2;
    }
    if ((first & 0xF0U) == 0xE0U) {
        return 3;
    }
    return (first & 0xF8U) == 0xF0U ? 4 : 1;
}

}  // namespace

std::size_t incomplete_tail(std::string_view text) {
    const std::size_t most = std::min(text.size(), longest_character - 1);
    for (std::size_t length = 1; length <= most; ++length) {
        const auto byte = static_cast<std::uint8_t>(text[text.size() - length]);
        if (!is_continuation(byte)) {
            return character_length(byte) > length ? length : 0;
        }
    }
    return 0;
}

std::optional<std::string> event_text::add(const wire::reply_part& part) {
    if (part.restart) {
        held_.clear();
    }
    held_ += part.text;
    if (incomplete_tail(held_) > 0) {
        return std::nullopt;
    }
    return std::exchange(held_, {});
}

}  // namespace pearbarrow::gateway
