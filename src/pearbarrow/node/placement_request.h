/// Placement requests of the shards that this node owns, and their outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/base/ids.h"

namespace pearbarrow::node {

/// A place on a back end.
struct placement_grant {
    base::backend_id backend;
    /// As `backend::generate_request::priority`: lower runs first.
    std::int32_t engine_priority = 0;
    base::milliseconds pin_lease{0};
    /// The encoded decision record.
    std::string decision;
};

struct placement_refusal {
    absl::Status status;
    std::string decision;
};

/// Exactly one of both runs, unless the offer is withdrawn.
struct placement_callbacks {
    std::function<void(placement_grant)> on_granted;
    std::function<void(placement_refusal)> on_refused;
};

}  // namespace pearbarrow::node
