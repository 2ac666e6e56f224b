#include "pearbarrow/net/peer_frame.h"

#include <utility>

#include "pearbarrow/base/status.h"
#include "pearbarrow/net/frame_compression.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::net {
namespace {

void store_length(char* out, std::uint32_t length) {
    out[0] = static_cast<char>(length >> 24);
    out[1] = static_cast<char>(length >> 16);
    out[2] = static_cast<char>(length >> 8);
    out[3] = static_cast<char>(length);
}

std::size_t load_length(std::string_view bytes) {
    const auto byte = [&](std::size_t at) {
        return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at]));
    };
    return byte(0) << 24 | byte(1) << 16 | byte(2) << 8 | byte(3);
}

base::executed parse_executed(std::string_view text) {
    if (text == "no") {
        return base::executed::no;
    }
    return text == "yes" ? base::executed::yes : base::executed::unknown;
}

absl::Status bad_frame(std::string_view message, std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "decode_frame",
                             .reason = std::move(reason),
                             .was_executed = base::executed::unknown});
}

}  // namespace

error_message to_error_message(const absl::Status& status) {
    const base::error_details details = base::details_of(status);
    const auto text = status.message();
    return {.code = static_cast<std::uint32_t>(status.code()),
            .message = std::string(text.data(), text.size()),
            .step = details.step,
            .peer = details.peer,
            .reason = details.reason,
            .executed = std::string(base::to_string(details.was_executed)),
            .retry_after = details.retry_after.has_value() ? details.retry_after->count() : -1};
}

absl::Status to_status(const error_message& message) {
    constexpr auto highest_code = static_cast<std::uint32_t>(absl::StatusCode::kUnauthenticated);
    const bool is_known_code = message.code > 0 && message.code <= highest_code;
    base::error_details details{.step = message.step,
                                .peer = message.peer,
                                .reason = message.reason,
                                .was_executed = parse_executed(message.executed)};
    if (message.retry_after >= 0) {
        details.retry_after = base::milliseconds(message.retry_after);
    }
    return base::make_error(
        is_known_code ? static_cast<absl::StatusCode>(message.code) : absl::StatusCode::kUnknown,
        message.message, std::move(details));
}

std::string encode_frame(const peer_frame& frame) {
    msgpack::sbuffer buffer(frame.payload.size() + frame_overhead_bytes);
    const char prefix_placeholder[frame_prefix_bytes] = {};
    buffer.write(prefix_placeholder, frame_prefix_bytes);
    msgpack::pack(buffer, frame);
    store_length(buffer.data(), static_cast<std::uint32_t>(buffer.size() - frame_prefix_bytes));
    return {buffer.data(), buffer.size()};
}

std::string compress_frame(std::string encoded) {
    if (encoded.size() < min_compressed_bytes) {
        return encoded;
    }
    auto body = compress_bytes(std::string_view(encoded).substr(frame_prefix_bytes));
    if (!body.has_value()) {
        return encoded;
    }
    std::string packed = encode_frame(
        {.kind = static_cast<std::uint8_t>(frame_kind::packed), .payload = *std::move(body)});
    return packed.size() < encoded.size() ? packed : encoded;
}

absl::StatusOr<peer_frame> decompress_frame(const peer_frame& packed, std::size_t max_frame_bytes) {
    const auto body = decompress_bytes(packed.payload, max_frame_bytes);
    if (!body.ok()) {
        return body.status();
    }
    auto frame = wire::decode<peer_frame>(*body);
    const auto kind = frame.ok() ? static_cast<frame_kind>(frame->kind) : frame_kind::packed;
    const bool may_be_packed = kind == frame_kind::request || kind == frame_kind::part ||
                               kind == frame_kind::reply || kind == frame_kind::error;
    if (!may_be_packed) {
        return bad_frame("a packed frame that holds none", "malformed_frame");
    }
    return frame;
}

absl::Status frame_decoder::feed(std::string_view bytes, const frame_handler& handler) {
    if (stopped_) {
        return absl::OkStatus();
    }
    if (buffer_.empty()) {
        // Common case: complete frames are decoded in place.
        const auto consumed = consume(bytes, handler);
        if (!consumed.ok()) {
            return consumed.status();
        }
        buffer_.assign(bytes.substr(*consumed));
        return absl::OkStatus();
    }
    buffer_.append(bytes);
    const auto consumed = consume(buffer_, handler);
    if (!consumed.ok()) {
        return consumed.status();
    }
    buffer_.erase(0, *consumed);
    if (buffer_.empty()) {
        // The buffer of a large frame is freed instead of being kept for the lifetime of the link.
        std::string().swap(buffer_);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::size_t> frame_decoder::consume(std::string_view bytes,
                                                   const frame_handler& handler) {
    std::size_t consumed = 0;
    while (!stopped_ && bytes.size() - consumed >= frame_prefix_bytes) {
        const std::size_t length = load_length(bytes.substr(consumed));
        if (length > max_frame_bytes_) {
            stopped_ = true;
            return bad_frame("the frame is longer than allowed", "frame_too_large");
        }
        if (bytes.size() - consumed - frame_prefix_bytes < length) {
            break;
        }
        const std::string_view body = bytes.substr(consumed + frame_prefix_bytes, length);
        if (auto status = process_frame(body, handler); !status.ok()) {
            return status;
        }
        consumed += frame_prefix_bytes + length;
    }
    return stopped_ ? bytes.size() : consumed;
}

absl::Status frame_decoder::process_frame(std::string_view body, const frame_handler& handler) {
    auto frame = wire::decode<peer_frame>(body);
    constexpr auto highest_kind = static_cast<std::uint8_t>(frame_kind::packed);
    if (!frame.ok() || frame->kind == 0 || frame->kind > highest_kind) {
        stopped_ = true;
        return bad_frame(frame.ok() ? "unknown kind of frame" : "not a frame", "malformed_frame");
    }
    if (!handler(*std::move(frame))) {
        stopped_ = true;
    }
    return absl::OkStatus();
}

}  // namespace pearbarrow::net
