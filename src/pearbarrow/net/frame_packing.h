/// Packs frames with zstd for links whose bytes are dear. Internal to `net`.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace pearbarrow::net {

/// Frames below this length stay as they are: zstd's own head takes what it would save.
inline constexpr std::size_t least_packed_bytes = 160;

/// None when packing doesn't make it shorter.
std::optional<std::string> pack_bytes(std::string_view bytes);

/// Fails with kInvalidArgument and reason `malformed_frame`, or `frame_too_large` when it says that
/// it holds more than `most` bytes: nothing is unpacked then.
absl::StatusOr<std::string> unpack_bytes(std::string_view packed, std::size_t most);

}  // namespace pearbarrow::net
