/// Packing of typed messages into msgpack bytes, with every decoding error turned into a status.
#pragma once

#include <exception>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "pearbarrow/base/status.h"

namespace pearbarrow::wire {

/// Deepest nesting and longest containers that a decoder accepts from the network.
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

/// Fails with kInvalidArgument, reason `malformed_message`, when the bytes are not a `Message`.
template <typename Message>
absl::StatusOr<Message> decode(std::string_view bytes) {
    return detail::decode<Message>(bytes, nullptr);
}

/// The same for a message that holds views of texts: they refer to `bytes`, and no text is copied.
template <typename Message>
absl::StatusOr<Message> decode_in_place(std::string_view bytes) {
    return detail::decode<Message>(
        bytes, [](msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/) {
            return true;
        });
}

}  // namespace pearbarrow::wire
