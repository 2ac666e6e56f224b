#include "decoders.h"

#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/http_codec.h"
#include "pearbarrow/net/peer_frame.h"
#include "pearbarrow/net/server_sent_events.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::fuzz {
namespace {

constexpr std::size_t max_frame_bytes = 4096;
constexpr std::size_t max_header_bytes = 1024;
constexpr std::size_t max_body_bytes = 4096;

void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

/// The first byte says into how long pieces the rest is cut.
std::size_t piece_size(std::string_view& bytes) {
    const std::size_t size = 1 + static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    return size;
}

std::vector<std::string> decode_frames(std::string_view bytes, std::size_t step) {
    std::vector<std::string> seen;
    net::frame_decoder decoder(max_frame_bytes);
    while (!bytes.empty()) {
        const auto status = decoder.feed(bytes.substr(0, step), [&](const net::peer_frame& frame) {
            seen.push_back(net::encode_frame(frame));
            if (const auto error = wire::decode<net::error_message>(frame.payload); error.ok()) {
                require(!net::to_status(*error).ok());
            }
            static_cast<void>(wire::decode<net::hello_message>(frame.payload));
            return true;
        });
        require(decoder.buffered_bytes() <= max_frame_bytes + net::frame_prefix_bytes + step);
        if (!status.ok()) {
            break;
        }
        bytes.remove_prefix(std::min(step, bytes.size()));
    }
    return seen;
}

/// A message with the shapes that the real ones use.
struct nested_part {
    base::node_id node;
    std::optional<std::uint32_t> limit;
    MSGPACK_DEFINE(node, limit);
};

struct nested_message {
    base::ballot ballot;
    std::vector<nested_part> parts;
    std::map<std::string, std::int64_t> labels;
    bool flag = false;
    double score = 0;
    MSGPACK_DEFINE(ballot, parts, labels, flag, score);
};

/// Returns the last progress.
template <typename Reader>
net::read_progress feed_reader(Reader& reader, std::string_view bytes, std::size_t step) {
    std::string buffer;
    net::read_progress progress = net::read_progress::need_more;
    while (!bytes.empty() && progress == net::read_progress::need_more) {
        buffer.append(bytes.substr(0, step));
        bytes.remove_prefix(std::min(step, bytes.size()));
        do {
            progress = reader.feed(buffer);
        } while (progress == net::read_progress::head_complete);
    }
    return progress;
}

}  // namespace

void feed_peer_frames(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    const std::size_t step = piece_size(bytes);
    require(decode_frames(bytes, step) == decode_frames(bytes, bytes.size() + 1));
}

void feed_server_sent_events(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    const std::size_t step = piece_size(bytes);
    std::vector<std::string> in_pieces;
    std::vector<std::string> whole;
    net::server_sent_event_parser pieces_parser([&](const net::server_sent_event& event) {
        in_pieces.push_back(net::format_event(event));
    });
    net::server_sent_event_parser whole_parser(
        [&](const net::server_sent_event& event) { whole.push_back(net::format_event(event)); });
    whole_parser.feed(bytes);
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        pieces_parser.feed(bytes.substr(at, step));
    }
    require(in_pieces == whole);
    require(pieces_parser.is_inside_event() == whole_parser.is_inside_event());
    // An empty line ends every event.
    whole_parser.feed("\n\n\n");
    require(!whole_parser.is_inside_event());
}

void feed_endpoint(std::string_view bytes) {
    const auto parsed = net::parse_endpoint(bytes);
    if (parsed.ok()) {
        const auto again = net::parse_endpoint(net::to_string(*parsed));
        require(again.ok() && *again == *parsed);
    }
}

void feed_wire_message(std::string_view bytes) {
    const auto decoded = wire::decode<nested_message>(bytes);
    if (decoded.ok()) {
        const std::string packed = wire::encode(*decoded);
        const auto again = wire::decode<nested_message>(packed);
        require(again.ok() && wire::encode(*again) == packed);
    }
}

std::string wire_message_seed() {
    nested_message message{.ballot = {7, base::node_id("n")}, .labels = {{"k", 9}}, .score = 0.5};
    message.parts = {{base::node_id("m"), std::nullopt}, {base::node_id("o"), 5}};
    return wire::encode(message);
}

void feed_http_request(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    const std::size_t step = piece_size(bytes);
    net::http_request_reader reader(max_header_bytes, max_body_bytes);
    feed_reader(reader, bytes, step);
    const int refusal = reader.refusal();
    require(refusal == 400 || refusal == 413 || refusal == 431);
    require(reader.release().body.size() <= max_body_bytes);
}

void feed_http_response(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    const std::size_t step = piece_size(bytes);
    std::size_t body_size = 0;
    net::http_response_reader reader(
        {.max_body_bytes = max_body_bytes,
         .on_body = [&](std::string_view part) { body_size += part.size(); }});
    const net::read_progress progress = feed_reader(reader, bytes, step);
    if (progress == net::read_progress::complete) {
        require(reader.framing() != net::body_framing::until_close);
    }
    const bool is_whole_at_end = reader.end() == net::read_progress::complete;
    if (progress == net::read_progress::need_more && is_whole_at_end) {
        require(reader.framing() == net::body_framing::until_close);
    }
    static_cast<void>(reader.headers());
    require(body_size <= max_body_bytes);
}

}  // namespace pearbarrow::fuzz
