/// Knowledge of an edge about one incarnation of a back end. It is discarded when the
/// process restarts.
#pragma once

#include <cstdint>
#include <iterator>
#include <optional>
#include <set>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/forward/process_evidence.h"
#include "pearbarrow/forward/recent_results.h"

namespace pearbarrow::forward {

struct pool_entry {
    directory::backend backend;
    dispatch::backend_key key = 0;
    bool listed = true;
    /// Position in the order of this node.
    std::uint64_t order = 0;
    /// Position in the hash ring, which is the same on all nodes.
    std::uint64_t point = 0;
    /// Time at which the back end left the list. Valid only while `listed` is false.
    base::instant vanished_at{};
    std::uint32_t in_flight = 0;
    std::uint32_t failures_in_row = 0;
    base::instant backoff_until{};
    /// Start times of the attempts that wait for a response head.
    std::multiset<base::instant> unanswered;
    recent_results results;
    /// Mean time of recent responses in microseconds, or 0 if there are none.
    double mean_time = 0;
    /// Mean time between events of recent streams in microseconds, or 0 if there are none.
    double mean_gap = 0;
    base::instant last_event{};
    /// When a response head or event of the back end last arrived.
    base::instant last_heard{};
    /// Prompt tokens of this node for which no first event has been received.
    double unread_tokens = 0;
    std::optional<base::instant> last_connected;
    /// Attempts that ended without a whole response sooner than a request of the service takes, by
    /// the time at which it would have ended.
    std::multiset<base::instant> ended_early;
    process_evidence process;
    /// The process that the entry described before, and when the entry changed.
    struct replaced_process {
        directory::backend backend;
        process_evidence process;
        base::instant at;
    };
    std::optional<replaced_process> replaced;

    /// Returns the number of attempts in `ended_early` that would still be in flight.
    std::size_t early_load(base::instant now) const {
        return static_cast<std::size_t>(
            std::distance(this->ended_early.upper_bound(now), this->ended_early.end()));
    }
    /// Returns whether the directory entry permits new requests.
    bool is_usable() const { return listed && !backend.draining; }
};

}  // namespace pearbarrow::forward
