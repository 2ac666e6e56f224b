/// Frames on the links between nodes: a 4-byte big-endian length, then one msgpack struct.
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
/// Room that a frame needs besides its payload.
inline constexpr std::size_t frame_overhead_bytes = 64;

enum class frame_kind : std::uint8_t {
    hello = 1,
    request = 2,
    part = 3,
    reply = 4,
    error = 5,
    cancel = 6,
    probe = 7,
    probe_answer = 8,
    /// Another frame, without its length prefix, packed (`frame_packing.h`).
    packed = 9,
};

struct peer_frame {
    std::uint8_t kind = 0;
    /// Correlation id, chosen by the caller; 0 in hello and probe frames.
    std::uint64_t call = 0;
    /// Of requests and of what answers them.
    wire::method_number method = 0;
    /// Of a request; 0: no limit.
    std::uint64_t timeout_milliseconds = 0;
    /// The message; in hello and error frames a packed `hello_message` or `error_message`.
    std::string payload;

    MSGPACK_DEFINE(kind, call, method, timeout_milliseconds, payload);
};

struct hello_message {
    std::uint32_t version = peer_protocol_version;
    std::string cluster;
    base::node_id node;
    /// Empty: not told.
    std::string zone;
    /// Whether the node understands packed frames.
    bool unpacks = false;

    MSGPACK_DEFINE(version, cluster, node, zone, unpacks);
};

/// A failed status with its details.
struct error_message {
    std::uint32_t code = 0;
    std::string message;
    std::string step;
    std::string peer;
    std::string reason;
    std::string executed;
    /// Milliseconds; negative: none.
    std::int64_t retry_after = -1;

    MSGPACK_DEFINE(code, message, step, peer, reason, executed, retry_after);
};

error_message to_error_message(const absl::Status& status);
/// Never ok, whatever the code received.
absl::Status to_status(const error_message& message);

/// The frame with its length prefix.
std::string encode_frame(const peer_frame& frame);

/// The same frame packed, with its length prefix; as it is where that is no shorter.
std::string packed_frame(std::string encoded);

/// The frame that a packed one holds; never one of a kind that may not be packed.
absl::StatusOr<peer_frame> unpacked_frame(const peer_frame& packed, std::size_t max_frame_bytes);

/// Cuts a stream of bytes into frames. Holds no more than one frame's bytes that have arrived; a
/// length prefix alone reserves nothing.
class frame_decoder {
  public:
    /// Takes a frame; false stops the decoding for good, e.g. because the link was closed.
    using frame_handler = std::function<bool(peer_frame)>;

    explicit frame_decoder(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}

    /// Fails with kInvalidArgument and reason `frame_too_large` or `malformed_frame`; the stream
    /// is of no use after that.
    absl::Status feed(std::string_view bytes, const frame_handler& handler);
    std::size_t buffered_bytes() const { return buffer_.size(); }

  private:
    absl::Status take_frame(std::string_view body, const frame_handler& handler);
    absl::StatusOr<std::size_t> consume(std::string_view bytes, const frame_handler& handler);

    std::size_t max_frame_bytes_;
    std::string buffer_;
    bool stopped_ = false;
};

}  // namespace pearbarrow::net
