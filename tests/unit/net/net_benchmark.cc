/// Requests per second and latency of HTTP keep-alive connections and of peer calls over loopback.
/// Client and server run on separate threads. This program is not a test. Usage: net_benchmark
/// [seconds] [callers] [payload bytes]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/http.h"
#include "pearbarrow/net/peer_rpc.h"

using namespace pearbarrow;
using namespace pearbarrow::net;

namespace {

constexpr method_number echo_method = 1;
const endpoint loopback{"127.0.0.1", 0};

struct settings {
    int seconds = 3;
    int callers = 32;
    std::size_t payload_bytes = 256;
};

base::instant now() {
    return base::system_clock_source().now();
}

/// Keeps `callers` requests in flight until the time is over, then prints the results.
class load_generator {
  public:
    /// Sends one request and calls `done` with whether it succeeded.
    using request = std::function<void(std::function<void(bool)> done)>;

    load_generator(event_loop& loop, const settings& chosen, request send)
        : loop_(loop),
          settings_(chosen),
          send_(std::move(send)),
          end_(now() + base::seconds(chosen.seconds)) {}

    void run(const char* name) {
        const auto begin = now();
        for (int caller = 0; caller < settings_.callers; ++caller) {
            next();
        }
        loop_.run();
        const double elapsed = std::chrono::duration<double>(now() - begin).count();
        std::sort(latencies_.begin(), latencies_.end());
        const auto at = [&](double share) {
            return latencies_[static_cast<std::size_t>(share * (latencies_.size() - 1))];
        };
        std::printf(
            "%s callers=%d payload=%zu requests=%zu failed=%d per_second=%.0f "
            "median_us=%ld p99_us=%ld\n",
            name, settings_.callers, settings_.payload_bytes, latencies_.size(), failed_,
            latencies_.size() / elapsed, at(0.5), at(0.99));
    }

  private:
    void next() {
        ++in_flight_;
        send_([this, begin = now()](bool ok) {
            const auto end = now();
            latencies_.push_back((end - begin).count());
            failed_ += ok ? 0 : 1;
            --in_flight_;
            if (end < end_) {
                next();
            } else if (in_flight_ == 0) {
                loop_.stop();
            }
        });
    }

    event_loop& loop_;
    settings settings_;
    request send_;
    base::instant end_;
    std::vector<long> latencies_;
    int in_flight_ = 0;
    int failed_ = 0;
};

/// Runs the event loop of a server on a separate thread.
class server_thread {
  public:
    explicit server_thread(event_loop& loop) : loop_(loop), thread_([&loop] { loop.run(); }) {}
    server_thread(const server_thread&) = delete;
    server_thread& operator=(const server_thread&) = delete;
    ~server_thread() {
        loop_.post([this] { loop_.stop(); });
        thread_.join();
    }

  private:
    event_loop& loop_;
    std::thread thread_;
};

void measure_http(const settings& chosen) {
    event_loop server_loop;
    const auto server = make_http_server(server_loop, {.listen = loopback},
                                         [](const std::shared_ptr<http_exchange>& exchange) {
                                             exchange->respond({.body = exchange->request().body});
                                         });
    if (!server->start().ok()) {
        std::abort();
    }
    const server_thread thread(server_loop);
    event_loop loop;
    const auto client = make_http_client(loop);
    const std::string payload(chosen.payload_bytes, 'x');
    load_generator generator(loop, chosen, [&](std::function<void(bool)> done) {
        client->fetch({.server = server->local_endpoint(),
                       .method = "POST",
                       .target = "/echo",
                       .body = payload},
                      [done = std::move(done)](const absl::StatusOr<http_response>& response) {
                          done(response.ok() && response->status == 200);
                      });
    });
    generator.run("http_keep_alive");
}

void measure_peer(const settings& chosen) {
    event_loop server_loop;
    const auto server = make_peer_rpc(
        server_loop, {.self = base::node_id("server"), .cluster = "bench", .listen = loopback});
    server->register_method(echo_method, [](std::string_view payload,
                                            const std::shared_ptr<peer_responder>& responder) {
        responder->finish(std::string(payload));
    });
    if (!server->start().ok()) {
        std::abort();
    }
    const server_thread thread(server_loop);
    event_loop loop;
    const auto client = make_peer_rpc(
        loop, {.self = base::node_id("client"), .cluster = "bench", .listen = loopback});
    const std::string payload(chosen.payload_bytes, 'x');
    // The handle lives as long as its call.
    struct slot {
        std::unique_ptr<peer_call_handle> handle;
    };
    load_generator generator(loop, chosen, [&](std::function<void(bool)> done) {
        auto call = std::make_shared<slot>();
        call->handle = client->call(
            base::node_id("server"), server->local_endpoint(), echo_method, payload,
            base::seconds(10),
            {.on_done = [call, done = std::move(done)](const absl::StatusOr<std::string>& reply) {
                done(reply.ok());
            }});
    });
    generator.run("peer_rpc");
}

}  // namespace

int main(int argument_count, char** arguments) {
    settings chosen;
    if (argument_count > 1) {
        chosen.seconds = std::atoi(arguments[1]);
    }
    if (argument_count > 2) {
        chosen.callers = std::atoi(arguments[2]);
    }
    if (argument_count > 3) {
        chosen.payload_bytes = static_cast<std::size_t>(std::atoi(arguments[3]));
    }
    measure_http(chosen);
    measure_peer(chosen);
    return 0;
}
