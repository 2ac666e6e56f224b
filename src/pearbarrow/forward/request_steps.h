/// Times of the steps of a request, and the inputs of its back-end selection.
#pragma once

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

/// Times of the last attempt, except for `waiting` and `preparing`, which precede all attempts.
struct request_steps {
    /// Total time until the quota members granted the attempts.
    base::microseconds quota{0};
    /// Total time of the permit requests for selected cold back ends.
    base::microseconds permit{0};
    /// Time until the storage members had room for the turn.
    base::microseconds waiting{0};
    /// Time on the storage members before the turn may be executed.
    base::microseconds preparing{0};
    /// Time from sending the request to the response head.
    base::microseconds to_head{0};
    /// Time from the response head to the first event: the queue of the engine and the prefill.
    base::microseconds to_first_event{0};
    /// Time from the first event to the last one.
    base::microseconds generating{0};
    /// Longest time between two events.
    base::microseconds longest_gap{0};
    /// Time to store the turn before the end of its response.
    base::microseconds storing{0};
};

/// Returns whole milliseconds by step. `pearbarrowctl trace` reports the largest one.
nlohmann::json to_json(const request_steps& steps);

/// Returns the load estimates on which the selection was based.
nlohmann::json to_json(const choice& placed);

}  // namespace pearbarrow::forward
