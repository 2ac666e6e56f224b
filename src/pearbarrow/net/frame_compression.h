/// Compresses frames with zstd for cross-zone links. Internal to `net`.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace pearbarrow::net {

/// Shorter frames are not compressed because the zstd header outweighs the gain.
inline constexpr std::size_t min_compressed_bytes = 160;

/// Returns nothing if compression does not make the data shorter.
std::optional<std::string> compress_bytes(std::string_view bytes);

/// Fails with kInvalidArgument and reason `malformed_frame`, or `frame_too_large` if the declared
/// size exceeds `max_bytes`. In that case nothing is decompressed.
absl::StatusOr<std::string> decompress_bytes(std::string_view packed, std::size_t max_bytes);

}  // namespace pearbarrow::net
