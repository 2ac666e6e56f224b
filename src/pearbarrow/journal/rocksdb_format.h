/// How journal replicas are stored in RocksDB; only the store includes this.
///
/// Keys: one letter, the shard, then the index (numbers big-endian, so that they sort).
/// `i` identity, `m` metadata, `e` log entry, `s` snapshot, `r` retained entry (copy, key, NUL,
/// index). Each value begins with the hash of its key and bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <rocksdb/slice.h>
#include <rocksdb/status.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::journal::rocksdb_format {

inline constexpr std::size_t hash_bytes = sizeof(std::uint64_t);

template <typename Number>
void put_number(std::string& out, Number number) {
    for (int shift = (static_cast<int>(sizeof(Number)) - 1) * 8; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((number >> shift) & 0xff));
    }
}

inline std::uint64_t get_number(std::string_view bytes) {
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = (number << 8) | static_cast<unsigned char>(byte);
    }
    return number;
}

inline std::string shard_key(char letter, base::shard_id shard) {
    std::string key(1, letter);
    put_number(key, shard.value());
    return key;
}

inline std::string entry_key(base::shard_id shard, base::log_index index) {
    auto key = shard_key('e', shard);
    put_number(key, index.value());
    return key;
}

inline std::string retained_prefix(base::shard_id shard, std::uint64_t copy, std::string_view key) {
    auto prefix = shard_key('r', shard);
    put_number(prefix, copy);
    prefix += key;
    return prefix;
}

inline std::string retained_key(base::shard_id shard, std::uint64_t copy, std::string_view key,
                                base::log_index index) {
    auto full = retained_prefix(shard, copy, key);
    full.push_back('\0');
    put_number(full, index.value());
    return full;
}

/// Smallest key after all that begin with `prefix`.
inline std::string after_prefix(std::string prefix) {
    while (!prefix.empty() && prefix.back() == static_cast<char>(0xff)) {
        prefix.pop_back();
    }
    if (!prefix.empty()) {
        prefix.back() = static_cast<char>(prefix.back() + 1);
    }
    return prefix;
}

inline std::string seal(std::string_view key, std::string_view bytes) {
    std::string value;
    put_number(value, base::stable_hash(bytes, base::stable_hash(key)));
    value += bytes;
    return value;
}

inline absl::Status corrupt(std::string_view message) {
    return base::make_error(absl::StatusCode::kDataLoss, message,
                            {.step = "journal_store", .reason = "journal_corrupt"});
}

inline absl::Status to_status(const rocksdb::Status& status) {
    if (status.ok()) {
        return absl::OkStatus();
    }
    if (status.IsCorruption()) {
        return corrupt(status.ToString());
    }
    return base::make_error(absl::StatusCode::kUnavailable, status.ToString(),
                            {.step = "journal_store", .reason = "journal_storage_failed"});
}

inline absl::StatusOr<std::string_view> unseal(std::string_view key, std::string_view value) {
    if (value.size() < hash_bytes) {
        return corrupt("a stored value is too short");
    }
    const auto bytes = value.substr(hash_bytes);
    if (get_number(value.substr(0, hash_bytes)) !=
        base::stable_hash(bytes, base::stable_hash(key))) {
        return corrupt("a stored value's checksum doesn't hold");
    }
    return bytes;
}

inline std::string_view view_of(const rocksdb::Slice& slice) {
    return {slice.data(), slice.size()};
}

template <typename Message>
absl::StatusOr<Message> open_sealed(std::string_view key, std::string_view value) {
    const auto bytes = unseal(key, value);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto message = wire::decode<Message>(*bytes);
    return message.ok() ? std::move(message) : corrupt("a stored value can't be decoded");
}

}  // namespace pearbarrow::journal::rocksdb_format
