/// Remote procedure calls between nodes: msgpack messages in length-prefixed frames over TCP.
///
/// Each pair of nodes has one connection per direction. It is opened on first use and reopened
/// after a loss. Each side starts with a hello frame (protocol version, cluster name, node id); a
/// mismatch is logged and closes the connection. Each request has a correlation id, a method and a
/// deadline. The reply consists of any number of parts and a final reply or an error. The size of a
/// frame and the number of bytes queued for a peer are bounded: a request that exceeds the queue
/// fails immediately with reason `peer_queue_full`.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"
#include "pearbarrow/net/buffered_bytes.h"
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_traffic.h"
#include "pearbarrow/net/tls_files.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::net {

using wire::method_number;

struct peer_rpc_options {
    base::node_id self;
    std::string cluster;
    /// Zone of this node, sent to peers so that both sides can count cross-zone traffic. Empty if
    /// unknown.
    std::string zone;
    /// Returns the distance to a zone; an empty function makes all distances unknown.
    std::function<peer_distance(std::string_view zone)> distance_of;
    endpoint listen;
    std::size_t max_frame_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_queued_bytes = std::size_t{64} * 1024 * 1024;
    /// Timeout for connecting and exchanging hello frames.
    base::milliseconds connect_timeout{1'000};
    /// Timeout for the first attempt to connect to a peer. It doubles after each consecutive
    /// failure; zero selects `connect_timeout`. An attempt to reach a machine without power hangs,
    /// and the machine may be back before a long timeout expires.
    base::milliseconds first_connect_timeout{0};
    /// Limit for the requests in flight of one caller. Further requests fail with reason
    /// `peer_queue_full`.
    std::size_t max_open_requests = 65'536;
    /// Limit for the links from other nodes. Further links are closed.
    std::size_t max_inbound_links = 4096;
    /// While requests are in flight, a link without received data is probed after the first
    /// interval and closed after the second. This detects peers that vanished without closing the
    /// connection.
    base::milliseconds silence_before_probe{2'000};
    base::milliseconds silence_before_loss{8'000};
    /// A peer that reads none of the sent bytes for this long is disconnected.
    base::milliseconds write_timeout{8'000};
    /// Counts the bytes that peers have not read; null disables the accounting.
    std::shared_ptr<buffered_bytes> buffered = nullptr;
    /// Enables mutual TLS. Both certificates must be signed by `client_authorities`, which should
    /// sign certificates of nodes only.
    std::optional<tls_files> tls;
};

/// Server side of one request. Destroying it before a reply sends a kInternal error.
class peer_responder {
  public:
    virtual ~peer_responder() = default;
    virtual base::node_id caller() const = 0;
    /// Timeout set by the caller, counted from the sending of the request; zero if there is none.
    virtual base::milliseconds timeout() const { return {}; }
    /// Sends a partial reply. Ignored after the caller has disconnected.
    virtual void send_part(std::string payload) = 0;
    /// Sends the final reply and ends the request.
    virtual void finish(std::string payload) = 0;
    /// Ends the request with an error. The details of the status are sent to the caller.
    virtual void fail(absl::Status status) = 0;
    /// Sets a callback that runs once if the caller cancels or its connection is lost.
    virtual void on_cancelled(std::function<void()> callback) = 0;
    /// Excludes the request from the backlog: it waits for news, and its caller polls another node
    /// if this one ends.
    virtual void mark_as_long_poll() = 0;
};

using peer_method_handler =
    std::function<void(std::string_view payload, std::shared_ptr<peer_responder> responder)>;

/// A call in flight. Destroying the handle or calling `cancel` notifies the server and prevents
/// further callbacks.
class peer_call_handle {
  public:
    virtual ~peer_call_handle() = default;
    virtual void cancel() = 0;
};

struct peer_call_callbacks {
    /// Runs for each partial reply; may be empty.
    std::function<void(std::string_view payload)> on_part;
    /// Runs exactly once with the final reply or an error, unless the call is cancelled. Transport
    /// errors contain `executed::no` only if the frame of the request was never written.
    std::function<void(absl::StatusOr<std::string>)> on_done;
};

/// Work of a node that its peers wait for.
struct peer_backlog {
    /// Requests of other nodes that have no final reply, without long polls.
    std::size_t open_requests = 0;
    /// Bytes queued on links from other nodes that the kernel has not accepted.
    std::size_t queued_bytes = 0;

    bool is_empty() const { return open_requests == 0 && queued_bytes == 0; }
};

/// RPC endpoint of a node. A call from the node to itself uses the event loop and no socket.
class peer_rpc {
  public:
    virtual ~peer_rpc() = default;
    /// Starts to listen. All methods must be registered before.
    virtual absl::Status start() = 0;
    virtual endpoint local_endpoint() const = 0;
    virtual void register_method(method_number method, peer_method_handler handler) = 0;
    /// Calls `method` of `node` at `address`. An empty node id accepts any node at the address. A
    /// zero `timeout` limits the call only by the lifetime of the connection.
    [[nodiscard]] virtual std::unique_ptr<peer_call_handle> call(
        const base::node_id& node, const endpoint& address, method_number method,
        std::string payload, base::milliseconds timeout, peer_call_callbacks callbacks) = 0;
    /// Rejects new requests of other nodes with reason `node_stopping`. Requests in flight
    /// continue, and so do calls from the node to itself, on which they may depend.
    virtual void stop_accepting() = 0;
    virtual peer_backlog backlog() const = 0;
    /// Bytes sent since the start, for the control traffic metric.
    virtual std::uint64_t bytes_sent() const = 0;
    virtual std::uint64_t bytes_received() const = 0;
    /// Traffic sent, by method and distance.
    virtual std::vector<traffic_row> traffic() const = 0;
    /// Reloads the key files. Open connections keep their keys.
    virtual absl::Status reload_tls() = 0;
};

std::unique_ptr<peer_rpc> make_peer_rpc(event_loop& loop, peer_rpc_options options);

}  // namespace pearbarrow::net
