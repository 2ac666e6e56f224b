/// Calls between nodes: msgpack messages in length-prefixed frames over TCP.
///
/// One connection a pair of nodes and direction, opened when first needed and again after a loss.
/// A connection begins with a hello frame each way (protocol version, cluster name, node id); a
/// mismatch closes it with a logged reason. Each request has a correlation id, a method and a
/// deadline; it is answered by any number of partial replies and one last reply or an error. Frames
/// are bounded, and so is the number of bytes queued to a peer: a request beyond it fails at once
/// with reason `peer_queue_full`.
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
#include "pearbarrow/net/endpoint.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/held_bytes.h"
#include "pearbarrow/net/peer_traffic.h"
#include "pearbarrow/net/tls_files.h"
#include "pearbarrow/wire/methods.h"

namespace pearbarrow::net {

using wire::method_number;

struct peer_rpc_options {
    base::node_id self;
    std::string cluster;
    /// Told to peers, so that both sides count what crosses between zones; empty: not told.
    std::string zone;
    /// How far a peer's zone is; empty: not known.
    std::function<peer_distance(std::string_view zone)> distance_of;
    endpoint listen;
    std::size_t max_frame_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_queued_bytes = std::size_t{64} * 1024 * 1024;
    /// Longest time to connect and to exchange hello frames.
    base::milliseconds connect_timeout{1'000};
    /// The same for the first attempt at a peer, doubled after each that failed in a row; zero: as
    /// long as the others. A machine without power leaves an attempt hanging, and is back before a
    /// long attempt ends.
    base::milliseconds first_connect_timeout{0};
    /// Requests of one caller under way at once; more fail with reason `peer_queue_full`.
    std::size_t max_open_requests = 65'536;
    /// Links from other nodes at once; more are closed.
    std::size_t max_inbound_links = 4096;
    /// With requests under way, a link on which nothing arrives is probed after the first time
    /// and given up after the second: it finds peers that vanished without closing.
    base::milliseconds silence_before_probe{2'000};
    base::milliseconds silence_before_loss{8'000};
    /// A peer that takes none of the bytes sent for this long is cut off.
    base::milliseconds write_timeout{8'000};
    /// Counts what peers have not taken; null: nobody does.
    std::shared_ptr<held_bytes> held = nullptr;
    /// Mutual TLS: both sides must be signed by `client_authorities`, which should sign nodes only.
    std::optional<tls_files> tls;
};

/// Server side of one request. Dropping it unanswered answers with kInternal.
class peer_responder {
  public:
    virtual ~peer_responder() = default;
    virtual base::node_id caller() const = 0;
    /// The time that the caller gives the request, counted from its sending; zero: no limit.
    virtual base::milliseconds timeout() const { return {}; }
    /// Sends a partial reply; ignored once the caller has gone.
    virtual void send_part(std::string payload) = 0;
    /// Sends the last reply. Ends the request.
    virtual void finish(std::string payload) = 0;
    /// Ends the request with an error; its details travel along.
    virtual void fail(absl::Status status) = 0;
    /// `callback` runs once when the caller cancels or its connection is lost.
    virtual void on_cancelled(std::function<void()> callback) = 0;
};

using peer_method_handler =
    std::function<void(std::string_view payload, std::shared_ptr<peer_responder> responder)>;

/// A request under way. Destroying it, or calling `cancel`, tells the server and ends callbacks.
class peer_call_handle {
  public:
    virtual ~peer_call_handle() = default;
    virtual void cancel() = 0;
};

struct peer_call_callbacks {
    /// Runs for each partial reply; may be empty.
    std::function<void(std::string_view payload)> on_part;
    /// Runs exactly once, unless cancelled: the last reply, or the error. Errors of the transport
    /// say `executed::no` only when the request's frame was never written.
    std::function<void(absl::StatusOr<std::string>)> on_done;
};

/// A node's end of all its links. A call to the node itself goes through the event loop without a
/// socket.
class peer_rpc {
  public:
    virtual ~peer_rpc() = default;
    /// Opens the listener. Register every method before.
    virtual absl::Status start() = 0;
    virtual endpoint local_endpoint() const = 0;
    virtual void register_method(method_number method, peer_method_handler handler) = 0;
    /// Calls `method` of `node` at `address`. An empty node id takes whichever node answers there.
    /// `timeout` zero: no limit beyond the connection's life.
    [[nodiscard]] virtual std::unique_ptr<peer_call_handle> call(
        const base::node_id& node, const endpoint& address, method_number method,
        std::string payload, base::milliseconds timeout, peer_call_callbacks callbacks) = 0;
    /// Takes no new requests of other nodes (they fail with reason `node_stopping`); those begun
    /// go on, and so do the node's calls to itself, which they may need.
    virtual void stop_accepting() = 0;
    /// Bytes sent and received since the start, for the control-traffic metric.
    virtual std::uint64_t bytes_sent() const = 0;
    virtual std::uint64_t bytes_received() const = 0;
    /// What of it was sent for which call, and how far.
    virtual std::vector<traffic_row> traffic() const = 0;
    /// Reads the key files again; connections already open keep their keys.
    virtual absl::Status reload_tls() = 0;
};

std::unique_ptr<peer_rpc> make_peer_rpc(event_loop& loop, peer_rpc_options options);

}  // namespace pearbarrow::net
