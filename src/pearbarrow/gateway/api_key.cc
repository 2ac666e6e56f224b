#include "pearbarrow/gateway/api_key.h"

#include "pearbarrow/base/sha256.h"

namespace pearbarrow::gateway {
namespace {

constexpr std::size_t max_key_bytes = 512;
constexpr std::string_view scheme = "bearer ";

char lower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

bool starts_with_scheme(std::string_view text) {
    if (text.size() <= scheme.size()) {
        return false;
    }
    for (std::size_t index = 0; index < scheme.size(); ++index) {
        if (lower(text[index]) != scheme[index]) {
            return false;
        }
    }
    return true;
}

}  // namespace

std::string sha256_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const char byte : base::sha256(bytes)) {
        const auto value = static_cast<unsigned char>(byte);
        result.push_back(digits[value >> 4U]);
        result.push_back(digits[value & 0xFU]);
    }
    return result;
}

std::optional<std::string> bearer_key(const net::http_headers& headers) {
    const auto header = headers.find("Authorization");
    if (!header.has_value() || !starts_with_scheme(*header)) {
        return std::nullopt;
    }
    const auto first = header->find_first_not_of(' ', scheme.size());
    if (first == std::string::npos || header->size() - first > max_key_bytes) {
        return std::nullopt;
    }
    return header->substr(first);
}

}  // namespace pearbarrow::gateway
