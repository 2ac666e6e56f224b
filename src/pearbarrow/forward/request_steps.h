/// Where the time of one request went, and what was known when its back end was chosen.
#pragma once

#include <nlohmann/json.hpp>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

/// Each is of the last attempt, but for the wait and the preparation, which come before all of
/// them.
struct request_steps {
    /// Until the members that count the tenant had granted every attempt.
    base::microseconds quota{0};
    /// Until it was known whether the chosen back ends, which had just started, bear the request.
    base::microseconds permit{0};
    /// Until the storage members had room for the turn.
    base::microseconds waiting{0};
    /// On the storage members, before the turn may run.
    base::microseconds preparing{0};
    /// From sending to the head of the answer.
    base::microseconds to_head{0};
    /// From the head to the first event: the prompt's reading, and the engine's own queue.
    base::microseconds to_first_event{0};
    /// From the first event to the last one.
    base::microseconds generating{0};
    /// The longest time between two events.
    base::microseconds longest_gap{0};
    /// Storing the turn, before the end of its answer.
    base::microseconds storing{0};
};

/// Whole milliseconds by step; `pearbarrowctl trace` names the largest.
nlohmann::json to_json(const request_steps& steps);

/// What was believed of the load when the back end was chosen.
nlohmann::json to_json(const choice& placed);

}  // namespace pearbarrow::forward
