#include "pearbarrow/base/sha256.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace pearbarrow::base {
namespace {

constexpr std::size_t digest_bytes = 32;

}  // namespace

std::string sha256(std::string_view bytes) {
    std::string digest(digest_bytes, '\0');
    EVP_Digest(bytes.data(), bytes.size(),
               reinterpret_cast<unsigned char*>(digest.data()),  // NOLINT: the library's own type
               nullptr, EVP_sha256(), nullptr);
    return digest;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace pearbarrow::base
