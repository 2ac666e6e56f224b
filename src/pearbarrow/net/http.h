/// HTTP/1.1 server and client based on Boost.Beast. The interfaces do not expose types of Beast.
///
/// All callbacks run on the event loop. Header names are compared case-insensitively.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/net/buffered_bytes.h"
#include "pearbarrow/net/descriptor_limit.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/response_end.h"
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
    /// Returns the first value of `name`, if present.
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<http_header>& all() const { return headers_; }

  private:
    std::vector<http_header> headers_;
};

struct http_request {
    std::string method;
    /// Path and query as received, e.g. "/v1/programs?limit=5".
    std::string target;
    http_headers headers;
    std::string body;
    /// Address of the client, for logs and errors.
    std::string peer;

    /// Returns the target without its query.
    std::string_view path() const;
    /// Returns the percent-decoded value of a query parameter, if present.
    std::optional<std::string> query(std::string_view name) const;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Server side of one request. The handler keeps the object until the response is complete;
/// destroying it before a response sends status 500. All calls are ignored after the client
/// disconnects.
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    /// Sends a whole response and ends the exchange.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked response, e.g. server-sent events.
    virtual void start_stream(int status, http_headers headers) = 0;
    /// Starts a response without a length and without chunks. It ends with its connection.
    virtual void start_until_close(int status, http_headers headers) {
        start_stream(status, std::move(headers));
    }
    /// Queues a chunk of the response.
    virtual void write(std::string chunk) = 0;
    /// Ends a response that was started without its body.
    virtual void finish() = 0;
    /// Ends the connection at once, so that the client detects an incomplete response: the last
    /// chunk or a part of the announced length is missing, or the connection is reset.
    virtual void abort() = 0;
    /// Writes the queued bytes and then ends the connection as `abort` does.
    virtual void abort_after_writes() { abort(); }
    /// Number of queued bytes that the kernel has not accepted yet. A large value indicates a slow
    /// reader.
    virtual std::size_t pending_bytes() const = 0;
    /// Sets a callback that runs once if the client disconnects before the response is complete.
    virtual void on_closed(std::function<void()> callback) = 0;
    /// Sets a callback that runs each time the client reads queued bytes.
    virtual void on_progress(std::function<void()> /*callback*/) {}
    /// After a disconnect: the reason for it, e.g. `slow_reader`.
    virtual std::string lost_reason() const { return {}; }
    /// Framing of the response sent to the client. `none` before the head has been sent.
    virtual body_framing framing() const { return body_framing::none; }
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Why a client has not received the whole response to a request.
enum class delivery_stage {
    /// The request has arrived in part.
    request_arriving,
    /// The request is being processed, or its response is incomplete.
    in_progress,
    /// The kernel has not accepted all bytes of the complete response.
    unsent,
    /// The client has not acknowledged all bytes of the complete response.
    unacknowledged,
};

std::string_view to_string(delivery_stage stage);

/// A response that the client has not received as a whole.
struct undelivered_response {
    /// Value of `http_server_options::request_id_header` in the request; empty if unknown.
    std::string request;
    /// Address of the client.
    std::string peer;
    delivery_stage stage = delivery_stage::in_progress;
    /// Queued bytes, and bytes in the kernel.
    std::size_t bytes = 0;
    /// Why the connection ended; empty while it is open, and if the server closed it.
    std::string reason;
};

struct http_server_options {
    endpoint listen;
    /// Name of the request header that identifies a request in `undelivered_response`.
    std::string request_id_header;
    /// Runs when a connection ends before all bytes of a complete response were sent.
    std::function<void(const undelivered_response&)> on_undelivered;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_connections = 4096;
    /// Rejects connections while the process has few free descriptors.
    descriptor_limit descriptors;
    /// Runs when a connection is rejected, with the reason.
    std::function<void(std::string_view reason)> on_connection_rejected;
    /// Limit for the bytes of incomplete requests on all connections. A request that exceeds it
    /// gets status 503.
    std::size_t max_receiving_bytes = std::size_t{256} * 1024 * 1024;
    /// A connection without a complete request within this time is closed.
    base::milliseconds request_timeout{30'000};
    /// A client that reads nothing of its response for this long is disconnected.
    base::milliseconds write_timeout{30'000};
    /// A client with more queued bytes is disconnected.
    std::size_t max_pending_bytes = std::size_t{16} * 1024 * 1024;
    /// Counts the bytes buffered for clients and admits request bodies; null disables both.
    std::shared_ptr<buffered_bytes> buffered = nullptr;
    std::optional<tls_files> tls;
};

/// Accepts connections and passes each well-formed request to the handler. Malformed requests get
/// status 400, oversized headers 431 and oversized bodies 413, each with an
/// `application/problem+json` body. They never reach the handler.
class http_server {
  public:
    virtual ~http_server() = default;
    /// Starts to listen. Fails with the address as the peer if it cannot be bound.
    virtual absl::Status start() = 0;
    /// The bound address. Its port differs from the option if the option is 0.
    virtual endpoint local_endpoint() const = 0;
    /// Closes each connection after its next response. New connections are still accepted.
    virtual void disable_keep_alive() = 0;
    /// Accepts no new connections and closes idle ones. Responses in progress continue, and
    /// requests that have begun to arrive are processed.
    virtual void stop_accepting() = 0;
    /// Responds to requests that have arrived in part with status 503. Called after
    /// `stop_accepting`.
    virtual void reject_arriving(std::string_view reason, std::string_view detail) = 0;
    /// After `stop_accepting`: whether every response has been delivered or its connection has
    /// ended.
    virtual bool is_drained() const = 0;
    /// Sets the limits for subsequent requests.
    virtual void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                            base::milliseconds request_timeout) = 0;
    virtual std::size_t open_exchanges() const = 0;
    /// Requests whose responses their clients have not received as a whole.
    virtual std::vector<undelivered_response> undelivered() const = 0;
    /// Reloads the key files. Open connections keep their keys.
    virtual absl::Status reload_tls() = 0;
};

std::unique_ptr<http_server> make_http_server(event_loop& loop, http_server_options options,
                                              http_handler handler);

/// Reason in the error details of a call that `http_call::may_send` rejected.
inline constexpr std::string_view withdrawn_reason = "withdrawn";

/// A request of the client.
struct http_call {
    endpoint server;
    /// Distinguishes successive processes at one address. An idle connection is reused only by
    /// calls with the same value.
    std::uint64_t server_incarnation = 0;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    /// Timeout for opening a connection. Zero selects `head_timeout`.
    base::milliseconds connect_timeout{0};
    /// Whether a GET is sent again if a reused connection fails before the first byte of the
    /// response.
    bool resend_when_stale = true;
    /// Timeout for the head of the response. Zero disables it.
    base::milliseconds head_timeout{10'000};
    /// Timeout between two chunks of the body. Zero disables it.
    base::milliseconds idle_timeout{30'000};
    /// Timeout of the whole call. Zero disables it.
    base::milliseconds total_timeout{0};
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    /// Called each time just before the request is sent on a connection. If it returns false, the
    /// request is not sent and the call ends with reason `withdrawn`. An empty function allows
    /// every send.
    std::function<bool()> may_send = nullptr;
    /// Called after `may_send` with the time since the first bytes were received on the connection,
    /// 0 for a new one. If it returns false, the call ends in the same way.
    std::function<bool(base::microseconds heard_for)> may_use_connection = nullptr;
    /// Runs if the server closes the connection of the call, or the connection breaks, while it is
    /// idle. It may run long after the call has ended.
    std::function<void()> on_idle_lost = nullptr;
    /// Called when the framing of the response says that its body is complete. Returns whether the
    /// body ends inside an event. An empty function stands for a body without events.
    std::function<bool()> is_inside_event = nullptr;
};

/// Callbacks of a streamed response. Any function may be empty.
struct http_call_callbacks {
    std::function<void(int status, const http_headers& headers)> on_head;
    std::function<void(std::string_view chunk)> on_chunk;
    /// Runs exactly once, unless the call is cancelled; the status is ok when the whole body has
    /// arrived. The details of an error state whether the request may have reached the server: they
    /// contain `executed::no` only if no byte of the request was sent.
    std::function<void(absl::Status)> on_done;
    /// Runs when a connection that was opened for the call is established, with the time since the
    /// attempt started.
    std::function<void(base::microseconds took)> on_connected = nullptr;
    /// Runs just before `on_done` if the head of the response has arrived.
    std::function<void(const response_end& end)> on_end = nullptr;
};

/// A call in flight. Destroying the handle or calling `cancel` closes the call without further
/// callbacks.
class http_call_handle {
  public:
    virtual ~http_call_handle() = default;
    virtual void cancel() = 0;
    /// Stops reading the response until `resume`. The idle timeout is suspended meanwhile.
    virtual void pause() {}
    virtual void resume() {}
    /// Framing of the response body. `none` before the head has arrived.
    virtual body_framing framing() const { return body_framing::none; }
};

/// Sends requests and keeps idle connections in a pool, for a shorter time if the `Keep-Alive`
/// header of a server says so. A request that fails on a reused connection before the first byte of
/// the response is retried on a new connection only if its method is GET and `resend_when_stale` is
/// set. Every other failure is reported without a retry.
class http_client {
  public:
    virtual ~http_client() = default;
    [[nodiscard]] virtual std::unique_ptr<http_call_handle> start(
        http_call call, http_call_callbacks callbacks) = 0;
    /// Collects the whole response. The callback runs once; there is no handle to keep.
    virtual void fetch(http_call call,
                       std::function<void(absl::StatusOr<http_response>)> callback) = 0;
    /// Reloads the key files. Open connections keep their keys until they end; idle connections are
    /// closed.
    virtual absl::Status reload_tls() = 0;
};

struct http_client_options {
    std::size_t max_idle_connections_per_server = 64;
    /// An idle connection older than this is not reused. The value is below the limits of the
    /// servers, so that a request seldom uses a connection that its server is closing.
    base::milliseconds idle_lifetime{10'000};
    /// Counts the request bytes that servers have not read; null disables the accounting.
    std::shared_ptr<buffered_bytes> buffered = nullptr;
    /// Enables TLS. The certificate of a server must contain its IP address.
    std::optional<tls_files> tls;
};

std::unique_ptr<http_client> make_http_client(event_loop& loop, http_client_options options = {});

}  // namespace pearbarrow::net
