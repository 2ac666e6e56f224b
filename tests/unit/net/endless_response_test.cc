// Tests servers and callers that send bytes without end that are never part of a message.
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http_fixture.h"
#include "pearbarrow/base/status.h"
#include "pearbarrow/net/http_codec.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::net;
using namespace pearbarrow::net::testing;

namespace {

constexpr std::size_t max_kept_bytes = std::size_t{128} * 1024;
constexpr std::size_t sent_bytes = std::size_t{4} * 1024 * 1024;
constexpr char chunked_head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_bytes {
    std::string name;
    /// Sent once, before `repeated`.
    std::string beginning;
    std::string repeated;
};

const std::vector<endless_bytes>& endless_responses() {
    static const std::vector<endless_bytes> responses = {
        {"status_line", "HTTP/1.1 200 ", "x"},
        {"header_line", "HTTP/1.1 200 OK\r\nA: ", "x"},
        {"header_lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"chunk_size", chunked_head, "0"},
        {"chunk_extension", std::string(chunked_head) + "5;a=", "x"},
        {"chunk_extensions", std::string(chunked_head) + "5", ";a=b"},
        {"trailer_line", std::string(chunked_head) + "0\r\nA: ", "x"},
        {"trailer_lines", std::string(chunked_head) + "0\r\n", "A: b\r\n"},
        {"interim_responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    };
    return responses;
}

/// Sends the bytes to a reader in pieces and returns how many of them it kept at most.
template <typename Reader>
std::size_t most_kept(Reader& reader, const std::function<char()>& next, std::size_t piece,
                      read_progress& last) {
    std::string buffer;
    std::size_t most = 0;
    for (std::size_t sent = 0; sent < sent_bytes; sent += piece) {
        for (std::size_t index = 0; index < piece; ++index) {
            buffer.push_back(next());
        }
        last = reader.feed(buffer);
        while (last == read_progress::head_complete) {
            last = reader.feed(buffer);
        }
        most = std::max(most, buffer.size());
        if (last != read_progress::need_more) {
            break;
        }
    }
    return most;
}

std::function<char()> bytes_of(const endless_bytes& source) {
    return [&source, position = std::size_t{0}]() mutable {
        const std::size_t at = position++;
        if (at < source.beginning.size()) {
            return source.beginning[at];
        }
        return source.repeated[(at - source.beginning.size()) % source.repeated.size()];
    };
}

}  // namespace

Test(endless_response, framing_without_end_is_malformed_and_not_kept) {
    for (const endless_bytes& source : endless_responses()) {
        if (source.name == "interim_responses") {
            continue;
        }
        http_response_reader reader({.max_body_bytes = sent_bytes, .on_body = nullptr});
        read_progress last = read_progress::need_more;
        const std::size_t most = most_kept(reader, bytes_of(source), 1'000, last);
        cr_assert(last == read_progress::failed, "%s", source.name.c_str());
        cr_assert(most <= max_kept_bytes, "%s: %zu bytes kept", source.name.c_str(), most);
    }
}

Test(endless_response, request_framing_without_end_is_malformed_and_not_kept) {
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& beginning : {head, head + "5;a=", head + "0\r\nA: "}) {
        const endless_bytes source{"", beginning, beginning == head ? "0" : "x"};
        http_request_reader reader(16'384, sent_bytes);
        read_progress last = read_progress::need_more;
        const std::size_t most = most_kept(reader, bytes_of(source), 1'000, last);
        cr_assert(last == read_progress::failed && most <= max_kept_bytes, "%zu bytes kept", most);
    }
}

// FRAMING_SEEDS=20000 runs more of them.
Test(endless_response, random_framing_never_keeps_more_than_the_bound) {
    const char* wanted = std::getenv("FRAMING_SEEDS");
    const unsigned seeds = wanted == nullptr ? 300 : static_cast<unsigned>(std::atoi(wanted));
    const std::vector<std::string> parts = {"0",
                                            "5",
                                            "f",
                                            "\r\n",
                                            ";a=b",
                                            ";",
                                            "hello",
                                            "A: b\r\n",
                                            "x",
                                            "\r",
                                            "\n",
                                            "ffffffff",
                                            "5\r\nhello\r\n",
                                            "HTTP/1.1 100 C\r\n\r\n",
                                            " ",
                                            "\t",
                                            "\"",
                                            "0\r\n"};
    for (unsigned seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(seed);
        std::string pending = random() % 4 == 0 ? "HTTP/1.1 200 OK\r\n" : chunked_head;
        std::size_t position = 0;
        // One part is repeated for long, as a server without end does.
        const auto next = [&] {
            while (position == pending.size()) {
                position = 0;
                pending.clear();
                const std::string& part = parts[random() % parts.size()];
                const std::size_t times = random() % 8 == 0 ? 100'000 : 1 + random() % 3;
                for (std::size_t index = 0; index < times; ++index) {
                    pending += part;
                }
            }
            return pending[position++];
        };
        http_response_reader reader({.max_body_bytes = sent_bytes, .on_body = nullptr});
        read_progress last = read_progress::need_more;
        const std::size_t most = most_kept(reader, next, 1 + random() % 16'384, last);
        cr_assert(most <= max_kept_bytes, "seed %u: %zu bytes kept", seed, most);
    }
}

Test(endless_response, call_to_a_server_without_end_fails) {
    for (const endless_bytes& source : endless_responses()) {
        event_loop loop;
        raw_server server;
        const auto client = make_http_client(loop);
        std::optional<absl::Status> result;
        const auto call = client->start(
            {.server = server.local_endpoint(), .method = "GET", .target = "/"},
            {.on_head = nullptr, .on_chunk = nullptr, .on_done = [&](const absl::Status& status) {
                 result = status;
             }});
        cr_assert(run_until(loop, [&] { return server.has("GET / "); }));
        server.send(source.beginning);
        std::string many;
        while (many.size() < 8'192) {
            many += source.repeated;
        }
        cr_assert(run_until(loop, [&] {
            server.send(many);
            return result.has_value();
        }));
        cr_assert(base::details_of(*result).reason == "malformed_response", "%s: %s",
                  source.name.c_str(), result->ToString().c_str());
    }
}

Test(endless_response, response_that_is_sent_byte_by_byte_ends_with_the_total_timeout) {
    event_loop loop;
    raw_server server;
    const auto client = make_http_client(loop);
    std::optional<absl::Status> result;
    const auto call =
        client->start({.server = server.local_endpoint(),
                       .method = "GET",
                       .target = "/",
                       .total_timeout = base::milliseconds{100}},
                      {.on_head = nullptr, .on_chunk = nullptr, .on_done = [&](const auto& status) {
                           result = status;
                       }});
    cr_assert(run_until(loop, [&] { return server.has("GET / "); }));
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    cr_assert(run_until(loop, [&] {
        server.send("x");
        return result.has_value();
    }));
    cr_assert(result->code() == absl::StatusCode::kDeadlineExceeded);
}
