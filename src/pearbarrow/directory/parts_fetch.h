/// Fetches the parts of a peer's list of back ends that differ from this node's.
///
/// Protocol: the peer has sent its digests. The node requests the parts whose digests differ, a few
/// at a time, until all have arrived. A node that starts without a list fetches every part in this
/// way: no message of a list of 20,000 back ends takes a small machine longer than a message of
/// 256, and a peer limits its replies per second so that its own work continues. A node runs one
/// fetch at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/backend_index.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/net/peer_rpc.h"

namespace pearbarrow::directory {

struct parts_request {
    std::vector<std::uint32_t> parts;

    MSGPACK_DEFINE(parts);
};

struct parts_fetch_options {
    base::milliseconds call_timeout{1'000};
    /// Delay before a busy peer receives the next request: between this and twice as long.
    base::milliseconds busy_delay{100};
    /// Number of busy replies after which the fetch fails.
    std::uint32_t max_busy_replies = 20;
};

class parts_fetch {
  public:
    /// Receives all parts that differed, as of the revision of the digests, or nothing if the peer
    /// failed.
    using done_handler = std::function<void(std::optional<backend_parts>)>;

    parts_fetch(net::event_loop& loop, net::peer_rpc& rpc, base::random_source& random,
                parts_fetch_options options);

    bool is_active() const { return this->done != nullptr; }
    /// Starts a fetch; does nothing while one is active.
    void start(const net::endpoint& peer, std::uint64_t revision,
               std::vector<std::uint32_t> differing_parts, done_handler done);

  private:
    void request_parts();
    void handle_reply(const absl::StatusOr<std::string>& payload);
    void add_parts(backend_parts parts);
    void retry_later();
    void finish(std::optional<backend_parts> found);

    net::event_loop& loop;
    net::peer_rpc& rpc;
    base::random_source& random;
    parts_fetch_options options;
    net::endpoint peer;
    /// Parts that have not arrived yet.
    std::vector<std::uint32_t> missing_parts;
    backend_parts gathered;
    std::uint32_t busy_replies = 0;
    done_handler done;
    std::unique_ptr<net::peer_call_handle> call;
    std::unique_ptr<net::timer_handle> next;
};

/// Serves parts to peers, up to a limit of messages per second.
class parts_source {
  public:
    struct limits {
        /// Back ends in one message: about 25 kB, which takes 1 ms of one core.
        std::size_t max_in_message = 256;
        /// Messages per second, 2.5 MB in total: less than a link of 30 Mbit/s carries.
        double messages_per_second = 100;
    };

    parts_source(net::peer_rpc& rpc, limits bounds,
                 std::function<backend_parts(const parts_request&, std::size_t max_backends)> read);

  private:
    void handle_request(std::string_view payload, net::peer_responder& responder);
    bool take_permit(base::instant now);

    limits bounds;
    std::function<backend_parts(const parts_request&, std::size_t)> read;
    double permits;
    base::instant refilled_at{};
};

}  // namespace pearbarrow::directory
