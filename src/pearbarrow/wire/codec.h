/// Encodes typed messages as msgpack and decodes them. Decoding errors are reported as a status.
#pragma once

#include <exception>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::wire {

/// Maximum nesting and container size that a decoder accepts from the network.
inline constexpr std::size_t max_nesting = 32;
inline constexpr std::size_t max_container_items = 1 << 20;

template <typename Message>
std::string encode(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

namespace detail {

template <typename Message>
absl::StatusOr<Message> decode(std::string_view bytes, msgpack::unpack_reference_func refers) {
    const msgpack::unpack_limit limit(max_container_items, max_container_items, bytes.size(),
                                      bytes.size(), bytes.size(), max_nesting);
    try {
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, refers, nullptr, limit);
        if (offset != bytes.size()) {
            throw msgpack::type_error();
        }
        return handle.get().as<Message>();
    } catch (const std::exception& error) {
        return base::make_error(absl::StatusCode::kInvalidArgument, error.what(),
                                {.step = "decode", .reason = "malformed_message"});
    }
}

}  // namespace detail

/// Fails with kInvalidArgument and reason `malformed_message` if the bytes are not a `Message`.
template <typename Message>
absl::StatusOr<Message> decode(std::string_view bytes) {
    return detail::decode<Message>(bytes, nullptr);
}

/// Decodes a message with string views, which refer to `bytes` instead of copies.
template <typename Message>
absl::StatusOr<Message> decode_in_place(std::string_view bytes) {
    return detail::decode<Message>(
        bytes, [](msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) {
            return true;
        });
}

}  // namespace pearbarrow::wire
