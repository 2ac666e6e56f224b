/// Decides when a node calls the directory service itself, given that other nodes do so too.
///
/// A pure state machine: time is a parameter, and the constructor takes the random source. The
/// calls of a fleet are bounded independently of its size: a few nodes keep a watch open, and in
/// each interval of the time of day the selected nodes poll the service. All nodes compute the same
/// selection without messages. A poll is a watch that does not wait: it returns the changes. If the
/// service has a newer revision but reports no changes, it has dropped some of its history, and the
/// node reads everything. A node that the service rejects delegates its poll to a peer. Nodes
/// distribute what they learn to each other (`directory/directory_exchange.h`).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/random.h"
#include "pearbarrow/directory/watch_pacing.h"

namespace pearbarrow::directory {

struct service_watch_options {
    pacing_options pacing;
    /// How long a node waits for a peer that is reading the service.
    base::milliseconds wait_for_reader{1'500};
    /// Delay after a failed read: between this and ten times as long.
    base::milliseconds min_retry_delay{100};
    /// If a watch returns changes sooner than this, the service changes all the time. The node
    /// then does not watch again, because polls return the same changes. Without this bound, all
    /// nodes ended up watching (2,207 calls in 49 s by 30 nodes, simulated with ten changes per
    /// second).
    base::milliseconds short_watch{1'000};
    /// Maximum number of times that one poll is delegated. With a third of the nodes rejected by
    /// the service, 1 poll in 80 reaches no node that can perform it.
    std::uint32_t max_hops = 3;
};

class service_watch {
  public:
    enum class call { read, watch, poll, delegate };
    /// An operation that the node performs now.
    struct action {
        call what = call::read;
        /// For a poll and its delegation: how often the poll has been delegated.
        std::uint32_t hops = 0;
    };
    /// The result of a call.
    enum class outcome {
        /// The call returned changes that no peer had sent.
        new_changes,
        /// The call returned only changes that peers had sent already.
        known_changes,
        /// There are no changes.
        unchanged,
        /// The service has a newer revision without reporting changes, or it has dropped its
        /// history.
        missed,
        failed,
    };
    /// The state of the node.
    struct node_state {
        peer_connectivity connectivity;
        /// Whether this node polls in the given interval. A node that knows few others is selected
        /// more often than necessary, never less often.
        std::function<bool(std::uint64_t interval)> is_selected;
        /// The node has all parts as of some revision of the service, from any source.
        bool has_all_parts = false;
        /// Unix time, in microseconds.
        std::int64_t unix_time = 0;
    };

    service_watch(base::random_source& random, service_watch_options options);

    /// Starts the state machine. `is_contact`: other nodes poll this one first, so it reads first.
    void begin(base::instant now, bool is_contact);
    /// Records that a peer is reading the service.
    void on_peer_reading(base::instant now);
    /// Whether this node is reading, or is about to.
    bool is_reading() const {
        return this->state == stage::reading ||
               (this->is_contact && this->state == stage::starting);
    }

    // Each of these returns the actions to perform next.
    std::vector<action> advance(const node_state& known, base::instant now);
    std::vector<action> on_call_ended(call what, outcome how, std::uint32_t hops,
                                      const node_state& known, base::instant now);
    /// Handles a poll without a response so far: another node may be faster.
    std::vector<action> on_slow_poll(std::uint32_t hops, const node_state& known) const;
    /// Handles the request of a peer that the service rejects: this node polls for it.
    std::vector<action> on_poll_request(std::uint32_t hops) const;

    /// Returns when `advance` must be called next.
    base::instant next() const;

  private:
    enum class stage {
        /// Waits for peers to send everything.
        starting,
        reading,
        watching,
        /// Starts a watch at `due`.
        delayed,
        /// Relies on the other nodes.
        idle,
    };

    bool is_poll_due(const node_state& known);
    void become_idle(const node_state& known, base::instant now);
    void delay_for(base::milliseconds delay, stage next, base::instant now);
    base::milliseconds retry_delay();
    std::vector<action> read();
    std::vector<action> watch(base::instant now);
    void on_new_changes(const node_state& known, base::instant now);
    std::vector<action> on_read_ended(outcome how, const node_state& known, base::instant now);
    std::vector<action> on_watch_ended(outcome how, const node_state& known, base::instant now);
    std::vector<action> on_poll_ended(outcome how, std::uint32_t hops, const node_state& known,
                                      base::instant now);
    std::vector<action> delegate(std::uint32_t hops, const node_state& known) const;

    base::random_source& random;
    service_watch_options options;
    watch_pacing pacing;
    stage state = stage::starting;
    bool is_contact = false;
    base::instant due{};
    base::instant watch_started_at{};
    /// Start of the next interval, and number of the last interval that was checked.
    base::instant next_interval{};
    std::uint64_t last_interval = 0;
    std::optional<base::instant> wait_for_reader_until;
};

}  // namespace pearbarrow::directory
