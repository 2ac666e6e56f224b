/// Permits to send a request to a back end that has just started.
///
/// The rate of a cold back end applies to all nodes together, so a node cannot decide alone: each
/// permit consumes a part of that rate. The source of permits is an interface, since there are
/// several ways to divide the rate.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/turns/turn_operation.h"

namespace pearbarrow::slowstart {

/// One incarnation of a back end, and the rate that it can handle while it is cold.
struct cold_start {
    std::string backend;
    /// Same value as `directory::backend::started_at`.
    std::uint64_t started_at = 0;
    /// Requests per second from all nodes together.
    double rate = 0;
};

enum class permit_verdict : std::uint8_t {
    /// One request may be sent now.
    granted,
    /// The back end's rate is exhausted.
    refused,
    /// No member that can grant the permit replied. The request goes to another back end.
    no_reply,
};

std::string_view to_string(permit_verdict verdict);

struct permit_decision {
    permit_verdict verdict = permit_verdict::no_reply;
    /// Estimated time until a permit is available.
    base::milliseconds retry_after{0};
};

class permit_source {
  public:
    virtual ~permit_source() = default;
    /// Calls `done` once, never before this function returns. The operation must not be
    /// destroyed inside `done`; destroying it earlier cancels the request.
    [[nodiscard]] virtual std::unique_ptr<turns::turn_operation> request_permit(
        const cold_start& target, std::function<void(const permit_decision&)> done) = 0;
};

}  // namespace pearbarrow::slowstart
