/// HTTP/1.1 server and client over Boost.Beast, behind interfaces without Beast's types.
///
/// All callbacks run on the event loop. Header names are compared without case.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/held_bytes.h"
#include "pearbarrow/net/tls_files.h"

namespace pearbarrow::net {

struct http_header {
    std::string name;
    std::string value;
};

class http_headers {
  public:
    http_headers() = default;
    http_headers(std::initializer_list<http_header> headers) : headers_(headers) {}
    void add(std::string name, std::string value);
    /// The first value of `name`, or none.
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<http_header>& all() const { return headers_; }

  private:
    std::vector<http_header> headers_;
};

struct http_request {
    std::string method;
    /// Path and query as sent, e.g. "/v1/programs?limit=5".
    std::string target;
    http_headers headers;
    std::string body;
    /// The client's address, for logs and errors.
    std::string peer;

    /// The target without its query.
    std::string_view path() const;
    /// The percent-decoded value of a query parameter, or none.
    std::optional<std::string> query(std::string_view name) const;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Server side of one request. Hold it for as long as the answer takes; dropping it unanswered
/// answers 500. After the client has gone all calls are ignored.
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    /// Sends a whole answer. Ends the exchange.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked answer, e.g. server-sent events.
    virtual void start_stream(int status, http_headers headers) = 0;
    /// Queues a part of a chunked answer.
    virtual void write(std::string chunk) = 0;
    /// Ends a chunked answer.
    virtual void finish() = 0;
    /// Breaks the connection, so that the client sees that the answer is not whole.
    virtual void abort() = 0;
    /// Bytes queued and not yet taken by the kernel: the measure of a slow reader.
    virtual std::size_t pending_bytes() const = 0;
    /// `callback` runs once when the client goes away before the answer is complete.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// `callback` runs each time the client has taken some of what is queued.
    virtual void on_progress(std::function<void()> /*callback*/) {}
    /// Once the client has gone: the reason of the connection's loss, e.g. `slow_reader`.
    virtual std::string lost_reason() const { return {}; }
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct http_server_options {
    endpoint listen;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_connections = 4096;
    /// Bytes of requests that are not whole yet, of all connections together; a request beyond
    /// them gets 503.
    std::size_t max_receiving_bytes = std::size_t{256} * 1024 * 1024;
    /// A connection on which no whole request arrives within this time is closed.
    base::milliseconds request_timeout{30'000};
    /// A client that takes none of its answer for this long is cut off.
    base::milliseconds write_timeout{30'000};
    /// Bytes queued for one client above which it is cut off.
    std::size_t max_pending_bytes = std::size_t{16} * 1024 * 1024;
    /// Counts what is held for the clients, and admits bodies; null: nobody does.
    std::shared_ptr<held_bytes> held = nullptr;
    std::optional<tls_files> tls;
};

/// Accepts connections and hands each well-formed request to the handler. Malformed requests get
/// 400, oversized headers 431, oversized bodies 413, each as `application/problem+json`, and never
/// reach the handler.
class http_server {
  public:
    virtual ~http_server() = default;
    /// Opens the listener. Fails with the address as peer when it cannot be bound.
    virtual absl::Status start() = 0;
    /// The port in use; differs from the option's when that is 0.
    virtual endpoint local_endpoint() const = 0;
    /// Each connection ends after its next answer; new ones are still taken.
    virtual void begin_closing() = 0;
    /// Takes no new connections; answers already begun go on, idle connections close.
    virtual void stop_accepting() = 0;
    /// Bounds that the next requests are held to.
    virtual void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                            base::milliseconds request_timeout) = 0;
    virtual std::size_t open_exchanges() const = 0;
    /// Reads the key files again; connections already open keep their keys.
    virtual absl::Status reload_tls() = 0;
};

std::unique_ptr<http_server> make_http_server(event_loop& loop, http_server_options options,
                                              http_handler handler);

/// Reason in the details of a call's error: `http_call::may_send` has said no.
inline constexpr std::string_view withdrawn_reason = "withdrawn";

/// What a client request asks for.
struct http_call {
    endpoint server;
    /// Tells processes apart that follow each other at one address: a kept connection is used again
    /// only by calls of the same number.
    std::uint64_t server_run = 0;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    /// Longest time for a new connection to come up. Zero: that of `head_timeout`.
    base::milliseconds connect_timeout{0};
    /// Whether a GET that a reused connection lost before any byte of its answer is sent again.
    bool resend_when_stale = true;
    /// Longest time to the response's head. Zero: no limit.
    base::milliseconds head_timeout{10'000};
    /// Longest time between two parts of the body. Zero: no limit.
    base::milliseconds idle_timeout{30'000};
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    /// Asked each time just before the request goes out on a connection; false: it doesn't, and the
    /// call ends with reason `withdrawn`. Empty: always.
    std::function<bool()> may_send = nullptr;
};

/// Receives a streamed response. Any function may be empty.
struct http_call_callbacks {
    std::function<void(int status, const http_headers& headers)> on_head;
    std::function<void(std::string_view chunk)> on_chunk;
    /// Runs exactly once, unless cancelled: ok when the whole body has arrived.
    /// An error's details say whether the request may have reached the server:
    /// `executed::no` only when not one byte of it was sent.
    std::function<void(absl::Status)> on_done;
    /// A connection was opened for the call and has come up, so long after it was begun.
    std::function<void(base::microseconds took)> on_connected = nullptr;
};

/// A request under way. Destroying it, or calling `cancel`, closes it without further callbacks.
class http_call_handle {
  public:
    virtual ~http_call_handle() = default;
    virtual void cancel() = 0;
    /// Reads nothing more of the answer until `resume`; its idle time does not count meanwhile.
    virtual void pause() {}
    virtual void resume() {}
};

/// Sends requests, keeping idle connections open for reuse, shorter where a server's `Keep-Alive`
/// says so. A request that a reused connection refused before any byte of the answer is sent again
/// on a new connection only when its method is GET and `resend_when_stale` allows it; everything
/// else is reported, never repeated.
class http_client {
  public:
    virtual ~http_client() = default;
    [[nodiscard]] virtual std::unique_ptr<http_call_handle> start(
        http_call call, http_call_callbacks callbacks) = 0;
    /// Collects the whole response. The callback runs once, also without a handle kept.
    virtual void fetch(http_call call,
                       std::function<void(absl::StatusOr<http_response>)> callback) = 0;
    /// Reads the key files again; connections already open keep their keys until they end, and
    /// idle ones are closed.
    virtual absl::Status reload_tls() = 0;
};

struct http_client_options {
    std::size_t max_idle_connections_per_server = 64;
    /// An idle connection older than this is not used again; kept under the servers' own limit,
    /// so that a request seldom meets a connection that its server is closing.
    base::milliseconds idle_lifetime{10'000};
    /// Counts what servers have not taken of their requests; null: nobody does.
    std::shared_ptr<held_bytes> held = nullptr;
    /// Servers are then spoken to over TLS, and their certificate must name their IP number.
    std::optional<tls_files> tls;
};

std::unique_ptr<http_client> make_http_client(event_loop& loop, http_client_options options = {});

}  // namespace pearbarrow::net
