// Compression of frames on cross-zone links.
#include "pearbarrow/net/frame_compression.h"

#include <string>

#include "pearbarrow/base/random.h"
#include "pearbarrow/net/peer_frame.h"
#include "peer_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;

namespace {

std::string repeated(std::size_t size) {
    std::string text;
    while (text.size() < size) {
        text += "what was said in a turn, and said again; ";
    }
    return text;
}

std::string noise(std::size_t size) {
    base::random_source random(5);
    std::string text;
    while (text.size() < size) {
        text.push_back(static_cast<char>(random.below(256)));
    }
    return text;
}

peer_rpc_options in_zone(const std::string& node, const std::string& zone) {
    peer_rpc_options options = options_of(node);
    options.zone = zone;
    options.distance_of = [zone](std::string_view other) {
        return other == zone ? peer_distance::own_zone : peer_distance::other_zone;
    };
    return options;
}

std::uint64_t bytes_of(const peer_rpc& rpc) {
    for (const traffic_row& row : rpc.traffic()) {
        if (row.method == echo_method) {
            return row.bytes;
        }
    }
    return 0;
}

/// Returns the bytes of the request and of its reply.
std::pair<std::uint64_t, std::uint64_t> echo(const std::string& zone, const std::string& text) {
    peer_pair pair(in_zone("client", "a"), in_zone("server", zone));
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), echo_method, text);
    call.wait();
    cr_assert(call.ok(), "%s", call.text().c_str());
    cr_assert(**call.result == text, "the reply must equal the request");
    return {bytes_of(*pair.client), bytes_of(*pair.server)};
}

}  // namespace

Test(frame_packing, compressed_bytes_decompress_to_the_input) {
    for (const std::size_t size : {0, 1, 200, 5'000, 300'000}) {
        const std::string text = repeated(size);
        if (const auto packed = compress_bytes(text); packed.has_value()) {
            cr_assert(packed->size() < text.size());
            cr_assert(*decompress_bytes(*packed, text.size()) == text);
        }
    }
    cr_assert(compress_bytes(repeated(5'000)).has_value());
    cr_assert(!compress_bytes(noise(5'000)).has_value(), "random bytes must not be compressed");
}

Test(frame_packing, invalid_input_is_rejected_without_allocation) {
    const std::string packed = *compress_bytes(std::string(1'000'000, 'x'));
    cr_assert(packed.size() < 1'000);
    cr_assert(base::details_of(decompress_bytes(packed, 999'999).status()).reason ==
              "frame_too_large");
    cr_assert(decompress_bytes(packed, 1'000'000).ok());
    for (std::size_t size = 0; size < packed.size(); ++size) {
        cr_assert(!decompress_bytes(packed.substr(0, size), 1'000'000).ok());
    }
    const std::string bytes = noise(2'000);
    for (std::size_t begin = 0; begin < bytes.size(); begin += 40) {
        cr_assert(!decompress_bytes(std::string_view(bytes).substr(begin), 1'000'000).ok());
    }
}

Test(frame_packing, only_frames_of_calls_may_be_compressed) {
    const auto packed = [](const peer_frame& frame) {
        const std::string encoded = encode_frame(frame);
        return peer_frame{.kind = static_cast<std::uint8_t>(frame_kind::packed),
                          .payload = *compress_bytes(encoded.substr(frame_prefix_bytes))};
    };
    peer_frame frame{.kind = static_cast<std::uint8_t>(frame_kind::request),
                     .call = 7,
                     .payload = repeated(1'000)};
    const auto inner = decompress_frame(packed(frame), 10'000);
    cr_assert(inner.ok() && inner->call == 7 && inner->payload == frame.payload);
    cr_assert(!decompress_frame(packed(frame), 500).ok(), "the frame exceeds the size limit");
    for (const frame_kind kind : {frame_kind::hello, frame_kind::cancel, frame_kind::probe,
                                  frame_kind::probe_reply, frame_kind::packed}) {
        frame.kind = static_cast<std::uint8_t>(kind);
        cr_assert(!decompress_frame(packed(frame), 10'000).ok());
    }
    frame.payload = "no packed bytes";
    cr_assert(!decompress_frame(frame, 10'000).ok());
}

Test(frame_packing, cross_zone_calls_are_compressed) {
    const std::string text = repeated(20'000);
    const auto [request_bytes, reply_bytes] = echo("b", text);
    cr_assert(request_bytes < 1'000, "%d", static_cast<int>(request_bytes));
    cr_assert(reply_bytes < 1'000, "%d", static_cast<int>(reply_bytes));
}

Test(frame_packing, local_short_or_incompressible_calls_are_not_compressed) {
    const auto near = echo("a", repeated(20'000));
    cr_assert(near.first > 20'000 && near.second > 20'000);
    const std::string dense = noise(4'000);
    const auto far = echo("b", dense);
    cr_assert(far.first > dense.size() && far.first < dense.size() + 100);
    const auto little = echo("b", "hello");
    cr_assert(little.first < 50 && little.second < 50);
}
