#include <functional>
#include <iterator>
#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "decoders.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/net/peer_frame.h"
#include "pearbarrow/wire/codec.h"
#include "platform_decoders.h"

#include <criterion/criterion.h>

using namespace pearbarrow;

namespace {

using entry_point = std::function<void(std::string_view)>;

constexpr int mutations_of_each_seed = 2000;

/// Changes, drops, repeats and inserts bytes.
std::string mutate(std::string text, base::random_source& random) {
    const std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t at = random.below(text.size());
        const char byte = static_cast<char>(random.below(256));
        switch (random.below(5)) {
            case 0:
                text[at] = byte;
                break;
            case 1:
                text.erase(at, 1 + random.below(8));
                break;
            case 2:
                text.insert(at, text.substr(at, 1 + random.below(64)));
                break;
            case 3:
                text.insert(at, 1, byte);
                break;
            default:
                text.resize(at);
                break;
        }
    }
    return text;
}

/// Runs the seeds as they are, cut at every place, and mutated.
void run_corpus(const entry_point& feed, const std::vector<std::string>& seeds) {
    constexpr std::uint64_t random_seed = 20'240'601;
    base::random_source random(random_seed);
    for (const std::string& seed : seeds) {
        for (std::size_t size = 0; size <= seed.size(); ++size) {
            feed(std::string_view(seed).substr(0, size));
        }
        for (int round = 0; round < mutations_of_each_seed; ++round) {
            feed(mutate(seed, random));
        }
    }
}

/// What another writer may put in place of a value.
nlohmann::json odd_value(base::random_source& random) {
    const std::vector<nlohmann::json> values{nullptr,
                                             true,
                                             "",
                                             "6",
                                             "a\r\nb",
                                             std::string(300, 'x'),
                                             0,
                                             -1,
                                             6.5,
                                             -1e300,
                                             1e300,
                                             std::numeric_limits<std::uint64_t>::max(),
                                             std::numeric_limits<std::int64_t>::min(),
                                             nlohmann::json::array(),
                                             nlohmann::json::object(),
                                             nlohmann::json::array({1, "x", nullptr})};
    return values[random.below(values.size())];
}

/// Takes a field away or puts an odd value in its place, somewhere in a document.
void change_somewhere(nlohmann::json& value, base::random_source& random) {
    if (!value.is_structured() || value.empty() || random.below(8) == 0) {
        value = odd_value(random);
        return;
    }
    auto at = value.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random.below(value.size())));
    if (random.below(4) == 0) {
        value.erase(at);
    } else {
        change_somewhere(*at, random);
    }
}

/// As `run_corpus`, and with values of other types, and fields missing.
void run_documents(const entry_point& feed, const std::string& seed) {
    run_corpus(feed, {seed, "", "null", std::string(10'000, '['), "\xff\xfe"});
    constexpr std::uint64_t random_seed = 20'261'202;
    base::random_source random(random_seed);
    for (int round = 0; round < mutations_of_each_seed; ++round) {
        nlohmann::json document = nlohmann::json::parse(seed);
        for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes) {
            change_somewhere(document, random);
        }
        feed(document.dump());
    }
}

std::string frame_of(net::frame_kind kind, std::string payload) {
    return net::encode_frame(
        {.kind = static_cast<std::uint8_t>(kind), .call = 5, .payload = std::move(payload)});
}

}  // namespace

Test(corpus, peer_frames) {
    const std::string hello =
        frame_of(net::frame_kind::hello,
                 wire::encode(net::hello_message{.cluster = "c", .node = base::node_id("node-1")}));
    const std::string error =
        frame_of(net::frame_kind::error,
                 wire::encode(net::error_message{.code = 14, .message = "lost", .step = "append"}));
    run_corpus(fuzz::feed_peer_frames,
               {"\x03" + hello + error, "\xff" + error + frame_of(net::frame_kind::part, "text"),
                std::string("\x01\xff\xff\xff\xff\x00", 6), "\x10" + std::string(200, '\x91')});
}

Test(corpus, server_sent_events) {
    run_corpus(fuzz::feed_server_sent_events,
               {"\x01id: 1\nevent: delta\ndata: {\"a\": 1}\n\n",
                "\x04: comment\r\ndata\r\rdata:x\r\n\r\n", "\x02retry: 10\n\n\n\ndata:\n\n"});
}

Test(corpus, endpoint) {
    run_corpus(fuzz::feed_endpoint,
               {"127.0.0.1:8080", "[2001:db8::1%eth0]:65535", "[::ffff:1.2.3.4]:1", "host:80"});
}

Test(corpus, wire_message) {
    run_corpus(fuzz::feed_wire_message,
               {fuzz::wire_message_seed(), std::string("\xdd\xff\xff\xff\xff", 5),
                std::string(100, '\x91')});
}

Test(corpus, http_request) {
    run_corpus(fuzz::feed_http_request,
               {"\x05POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
                "\xffPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: "
                "v\r\n\r\n",
                "\x40GET / HTTP/1.0\r\n\r\n"});
}

Test(corpus, http_response) {
    run_corpus(fuzz::feed_http_response,
               {"\x05HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                "\xffHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                "\x40HTTP/1.1 204 No Content\r\n\r\n", "\x40HTTP/1.0 200 OK\r\n\r\nto the end"});
}

Test(corpus, backend_entry) {
    run_documents(fuzz::feed_backend_entry,
                  R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":12,
                      "state":"ready","cold_left_ms":0,"seq":4,"born":1764710400123})");
}

Test(corpus, configuration) {
    run_documents(fuzz::feed_configuration, R"({"version": 7,
        "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "kind": "streaming",
                    "timeout_ms": 4000, "slo_ms": 200, "priority": 1, "attempts": 2,
                    "keeps_history": true, "retain_s": 60.0, "can_resume": true, "public": false,
                    "allowed_regions": ["n"], "backends": [{"service": "x", "weight": 90}]}],
        "services": [{"name": "x", "max_conns": 160, "cold_start_s": 2.5, "cold_per_s": 32.0,
                      "engine": {"chunk_tokens": 9}}],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 4194304, "header_timeout_ms": 5,
                   "idle_timeout_ms": 6},
        "tenants": [{"name": "t", "api_keys": ["k"], "priority": 2, "rate_per_s": 4.5, "burst": 9,
                     "allowed_regions": ["n"]}]})");
}

Test(corpus, storage_view) {
    run_documents(fuzz::feed_storage_view, R"({"groups":2,"members":[
        {"node":"s1","address":"10.0.0.1:7000","zone":"a","retiring":false,"group":1},
        {"node":"s2","address":"10.0.0.2:7000","zone":"b","retiring":true,"group":0}]})");
}

Test(corpus, storage_member) {
    run_documents(
        fuzz::feed_storage_member,
        R"({"node":"s1","address":"10.0.0.1:7000","zone":"a","retiring":false,"group":1})");
}
