/// Frames on the links between nodes: a 4-byte big-endian length followed by one msgpack struct.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::net {

inline constexpr std::uint32_t peer_protocol_version = 1;
inline constexpr std::size_t frame_prefix_bytes = 4;
/// Maximum size of the fields of a frame other than its payload.
inline constexpr std::size_t frame_overhead_bytes = 64;

enum class frame_kind : std::uint8_t {
    hello = 1,
    request = 2,
    part = 3,
    reply = 4,
    error = 5,
    cancel = 6,
    probe = 7,
    probe_reply = 8,
    /// A compressed frame without its length prefix (`frame_compression.h`).
    packed = 9,
};

struct peer_frame {
    std::uint8_t kind = 0;
    /// Correlation id chosen by the caller; 0 in hello and probe frames.
    std::uint64_t call = 0;
    /// Method of the request; set in requests and replies.
    wire::method_number method = 0;
    /// Timeout of a request; 0 disables it.
    std::uint64_t timeout_milliseconds = 0;
    /// The message; an encoded `hello_message` or `error_message` in hello and error frames.
    std::string payload;

    MSGPACK_DEFINE(kind, call, method, timeout_milliseconds, payload);
};

struct hello_message {
    std::uint32_t version = peer_protocol_version;
    std::string cluster;
    base::node_id node;
    /// Zone of the node; empty if unknown.
    std::string zone;
    /// Whether the node supports compressed frames.
    bool supports_compression = false;

    MSGPACK_DEFINE(version, cluster, node, zone, supports_compression);
};

/// An error status with its details.
struct error_message {
    std::uint32_t code = 0;
    std::string message;
    std::string step;
    std::string peer;
    std::string reason;
    std::string executed;
    /// Retry delay in milliseconds; negative if there is none.
    std::int64_t retry_after = -1;

    MSGPACK_DEFINE(code, message, step, peer, reason, executed, retry_after);
};

error_message to_error_message(const absl::Status& status);
/// Converts the message to a status that is never ok, whatever its code.
absl::Status to_status(const error_message& message);

/// Encodes the frame with its length prefix.
std::string encode_frame(const peer_frame& frame);

/// Compresses an encoded frame and returns it with a length prefix. Returns the frame unchanged if
/// compression does not make it shorter.
std::string compress_frame(std::string encoded);

/// Decompresses a frame. Fails if the frame inside has a kind that must not be compressed.
absl::StatusOr<peer_frame> decompress_frame(const peer_frame& packed, std::size_t max_frame_bytes);

/// Splits a byte stream into frames. Buffers at most the received bytes of one frame; a length
/// prefix alone allocates nothing.
class frame_decoder {
  public:
    /// Handles a frame. Returning false stops the decoder permanently, e.g. because the link was
    /// closed.
    using frame_handler = std::function<bool(peer_frame)>;

    explicit frame_decoder(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}

    /// Fails with kInvalidArgument and reason `frame_too_large` or `malformed_frame`. The decoder
    /// must not be used after a failure.
    absl::Status feed(std::string_view bytes, const frame_handler& handler);
    std::size_t buffered_bytes() const { return buffer_.size(); }

  private:
    absl::Status process_frame(std::string_view body, const frame_handler& handler);
    absl::StatusOr<std::size_t> consume(std::string_view bytes, const frame_handler& handler);

    std::size_t max_frame_bytes_;
    std::string buffer_;
    bool stopped_ = false;
};

}  // namespace pearbarrow::net
