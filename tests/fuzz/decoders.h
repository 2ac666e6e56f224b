/// Entry points of the fuzz targets, one for each decoder that reads from the network. Each takes
/// any bytes and must neither crash nor break the property it checks; a broken property aborts.
#pragma once

#include <string>
#include <string_view>

namespace pearbarrow::fuzz {

/// Frames of the links between nodes, and the hello and error messages in them.
void feed_peer_frames(std::string_view bytes);
/// The server-sent event parser.
void feed_server_sent_events(std::string_view bytes);
/// The endpoint parser.
void feed_endpoint(std::string_view bytes);
/// `wire::decode` of a message with nested types.
void feed_wire_message(std::string_view bytes);
/// A valid message for `feed_wire_message`.
std::string wire_message_seed();
/// The reader of HTTP requests.
void feed_http_request(std::string_view bytes);
/// The reader of HTTP responses.
void feed_http_response(std::string_view bytes);

}  // namespace pearbarrow::fuzz
