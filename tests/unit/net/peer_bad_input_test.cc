#include <cstdio>

#include "pearbarrow/net/peer_frame.h"
#include "pearbarrow/wire/codec.h"
#include "peer_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;
using std::chrono::milliseconds;

namespace {

std::string frame_of(frame_kind kind, std::string payload, std::uint64_t call = 0,
                     method_number method = 0) {
    return encode_frame({.kind = static_cast<std::uint8_t>(kind),
                         .call = call,
                         .method = method,
                         .payload = std::move(payload)});
}

std::string hello_of(const std::string& node, const std::string& cluster = "test",
                     std::uint32_t version = peer_protocol_version) {
    return frame_of(frame_kind::hello,
                    wire::encode(hello_message{version, cluster, base::node_id(node)}));
}

std::string length_prefix(std::uint32_t length) {
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8) {
        prefix.push_back(static_cast<char>(length >> shift));
    }
    return prefix;
}

/// Returns the resident memory of this process in bytes.
std::size_t resident_bytes() {
    std::size_t total = 0;
    std::size_t resident = 0;
    if (std::FILE* file = std::fopen("/proc/self/statm", "r"); file != nullptr) {
        if (std::fscanf(file, "%zu %zu", &total, &resident) != 2) {
            resident = 0;
        }
        std::fclose(file);
    }
    return resident * 4096;
}

/// A scripted node at the other end of a link from `client`.
struct scripted_peer {
    explicit scripted_peer(peer_rpc_options options = options_of("client"))
        : client(make_peer_rpc(loop, std::move(options))), call(loop) {
        cr_assert(client->start().ok());
    }
    void start_call(milliseconds timeout = milliseconds(10'000)) {
        call.start(*client, "server", server.local_endpoint(), echo_method, "payload", timeout);
    }
    /// Sends `hello` after the hello of the client has arrived.
    void exchange_hello(const std::string& hello) {
        cr_assert(run_until(loop, [&] { return server.has("client"); }));
        server.send(hello);
    }

    event_loop loop;
    raw_server server;
    std::unique_ptr<peer_rpc> client;
    call_result call;
};

}  // namespace

Test(peer_bad_input, server_closes_link_on_mismatched_hello) {
    const std::string bad_hellos[] = {
        hello_of("caller", "other cluster"),
        hello_of("caller", "test", peer_protocol_version + 1),
        frame_of(frame_kind::hello, "not a hello"),
        frame_of(frame_kind::request, "too early", 1, echo_method),
        "GET / HTTP/1.1\r\n\r\n",
    };
    for (const std::string& hello : bad_hellos) {
        peer_pair pair;
        raw_client caller(pair.address());
        caller.send(hello + frame_of(frame_kind::request, "x", 1, hold_method));
        cr_assert(run_until(pair.loop, [&] { return caller.closed(); }));
        // The server sends its own hello first, so that the peer can identify the mismatch.
        cr_assert(caller.has("server"));
        cr_assert(pair.held.empty());
    }
}

Test(peer_bad_input, server_closes_link_on_invalid_frame) {
    const std::string bad_frames[] = {
        length_prefix(3) + "\xc1\xc1\xc1",                          // not msgpack
        length_prefix(1) + "\x93",                                  // an array cut short
        length_prefix(5) + std::string("\xdd\xff\xff\xff\xff", 5),  // an array of 4 billion items
        length_prefix(0),
        length_prefix(64 * 1024 * 1024) + "x",
        length_prefix(0xffffffff) + "x",
        length_prefix(40) + std::string(40, '\x91'),  // deep nesting
        frame_of(static_cast<frame_kind>(99), ""),
        frame_of(frame_kind::packed, ""),
        frame_of(frame_kind::packed, "not packed"),
        frame_of(frame_kind::reply, "", 1),
        hello_of("caller"),
        frame_of(frame_kind::request, "", 7, hold_method) +
            frame_of(frame_kind::request, "", 7, hold_method),
    };
    for (const std::string& bad : bad_frames) {
        peer_pair pair;
        raw_client caller(pair.address());
        caller.send(hello_of("caller") + frame_of(frame_kind::request, "", 1, hold_method) + bad);
        cr_assert(run_until(pair.loop, [&] { return caller.closed(); }));
        cr_assert(!pair.held.empty(), "the preceding valid request must be accepted");
        cr_assert(pair.cancelled == static_cast<int>(pair.held.size()));
    }
}

Test(peer_bad_input, frames_are_decoded_from_pieces_of_any_size) {
    const std::string bytes =
        hello_of("caller") + frame_of(frame_kind::request, "abc", 1, echo_method);
    peer_pair pair;
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, bytes.size()}) {
        raw_client caller(pair.address());
        std::string_view rest = bytes;
        cr_assert(run_until(pair.loop, [&] {
            caller.send(rest.substr(0, step));
            rest.remove_prefix(std::min(step, rest.size()));
            return caller.has("abc");
        }));
    }
}

Test(peer_bad_input, link_closed_inside_a_frame_cancels_its_requests) {
    peer_pair pair;
    raw_client caller(pair.address());
    caller.send(hello_of("caller") + frame_of(frame_kind::request, "", 1, hold_method) +
                length_prefix(1000) + "only a part");
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 1; }));
    caller.close();
    cr_assert(run_until(pair.loop, [&] { return pair.cancelled == 1; }));
}

Test(peer_bad_input, length_prefix_alone_allocates_no_memory) {
    peer_pair pair;
    const std::size_t before = resident_bytes();
    std::vector<std::unique_ptr<raw_client>> callers;
    constexpr int connections = 50;
    for (int index = 0; index < connections; ++index) {
        callers.push_back(std::make_unique<raw_client>(pair.address()));
        callers.back()->send(hello_of("caller") + length_prefix(16 * 1024 * 1024) + "x");
    }
    cr_assert(run_until(pair.loop, [&] { return callers.back()->has("server"); }));
    run_for(pair.loop, milliseconds(50));
    // 50 announced frames amount to 800 MB. The memory overhead of a sanitizer stays far below this
    // bound.
    cr_assert(resident_bytes() < before + 64 * 1024 * 1024);
    frame_decoder decoder(16 * 1024 * 1024);
    cr_assert(
        decoder.feed(length_prefix(16 * 1024 * 1024) + "x", [](const peer_frame&) { return true; })
            .ok());
    cr_assert(decoder.buffered_bytes() == 5);
}

Test(peer_bad_input, slow_reader_of_replies_is_cut_off) {
    auto options = options_of("server");
    options.max_queued_bytes = 512 * 1024;
    peer_pair pair(options_of("client"), options);
    raw_client caller(pair.address(), 4096);
    caller.send(hello_of("caller") + frame_of(frame_kind::request, "", 1, hold_method));
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 1; }));
    std::size_t sent = 0;
    cr_assert(run_until(pair.loop, [&] {
        pair.held.back()->send_part(std::string(16 * 1024, 'x'));
        sent += 16 * 1024;
        return pair.cancelled == 1;
    }));
    cr_assert(sent < 64 * 1024 * 1024);
}

Test(peer_bad_input, caller_without_hello_is_cut_off) {
    auto options = options_of("server");
    options.connect_timeout = milliseconds(50);
    peer_pair pair(options_of("client"), options);
    raw_client caller(pair.address());
    cr_assert(run_until(pair.loop, [&] { return caller.closed(); }));
}

Test(peer_bad_input, call_to_wrong_node_reports_not_executed) {
    struct bad_hello {
        std::string bytes;
        std::string reason;
    };
    const bad_hello hellos[] = {
        {hello_of("server", "other"), "cluster_mismatch"},
        {hello_of("server", "test", 2), "version_mismatch"},
        {hello_of("another"), "wrong_node"},
        {frame_of(frame_kind::hello, "\xc1"), "malformed_hello"},
        {frame_of(frame_kind::reply, "", 1), "malformed_hello"},
        {"HTTP/1.1 400 Bad Request\r\n\r\n", "frame_too_large"},
    };
    for (const bad_hello& hello : hellos) {
        scripted_peer script;
        script.start_call();
        script.exchange_hello(hello.bytes);
        script.call.wait();
        cr_assert(script.call.details().reason == hello.reason, "%s instead of %s",
                  script.call.details().reason.c_str(), hello.reason.c_str());
        cr_assert(script.call.details().was_executed == base::executed::no);
        cr_assert(!script.server.has("payload"));
    }
}

Test(peer_bad_input, half_open_link_is_closed) {
    auto options = options_of("client");
    options.connect_timeout = milliseconds(50);
    options.silence_before_probe = milliseconds(20);
    options.silence_before_loss = milliseconds(60);
    {
        scripted_peer script(options);  // accepts the connection and sends nothing
        script.start_call();
        script.call.wait();
        cr_assert(script.call.details().reason == "hello_timeout");
        cr_assert(script.call.details().was_executed == base::executed::no);
    }
    scripted_peer script(options);  // sends hello and nothing else
    script.start_call();
    script.exchange_hello(hello_of("server"));
    script.call.wait();
    cr_assert(script.call.details().reason == "peer_silent");
    cr_assert(script.call.details().was_executed == base::executed::unknown);
}

Test(peer_bad_input, slow_reply_does_not_close_the_link) {
    auto options = options_of("client");
    options.silence_before_probe = milliseconds(20);
    options.silence_before_loss = milliseconds(500);
    peer_pair pair(options);
    call_result call(pair.loop);
    call.start(*pair.client, "server", pair.address(), hold_method, "");
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 1; }));
    run_for(pair.loop, milliseconds(1'200));
    cr_assert(!call.done());
    pair.held.back()->finish("late but whole");
    call.wait();
    cr_assert(call.ok(), "%s", call.text().c_str());
}

Test(peer_bad_input, invalid_reply_ends_the_calls_of_the_link) {
    const std::string invalid_replies[] = {
        frame_of(frame_kind::error, "not an error", 1),
        frame_of(frame_kind::request, "", 1),
        length_prefix(2) + "\xc1\xc1",
    };
    for (const std::string& invalid_reply : invalid_replies) {
        scripted_peer script;
        script.start_call();
        script.exchange_hello(hello_of("server"));
        cr_assert(run_until(script.loop, [&] { return script.server.has("payload"); }));
        // Replies to unknown calls are ignored because the calls may have been cancelled.
        script.server.send(frame_of(frame_kind::reply, "whose?", 99) + invalid_reply);
        script.call.wait();
        cr_assert(script.call.details().reason == "malformed_frame");
        cr_assert(script.call.details().was_executed == base::executed::unknown);
    }
}

Test(peer_bad_input, error_frame_never_becomes_ok_status) {
    cr_assert(!to_status({.code = 0, .message = "ok?"}).ok());
    cr_assert(to_status({.code = 12345}).code() == absl::StatusCode::kUnknown);
}

Test(peer_bad_input, links_over_the_limit_are_closed) {
    auto options = options_of("server");
    options.max_inbound_links = 2;
    peer_pair pair(options_of("client"), options);
    raw_client first(pair.address());
    raw_client second(pair.address());
    first.send(hello_of("first"));
    second.send(hello_of("second"));
    cr_assert(run_until(pair.loop, [&] { return first.has("server") && second.has("server"); }));
    raw_client third(pair.address());
    cr_assert(run_until(pair.loop, [&] { return third.closed(); }));
    cr_assert(!third.has("server"));
    cr_assert(!first.closed() && !second.closed());
}

Test(peer_bad_input, received_timeout_is_never_negative) {
    peer_pair pair;
    raw_client caller(pair.address());
    caller.send(hello_of("caller") +
                encode_frame({.kind = static_cast<std::uint8_t>(frame_kind::request),
                              .call = 1,
                              .method = hold_method,
                              .timeout_milliseconds = ~std::uint64_t{0}}));
    cr_assert(run_until(pair.loop, [&] { return pair.held.size() == 1; }));
    cr_assert(pair.held.back()->timeout() > milliseconds(0));
}
