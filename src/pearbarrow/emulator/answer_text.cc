#include "pearbarrow/emulator/answer_text.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/tokens.h"

namespace pearbarrow::emulator {
namespace {

constexpr std::size_t attempt_digits_offset = 18;
constexpr std::size_t attempt_digits = 8;

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

std::string word(std::uint64_t seed) {
    static constexpr std::string_view consonants = "bdfgklmnprstvz";
    static constexpr std::string_view vowels = "aeiou";
    std::string text(base::bytes_per_token, ' ');
    text[0] = consonants[seed % consonants.size()];
    text[1] = vowels[(seed >> 8) % vowels.size()];
    text[2] = consonants[(seed >> 16) % consonants.size()];
    return text;
}

}  // namespace

std::uint64_t conversation_digest(const std::vector<backend::chat_message>& messages) {
    std::uint64_t digest = base::stable_hash("conversation");
    for (const auto& message : messages) {
        digest = base::stable_hash(message.role, digest);
        digest = base::stable_hash(message.content, digest);
    }
    return digest;
}

answer_text::answer_text(std::uint64_t conversation, const base::attempt_id& attempt)
    : answer_text(conversation, static_cast<std::uint32_t>(base::stable_hash(attempt.value()))) {}

answer_text::answer_text(std::uint64_t conversation, std::uint32_t attempt)
    : conversation_(conversation),
      attempt_(attempt),
      header_(fmt::format("@{:016x}-{:08x}: ", conversation, attempt)) {}

std::string answer_text::token(std::uint64_t index) const {
    if (index <= answer_digest_tokens) {
        return header_.substr((index - 1) * base::bytes_per_token, base::bytes_per_token);
    }
    return word(mix(conversation_ + mix(index) + (std::uint64_t{attempt_} << 32)));
}

std::string answer_text::tokens(std::uint64_t first, std::uint64_t last) const {
    std::string text;
    for (std::uint64_t index = first; index <= last; ++index) {
        text += token(index);
    }
    return text;
}

bool is_whole_answer(std::string_view text, std::uint64_t conversation) {
    if (text.size() < answer_digest_tokens * base::bytes_per_token) {
        return answer_text(conversation, std::uint32_t{0}).header_.starts_with(text.substr(0, 17));
    }
    std::uint32_t attempt = 0;
    const std::string_view digits = text.substr(attempt_digits_offset, attempt_digits);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), attempt, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() ||
        text.size() % base::bytes_per_token != 0) {
        return false;
    }
    return answer_text(conversation, attempt).tokens(1, text.size() / base::bytes_per_token) ==
           text;
}

}  // namespace pearbarrow::emulator
