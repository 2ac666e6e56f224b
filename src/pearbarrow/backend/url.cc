#include "pearbarrow/backend/url.h"

#include <charconv>

#include <spdlog/fmt/fmt.h>

namespace pearbarrow::backend {
namespace {

constexpr std::string_view unreserved_marks = "-._~";
constexpr std::size_t escape_digits = 2;
constexpr int hexadecimal_base = 16;

bool is_unreserved(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           unreserved_marks.find(character) != std::string_view::npos;
}

}  // namespace

std::string percent_encode(std::string_view segment) {
    std::string encoded;
    for (const char character : segment) {
        if (is_unreserved(character)) {
            encoded += character;
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
        }
    }
    return encoded;
}

std::string percent_decode(std::string_view segment) {
    std::string decoded;
    for (std::size_t at = 0; at < segment.size(); ++at) {
        const std::string_view digits = segment.substr(at + 1).substr(0, escape_digits);
        unsigned value = 0;
        const auto parsed =
            std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal_base);
        if (segment[at] == '%' && digits.size() == escape_digits &&
            parsed.ptr == digits.data() + digits.size()) {
            decoded += static_cast<char>(value);
            at += escape_digits;
        } else {
            decoded += segment[at];
        }
    }
    return decoded;
}

}  // namespace pearbarrow::backend
