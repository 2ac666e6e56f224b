#include "pearbarrow/gateway/api_key.h"

#include <array>

#include <openssl/evp.h>

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
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(std::size_t{2} * length);
    for (unsigned int index = 0; index < length; ++index) {
        result.push_back(digits[digest[index] >> 4U]);
        result.push_back(digits[digest[index] & 0xFU]);
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
