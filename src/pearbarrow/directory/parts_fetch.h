/// Fetches the parts of a peer's list of back ends that differ from this node's.
///
/// Protocol: the peer has told its digests; it is asked for the parts whose digests differ, some at
/// a time, until all have come. A node that starts with nothing asks for every part in this way: no
/// message of a list of 20,000 back ends takes a small machine longer than one of 256, and a peer
/// answers so many a second that its own work goes on. One fetch at a time.
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

struct parts_question {
    std::vector<std::uint32_t> parts;

    MSGPACK_DEFINE(parts);
};

struct parts_fetch_options {
    base::milliseconds call_timeout{1'000};
    /// Until a peer that has too much to tell is asked again: between this and twice as much.
    base::milliseconds busy_pause{100};
    /// How often one peer is found busy before the fetch is given up.
    std::uint32_t most_busy = 20;
};

class parts_fetch {
  public:
    /// All parts that differed, as of the digests' revision; none when the peer failed.
    using done_handler = std::function<void(std::optional<backend_parts>)>;

    parts_fetch(net::event_loop& loop, net::peer_rpc& rpc, base::random_source& random,
                parts_fetch_options options);

    bool is_active() const { return this->done != nullptr; }
    /// Nothing when a fetch is under way.
    void start(const net::endpoint& peer, std::uint64_t revision,
               std::vector<std::uint32_t> differing, done_handler done);

  private:
    void ask();
    void take(const absl::StatusOr<std::string>& payload);
    void take_parts(backend_parts parts);
    void wait_for_peer();
    void finish(std::optional<backend_parts> found);

    net::event_loop& loop;
    net::peer_rpc& rpc;
    base::random_source& random;
    parts_fetch_options options;
    net::endpoint peer;
    /// Parts that have not come yet, the next ones last.
    std::vector<std::uint32_t> lacking;
    backend_parts gathered;
    std::uint32_t times_busy = 0;
    done_handler done;
    std::unique_ptr<net::peer_call_handle> call;
    std::unique_ptr<net::timer_handle> next;
};

/// Gives peers the parts that they ask for, up to a bound of messages a second.
class parts_source {
  public:
    struct limits {
        /// Back ends in one message: some 25 kB, 1 ms of a whole core.
        std::size_t most_in_message = 256;
        /// Messages a second, 2.5 MB: below what a link of 30 Mbit/s carries.
        double messages_per_second = 100;
    };

    parts_source(net::peer_rpc& rpc, limits bounds,
                 std::function<backend_parts(const parts_question&, std::size_t most)> read);

  private:
    void take_question(std::string_view payload, net::peer_responder& responder);
    bool takes_one_more(base::instant now);

    limits bounds;
    std::function<backend_parts(const parts_question&, std::size_t)> read;
    double room;
    base::instant counted_at{};
};

}  // namespace pearbarrow::directory
