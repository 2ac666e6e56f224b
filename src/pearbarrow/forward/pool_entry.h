/// What a forwarding node knows of one run of a back end: it begins anew when the process starts
/// again.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/dispatch/load_report.h"
#include "pearbarrow/forward/recent_results.h"

namespace pearbarrow::forward {

struct pool_entry {
    directory::backend backend;
    dispatch::backend_key key = 0;
    bool listed = true;
    /// Place in this node's own order.
    std::uint64_t order = 0;
    /// Place in the order that all nodes have.
    std::uint64_t point = 0;
    /// When it left the list; it counts while `listed` is false.
    base::instant vanished_at{};
    std::uint32_t in_flight = 0;
    std::uint32_t failures_in_row = 0;
    base::instant rests_until{};
    /// When the attempts began that have no head of an answer yet.
    std::multiset<base::instant> unanswered;
    recent_results results;
    /// Mean time of recent answers, in microseconds; 0: none yet.
    double mean_time = 0;
    /// Mean time between events of recent streams, in microseconds; 0: none yet.
    double mean_gap = 0;
    base::instant last_event{};
    /// Tokens of this node's prompts there that have no first event yet.
    double unread_tokens = 0;
    std::optional<base::instant> last_connected;

    /// Takes requests, as far as its entry in the list goes.
    bool is_usable() const { return listed && !backend.draining; }
};

}  // namespace pearbarrow::forward
